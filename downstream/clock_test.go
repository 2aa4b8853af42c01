package downstream

import (
	"testing"
	"time"
	"unsafe"

	"ryerill/drain"
)

// timeBeforeClockStep returns taken as if the wall clock had been stepped since: the monotonic reading is unchanged,
// and the wall time is earlier by step. The first word of a time.Time with a monotonic reading holds the wall time,
// with the seconds from bit 30 on.
func timeBeforeClockStep(t *testing.T, taken time.Time, step time.Duration) time.Time {
	t.Helper()
	word := (*uint64)(unsafe.Pointer(&taken))
	*word -= uint64(int64(step/time.Second)) << 30
	behind := time.Now().Round(0).Sub(taken.Round(0))
	if off := behind - step; off < -time.Minute || off > time.Minute || time.Since(taken).Abs() > time.Minute {
		t.Fatalf("wall clock step %v: got a wall time %v before now and a monotonic age of %v", step, behind, time.Since(taken))
	}
	return taken
}

// A wall clock step must not change the phase of a shutdown or drain, nor the eviction rank of a connection.
func TestWallClockStepDoesNotAffectShutdown(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second} {
		began := timeBeforeClockStep(t, time.Now(), step)
		s := &Server{stoppedAt: began, killDelay: 2 * time.Second, shutdown: drain.Shutdown(2 * time.Second)}
		if got, want := s.phase(), s.shutdown.At(0); got != want {
			t.Errorf("wall clock step %v: got shutdown phase %+v, want %+v", step, got, want)
		}
		if left := s.limitRemaining(2 * time.Second); left != 2*time.Second {
			t.Errorf("wall clock step %v: got remaining time %v, want 2s", step, left)
		}
		if kill := time.Until(s.beforeKillLocked(time.Now().Add(time.Minute))); kill < time.Second || kill > 2*time.Second {
			t.Errorf("wall clock step %v: got a kill in %v, want 1s to 2s", step, kill)
		}
		s = &Server{drainSince: began}
		if got, want := s.phase(), drain.Manual().At(0); got != want {
			t.Errorf("wall clock step %v: got drain phase %+v, want %+v", step, got, want)
		}
		c := &conn{state: stateIdle, hasRequested: true, stateSince: began}
		if rank := c.evictionRank(time.Now()); rank != rankRecentlyUsed {
			t.Errorf("wall clock step %v: got eviction rank %d, want rankRecentlyUsed", step, rank)
		}
	}
}
