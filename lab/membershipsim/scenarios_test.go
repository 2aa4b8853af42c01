package membershipsim

import (
	"testing"
	"time"

	"ryerill/fleet/membership"
	"ryerill/lab/faultnet"
)

// lan is a quiet network.
var lan = faultnet.Link{Delay: 300 * time.Microsecond, Jitter: 400 * time.Microsecond}

// startFleet starts n replicas at once, all from one seed, and runs until all know all.
func startFleet(t *testing.T, n int, seed uint64) *Sim {
	t.Helper()
	s := New(n, faultnet.New(lan, seed), seed)
	for i := range n {
		s.Start(i, Name(0))
	}
	s.until(t, 30*time.Second, "all to know all", func() bool {
		return s.Equal() && len(s.Replicas[n-1].List.Members()) == n
	})
	s.Run(s.Now + 2*time.Second)
	return s
}

// until runs until a condition holds, and returns how long that took.
func (s *Sim) until(t *testing.T, timeout time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	began := s.Now
	for !holds() {
		if s.Now-began > timeout {
			t.Fatalf("after %v still waiting for %s", timeout, what)
		}
		s.Run(s.Now + 20*time.Millisecond)
	}
	return s.Now - began
}

func (s *Sim) allHold(of int, status membership.Status) func() bool {
	return func() bool {
		for _, c := range s.Replicas {
			if c.Up && !c.Stopped && c.Name != Name(of) && StatusOf(c.List, Name(of)) != status {
				return false
			}
		}
		return true
	}
}

// deaths counts from now on the replicas that see a member dead, by its name.
func (s *Sim) deaths() map[string]int {
	out := map[string]int{}
	s.OnChange = func(c Change) {
		if c.Record.Status == membership.Dead {
			out[c.Record.Name]++
		}
	}
	return out
}

