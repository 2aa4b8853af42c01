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

// stub is a proxy as the fleet sees it.
type stub struct {
	mu      sync.Mutex
	places  map[string]placement.Position
	told    Directives
	wants   float64
	changed []string
	refuse  bool
}

func (s *stub) Observe() Observations {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Observations{Quotas: map[string]float64{"main/acme": 90}, Demand: map[string]float64{"main/acme": s.wants / 5},
		Counters: map[counter.Key]counter.Counts{{Pool: "main"}: {Arrivals: 10}}, Attempts: []AttemptResult{{Endpoint: outlier.Endpoint{ID: 7, StartedAt: 1}, Outcome: outlier.TimedOut}, {Endpoint: outlier.Endpoint{ID: 8, StartedAt: 1}}},
		Endpoints: map[string][]outlier.Endpoint{"main": {{ID: 7, StartedAt: 1}, {ID: 8, StartedAt: 1}, {ID: 9, StartedAt: 1}, {ID: 10, StartedAt: 1}}}}
}

func (s *stub) Apply(t Directives) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = t
}

func (s *stub) see(p map[string]placement.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.places = p
}

// trio starts three hosts on loopback that know the first one's address.
func trio(t *testing.T, change func(i int, c *Config)) (hosts []*Fleet, stubs []*stub) {
	t.Helper()
	seed := ""
	dir := t.TempDir()
	for i := range 3 {
		s := &stub{}
		c := Config{Name: fmt.Sprint("c", i), Fleet: "f", Listen: "127.0.0.1:0", Keys: [][]byte{[]byte("sixteen-characters-or-more")}, ReplicaCounts: map[string]int{"main": 3},
			Zone: fmt.Sprint("z", i), Pools: []string{"main"}, SettingsHash: "old", ProgramVersion: "v1", Sharing: &SharingConfig{Quotas: true, Counters: true, Evidence: true},
			StateFile: filepath.Join(dir, fmt.Sprint("c", i))}
		if seed != "" {
			c.Seeds = []string{seed}
		}
		if change != nil {
			change(i, &c)
		}
		f, err := New(c, slog.New(slog.DiscardHandler), s.see)
		if err != nil {
			t.Fatal(err)
		}
		f.SetSubject(s)
		f.EnableRollouts(func(_ rollout.Kind, target string, _ []byte, back bool) error {
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
		}, func() []PoolActivity {
			return []PoolActivity{{Pool: "main", OfferedWeight: float64(time.Now().UnixMilli() % 1e9), ServedWeight: float64(time.Now().UnixMilli() % 1e9)}}
		})
		f.Announce(membership.Serving, "old")
		ctx, stop := context.WithCancel(t.Context())
		over := make(chan struct{})
		go func() { defer close(over); f.Run(ctx) }()
		t.Cleanup(func() { stop(); <-over })
		if seed == "" {
			seed = f.Address()
		}
		hosts, stubs = append(hosts, f), append(stubs, s)
	}
	return hosts, stubs
}

func until(t *testing.T, what string, so func() bool) {
	t.Helper()
	for end := time.Now().Add(90 * time.Second); !so(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("still waiting for %s", what)
		}
	}
}

// Three hosts find each other, divide, lend, hear of a server that hangs, carry a plan
// through, and one leaves; nothing of them is left in the end.
func TestHosts(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("together", func(t *testing.T) {
		hosts, stubs := trio(t, nil)
		until(t, "all to know all", func() bool {
			for _, f := range hosts {
				if s := f.Status(); len(s.Members) != 3 || s.Pools["main"].QuotaFraction < 0.33 || s.Pools["main"].Of != 3 {
					return false
				}
			}
			return true
		})
		stubs[0].mu.Lock()
		stubs[0].wants = 80
		stubs[0].mu.Unlock()
		until(t, "the first to borrow", func() bool {
			stubs[0].mu.Lock()
			defer stubs[0].mu.Unlock()
			return stubs[0].told.QuotaFractions["main/acme"].Current > 0.8
		})
		until(t, "a server that hangs everywhere to be condemned", func() bool {
			s := hosts[1].SharedStatus()
			return s != nil && len(s.Evidence) > 0 && s.Sums["arrivals"].Value == 30
		})
		p := rollout.Plan{ID: "p", Kind: rollout.Settings, Target: "new", Settings: make([]byte, 100<<10), RollBack: true, Stages: []rollout.Stage{{Count: 1, Observation: time.Second}, {Fraction: 1, Observation: time.Second}}}
		p.Complete()
		if err := hosts[2].StartRollout(p); err != nil {
			t.Fatal(err)
		}
		until(t, "the plan to be through", func() bool {
			for _, f := range hosts {
				if s, _ := f.RolloutStatus(); s.Phase != "done" {
					return false
				}
			}
			return true
		})
		for _, f := range hosts {
			if s := f.Status(); s.Members[0].Settings != "new" || s.Members[1].Settings != "new" || s.Members[2].Settings != "new" {
				t.Errorf("%+v", s.Members)
			}
		}
	})
}

