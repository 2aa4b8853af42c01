package membership

import (
	"testing"
	"time"
)

// A view is synchronized once it is quiet, or has changed for long, or at once where the
// queue is long, but never before the interval after the previous one.
func TestSyncStartsOnceViewIsQuiet(t *testing.T) {
	for _, tc := range []struct {
		name      string
		syncer    syncer
		changedAt time.Duration
		queued    int
		want      time.Duration
	}{
		{
			"quiet", syncer{lastStartedAt: 9500 * time.Millisecond},
			10 * time.Second, 0, 10*time.Second + viewQuietPeriod,
		},
		{
			"changing for long", syncer{lastStartedAt: 5 * time.Second},
			10 * time.Second, 0, 5*time.Second + maxSyncDelay,
		},
		{"long queue", syncer{nextAt: 2 * time.Second}, 10 * time.Second, syncBacklog, 2 * time.Second},
		{"within the gap", syncer{nextAt: 30 * time.Second}, 10 * time.Second, 0, 30 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.syncer.startAt(tc.changedAt, tc.queued); got != tc.want {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}

// Only the synchronization under way can be ended.
func TestSyncUnderWayIsEndedById(t *testing.T) {
	rng := newRandom(1, "a")
	s := syncer{candidate: "b"}
	s.start(time.Second, 10, &rng)
	first := s.current
	s.abort()
	s.start(time.Second, 10, &rng)
	if s.end(first) {
		t.Error("the former one ends the present one")
	}
	if !s.end(s.started) || s.current != 0 {
		t.Error("the present one is not ended")
	}
	if s.nextAt < time.Second+minSyncInterval || s.nextAt > time.Second+2*minSyncInterval {
		t.Errorf("the next one may start at %v", s.nextAt)
	}
}

// In a fleet of many members each one starts synchronizations less often.
func TestSyncGapGrowsWithFleet(t *testing.T) {
	rng := newRandom(1, "a")
	var s syncer
	s.start(0, 10*membersPerSyncInterval, &rng)
	if s.nextAt < 10*minSyncInterval {
		t.Errorf("the next one may start at %v", s.nextAt)
	}
}
