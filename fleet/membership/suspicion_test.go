package membership

import (
	"testing"
	"time"
)

// Each confirmation shortens a suspicion, within its bounds.
func TestConfirmationsShortenSuspicion(t *testing.T) {
	for _, tc := range []struct {
		name      string
		needed    int
		reporters []string
		earliest  time.Duration
		latest    time.Duration
	}{
		{"no confirmation", 2, []string{"a"}, 61 * time.Second, 61 * time.Second},
		{"one confirmation", 2, []string{"a", "b"}, 12 * time.Second, 60 * time.Second},
		{"all needed confirmations", 2, []string{"a", "b", "c"}, 11 * time.Second, 11 * time.Second},
		{"more than the needed confirmations", 2, []string{"a", "b", "c", "d"}, 11 * time.Second, 11 * time.Second},
		{"no member could confirm", 0, []string{"a"}, 21 * time.Second, 21 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := suspicion{
				startedAt: time.Second, min: 10 * time.Second, max: 60 * time.Second,
				neededConfirmations: tc.needed, reporters: tc.reporters,
			}
			if end := s.timeoutAt(); end < tc.earliest || end > tc.latest {
				t.Errorf("got timeout at %v, want %v to %v", end, tc.earliest, tc.latest)
			}
		})
	}
}

// Each reporter counts once, and reporters beyond the needed ones do not count.
func TestReporterCountsOnce(t *testing.T) {
	s := suspicion{neededConfirmations: 2, reporters: []string{"a"}}
	for _, tc := range []struct {
		reporter string
		counts   bool
	}{{"a", false}, {"b", true}, {"b", false}, {"c", true}, {"d", false}} {
		if got := s.confirm(tc.reporter); got != tc.counts {
			t.Errorf("reporter %s: got confirmation %v, want %v", tc.reporter, got, tc.counts)
		}
	}
}

// Postponing extends suspicions and their last chance by the time in which this member received nothing.
func TestPostponedSuspicionsTimeOutLater(t *testing.T) {
	suspects := suspectList{nextTimeout: never}
	suspects.postpone(time.Second)
	if suspects.nextTimeout != never {
		t.Errorf("no suspicion: got nextTimeout %v, want never", suspects.nextTimeout)
	}
	m := &member{}
	suspects.add(m, &suspicion{min: time.Second, lastChanceUntil: 3 * time.Second})
	end := m.suspicion.timeoutAt()
	suspects.postpone(time.Second)
	if got := m.suspicion.timeoutAt(); got != end+time.Second || suspects.nextTimeout != got {
		t.Errorf("got timeout %v and nextTimeout %v, want both 1 s after %v", got, suspects.nextTimeout, end)
	}
	if m.suspicion.lastChanceUntil != 4*time.Second {
		t.Errorf("got last chance until %v, want 4s", m.suspicion.lastChanceUntil)
	}
	suspects.remove(m)
	if m.suspicion != nil || len(suspects.members) != 0 {
		t.Error("suspicion remains after removal")
	}
}
