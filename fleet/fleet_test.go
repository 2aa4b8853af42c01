package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"ryerill/fleet/counter"
	"ryerill/fleet/membership"
	"ryerill/fleet/outlier"
	"ryerill/fleet/placement"
	"ryerill/fleet/quota"
	"ryerill/fleet/rollout"
)

// stubProxy implements Subject.
type stubProxy struct {
	mu         sync.Mutex
	positions  map[string]placement.Position
	directives Directives
	demand     float64
	changed    []string
	refuse     bool
}

func (s *stubProxy) Observe() Observations {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoint := func(id uint64) outlier.Endpoint { return outlier.Endpoint{ID: id, StartedAt: 1} }
	return Observations{
		Quotas:    map[string]float64{"main/acme": 90},
		Demand:    map[string]float64{"main/acme": s.demand / 5},
		Counters:  map[counter.Key]counter.Counts{{Pool: "main"}: {Arrivals: 10}},
		Attempts:  []AttemptResult{{Endpoint: endpoint(7), Outcome: outlier.TimedOut}, {Endpoint: endpoint(8)}},
		Endpoints: map[string][]outlier.Endpoint{"main": {endpoint(7), endpoint(8), endpoint(9), endpoint(10)}},
	}
}

func (s *stubProxy) Apply(directives Directives) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directives = directives
}

func (s *stubProxy) setPositions(positions map[string]placement.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.positions = positions
}

func (s *stubProxy) setDemand(demand float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand = demand
}

func (s *stubProxy) quotaFraction() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directives.QuotaFractions["main/acme"].Current
}

// change returns a ChangeFunc that announces the new settings of f.
func (s *stubProxy) change(f *Fleet) ChangeFunc {
	return func(_ rollout.Kind, target string, _ []byte, back bool) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.refuse {
			return errors.New("refused by the test")
		}
		s.changed = append(s.changed, target)
		if back {
			target = "old"
		}
		go f.Announce(membership.Serving, target)
		return nil
	}
}

func activity() []PoolActivity {
	weight := float64(time.Now().UnixMilli() % 1e9)
	return []PoolActivity{{Pool: "main", OfferedWeight: weight, ServedWeight: weight}}
}

var testKeys = [][]byte{[]byte("sixteen-characters-or-more")}

// startTrio starts three hosts on loopback. The second and third use the first as seed.
func startTrio(t *testing.T, configure func(i int, c *Config)) (hosts []*Fleet, proxies []*stubProxy) {
	t.Helper()
	seed := ""
	dir := t.TempDir()
	for i := range 3 {
		proxy := &stubProxy{}
		cfg := Config{
			Name: fmt.Sprint("c", i), Fleet: "f", Listen: "127.0.0.1:0", Keys: testKeys,
			ReplicaCounts: map[string]int{"main": 3}, Zone: fmt.Sprint("z", i), Pools: []string{"main"},
			SettingsHash: "old", ProgramVersion: "v1",
			Sharing:   &SharingConfig{Quotas: true, Counters: true, Evidence: true},
			StateFile: filepath.Join(dir, fmt.Sprint("c", i)),
		}
		if seed != "" {
			cfg.Seeds = []string{seed}
		}
		if configure != nil {
			configure(i, &cfg)
		}
		f, err := New(cfg, slog.New(slog.DiscardHandler), proxy.setPositions)
		if err != nil {
			t.Fatal(err)
		}
		f.SetSubject(proxy)
		f.EnableRollouts(proxy.change(f), activity)
		f.Announce(membership.Serving, "old")
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); f.Run(ctx) }()
		t.Cleanup(func() { stop(); <-ended })
		if seed == "" {
			seed = f.Address()
		}
		hosts = append(hosts, f)
		proxies = append(proxies, proxy)
	}
	return hosts, proxies
}

func waitFor(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(90 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", event)
		}
	}
}

// Three hosts discover each other, divide quotas, lend, share evidence of a hanging endpoint, complete a rollout and
// leave without leaking goroutines.
func TestHostsFormFleet(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("together", func(t *testing.T) {
		hosts, proxies := startTrio(t, nil)
		waitFor(t, "all hosts to know each other", func() bool {
			for _, f := range hosts {
				s := f.Status()
				if len(s.Members) != 3 || s.Pools["main"].QuotaFraction < 0.33 || s.Pools["main"].Of != 3 {
					return false
				}
			}
			return true
		})
		proxies[0].setDemand(80)
		waitFor(t, "the first host to borrow", func() bool { return proxies[0].quotaFraction() > 0.8 })
		waitFor(t, "evidence of the hanging endpoint from all hosts", func() bool {
			s := hosts[1].SharedStatus()
			return s != nil && len(s.Evidence) > 0 && s.Sums["arrivals"].Value == 30
		})
		plan := rollout.Plan{
			ID: "p", Kind: rollout.Settings, Target: "new", Settings: make([]byte, 100<<10), RollBack: true,
			Stages: []rollout.Stage{{Count: 1, Observation: time.Second}, {Fraction: 1, Observation: time.Second}},
		}
		plan.Complete()
		if err := hosts[2].StartRollout(plan); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "the rollout to complete", func() bool {
			for _, f := range hosts {
				if s, _ := f.RolloutStatus(); s.Phase != "done" {
					return false
				}
			}
			return true
		})
		for _, f := range hosts {
			s := f.Status()
			if s.Members[0].Settings != "new" || s.Members[1].Settings != "new" || s.Members[2].Settings != "new" {
				t.Errorf("got members %+v, want the new settings on all", s.Members)
			}
		}
	})
}

