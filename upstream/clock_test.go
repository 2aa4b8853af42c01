package upstream

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"
	"unsafe"

	"ryerill/balancer"
	"ryerill/internal/buffer"
	"ryerill/internal/http1"
)

// shiftWallClock returns the time taken as it would read if the wall clock had stepped forward since: the monotonic
// reading is unchanged, and the wall time lags by step. The first word of a time.Time with a monotonic reading holds
// its wall time, in seconds from bit 30 on.
func shiftWallClock(t *testing.T, taken time.Time, step time.Duration) time.Time {
	t.Helper()
	word := (*uint64)(unsafe.Pointer(&taken))
	*word -= uint64(int64(step/time.Second)) << 30
	lag := time.Now().Round(0).Sub(taken.Round(0))
	if off := lag - step; off < -time.Minute || off > time.Minute || time.Since(taken).Abs() > time.Minute {
		t.Fatalf("step of %v: wall time lags by %v, monotonic time by %v, want the step and about 0", step, lag, time.Since(taken))
	}
	return taken
}

// A step of the wall clock changes no deadline: the announced time left is right, the attempt succeeds, and an idle
// connection is reused.
func TestDoIgnoresWallClockSteps(t *testing.T) {
	announced := make(chan string, 2)
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		announced <- r.Header.Get(http1.HeaderDeadline)
		_, _ = io.WriteString(w, "ok")
	}))
	defer endpoint.Close()
	for _, step := range []time.Duration{time.Hour, -time.Hour, 30 * time.Second, -30 * time.Second} {
		p := NewPool(newConnectionBudget(1), time.Minute, 5*time.Second, new(buffer.Pool))
		for _, state := range []string{"new", "idle"} {
			a := newAttempt(endpoint.Listener.Addr().String())
			a.Deadline = shiftWallClock(t, time.Now(), step).Add(20 * time.Second)
			a.WriteDeadline = a.Deadline
			if outcome, _ := p.Do(a); outcome != balancer.OK {
				t.Errorf("step of %v, %s connection: got outcome %v, want OK", step, state, outcome)
				continue
			}
			if left, err := strconv.Atoi(<-announced); err != nil || left < 10_000 || left > 20_000 {
				t.Errorf("step of %v, %s connection: announced time left is %d ms (error %v), want 10000 to 20000", step, state, left, err)
			}
			for _, idle := range p.idle {
				idle[0].idleSince = shiftWallClock(t, idle[0].idleSince, step)
				if !idle[0].isUsable(p.maxIdle) {
					t.Errorf("step of %v: idle connection is not usable, want usable", step)
				}
			}
		}
		p.Close()
	}
}
