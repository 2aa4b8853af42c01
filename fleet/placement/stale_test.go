package placement

import (
	"testing"
	"time"
)

// StaleFor is set once the silence exceeds lossWindow, and reset by the next message. It stays 0 for a replica that is
// alone or has received no message yet.
func TestStaleFor(t *testing.T) {
	heardAt := func(at time.Duration, others ...string) Snapshot {
		s := snapshotOf(0, others...)
		for i := range s.Members {
			s.Members[i].LastHeard = at
		}
		return s
	}
	for name, tc := range map[string]struct {
		snapshot Snapshot
		now      time.Duration
		want     time.Duration
	}{
		"messages arrive": {heardAt(time.Minute, "+b", "+c"), time.Minute + lossWindow, 0},
		"silence":         {heardAt(time.Minute, "+b", "+c"), time.Minute + 2*lossWindow, 2 * lossWindow},
		"all dead":        {heardAt(time.Minute, "-b", "-c"), 2 * time.Minute, time.Minute},
		"never heard":     {heardAt(-1, "+b"), time.Hour, 0},
		"alone":           {heardAt(time.Minute), time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := New(nil)
			tracker.Update(tc.now, tc.snapshot)
			if got := tracker.Position("main").StaleFor; got != tc.want {
				t.Errorf("got StaleFor %v, want %v", got, tc.want)
			}
		})
	}
	tracker := New(nil)
	tracker.Update(time.Hour, heardAt(time.Minute, "+b"))
	if tracker.Update(time.Hour+time.Second, heardAt(time.Minute, "+b")) {
		t.Error("Update with only a longer silence: got changed true, want false")
	}
	tracker.Update(time.Hour+2*time.Second, heardAt(time.Hour, "+b"))
	if got := tracker.Position("main").StaleFor; got != 0 {
		t.Errorf("after a message: got StaleFor %v, want 0", got)
	}
}