func TestMembershipScenarios(t *testing.T) {
	const n = 24
	half := func(from, to int) (names []string) {
		for i := from; i < to; i++ {
			names = append(names, Name(i))
		}
		return names
	}
	whole := func(s *Sim) func() bool {
		return func() bool {
			for _, c := range s.Replicas {
				if alive, _, _ := c.List.Count(); c.Up && alive != n-1 {
					return false
				}
			}
			return s.Equal()
		}
	}
	for _, tc := range []struct {
		name string
		run  func(*testing.T, *Sim)
	}{
		{"one dies", func(t *testing.T, s *Sim) {
			s.Kill(5)
			s.until(t, 5*time.Second, "all to know", s.allHold(5, membership.Dead))
		}},
		{"the seed dies, and others still join through another", func(t *testing.T, s *Sim) {
			s.Kill(0)
			s.Kill(9)
			s.until(t, 5*time.Second, "all to know", s.allHold(0, membership.Dead))
			s.Start(9, Name(0), Name(3))
			s.until(t, 5*time.Second, "the new one to be known", s.allHold(9, membership.Alive))
		}},
		{"half of all die in one second", func(t *testing.T, s *Sim) {
			for i := range n / 2 {
				s.Kill(i)
			}
			s.until(t, 20*time.Second, "the rest to know", func() bool {
				alive, _, dead := s.Replicas[n-1].List.Count()
				return s.Equal() && alive == n/2-1 && dead == n/2
			})
		}},
		{"a restart has a later epoch", func(t *testing.T, s *Sim) {
			before, _ := s.Replicas[1].List.Find(Name(2))
			s.Kill(2)
			s.Run(s.Now + 100*time.Millisecond)
			s.Start(2, Name(0))
			s.until(t, 5*time.Second, "the new epoch", func() bool {
				r, _ := s.Replicas[1].List.Find(Name(2))
				return r.Epoch > before.Epoch && r.Status == membership.Alive && whole(s)()
			})
		}},
		{"one that leaves is not held for dead", func(t *testing.T, s *Sim) {
			s.Deliver(4, membership.Event{Kind: membership.Leave})
			s.Run(s.Now + 200*time.Millisecond)
			s.Kill(4)
			s.until(t, 5*time.Second, "all to know", s.allHold(4, membership.Left))
		}},
		{"one stands still for 10 s and suspects nobody when it wakes", func(t *testing.T, s *Sim) {
			s.Stop(7)
			s.until(t, 8*time.Second, "it to be held for dead", s.allHold(7, membership.Dead))
			s.Run(s.Now + 7*time.Second)
			died := s.deaths()
			s.Continue(7)
			s.until(t, 5*time.Second, "it to be back", whole(s))
			if delete(died, Name(7)); len(died) > 0 {
				t.Errorf("held for dead after it woke: %v", died)
			}
			if s.Replicas[7].List.Stats.Stalls != 1 {
				t.Errorf("it noticed %d stalls", s.Replicas[7].List.Stats.Stalls)
			}
		}},
		{"short stalls cause no false deaths", func(t *testing.T, s *Sim) {
			died := s.deaths()
			for i := range 30 {
				s.Stop(i % n)
				s.Run(s.Now + 800*time.Millisecond)
				s.Continue(i % n)
			}
			if len(died) > 0 {
				t.Errorf("held for dead: %v", died)
			}
		}},
		{"a partition in one direction causes no false deaths", func(t *testing.T, s *Sim) {
			died := s.deaths()
			s.Net.Set(Name(1), Name(2), faultnet.Link{Partitioned: true})
			s.Run(s.Now + 30*time.Second)
			if len(died) > 0 {
				t.Errorf("held for dead: %v", died)
			}
		}},
		{"a zone is partitioned for a minute", func(t *testing.T, s *Sim) {
			s.Net.Split(half(0, 8), half(8, n))
			s.Run(s.Now + time.Minute)
			if _, _, dead := s.Replicas[0].List.Count(); dead != n-8 {
				t.Errorf("the smaller part holds %d for dead", dead)
			}
			s.Net.Heal()
			if took := s.until(t, 10*time.Second, "it to heal", whole(s)); took > 5*time.Second {
				t.Errorf("healed after %v", took)
			}
		}},
		{"one can receive but not send: it is held for dead, and refutes that once healed", func(t *testing.T, s *Sim) {
			s.Net.Isolate(Name(3), true)
			s.until(t, 20*time.Second, "it to be held for dead", s.allHold(3, membership.Dead))
			s.Net.Heal()
			s.until(t, 5*time.Second, "it to be back", whole(s))
		}},
		{"one with heavy losses causes no false deaths", func(t *testing.T, s *Sim) {
			died := s.deaths()
			s.Net.Set("*", Name(6), faultnet.Link{Drop: 0.6})
			s.Run(s.Now + time.Minute)
			if delete(died, Name(6)); len(died) > 0 {
				t.Errorf("held for dead: %v", died)
			}
			s.Net.Heal()
			s.until(t, 10*time.Second, "the fleet to recover", whole(s))
		}},
		{"the fleet recovers from losses and long delays", func(t *testing.T, s *Sim) {
			s.Net.Usual(faultnet.Link{Drop: 0.2, Delay: 500 * time.Millisecond, Jitter: 100 * time.Millisecond, Duplicate: 0.1, Reorder: 0.1})
			s.Run(s.Now + 30*time.Second)
			s.Net.Usual(lan)
			s.until(t, 15*time.Second, "the fleet to recover", whole(s))
		}},
		{"a replica restarts at another address", func(t *testing.T, s *Sim) {
			s.Kill(10)
			s.Configure = func(i int, c *membership.Config) { c.Tags.Address = "elsewhere" }
			s.Run(s.Now + time.Second)
			s.Start(10, Name(0))
			s.until(t, 5*time.Second, "all to know the address", func() bool {
				r, _ := s.Replicas[20].List.Find(Name(10))
				return r.Tags.Address == "elsewhere" && whole(s)()
			})
		}},
		{"of two replicas of one name the first is notified", func(t *testing.T, s *Sim) {
			actions := map[membership.ActionKind]int{}
			s.OnAction = func(_ *Replica, a membership.Action) { actions[a.Kind]++ }
			twin := &Replica{Name: Name(11), tickAt: noTick}
			s.Replicas = append(s.Replicas, twin)
			s.Configure = func(_ int, c *membership.Config) { c.Tags.Address = "twin" }
			s.Start(n, Name(0))
			s.until(t, 10*time.Second, "the first to be notified", func() bool { return s.Replicas[11].List.Displaced() })
			if actions[membership.Displaced] != 1 {
				t.Errorf("actions: %v", actions)
			}
		}},
		{"a clock that ran ahead before a restart", func(t *testing.T, s *Sim) {
			s.Kill(12)
			s.Configure = func(_ int, c *membership.Config) { c.Epoch = 1 << 40 }
			s.Start(12, Name(0))
			s.until(t, 5*time.Second, "it to be known", whole(s))
			s.Kill(12)
			s.Configure = func(_ int, c *membership.Config) { c.Epoch = 5 }
			s.Start(12, Name(0))
			s.until(t, 5*time.Second, "the next epoch", func() bool { r, _ := s.Replicas[0].List.Find(Name(12)); return r.Epoch > 1<<40 && whole(s)() })
			if s.Replicas[12].List.Displaced() {
				t.Error("it holds itself for replaced")
			}
		}},
		{"a dead one that an operator has removed comes back all the same", func(t *testing.T, s *Sim) {
			s.Net.Isolate(Name(13), false)
			s.until(t, 8*time.Second, "it to be held for dead", s.allHold(13, membership.Dead))
			s.Deliver(0, membership.Event{Kind: membership.Forget, Name: Name(13)})
			s.until(t, 5*time.Second, "all to know", s.allHold(13, membership.Left))
			s.Net.Heal()
			s.until(t, 5*time.Second, "it to be back", whole(s))
		}},
		{"changed tags reach all", func(t *testing.T, s *Sim) {
			s.Deliver(14, membership.Event{Kind: membership.SetTags, Tags: membership.Tags{Address: Name(14), SettingsHash: "new", Phase: membership.Draining}})
			s.until(t, 5*time.Second, "all to know", func() bool {
				for _, c := range s.Replicas {
					if r, _ := c.List.Find(Name(14)); r.Tags.SettingsHash != "new" {
						return false
					}
				}
				return true
			})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				tc.run(t, startFleet(t, n, seed))
			}
		})
	}
}

// Members that stand still for 0.8 s one after another are held for dead by nobody, at any
// seed: a replica that a refutation has not reached probes the suspected member once more.
func TestShortStallsCauseNoFalseDeathsAtAnySeed(t *testing.T) {
	t.Parallel()
	for seed := range uint64(150) {
		s := startFleet(t, 24, seed)
		died := s.deaths()
		for i := range 30 {
			s.Stop(i % 24)
			s.Run(s.Now + 800*time.Millisecond)
			s.Continue(i % 24)
		}
		if len(died) > 0 {
			t.Errorf("seed %d: held for dead: %v", seed, died)
		}
	}
}
