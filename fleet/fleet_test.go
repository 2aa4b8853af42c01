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

// stubProxy is a proxy as the fleet observes and directs it.
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

// change returns what applies a rollout to f: it announces the new settings.
func (s *stubProxy) change(f *Fleet) ChangeFunc {
	return func(_ rollout.Kind, target string, _ []byte, back bool) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.refuse {
			return errors.New("it will not")
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

// startTrio starts three hosts on loopback that know the first one's address.
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

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(90 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("still waiting for %s", what)
		}
	}
}

// Three hosts find each other, divide quotas, lend, share evidence of an endpoint that hangs,
// carry a plan out, and leave; no goroutine is left in the end.
func TestHosts(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("together", func(t *testing.T) {
		hosts, proxies := startTrio(t, nil)
		waitFor(t, "all to know all", func() bool {
			for _, f := range hosts {
				s := f.Status()
				if len(s.Members) != 3 || s.Pools["main"].QuotaFraction < 0.33 || s.Pools["main"].Of != 3 {
					return false
				}
			}
			return true
		})
		proxies[0].setDemand(80)
		waitFor(t, "the first to borrow", func() bool { return proxies[0].quotaFraction() > 0.8 })
		waitFor(t, "evidence of an endpoint that hangs everywhere", func() bool {
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
		waitFor(t, "the plan to be done", func() bool {
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
				t.Errorf("%+v", s.Members)
			}
		}
	})
}

// What a host meets at its edges: a torn state file, one that can't be written, an address
// that is taken, connections that send nothing.
func TestHostEdges(t *testing.T) {
	dir := t.TempDir()
	torn := filepath.Join(dir, "c1")
	if err := os.WriteFile(torn, []byte(`{"fleet":"f","na`), 0o600); err != nil {
		t.Fatal(err)
	}
	hosts, _ := startTrio(t, func(i int, c *Config) {
		c.Sharing = nil
		if i == 1 {
			c.StateFile = torn
		}
		if i == 2 {
			c.StateFile = filepath.Join(dir, "no", "such", "folder")
		}
	})
	taken := Config{Name: "x", Fleet: "f", Listen: hosts[0].Address(), Keys: testKeys}
	if _, err := New(taken, slog.New(slog.DiscardHandler), nil); err == nil {
		t.Error("an address is taken twice")
	}
	waitFor(t, "all to know all", func() bool {
		return len(hosts[2].Status().Members) == 3 && len(hosts[0].Status().Members) == 3
	})
	for range maxInboundConnections + 4 { // those that send nothing hold no more than the bound
		conn, err := net.Dial("tcp", hosts[0].Address())
		if err == nil { // beyond the bound it may be reset at once
			t.Cleanup(func() { conn.Close() })
		}
	}
	waitFor(t, "connections beyond the bound to be refused", func() bool {
		return hosts[0].Status().Frames.ExchangesRefused > 0
	})
	if err := hosts[0].Forget("c2"); !errors.Is(err, ErrNotDead) {
		t.Error(err)
	}
	if hosts[0].SharedStatus() != nil {
		t.Error("state is shared that is not configured")
	}
}

// A state file is used if it is whole, of this form, of this replica and young. A replica
// whose disk has lost it may have lent before its restart: it withholds that much.
func TestStateFileIsRestoredWithCare(t *testing.T) {
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
	torn := append([]byte(nil), whole...)
	torn[len(torn)/2] ^= 1
	day := 24 * time.Hour
	for name, tc := range map[string]struct {
		text                        []byte
		knows, confirmed, withholds bool
	}{
		"whole":                {whole, true, true, true},
		"missing":              {nil, false, false, true},
		"a byte changed":       {torn, false, false, true},
		"cut short":            {whole[:200], false, false, true},
		"of no version":        {whole[20:], false, false, true},
		"another replica's":    {with(func(s *persistedState) { s.Name = "c" }), false, false, true},
		"another fleet's":      {with(func(s *persistedState) { s.Fleet = "g" }), false, false, true},
		"of yesterday":         {with(func(s *persistedState) { s.Written = time.Now().Add(-day) }), true, false, true},
		"of tomorrow":          {with(func(s *persistedState) { s.Written = time.Now().Add(day) }), true, false, true},
		"of one that has left": {with(func(s *persistedState) { s.Left, s.Confirmed, s.Members = true, false, nil }), false, false, false},
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
				t.Errorf("knows %v, confirmed %v, withholds what it may have lent %v", knows, confirmed, withheld)
			}
		})
	}
}

// startHost runs a host on loopback that shares quotas with one other, and returns it with what has it leave. Its Run has
// ended once the test has.
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

// spendable is what a host's replica may spend of its one quota, in units a second; 0 while it knows of none.
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

// A lender that is killed while it waits for its loans to end, and restarts, has not forgotten that it has lent: it and
// the borrower together never may spend more than the quota.
func TestALenderKilledWhileItLeavesWithholdsItsLoans(t *testing.T) {
	t.Parallel()
	const (
		total      = 90                     // of the quota, as stubProxy states it
		maxReading = 100 * time.Millisecond // of both rates: less than a credit ends before its debit
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
	waitFor(t, "the lender to wait for its loans", lender.isLeaving)
	onDisk, err := os.ReadFile(stateFile) // what a restart after a kill finds
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(copied, onDisk, stateFileMode); err != nil {
		t.Fatal(err)
	}
	lender.end() // it sends nothing more
	restarted, _ := startHost(t, &stubProxy{}, Config{Name: "l", StateFile: copied, Seeds: []string{borrower.Address()}})

	overlapped := false // both had a part of the quota while the loan ran
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
		t.Errorf("both together may spend %.1f of %d", highest, total)
	}
	if !overlapped {
		t.Error("the lender had no part of the quota before the loan was over: the test shows nothing")
	}
}

// What a replica that has left finds at its next start says so, whichever write of the state file was the last.
func TestAReplicaThatHasLeftPersistsIt(t *testing.T) {
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
	if _, written := f.persist(); !written || !hasLeft() { // as one that was asked for before
		t.Error("a later write has the replica not have left")
	}
}
