package downstream

import (
	"testing"
	"time"
	"unsafe"

	"ryerill/drain"
)

// takenBeforeStep is a time that was taken before the machine's wall clock stepped: its monotonic reading is as it was,
// and its wall time is behind that of today by the step. The first word of a time.Time with a monotonic reading holds
// its wall time, seconds from bit 30 on.
func takenBeforeStep(t *testing.T, taken time.Time, step time.Duration) time.Time {
	t.Helper()
	word := (*uint64)(unsafe.Pointer(&taken))
	*word -= uint64(int64(step/time.Second)) << 30
	behind := time.Now().Round(0).Sub(taken.Round(0))
	if off := behind - step; off < -time.Minute || off > time.Minute || time.Since(taken).Abs() > time.Minute {
		t.Fatalf("a step of %v makes a time that is %v behind, %v ago", step, behind, time.Since(taken))
	}
	return taken
}

// A step of the wall clock neither shortens nor prolongs a shutdown or a drain, and evicts no connection.
func TestStepsOfTheWallClockDuringAShutdown(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second} {
		began := takenBeforeStep(t, time.Now(), step)
		s := &Server{stoppedAt: began, killDelay: 2 * time.Second, shutdown: drain.Shutdown(2 * time.Second)}
		if got, want := s.phase(), s.shutdown.At(0); got != want {
			t.Errorf("step of %v: the shutdown is at %+v, not %+v", step, got, want)
		}
		if left := s.limitRemaining(2 * time.Second); left != 2*time.Second {
			t.Errorf("step of %v: a request has %v", step, left)
		}
		if kill := time.Until(s.beforeKillLocked(time.Now().Add(time.Minute))); kill < time.Second || kill > 2*time.Second {
			t.Errorf("step of %v: the kill is %v away", step, kill)
		}
		s = &Server{drainSince: began}
		if got, want := s.phase(), drain.Manual().At(0); got != want {
			t.Errorf("step of %v: the drain is at %+v, not %+v", step, got, want)
		}
		c := &conn{state: stateIdle, hasRequested: true, stateSince: began}
		if rank := c.evictionRank(time.Now()); rank != rankRecentlyUsed {
			t.Errorf("step of %v: eviction rank %d", step, rank)
		}
	}
}
