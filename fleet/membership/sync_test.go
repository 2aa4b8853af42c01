package membership

import (
	"testing"
	"time"
)

// A synchronization starts once the view is quiet or has changed for too long, or at once if
// the queue is long, but never within the interval after the previous one.
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
			"changing for too long", syncer{lastStartedAt: 5 * time.Second},
			10 * time.Second, 0, 5*time.Second + maxSyncDelay,
		},
		{"long queue", syncer{nextAt: 2 * time.Second}, 10 * time.Second, syncBacklog, 2 * time.Second},
		{"within the interval", syncer{nextAt: 30 * time.Second}, 10 * time.Second, 0, 30 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.syncer.startAt(tc.changedAt, tc.queued); got != tc.want {
				t.Errorf("got start at %v, want %v", got, tc.want)
			}
		})
	}
}

// end accepts only the ID of the synchronization in progress.
func TestSyncEndsByID(t *testing.T) {
	rng := newRandom(1, "a")
	s := syncer{candidate: "b"}
	s.start(time.Second, 10, &rng)
	first := s.current
	s.abort()
	s.start(time.Second, 10, &rng)
	if s.end(first) {
		t.Error("end with the ID of an aborted synchronization: got true, want false")
	}
	if !s.end(s.started) || s.current != 0 {
		t.Error("end with the current ID: got false or a current synchronization, want true and none")
	}
	if s.nextAt < time.Second+minSyncInterval || s.nextAt > time.Second+2*minSyncInterval {
		t.Errorf("got next start at %v, want 1 to 2 minSyncInterval after 1 s", s.nextAt)
	}
}

// In a large fleet each member starts synchronizations less often.
func TestSyncIntervalGrowsWithFleet(t *testing.T) {
	rng := newRandom(1, "a")
	var s syncer
	s.start(0, 10*membersPerSyncInterval, &rng)
	if s.nextAt < 10*minSyncInterval {
		t.Errorf("got next start at %v, want at least 10 minSyncInterval", s.nextAt)
	}
}
