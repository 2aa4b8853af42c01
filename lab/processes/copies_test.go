package processes

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"ryerill/config"
	"ryerill/fleet"
	"ryerill/lab/faultnet"
	"ryerill/lab/modelcheck/mutant"
)

// program builds the real program, and later the one that plays a later program beside it.
var (
	program = sync.OnceValues(func() (string, error) { return build() })
	later   = sync.OnceValues(func() (string, error) { return build("-tags", "fleetlater") })
)

func build(flags ...string) (string, error) {
	dir, err := os.MkdirTemp("", "ryerill-copies")
	if err != nil {
		return "", err
	}
	at := filepath.Join(dir, "ryerill")
	out, err := exec.Command("go", append(append([]string{"build", "-o", at}, flags...), "ryerill/cmd/proxy")...).CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return at, err
}

func TestMain(m *testing.M) {
	code := m.Run()
	if at, err := program(); err == nil {
		os.RemoveAll(filepath.Dir(at))
	}
	os.Exit(code)
}

// slow skips what takes minutes and wants the machine for itself, unless the environment
// asks for it, as CI does in a step of its own.
func slow(t *testing.T) {
	t.Helper()
	if os.Getenv(mutant.Slow) == "" {
		t.Skip("set " + mutant.Slow + "=1: it takes minutes and wants the machine for itself")
	}
}

// rig starts a fleet under load. Its end checks what must always hold.
func rig(t *testing.T, opt Options) *Fleet {
	t.Helper()
	at, err := program()
	if err != nil {
		t.Fatal(err)
	}
	opt.Command, opt.Dir, opt.Endpoints = []string{at, "serve"}, t.TempDir(), 6
	f, err := Start(t.Context(), opt)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var load sync.WaitGroup
	for i := range f.Replicas {
		load.Add(1)
		go func() { defer load.Done(); f.Drive(ctx, i, 20) }()
	}
	until(t, 10*time.Second, "requests to be served", func() bool { return f.Ledger.Sum().Served > 10 })
	t.Cleanup(func() {
		stop()
		load.Wait()
		for _, c := range f.Replicas {
			if log := c.Log(); strings.Contains(log, "panic") || strings.Contains(log, "DATA RACE") {
				t.Errorf("%s:\n%s", c.Name, log)
			}
		}
		f.Close()
		if s := f.Ledger.Sum(); s.Lost+s.Late+s.Repeated > 0 || s.Failed > f.Ledger.Spoilt() || s.Served == 0 {
			t.Errorf("the ledger does not balance: %+v", s)
		} else {
			t.Logf("ledger: %+v", s)
		}
		if t.Failed() {
			for _, c := range f.Replicas {
				t.Logf("%s:\n%s", c.Name, c.Log())
			}
		}
	})
	return f
}

