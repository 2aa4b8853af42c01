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

// A step of the wall clock changes no deadline: the endpoint is told the time that is left, the response is awaited, and
// an idle connection is used again.
func TestStepsOfTheWallClockDuringAnAttempt(t *testing.T) {
	told := make(chan string, 2)
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		told <- r.Header.Get(http1.HeaderDeadline)
		_, _ = io.WriteString(w, "ok")
	}))
	defer endpoint.Close()
	for _, step := range []time.Duration{time.Hour, -time.Hour, 30 * time.Second, -30 * time.Second} {
		p := NewPool(newDescriptors(1), time.Minute, 5*time.Second, new(buffer.Pool))
		for _, state := range []string{"new", "idle"} {
			a := newCall(endpoint.Listener.Addr().String())
			a.Deadline = takenBeforeStep(t, time.Now(), step).Add(20 * time.Second)
			a.WriteDeadline = a.Deadline
			if outcome, _ := p.Do(a); outcome != balancer.OK {
				t.Errorf("step of %v, %s connection: %v", step, state, outcome)
				continue
			}
			if left, err := strconv.Atoi(<-told); err != nil || left < 10_000 || left > 20_000 {
				t.Errorf("step of %v, %s connection: told of %d ms, %v", step, state, left, err)
			}
			for _, idle := range p.idle {
				idle[0].idleSince = takenBeforeStep(t, idle[0].idleSince, step)
				if !idle[0].isUsable(p.maxIdle) {
					t.Errorf("step of %v: an idle connection is not used again", step)
				}
			}
		}
		p.Close()
	}
}
