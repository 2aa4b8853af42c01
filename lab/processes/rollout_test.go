package processes

import (
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"ryerill/config"
	"ryerill/fleet"
	"ryerill/lab/faultnet"
)

// A change of settings goes through a fleet of real processes under load, with frames
// lost, the leader killed, stopped and partitioned; settings that are valid and harmful are
// stopped at the first replica, which is rolled back, with the rest untouched.
func TestRolloutProcesses(t *testing.T) {
	slow(t)
	f := startLoaded(t, Options{Replicas: 9})
	until(t, 20*time.Second, "all to know all", f.agree)
	const stages = "stages: [{count: 1, soak: 2s}, {part: 0.4, soak: 2s}, {part: 1, soak: 2s}]\naway: 2\nwait: 15s\n"
	start := func(plan string) {
		t.Helper()
		f.handOver(t, f.Replicas[1], plan)
		if _, err := f.Replicas[1].Admin("POST", "/ops/rollout", plan); err == nil || !strings.Contains(err.Error(), "stands") {
			t.Errorf("a second plan: %v", err)
		}
	}
	ended := func(id string) func() bool {
		return func() bool { s := f.rollout(); return s.Plan == id && (s.Ended || s.Phase == "stopped") }
	}
	leader := func() *Replica {
		s := f.rollout()
		i := slices.IndexFunc(f.Replicas, func(c *Replica) bool { return c.Name == s.Leader })
		if i < 0 {
			return nil
		}
		return f.Replicas[i]
	}

	t.Run("harmless, with a fifth of all frames lost", func(t *testing.T) {
		f.Relays.Do(func(n *faultnet.Network) { n.Usual(faultnet.Link{Drop: 0.2}) })
		start(f.plan(t, "more-attempts", stages, func(p *config.PoolFile) { p.Limits.MaxAttempts = 4 }))
		took := until(t, 90*time.Second, "the plan to end", ended("more-attempts"))
		f.Relays.Do(func(n *faultnet.Network) { n.Usual(faultnet.Link{}) })
		s := f.rollout()
		if t.Log("took", took); s.Phase != "done" || f.holding(s.Target) != 9 {
			t.Errorf("%s: %s, %d hold it\n%s", s.Phase, s.Reason, f.holding(s.Target), strings.Join(s.History, "\n"))
		}
	})
	t.Run("harmful", func(t *testing.T) {
		before := f.rollout().Target
		start(f.plan(t, "deadly", stages, func(p *config.PoolFile) {
			for i := range p.Endpoints {
				p.Endpoints[i].Address = "127.0.0.1:9"
			}
		}))
		f.Ledger.ExcuseFailures(true)
		maxHolding := 0
		until(t, 60*time.Second, "the plan to end", func() bool {
			if s := f.rollout(); s.Plan == "deadly" {
				maxHolding = max(maxHolding, f.holding(s.Target))
			}
			return ended("deadly")()
		})
		f.Ledger.ExcuseFailures(false)
		s := f.rollout()
		if s.Phase != "gone back" || maxHolding > 1 {
			t.Errorf("%s: %s, %d held it\n%s", s.Phase, s.Reason, maxHolding, strings.Join(s.History, "\n"))
		}
		until(t, 10*time.Second, "all to hold what they held", func() bool { return f.holding(before) == 9 })
	})
	t.Run("the leader is killed, the next one stopped", func(t *testing.T) {
		start(f.plan(t, "more-again", stages, func(p *config.PoolFile) { p.Limits.MaxAttempts = 5 }))
		until(t, 30*time.Second, "the first stage", func() bool { s := f.rollout(); return s.Phase == "soaking" && leader() != nil })
		dead := leader()
		dead.Kill()
		until(t, 30*time.Second, "another to lead", func() bool { l := leader(); return l != nil && l != dead && f.rollout().Phase != "" })
		if err := f.Launch(t.Context(), slices.Index(f.Replicas, dead)); err != nil {
			t.Fatal(err)
		}
		stopped := leader()
		stopped.Signal(syscall.SIGSTOP)
		time.Sleep(6 * time.Second)
		stopped.Signal(syscall.SIGCONT)
		until(t, 120*time.Second, "the plan to end", ended("more-again"))
		s := f.rollout()
		if s.Phase != "done" {
			t.Errorf("%s: %s\n%s", s.Phase, s.Reason, strings.Join(s.History, "\n"))
		}
		until(t, 20*time.Second, "all to hold it", func() bool { return f.holding(s.Target) == 9 })
	})
	t.Run("aborted while the leader is partitioned", func(t *testing.T) {
		start(f.plan(t, "never", stages, func(p *config.PoolFile) { p.Limits.MaxAttempts = 6 }))
		until(t, 30*time.Second, "the first stage", func() bool { s := f.rollout(); return s.Phase == "soaking" && leader() != nil })
		isolated := leader()
		f.Relays.Do(func(n *faultnet.Network) { n.Isolate(isolated.Name, false) })
		other := f.Replicas[0]
		if other == isolated {
			other = f.Replicas[8]
		}
		if _, err := other.Admin("POST", "/ops/rollout/abort", ""); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		f.Relays.Do(func(n *faultnet.Network) { n.Heal() })
		until(t, 60*time.Second, "the plan to end everywhere", func() bool {
			for _, c := range f.Replicas {
				text, err := c.Admin("GET", "/ops/rollout", "")
				if err != nil || !strings.Contains(text, `"phase":"gone back"`) {
					return false
				}
			}
			return true
		})
		if s := f.rollout(); f.holding(s.Target) > 0 {
			t.Errorf("%d still hold it", f.holding(s.Target))
		}
	})
}

// plan returns a plan that gives every replica pools like those of the first, changed.
func (f *Fleet) plan(t *testing.T, id, rest string, change func(*config.PoolFile)) string {
	t.Helper()
	text, err := os.ReadFile(f.Replicas[0].ConfigFile)
	if err != nil {
		t.Fatal(err)
	}
	file := new(config.File)
	if err := yaml.Unmarshal(text, file); err != nil {
		t.Fatal(err)
	}
	change(&file.Pools[0])
	file.Pools[0].ReplicaIndex = 0
	pools, err := yaml.Marshal(map[string]any{"pools": file.Pools})
	if err != nil {
		t.Fatal(err)
	}
	return "id: " + id + "\nkind: settings\n" + rest + "settings:\n  " + strings.ReplaceAll(strings.TrimSpace(string(pools)), "\n", "\n  ") + "\n"
}

// handOver gives a replica a plan once it knows that the plan before has ended: others may know
// that earlier, and a replica rejects a plan while another stands.
func (f *Fleet) handOver(t *testing.T, to *Replica, plan string) {
	t.Helper()
	until(t, 10*time.Second, "the end of the plan before to be known where the next is handed over", func() bool {
		s, err := to.Rollout()
		return err == nil && (s.Plan == "" || s.Ended)
	})
	if _, err := to.Admin("POST", "/ops/rollout", plan); err != nil {
		t.Fatal(err)
	}
}

// rollout returns how the first replica that answers sees the plan.
func (f *Fleet) rollout() (s fleet.RolloutStatus) {
	for _, c := range f.Replicas {
		if s, err := c.Rollout(); c.Up() && err == nil {
			return s
		}
	}
	return s
}

// holding counts the replicas that report a target as theirs.
func (f *Fleet) holding(target string) (n int) {
	for _, c := range f.Replicas {
		s, err := c.Status()
		i := slices.IndexFunc(s.Members, func(m fleet.MemberStatus) bool { return m.Self })
		if err == nil && i >= 0 && s.Members[i].Settings == target {
			n++
		}
	}
	return n
}