// What a host meets at its edges: a stranger, a torn memory, an address that is taken.
func TestHostEdges(t *testing.T) {
	dir := t.TempDir()
	torn := filepath.Join(dir, "c1")
	if err := os.WriteFile(torn, []byte(`{"fleet":"f","na`), 0o600); err != nil {
		t.Fatal(err)
	}
	hosts, _ := trio(t, func(i int, c *Config) {
		c.Sharing = nil
		if i == 1 {
			c.StateFile = torn
		}
		if i == 2 {
			c.StateFile = filepath.Join(dir, "no", "such", "folder")
		}
	})
	if _, err := New(Config{Name: "x", Fleet: "f", Listen: hosts[0].Address(), Keys: [][]byte{[]byte("sixteen-characters-or-more")}}, slog.New(slog.DiscardHandler), nil); err == nil {
		t.Error("an address is taken twice")
	}
	until(t, "all to know all", func() bool { return len(hosts[2].Status().Members) == 3 && len(hosts[0].Status().Members) == 3 })
	for range mostExchanges + 4 { // those who connect and say nothing hold no more than their part
		c, err := net.Dial("tcp", hosts[0].Address())
		if err == nil { // beyond the bound it may be reset at once
			defer c.Close()
		}
	}
	until(t, "exchanges beyond the bound to be refused", func() bool { return hosts[0].Status().Frames.ExchangesRefused > 0 })
	if err := hosts[0].Forget("c2"); !errors.Is(err, ErrNotDead) {
		t.Error(err)
	}
	if hosts[0].SharedStatus() != nil {
		t.Error("shares without being told to")
	}
}

// What is remembered is taken if it is whole, of this form, of this copy and young. A copy
// whose disk has lost it may have lent before its restart: it keeps that back.
func TestWhatIsRememberedIsTakenWithCare(t *testing.T) {
	file := filepath.Join(t.TempDir(), "members")
	lent := func(f *Fleet) bool {
		f.share.Quotas.SetLimits(f.now(), []quota.Limit{{Name: "b", Kind: quota.Rate, Total: 90}})
		f.share.Quotas.SetReplicaCount(f.now(), 3, nil)
		return f.share.Quotas.Rate(f.now(), "b") < 2
	}
	host := func() *Fleet {
		f, err := New(Config{Name: "a", Fleet: "f", Listen: "127.0.0.1:0", Keys: [][]byte{[]byte("sixteen-characters-or-more")}, ReplicaCounts: map[string]int{"main": 3},
			Pools: []string{"main"}, Sharing: &SharingConfig{Quotas: true}, StateFile: file, Seeds: []string{"127.0.0.1:1"}}, slog.New(slog.DiscardHandler), nil)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(f.Close)
		return f
	}
	whole := func(m memory) []byte {
		text, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		return pack(text)
	}
	other := membership.Record{State: membership.State{Name: "b", Epoch: 5, Status: membership.Alive}, Tags: &membership.Tags{Address: "127.0.0.1:2", Pools: []string{"main"}}}
	good := memory{Written: time.Now(), Fleet: "f", Name: "a", Epoch: 1 << 62, Sure: true, Members: []membership.Record{other}}
	with := func(change func(m *memory)) []byte { m := good; change(&m); return whole(m) }
	torn := whole(good)
	torn[len(torn)/2] ^= 1
	for name, tc := range map[string]struct {
		text                 []byte
		knows, sure, keeping bool
	}{
		"whole":                    {whole(good), true, true, true},
		"nothing":                  {nil, false, false, true},
		"a byte changed":           {torn, false, false, true},
		"cut short":                {whole(good)[:200], false, false, true},
		"of no version":            {whole(good)[20:], false, false, true},
		"another copy's":           {with(func(m *memory) { m.Name = "c" }), false, false, true},
		"another fleet's":          {with(func(m *memory) { m.Fleet = "g" }), false, false, true},
		"of yesterday":             {with(func(m *memory) { m.Written = time.Now().Add(-24 * time.Hour) }), true, false, true},
		"of tomorrow":              {with(func(m *memory) { m.Written = time.Now().Add(24 * time.Hour) }), true, false, true},
		"of one that left by word": {with(func(m *memory) { m.Left, m.Sure, m.Members = true, false, nil }), false, false, false},
	} {
		os.Remove(file)
		if tc.text != nil {
			if err := os.WriteFile(file, tc.text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		f := host()
		_, knows := f.member.Find("b")
		if keeping := lent(f); knows != tc.knows || f.view.Confirmed() != tc.sure || keeping != tc.keeping {
			t.Errorf("%s: knows %v, sure %v, keeps back what it may have lent %v", name, knows, f.view.Confirmed(), keeping)
		}
	}
}
