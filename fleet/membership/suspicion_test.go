package membership

import (
	"testing"
	"time"
)

// The more members confirm a suspicion, the earlier it times out, between its bounds.
func TestConfirmationsShortenSuspicion(t *testing.T) {
	for _, tc := range []struct {
		name      string
		needed    int
		reporters []string
		earliest  time.Duration
		latest    time.Duration
	}{
		{"nobody confirmed", 2, []string{"a"}, 61 * time.Second, 61 * time.Second},
		{"one confirmed", 2, []string{"a", "b"}, 12 * time.Second, 60 * time.Second},
		{"all that count confirmed", 2, []string{"a", "b", "c"}, 11 * time.Second, 11 * time.Second},
		{"more than count confirmed", 2, []string{"a", "b", "c", "d"}, 11 * time.Second, 11 * time.Second},
		{"nobody could confirm", 0, []string{"a"}, 21 * time.Second, 21 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := suspicion{
				startedAt: time.Second, min: 10 * time.Second, max: 60 * time.Second,
				neededConfirmations: tc.needed, reporters: tc.reporters,
			}
			if end := s.timeoutAt(); end < tc.earliest || end > tc.latest {
				t.Errorf("times out at %v, want %v to %v", end, tc.earliest, tc.latest)
			}
		})
	}
}

// Each reporter counts once, and none beyond those that are needed.
func TestReporterConfirmsOnce(t *testing.T) {
	s := suspicion{neededConfirmations: 2, reporters: []string{"a"}}
	for _, tc := range []struct {
		reporter string
		counts   bool
	}{{"a", false}, {"b", true}, {"b", false}, {"c", true}, {"d", false}} {
		if got := s.confirm(tc.reporter); got != tc.counts {
			t.Errorf("reporter %s: %v, want %v", tc.reporter, got, tc.counts)
		}
	}
}

// Time in which this member received nothing is given back, also during the last chance.
func TestPostponedSuspicionsTimeOutLater(t *testing.T) {
	suspects := suspectList{nextTimeout: never}
	suspects.postpone(time.Second)
	if suspects.nextTimeout != never {
		t.Errorf("without a suspicion one times out at %v", suspects.nextTimeout)
	}
	m := &member{}
	suspects.add(m, &suspicion{min: time.Second, lastChanceUntil: 3 * time.Second})
	end := m.suspicion.timeoutAt()
	suspects.postpone(time.Second)
	if got := m.suspicion.timeoutAt(); got != end+time.Second || suspects.nextTimeout != got {
		t.Errorf("times out at %v, looked at %v, was %v", got, suspects.nextTimeout, end)
	}
	if m.suspicion.lastChanceUntil != 4*time.Second {
		t.Errorf("the last chance lasts until %v", m.suspicion.lastChanceUntil)
	}
	suspects.remove(m)
	if m.suspicion != nil || len(suspects.members) != 0 {
		t.Error("a removed suspicion is left")
	}
}