// Hosts work with a truncated or unwritable state file, reject an address in use, and limit connections that send
// nothing.
func TestHostsTolerateFaults(t *testing.T) {
	dir := t.TempDir()
	truncated := filepath.Join(dir, "c1")
	if err := os.WriteFile(truncated, []byte(`{"fleet":"f","na`), 0o600); err != nil {
		t.Fatal(err)
	}
	hosts, _ := startTrio(t, func(i int, c *Config) {
		c.Sharing = nil
		if i == 1 {
			c.StateFile = truncated
		}
		if i == 2 {
			c.StateFile = filepath.Join(dir, "no", "such", "folder")
		}
	})
	duplicate := Config{Name: "x", Fleet: "f", Listen: hosts[0].Address(), Keys: testKeys}
	if _, err := New(duplicate, slog.New(slog.DiscardHandler), nil); err == nil {
		t.Error("New accepted an address in use")
	}
	waitFor(t, "all hosts to know each other", func() bool {
		return len(hosts[2].Status().Members) == 3 && len(hosts[0].Status().Members) == 3
	})
	for range maxInboundConnections + 4 { // silent connections use at most maxInboundConnections
		conn, err := net.Dial("tcp", hosts[0].Address())
		if err == nil { // connections beyond the limit may be reset at once
			t.Cleanup(func() { conn.Close() })
		}
	}
	waitFor(t, "connections beyond the limit to be refused", func() bool {
		return hosts[0].Status().Frames.ExchangesRefused > 0
	})
	if err := hosts[0].Forget("c2"); !errors.Is(err, ErrNotDead) {
		t.Error(err)
	}
	if hosts[0].SharedStatus() != nil {
		t.Error("got shared status, want nil without sharing configured")
	}
}

// A state file is used only if it is intact, of this format and of this replica; its confirmation also requires that it
// is recent. A replica that lost its state file may have lent before the restart and withholds the possible loans.
func TestRestoreRequiresValidStateFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "members")
	newHost := func(t *testing.T) *Fleet {
		f, err := New(Config{
			Name: "a", Fleet: "f", Listen: "127.0.0.1:0", Keys: testKeys, ReplicaCounts: map[string]int{"main": 3},
			Pools: []string{"main"}, Sharing: &SharingConfig{Quotas: true}, StateFile: file,
			Seeds: []string{"127.0.0.1:1"},
		}, slog.New(slog.DiscardHandler), nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(f.Close)
		return f
	}
	withholds := func(f *Fleet) bool {
		quotas := f.stateSync.syncer.Quotas
		quotas.SetLimits(f.now(), []quota.Limit{{Name: "b", Kind: quota.Rate, Total: 90}})
		quotas.SetReplicaCount(f.now(), 3, nil)
		return quotas.Rate(f.now(), "b") < 2
	}
	other := membership.Record{
		State: membership.State{Name: "b", Epoch: 5, Status: membership.Alive},
		Tags:  &membership.Tags{Address: "127.0.0.1:2", Pools: []string{"main"}},
	}
	with := func(change func(s *persistedState)) []byte {
		state := persistedState{
			Written: time.Now(), Fleet: "f", Name: "a", Epoch: 1 << 62, Confirmed: true,
			Members: []membership.Record{other},
		}
		change(&state)
		text, err := json.Marshal(state)
		if err != nil {
			t.Fatal(err)
		}
		return seal(text)
	}
	whole := with(func(*persistedState) {})
	corrupted := append([]byte(nil), whole...)
	corrupted[len(corrupted)/2] ^= 1
	day := 24 * time.Hour
	for name, tc := range map[string]struct {
		text                        []byte
		knows, confirmed, withholds bool
	}{
		"whole":               {whole, true, true, true},
		"missing":             {nil, false, false, true},
		"corrupted byte":      {corrupted, false, false, true},
		"cut short":           {whole[:200], false, false, true},
		"no version":          {whole[20:], false, false, true},
		"another replica's":   {with(func(s *persistedState) { s.Name = "c" }), false, false, true},
		"another fleet's":     {with(func(s *persistedState) { s.Fleet = "g" }), false, false, true},
		"a day old":           {with(func(s *persistedState) { s.Written = time.Now().Add(-day) }), true, false, true},
		"a day in the future": {with(func(s *persistedState) { s.Written = time.Now().Add(day) }), true, false, true},
		"departed replica":    {with(func(s *persistedState) { s.Left, s.Confirmed, s.Members = true, false, nil }), false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			os.Remove(file)
			if tc.text != nil {
				if err := os.WriteFile(file, tc.text, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			f := newHost(t)
			_, knows := f.list.Find("b")
			confirmed := f.positions.tracker.Confirmed()
			withheld := withholds(f)
			if knows != tc.knows || confirmed != tc.confirmed || withheld != tc.withholds {
				t.Errorf("got member known %v, confirmed %v, possible loans withheld %v", knows, confirmed, withheld)
			}
		})
	}
}

// startHost runs a host on loopback that shares quotas with one other host. leave makes it leave the fleet. The test's
// cleanup waits for Run to end.
func startHost(t *testing.T, proxy *stubProxy, cfg Config) (f *Fleet, leave context.CancelFunc) {
	t.Helper()
	cfg.Fleet, cfg.Listen, cfg.Keys = "f", "127.0.0.1:0", testKeys
	cfg.ReplicaCounts, cfg.Pools = map[string]int{"main": 2}, []string{"main"}
	cfg.Sharing = &SharingConfig{Quotas: true}
	f, err := New(cfg, slog.New(slog.DiscardHandler), proxy.setPositions)
	if err != nil {
		t.Fatal(err)
	}
	f.SetSubject(proxy)
	f.Announce(membership.Serving, "")
	ctx, leave := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); f.Run(ctx) }()
	t.Cleanup(func() { leave(); <-ended })
	return f, leave
}

