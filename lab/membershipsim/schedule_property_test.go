package membershipsim

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryerill/fleet/membership"
	"ryerill/lab/faultnet"
)

// Along any schedule of partitions, losses, stops, kills, restarts and departures: the
// quota fractions that replicas hold never come to more than 1, states of members never
// go back, and once all faults have ended all know all and the fractions come to 1. The
// configuration states a number of replicas; more may be started once all that were
// there have met, while nothing is partitioned.
func TestQuotaFractionsNeverExceedOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		minReplicas := rapid.IntRange(2, 5).Draw(t, "written")
		n := minReplicas + rapid.IntRange(0, 3).Draw(t, "beyond")
		s := New(n, faultnet.New(lan, 1), rapid.Uint64().Draw(t, "seed"))
		type view struct{ observer, member string }
		newest := map[view]membership.State{}
		s.OnChange = func(c Change) {
			k := view{c.Observer, c.Record.Name}
			if newest[k].Newer(c.Record.State) {
				t.Fatalf("%s: %s went back from %v to %v", c.Observer, c.Record.Name, newest[k], c.Record.State)
			}
			newest[k] = c.Record.State
		}
		partitioned := false
		started := minReplicas
		for i := range minReplicas {
			s.Start(i, Name(0), Name(1))
		}
		runChecked := func(span time.Duration) float64 {
			sum := 0.0
			for end := s.Now + span; s.Now < end; {
				s.Run(s.Now + 100*time.Millisecond)
				s.UpdatePlacements(minReplicas)
				sum = 0
				for _, c := range s.Replicas {
					if c.Up && c.Tracker != nil { // a stopped one counts: it may resume and spend at once
						sum += c.Tracker.Position("main").QuotaFraction()
					}
				}
				if sum > 1.0001 {
					for _, c := range s.Replicas {
						if c.Up && c.Tracker != nil {
							t.Logf("%s: %+v", c.Name, c.Tracker.Position("main"))
						}
					}
					t.Fatalf("at %v the quota fractions come to %v", s.Now, sum)
				}
			}
			return sum
		}
		runChecked(2 * time.Second)
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "whom")
			switch rapid.SampledFrom([]string{"isolate", "isolate one way", "split", "loss", "heal", "stop", "continue", "kill", "restart", "depart", "another"}).Draw(t, "what") {
			case "isolate":
				s.Net.Isolate(Name(i), false)
				partitioned = true
			case "isolate one way":
				s.Net.Isolate(Name(i), true)
				partitioned = true
			case "split":
				var half []string
				for j := range i {
					half = append(half, Name(j))
				}
				s.Net.Split(half)
				partitioned = true
			case "loss":
				s.Net.Usual(faultnet.Link{Drop: 0.3, Delay: 20 * time.Millisecond, Jitter: 50 * time.Millisecond, Duplicate: 0.1, Reorder: 0.2})
			case "heal":
				s.Net.Heal()
				s.Net.Usual(lan)
				partitioned = false
			case "stop":
				s.Stop(i)
			case "continue":
				s.Continue(i)
			case "kill":
				s.Kill(i)
			case "restart":
				if i < started && !s.Replicas[i].Up && s.Replicas[i].List != nil {
					for k := range newest {
						if k.observer == Name(i) {
							delete(newest, k)
						}
					}
					s.Start(i, Name(0), Name(1))
				}
			case "depart":
				if s.Replicas[i].Up && !s.Replicas[i].Stopped && i > 1 {
					s.Replicas[i].AnnounceLeave()
					s.Deliver(i, membership.Event{Kind: membership.Leave})
					s.Run(s.Now + 700*time.Millisecond)
					s.Kill(i)
				}
			case "another":
				met := s.Replicas[0].Up && !s.Replicas[0].Stopped
				for _, c := range s.Replicas[:started] {
					met = met && len(c.List.Members()) == started
				}
				if !partitioned && started < n && met {
					s.Start(started, Name(0), Name(1))
					started++
				}
			}
			runChecked(time.Duration(rapid.IntRange(1, 60).Draw(t, "tenths")) * 100 * time.Millisecond)
		}
		s.Net.Heal()
		s.Net.Usual(lan)
		for i := range started {
			s.Continue(i)
			if !s.Replicas[i].Up {
				for k := range newest {
					if k.observer == Name(i) {
						delete(newest, k)
					}
				}
				s.Start(i, Name(0), Name(1))
			}
		}
		sum := runChecked(20 * time.Second)
		for i := range started {
			if alive, suspect, dead := s.Replicas[i].List.Count(); alive != started-1 || suspect+dead > 0 {
				t.Fatalf("%s knows %d alive, %d suspect, %d dead of %d others", Name(i), alive, suspect, dead, started-1)
			}
		}
		if sum < float64(started)/float64(max(started, minReplicas))-0.0001 {
			t.Fatalf("in the end the quota fractions come to %v", sum)
		}
	})
}