// until waits until something is so, and tells how long it took.
func until(t *testing.T, most time.Duration, what string, so func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !so() {
		if time.Since(began) > most {
			t.Fatalf("after %v still waiting for %s", most, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}

// holds tells what a copy holds another for.
func (c *Replica) holds(name string) string {
	s, err := c.Status()
	if err != nil {
		return err.Error()
	}
	i := slices.IndexFunc(s.Members, func(m fleet.MemberStatus) bool { return m.Name == name })
	if i < 0 {
		return "unknown"
	}
	return s.Members[i].Status
}

// agree tells whether all copies that are up hold all others that are up for alive,
// and have the same view.
func (f *Fleet) agree() bool {
	up := 0
	for _, c := range f.Replicas {
		if c.Up() {
			up++
		}
	}
	digest := ""
	for _, c := range f.Replicas {
		if !c.Up() {
			continue
		}
		s, err := c.Status()
		alive := 0
		for _, m := range s.Members {
			if m.Status == "alive" {
				alive++
			}
		}
		if err != nil || alive != up || digest != "" && s.Digest != digest {
			return false
		}
		digest = s.Digest
	}
	return true
}

func (f *Fleet) allHold(i int, status string) func() bool {
	return func() bool {
		for j, c := range f.Replicas {
			if j != i && c.Up() && c.holds(f.Replicas[i].Name) != status {
				return false
			}
		}
		return true
	}
}

// parts adds up the parts of the pool's budgets that copies hold.
func (f *Fleet) parts(t *testing.T) (sum float64) {
	t.Helper()
	for _, c := range f.Replicas {
		if s, err := c.Status(); c.Up() && err == nil {
			sum += s.Pools["main"].QuotaFraction
		}
	}
	if sum > 1.0001 {
		t.Errorf("the parts of a budget come to %v", sum)
	}
	return sum
}

func names(copies []*Replica) (out []string) {
	for _, c := range copies {
		out = append(out, c.Name)
	}
	return out
}

// A fleet of 12 real processes under load: kills, stops, cuts and restarts cost no
// request but those that were open where the kill struck, views agree after each,
// and the parts of a budget never come to more than the whole.
func TestFleetOfProcesses(t *testing.T) {
	slow(t)
	f := rig(t, Options{Replicas: 12})
	t.Log("known to each other after", until(t, 20*time.Second, "all to know all", f.agree))
	until(t, 10*time.Second, "places", func() bool { return f.parts(t) > 0.99 })

	t.Run("killed and restarted", func(t *testing.T) {
		f.Replicas[3].Kill()
		t.Log("missed after", until(t, 10*time.Second, "it to be missed", f.allHold(3, "dead")))
		f.parts(t)
		if err := f.Launch(t.Context(), 3); err != nil {
			t.Fatal(err)
		}
		t.Log("back after", until(t, 10*time.Second, "it to be back", f.agree))
	})
	t.Run("stopped for long", func(t *testing.T) {
		c := f.Replicas[5]
		before := len(c.Log())
		c.Signal(syscall.SIGSTOP)
		until(t, 10*time.Second, "it to be missed", f.allHold(5, "dead"))
		time.Sleep(3 * time.Second)
		c.Signal(syscall.SIGCONT)
		t.Log("back after", until(t, 10*time.Second, "it to be back", f.agree))
		if log := c.Log()[before:]; !strings.Contains(log, "stood still") || strings.Contains(log, "status=dead") {
			t.Errorf("it accuses others, or did not notice:\n%s", log)
		}
	})
	t.Run("one way cut", func(t *testing.T) {
		f.Relays.Do(func(n *faultnet.Network) { n.Set("c01", "c02", faultnet.Link{Partitioned: true}) })
		time.Sleep(4 * time.Second)
		if !f.agree() {
			t.Error("somebody is held for dead")
		}
		f.Relays.Do(func(n *faultnet.Network) { n.Heal() })
	})
	t.Run("split and healed", func(t *testing.T) {
		f.Relays.Do(func(n *faultnet.Network) { n.Split(names(f.Replicas[:5]), names(f.Replicas[5:])) })
		until(t, 15*time.Second, "each half to miss the other", func() bool {
			a, _ := f.Replicas[0].Status()
			b, _ := f.Replicas[9].Status()
			return a.Pools["main"].Unreachable == 7 && b.Pools["main"].Unreachable == 5
		})
		f.parts(t)
		if s, _ := f.Replicas[0].Status(); !s.Partitioned || s.Pools["main"].Of != 12 || s.Pools["main"].QuotaReplicas != 12 {
			t.Errorf("the smaller half holds itself for sound: %v, %+v", s.Partitioned, s.Pools["main"])
		}
		time.Sleep(2 * time.Second)
		f.Relays.Do(func(n *faultnet.Network) { n.Heal() })
		took := until(t, 15*time.Second, "it to heal", f.agree)
		if t.Log("healed after", took); took > 5*time.Second {
			t.Errorf("healed after %v", took)
		}
	})
	t.Run("a fifth lost, late, torn and doubled", func(t *testing.T) {
		f.Relays.Do(func(n *faultnet.Network) {
			n.Usual(faultnet.Link{Drop: 0.2, Corrupt: 0.05, Duplicate: 0.1, Reorder: 0.1, Delay: 5 * time.Millisecond, Jitter: 10 * time.Millisecond})
		})
		// A few frames a second come to each copy: some copy may see none of a kind for long.
		until(t, 30*time.Second, "every copy to have dropped frames, torn and seen before", func() bool {
			for _, c := range f.Replicas {
				if s, err := c.Status(); err != nil || s.Frames.Invalid["its code does not fit"] == 0 || s.Frames.Invalid["seen before"] == 0 {
					return false
				}
			}
			return true
		})
		f.Relays.Do(func(n *faultnet.Network) { n.Usual(faultnet.Link{}) })
		until(t, 15*time.Second, "peace", f.agree)
	})
	t.Run("half killed in a moment", func(t *testing.T) {
		for _, c := range f.Replicas[6:] {
			c.Signal(syscall.SIGKILL)
		}
		for _, c := range f.Replicas[6:] {
			c.Await()
		}
		t.Log("missed after", until(t, 20*time.Second, "the rest to agree", f.agree))
		f.parts(t)
		for i := range f.Replicas[6:] {
			if err := f.Launch(t.Context(), 6+i); err != nil {
				t.Fatal(err)
			}
		}
		t.Log("back after", until(t, 15*time.Second, "all to be back", f.agree))
	})
	t.Run("asked to end", func(t *testing.T) {
		f.Replicas[11].Signal(syscall.SIGTERM)
		if err := f.Replicas[11].Await(); err != nil {
			t.Error(err)
		}
		until(t, 10*time.Second, "all to know that it left", f.allHold(11, "left"))
		f.parts(t)
	})
	t.Run("another key, in steps", func(t *testing.T) {
		// What was torn before may have had its key's name torn, and counts as unknown already.
		unknown := func(c *Replica) uint64 { s, _ := c.Status(); return s.Frames.Invalid["by a key that is not known"] }
		before := map[*Replica]uint64{}
		for _, c := range f.Replicas[:11] {
			before[c] = unknown(c)
		}
		for _, keys := range [][]string{{"first-key-of-this-fleet", "second-key-of-this-fleet"}, {"second-key-of-this-fleet", "first-key-of-this-fleet"},
			{"second-key-of-this-fleet"}} {
			if err := f.WriteKeys(keys...); err != nil {
				t.Fatal(err)
			}
			for _, c := range f.Replicas[:11] {
				before := strings.Count(c.Log(), "configuration reloaded")
				c.Signal(syscall.SIGHUP)
				until(t, 10*time.Second, "the reload", func() bool { return strings.Count(c.Log(), "configuration reloaded") > before })
			}
		}
		until(t, 10*time.Second, "peace", f.agree)
		for _, c := range f.Replicas[:11] {
			if n := unknown(c) - before[c]; n > 0 {
				t.Errorf("%s dropped %d frames by an unknown key", c.Name, n)
			}
		}
	})
	t.Run("strangers", func(t *testing.T) {
		conn, err := net.Dial("udp", f.Replicas[0].fleet.String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		before, _ := f.Replicas[0].Status()
		frame, _ := hex.DecodeString("01000000000100000000000000018000")
		for i := range 3000 {
			conn.Write(append(frame, make([]byte, i%1400)...))
		}
		conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		if n, err := conn.Read(make([]byte, 100)); err == nil {
			t.Errorf("a stranger is answered with %d bytes", n)
		}
		after, _ := f.Replicas[0].Status()
		if sum(after.Frames.Invalid) == sum(before.Frames.Invalid) {
			t.Error("nothing is counted")
		}
		until(t, 10*time.Second, "peace", f.agree)
	})
	for _, c := range f.Replicas[:11] {
		s, err := c.Status()
		if err != nil {
			t.Fatal(err)
		}
		if rate := float64(s.Frames.BytesOut) / (float64(s.UptimeMS) / 1000); rate > 4000 {
			t.Errorf("%s sent %.0f bytes a second", c.Name, rate)
		}
		if n := descriptors(c.Pid()); n > 120 {
			t.Errorf("%s holds %d descriptors", c.Name, n)
		}
	}
}

func sum(m map[string]uint64) (n uint64) {
	for _, v := range m {
		n += v
	}
	return n
}

func descriptors(pid int) int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries)
}

// rates adds up what all copies may spend of a quota a second. A loan shows with its
// lender before it does with its borrower, so lenders are asked last; what moves
// between two questions is looked at again.
func (f *Fleet) rates(t *testing.T) (sum float64) {
	t.Helper()
	for tries := 0; ; tries++ {
		sum = 0
		had := map[string]float64{}
		for _, c := range f.Replicas {
			s, err := c.Shared()
			if !c.Up() || err != nil {
				continue
			}
			for _, b := range s.Quotas {
				sum += b.Rate
				had[c.Name] = b.Borrowed
			}
		}
		if sum <= 1000.001 || tries > 20 {
			if sum > 1000.001 {
				t.Errorf("all copies together may spend %v of 1000, borrowed %v", sum, had)
			}
			return sum
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Real processes lend each other a quota through losses, delays, a split, kills and
// restarts: all together they never may spend more than the whole, whoever wants it
// gets nearly all of it, and a provider that errs is told of by several.
func TestSharingProcesses(t *testing.T) {
	slow(t)
	f := rig(t, Options{Replicas: 8, Change: func(i int, file *config.File) {
		file.Fleet.Sharing = &config.SharingFile{Quotas: true, Counters: true, Evidence: true}
		file.Pools[0].Tenants = []config.TenantFile{{Name: "acme", Quota: 1000}}
	}})
	until(t, 20*time.Second, "all to know all", f.agree)
	ctx, stop := context.WithCancel(t.Context())
	var load sync.WaitGroup
	defer load.Wait()
	defer stop()
	load.Add(1)
	go func() { defer load.Done(); f.Drive(ctx, 0, 400) }()
	borrows := func(least float64) func() bool {
		return func() bool {
			s, err := f.Replicas[0].Shared()
			return err == nil && len(s.Quotas) == 1 && s.Quotas[0].Rate >= least
		}
	}
	until(t, 20*time.Second, "the busy copy to borrow what it wants", borrows(380))
	f.rates(t)
	faults := func(d time.Duration, change func(*faultnet.Network)) {
		f.Relays.Do(change)
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			f.rates(t)
		}
	}
	faults(3*time.Second, func(n *faultnet.Network) {
		n.Usual(faultnet.Link{Drop: 0.2, Duplicate: 0.2, Delay: 100 * time.Millisecond, Jitter: 400 * time.Millisecond})
	})
	faults(6*time.Second, func(n *faultnet.Network) {
		n.Usual(faultnet.Link{})
		n.Split(names(f.Replicas[:3]), names(f.Replicas[3:]))
	})
	if s, err := f.Replicas[0].Shared(); err != nil || s.Quotas[0].Rate < 125 || s.Quotas[0].Rate > 376 {
		t.Errorf("cut off with two others it may spend %+v, %v", s.Quotas, err)
	}
	faults(2*time.Second, func(n *faultnet.Network) { n.Heal() })
	f.Replicas[4].Kill()
	faults(time.Second, func(*faultnet.Network) {})
	if err := f.Launch(t.Context(), 4); err != nil {
		t.Fatal(err)
	}
	faults(2*time.Second, func(*faultnet.Network) {})
	until(t, 20*time.Second, "it to borrow again", borrows(380))
	s, err := f.Replicas[5].Shared()
	if served := float64(f.Ledger.Sum().Served); err != nil || s.Sums["served"].Value < 0.5*served || s.Sums["served"].Lower > served {
		t.Errorf("counts over all: %+v, the ledger has %v served, %v", s.Sums["served"], served, err)
	}
	f.Ledger.Spoil(1) // one of six errs
	until(t, 20*time.Second, "several to speak against it", func() bool {
		s, err := f.Replicas[3].Shared()
		by := map[string]bool{}
		for _, e := range s.Evidence {
			if e.Errors > 0.5*e.Attempts {
				by[e.Reporter] = true
			}
		}
		return err == nil && len(by) >= 2
	})
	f.Ledger.Spoil(-1)
}

// plan is one that gives every copy pools like those of the first, changed.
func (f *Fleet) plan(t *testing.T, id, rest string, change func(*config.PoolFile)) string {
	t.Helper()
	text, err := os.ReadFile(f.Replicas[0].File)
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

// rollout is how the first copy that answers sees the plan.
func (f *Fleet) rollout() (s fleet.RolloutStatus) {
	for _, c := range f.Replicas {
		if text, err := c.Ask("GET", "/ops/rollout", ""); c.Up() && err == nil {
			json.Unmarshal([]byte(text), &s)
			return s
		}
	}
	return s
}

// holding counts copies that hold a target, as they say themselves.
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

// A change of settings goes through a fleet of real processes under load, with frames
// lost, the copy that leads killed, stopped and cut off; settings that are valid and
// deadly are stopped at the first copy, which goes back, with the rest untouched.
func TestRolloutProcesses(t *testing.T) {
	slow(t)
	f := rig(t, Options{Replicas: 9})
	until(t, 20*time.Second, "all to know all", f.agree)
	const stages = "stages: [{count: 1, soak: 2s}, {part: 0.4, soak: 2s}, {part: 1, soak: 2s}]\naway: 2\nwait: 15s\n"
	start := func(plan string) {
		t.Helper()
		if _, err := f.Replicas[1].Ask("POST", "/ops/rollout", plan); err != nil {
			t.Fatal(err)
		}
		if _, err := f.Replicas[1].Ask("POST", "/ops/rollout", plan); err == nil || !strings.Contains(err.Error(), "stands") {
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
	t.Run("deadly", func(t *testing.T) {
		before := f.rollout().Target
		start(f.plan(t, "deadly", stages, func(p *config.PoolFile) {
			for i := range p.Endpoints {
				p.Endpoints[i].Address = "127.0.0.1:9"
			}
		}))
		f.Ledger.Excuse(true)
		most := 0
		until(t, 60*time.Second, "the plan to end", func() bool {
			if s := f.rollout(); s.Plan == "deadly" {
				most = max(most, f.holding(s.Target))
			}
			return ended("deadly")()
		})
		f.Ledger.Excuse(false)
		s := f.rollout()
		if s.Phase != "gone back" || most > 1 {
			t.Errorf("%s: %s, %d held it\n%s", s.Phase, s.Reason, most, strings.Join(s.History, "\n"))
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
	t.Run("aborted while the leader is cut off", func(t *testing.T) {
		start(f.plan(t, "never", stages, func(p *config.PoolFile) { p.Limits.MaxAttempts = 6 }))
		until(t, 30*time.Second, "the first stage", func() bool { s := f.rollout(); return s.Phase == "soaking" && leader() != nil })
		cut := leader()
		f.Relays.Do(func(n *faultnet.Network) { n.Isolate(cut.Name, false) })
		other := f.Replicas[0]
		if other == cut {
			other = f.Replicas[8]
		}
		if _, err := other.Ask("POST", "/ops/rollout/abort", ""); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		f.Relays.Do(func(n *faultnet.Network) { n.Heal() })
		until(t, 60*time.Second, "the plan to end everywhere", func() bool {
			for _, c := range f.Replicas {
				text, err := c.Ask("GET", "/ops/rollout", "")
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

// Two processes under one name: a copied configuration is said loudly by the one
// that came first, and it gives its part up.
func TestCopiedConfiguration(t *testing.T) {
	f := rig(t, Options{Replicas: 3, Change: func(i int, file *config.File) {
		if i == 2 {
			file.Name = "c01"
		}
	}})
	until(t, 15*time.Second, "it to be said", func() bool {
		for _, c := range f.Replicas[1:] {
			if s, err := c.Status(); err == nil && s.Displaced && s.Pools["main"].QuotaFraction == 0 && strings.Contains(c.Log(), "give one of them another name") {
				return true
			}
		}
		return false
	})
}

// Off there is nothing: no socket, no goroutine, and the door says so.
func TestOffThereIsNothing(t *testing.T) {
	f := rig(t, Options{Replicas: 1, Off: true})
	if text, err := f.Replicas[0].Ask("GET", "/ops/fleet", ""); err == nil || !strings.Contains(err.Error(), "in no fleet") {
		t.Errorf("%s, %v", text, err)
	}
	udp, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/udp", f.Replicas[0].Pid()))
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(udp), fmt.Sprintf(":%04X ", f.Replicas[0].fleet.Port())) {
		t.Error("its address for datagrams is open")
	}
	f.Replicas[0].Signal(syscall.SIGQUIT) // the runtime prints all goroutines
	f.Replicas[0].Await()
	if log := f.Replicas[0].Log(); strings.Contains(log, "ryerill/fleet") {
		t.Errorf("goroutines of the fleet:\n%s", log)
	}
	runtime.KeepAlive(f)
}