// spendable returns the current limit of a host for its only quota, in units per second; 0 while the quota is unknown.
func spendable(f *Fleet) float64 {
	status := f.SharedStatus()
	if len(status.Quotas) == 0 {
		return 0
	}
	return status.Quotas[0].Rate
}

func (f *Fleet) isLeaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tags.Phase == membership.Leaving
}

// A lender that is killed while it waits for its loans to end withholds the lent amount after its restart. Otherwise it
// and the borrower together could spend more than the quota.
func TestLenderKilledWhileLeavingWithholdsLoans(t *testing.T) {
	t.Parallel()
	const (
		total      = 90                     // total quota of stubProxy
		maxReading = 100 * time.Millisecond // for reading both rates: shorter than the gap between end of loan and debit
	)
	dir := t.TempDir()
	stateFile, copied := filepath.Join(dir, "l"), filepath.Join(dir, "copy")
	lender, leave := startHost(t, &stubProxy{}, Config{Name: "l", StateFile: stateFile})
	borrowing := &stubProxy{}
	borrowing.setDemand(total)
	borrower, _ := startHost(t, borrowing, Config{Name: "b", Seeds: []string{lender.Address()}})
	waitFor(t, "a loan", func() bool { return spendable(borrower) > 0.9*total })
	waitFor(t, "the lender's state file", func() bool { _, err := os.Stat(stateFile); return err == nil })

	leave()
	waitFor(t, "the lender to start leaving", lender.isLeaving)
	onDisk, err := os.ReadFile(stateFile) // as found by a restart after a kill
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(copied, onDisk, stateFileMode); err != nil {
		t.Fatal(err)
	}
	lender.end() // simulates the kill
	restarted, _ := startHost(t, &stubProxy{}, Config{Name: "l", StateFile: copied, Seeds: []string{borrower.Address()}})

	overlapped := false // both had a positive limit during the loan
	highest := 0.0
	for end := time.Now().Add(2 * quota.Lease); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		began := time.Now()
		borrowed := spendable(borrower)
		own := spendable(restarted)
		if time.Since(began) > maxReading {
			continue
		}
		overlapped = overlapped || borrowed > 0.9*total && own > 0
		highest = max(highest, borrowed+own)
	}
	if highest > total*1.0001 {
		t.Errorf("got a combined limit of %.1f, want at most %d", highest, total)
	}
	if !overlapped {
		t.Error("the lender's limit stayed 0 during the loan, want a positive one")
	}
}

// The state file of a replica that has left says so, even after a later write.
func TestDepartureIsPersisted(t *testing.T) {
	t.Parallel()
	f, leave := startHost(t, &stubProxy{}, Config{Name: "a", StateFile: filepath.Join(t.TempDir(), "a")})
	waitFor(t, "the state to be persisted", func() bool {
		state, err := f.stateFile.read()
		return err == nil && !state.Left
	})
	leave()
	hasLeft := func() bool {
		state, err := f.stateFile.read()
		return err == nil && state.Left && !state.Confirmed
	}
	waitFor(t, "the departure to be persisted", hasLeft)
	if _, written := f.persist(); !written || !hasLeft() { // like a write requested before the departure
		t.Error("a later write failed or lost the departure")
	}
}
