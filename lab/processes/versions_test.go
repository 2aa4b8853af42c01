package processes

import (
	"context"
	"encoding/hex"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"ryerill/config"
	"ryerill/fleet"
	"ryerill/lab/faultnet"
)

// buildBoth builds the program and one that speaks a later protocol level, and returns
// the commands that serve and the versions that they print.
func buildBoth(t *testing.T) (commands [2][]string, versions [2]string) {
	t.Helper()
	slow(t)
	for i, build := range []func() (string, error){program, later} {
		at, err := build()
		if err != nil {
			t.Fatal(err)
		}
		out, err := exec.Command(at, "version").Output()
		if err != nil {
			t.Fatal(err)
		}
		first, _, _ := strings.Cut(string(out), "\n")
		commands[i], versions[i] = []string{at, "serve"}, strings.TrimPrefix(first, "ryerill ")
	}
	return commands, versions
}

// find returns what a replica knows of another; nothing if it does not answer.
func (r *Replica) find(name string) (m fleet.MemberStatus) {
	s, _ := r.Status()
	if i := slices.IndexFunc(s.Members, func(m fleet.MemberStatus) bool { return m.Name == name }); i >= 0 {
		return s.Members[i]
	}
	return m
}

// A program and a later one work side by side: replicas pass on fields that they don't
// know, unknown fields and kinds of messages break nothing, quotas are lent, and either
// executes a plan.
func TestVersionsProcesses(t *testing.T) {
	commands, _ := buildBoth(t)
	f := startLoaded(t, Options{Replicas: 6, CommandOf: func(i int) []string { return commands[i%2] }, Change: func(_ int, file *config.File) {
		file.Fleet.Sharing = &config.SharingFile{Quotas: true, Counters: true, Evidence: true}
		file.Pools[0].Tenants = []config.TenantFile{{Name: "acme", Quota: 1000}}
	}})
	until(t, 20*time.Second, "all to know all", f.agree)
	tags := hex.EncodeToString([]byte("\xa1\x18\x64\x65later"))
	// c01 reaches only replicas that don't know its tags.
	f.Relays.Do(func(n *faultnet.Network) {
		for _, other := range []string{"c03", "c05"} {
			n.Set("c01", other, faultnet.Link{Partitioned: true})
			n.Set(other, "c01", faultnet.Link{Partitioned: true})
		}
	})
	f.Replicas[1].Kill()
	if err := f.Launch(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	epoch := f.Replicas[1].find("c01").Epoch
	until(t, 20*time.Second, "its tags to be passed on", func() bool {
		m := f.Replicas[3].find("c01")
		return m.Epoch == epoch && m.UnknownTags == tags && m.Levels == [2]uint8{1, 2}
	})
	f.Relays.Do(func(n *faultnet.Network) { n.Heal() })
	until(t, 20*time.Second, "all to know all", f.agree)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go f.Drive(ctx, 0, 300)
	until(t, 20*time.Second, "a quota to be lent", func() bool {
		s, err := f.Replicas[0].Shared()
		return err == nil && len(s.Quotas) == 1 && s.Quotas[0].Rate >= 280
	})
	f.rates(t)
	for i, id := range []string{"by-this", "by-later"} {
		plan := f.plan(t, id, "stages: [{count: 2, soak: 2s}, {part: 1, soak: 2s}]\naway: 2\nwait: 15s\n", func(p *config.PoolFile) { p.Limits.MaxAttempts = 4 + i })
		f.handOver(t, f.Replicas[i], plan)
		until(t, 90*time.Second, "the plan to end", func() bool { s := f.rollout(); return s.Plan == id && s.Ended })
		if s := f.rollout(); s.Phase != "done" {
			t.Errorf("%s: %s", s.Phase, s.Reason)
		}
	}
	for _, c := range f.Replicas {
		s, _ := c.Status()
		if s.Frames.Invalid["torn"]+s.Frames.Invalid["of another version"] > 0 {
			t.Errorf("%s dropped %v", c.Name, s.Frames.Invalid)
		}
	}
}

// Another program is rolled out by the operator's own command, here a script that waits
// for this test: to all, then as far as a replica where the command fails, and back. A
// program that others could not understand is rejected before the first stage.
func TestProgramsProcesses(t *testing.T) {
	commands, versions := buildBoth(t)
	const n = 5
	f := startLoaded(t, Options{Replicas: n})
	until(t, 20*time.Second, "all to know all", f.agree)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	failing := "" // the replica whose command fails
	for i, c := range f.Replicas {
		want, done := filepath.Join(f.Opt.Dir, c.Name+".want"), filepath.Join(f.Opt.Dir, c.Name+".done")
		agent := exec.CommandContext(ctx, commands[0][0], "rollout", "agent", "--door", c.AdminAddresses[0]+","+c.AdminAddresses[1], "--", "sh", "-c",
			fmt.Sprintf(`echo "$RYERILL_TARGET,$RYERILL_BACK" > %s.part; mv %s.part %s; while [ ! -e %s ]; do sleep 0.05; done; read ok < %s; rm %s; [ "$ok" = yes ]`, want, want, want, done, done, done))
		if err := agent.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { stop(); agent.Wait() })
		go func() { // stands for the operator's tools on this machine
			for ctx.Err() == nil {
				time.Sleep(50 * time.Millisecond)
				text, err := os.ReadFile(want)
				if err != nil {
					continue
				}
				os.Remove(want)
				target, back, _ := strings.Cut(strings.TrimSpace(string(text)), ",")
				which, answer := 0, "yes"
				if (back != "true") == (target == versions[1]) {
					which = 1
				}
				if c.Name == failing && back != "true" {
					answer = "no"
				} else if err := f.Replace(ctx, i, commands[which]); err != nil {
					t.Errorf("%s: %v", c.Name, err)
				}
				os.WriteFile(done+".part", []byte(answer+"\n"), 0o600)
				os.Rename(done+".part", done)
			}
		}()
	}
	plan := func(id, version, rest string) string {
		return fmt.Sprintf("id: %s\nkind: program\nprogram: %q\nstages: [{count: 1, soak: 2s}, {part: 1, soak: 2s}]\naway: 2\nwait: 20s\n%s", id, version, rest)
	}
	holding := func(version string) func() bool {
		return func() bool {
			for _, c := range f.Replicas {
				if c.find(c.Name).Program != version {
					return false
				}
			}
			return true
		}
	}
	if _, err := f.Replicas[0].Admin("POST", "/ops/rollout", plan("deaf", "v9", "speaks: [7, 8]\n")); err == nil || !strings.Contains(err.Error(), "could not hear each other") {
		t.Errorf("a program that nobody could understand: %v", err)
	}
	f.handOver(t, f.Replicas[0], plan("later", versions[1], "speaks: [1, 2]\n"))
	until(t, 120*time.Second, "the plan to end", func() bool { s := f.rollout(); return s.Plan == "later" && (s.Ended || s.Phase == "stopped") })
	if s := f.rollout(); s.Phase != "done" || !holding(versions[1])() {
		t.Fatalf("%s: %s\n%s", s.Phase, s.Reason, strings.Join(s.History, "\n"))
	}
	until(t, 20*time.Second, "all to know all", f.agree)
	failing = "c03"
	f.handOver(t, f.Replicas[2], plan("earlier", versions[0], ""))
	until(t, 120*time.Second, "the plan to go back", func() bool { s := f.rollout(); return s.Plan == "earlier" && (s.Ended || s.Phase == "stopped") })
	if s := f.rollout(); s.Phase != "gone back" {
		t.Errorf("%s: %s\n%s", s.Phase, s.Reason, strings.Join(s.History, "\n"))
	}
	until(t, 30*time.Second, "all to hold what they held", holding(versions[1]))
}
