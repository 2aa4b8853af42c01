package servermodel

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryerill/lab/scenario"
)

func spec() scenario.Machine {
	return scenario.Machine{Cores: 2, Slots: 3, QueueLimit: 2, Speed: 1, Cancel: "queued",
		Cold:  scenario.Cold{From: 0.5, For: 10 * time.Second, Tips: 2, Within: time.Second},
		Crowd: scenario.Crowd{At: 2, After: time.Second, Factor: 4, Below: 0.5, Rest: 2 * time.Second, Most: time.Minute}}
}

func warmServer() *Server {
	machine := spec()
	return New(&machine, 1, 0, true)
}

// run moves on until the next phase ends and returns its time.
func run(t *testing.T, s *Server) (time.Duration, *Job) {
	t.Helper()
	for range 10_000 {
		at, ok := s.Next()
		if !ok {
			t.Fatal("nothing is due")
		}
		if j := s.Pop(at); j != nil {
			return at, j
		}
	}
	t.Fatal("nothing ever ends")
	return 0, nil
}

func near(a, b time.Duration) bool { return (a - b).Abs() < time.Millisecond }

// Three jobs share two cores evenly; as they end, the rest speeds up to one core each.
func TestCoresAreShared(t *testing.T) {
	s := warmServer()
	for _, work := range []float64{0.2, 0.4, 0.4} {
		if v := s.Offer(0, &Job{Left: work}); v != Working {
			t.Fatal(v)
		}
	}
	at, first := run(t, s)
	if !near(at, 300*time.Millisecond) {
		t.Errorf("the first ended at %v, want 300ms", at)
	}
	s.End(at, first)
	if at, _ := run(t, s); !near(at, 500*time.Millisecond) {
		t.Errorf("the second ended at %v, want 500ms", at)
	}
}

func TestJobWithoutSlotWaitsOrIsRejected(t *testing.T) {
	s := warmServer()
	var jobs []*Job
	for i := range 6 {
		jobs = append(jobs, &Job{Left: 1})
		want := []Admission{Working, Working, Working, Waiting, Waiting, Rejected}[i]
		if v := s.Offer(0, jobs[i]); v != want {
			t.Errorf("job %d: %v, want %v", i, v, want)
		}
	}
	s.End(0, jobs[3]) // one that waits leaves
	s.End(0, jobs[0])
	if !jobs[4].Busy() {
		t.Error("a freed slot does not let the next one in")
	}
}

// A phase that is noticed late has ended in time all the same, and costs the others nothing.
func TestPhasesEndInTimeHoweverLateTheyAreNoticed(t *testing.T) {
	s := warmServer()
	s.Offer(0, &Job{Left: 0.1})
	s.Offer(0, &Job{Left: 0.1})
	s.Offer(0, &Job{Left: 0.1})
	s.Advance(5 * time.Second)
	if got := s.Done(); math.Abs(got-0.3) > 1e-6 {
		t.Errorf("did %v of work, want 0.3", got)
	}
	for range 3 {
		if s.Pop(5*time.Second) == nil {
			t.Fatal("a phase that ended is not returned")
		}
	}
}

func TestColdServerIsSlowAndCanBeOverloaded(t *testing.T) {
	machine := spec()
	machine.Slots = 100
	machine.QueueLimit = 100
	s := New(&machine, 1, 0, false)
	s.Offer(0, &Job{Left: 0.25})
	if at, _ := run(t, s); at < 400*time.Millisecond || at > 500*time.Millisecond {
		t.Errorf("at half of its capacity a job of 250ms took %v", at)
	}
	// 2 cores at about 0.55: within a second 2.2 s of work are its budget, with slack for chance.
	for i := 0; i < 12 && !s.Overloaded(); i++ {
		s.Offer(time.Second, &Job{Left: 0.5})
	}
	if !s.Overloaded() {
		t.Error("6 s of work in an instant did not overload it")
	}
	if _, ok := s.Next(); ok {
		t.Error("an overloaded server goes on working")
	}
}

func TestCrowdedServerSlowsDownAndRecovers(t *testing.T) {
	s := warmServer()
	var jobs []*Job
	for range 5 { // more than 2 for each of 2 cores
		j := &Job{Left: 100}
		jobs = append(jobs, j)
		s.Offer(0, j)
	}
	s.Advance(900 * time.Millisecond)
	if s.Slowed() {
		t.Error("slowed down before its time")
	}
	s.Advance(1100 * time.Millisecond)
	if !s.Slowed() {
		t.Fatal("crowded for over a second, not slowed down")
	}
	for _, j := range jobs {
		s.End(1200*time.Millisecond, j)
	}
	s.Advance(3 * time.Second)
	if !s.Slowed() {
		t.Error("recovered before it had rested")
	}
	s.Advance(3500 * time.Millisecond)
	if s.Slowed() {
		t.Error("never recovered")
	}
}

// Whatever happens in whatever order, no work is created or lost, and slots and queue stay within their limits.
func TestWorkIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := warmServer()
		now, given, taken := time.Duration(0), 0.0, 0.0
		var in []*Job
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				j := &Job{Left: float64(rapid.IntRange(1, 500).Draw(t, "work")) / 1000}
				if s.Offer(now, j) != Rejected {
					given += j.Left
					in = append(in, j)
				}
			case 2:
				for j := s.Pop(now); j != nil; j = s.Pop(now) {
					taken += j.Left
					s.End(now, j)
				}
			case 3:
				s.Slow(now, float64(rapid.IntRange(1, 5).Draw(t, "factor")))
			}
			if s.usedSlots > s.spec.Slots || len(s.queue) > s.spec.QueueLimit {
				t.Fatalf("%d slots and %d places in the queue are used", s.usedSlots, len(s.queue))
			}
		}
		if s.Done() > given+1e-6 || s.Done() < taken-1e-6 {
			t.Fatalf("did %v, was given %v, %v of it ended", s.Done(), given, taken)
		}
		s.Slow(now, 1)
		s.Advance(now + time.Hour)
		for range in {
			for j := s.Pop(now + time.Hour); j != nil; j = s.Pop(now + time.Hour) {
				taken += j.Left
				s.End(now+time.Hour, j)
			}
			now += time.Hour
		}
		if math.Abs(taken-given) > 1e-6 || math.Abs(s.Done()-given) > 1e-5 || s.usedSlots != 0 {
			t.Fatalf("given %v, ended %v, did %v, %d slots used", given, taken, s.Done(), s.usedSlots)
		}
	})
}
