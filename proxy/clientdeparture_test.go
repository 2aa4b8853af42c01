package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ryerill/config"
)

// noAttemptAfter is how long after its client has left an attempt of a request may still begin.
const noAttemptAfter = 100 * time.Millisecond

// clientDepartures are the ways in which clients leave.
var clientDepartures = map[string]func(net.Conn){
	"closes":        func(c net.Conn) { c.Close() },
	"resets":        func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
	"ends its side": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
}

// extraBytes is what a client may have sent behind its request when it leaves.
var extraBytes = map[string]string{
	"nothing": "", "a byte": "x", "a request": request("read", 10_000), "5 KiB": strings.Repeat("x", 5<<10),
}

// noticeDelay is how long a test waits until an attempt is due. Behind bytes the client is asked right before it, else
// a read has to notice its end first.
func noticeDelay(more string) time.Duration {
	if more == "" {
		return noAttemptAfter / 2
	}
	return noAttemptAfter / 20
}

// forEachDeparture runs a test for each way to leave and each that was sent before.
func forEachDeparture(t *testing.T, leave func(t *testing.T, depart func(net.Conn), more string)) {
	for name, depart := range clientDepartures {
		for what, more := range extraBytes {
			t.Run(fmt.Sprint(name, ", ", what, " behind"), func(t *testing.T) {
				t.Parallel()
				leave(t, depart, more)
			})
		}
	}
}

// An endpoint rejects a request right after its client has left: it is not sent to another one.
func TestRejectedRequestIsNotRetriedForDepartedClient(t *testing.T) {
	t.Parallel()
	for _, class := range []string{"read", "pay", "burn"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			forEachDeparture(t, func(t *testing.T, depart func(net.Conn), more string) {
				testNoRetryAfterDeparture(t, class, depart, more)
			})
		})
	}
}

func testNoRetryAfterDeparture(t *testing.T, class string, depart func(net.Conn), more string) {
	var left, last atomic.Int64 // when the client left, and when the endpoints had their last attempt
	var attempts atomic.Int64
	reject := make(chan struct{})
	behave := func(c net.Conn, r *http.Request) {
		if r.URL.Path != "/"+class+"/7" {
			return
		}
		last.Store(time.Now().UnixNano())
		if attempts.Add(1) == 1 {
			<-reject
		}
		_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
	}
	x, y := newBackend(t, behave), newBackend(t, behave)
	p := run(t, func(cfg *config.Config) {
		cfg.Pools[0].Settings.Balancer.Limits.AllowCancel = false // or the first attempt ends with the client
	}, x.endpoint("x", 1), y.endpoint("y", 1))
	c := dial(t, p.Address())
	if more == extraBytes["a request"] {
		more = strings.Replace(more, "read", "other", 2) // none that is served
	}
	_, _ = io.WriteString(c, request(class, 10_000)+more)
	waitUntil(t, "its first attempt", func() bool { return attempts.Load() == 1 })
	depart(c.Conn)
	left.Store(time.Now().UnixNano())
	time.Sleep(noticeDelay(more))
	close(reject)
	waitUntil(t, "its end", func() bool { return p.counters.inFlight.Load() == 0 })
	time.Sleep(noAttemptAfter)
	if n := attempts.Load(); n != 1 {
		t.Errorf("%d attempts, the last one %v after the client had left", n, time.Duration(last.Load()-left.Load()))
	}
}

// A request that waits for another one of its key is not sent on once its client has left.
func TestQueuedRequestIsNotSentAfterClientLeaves(t *testing.T) {
	t.Parallel()
	forEachDeparture(t, func(t *testing.T, depart func(net.Conn), more string) {
		s := newStageTest(t, "ordered", nil)
		defer s.close()
		first := dial(t, s.p.Address())
		_, _ = io.WriteString(first, s.requestText("hang", "&k=1"))
		s.awaitArrival()
		s.write(s.requestText("serve", "&k=1") + more)
		waitUntil(t, "two accepted", func() bool { return s.p.counters.inFlight.Load() == 2 })
		depart(s.c.Conn)
		time.Sleep(noticeDelay(more))
		s.releaseEndpoints() // the first is answered, and the second's turn comes
		if resp, err := http.ReadResponse(first.r, nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("the first was answered %v, %v", resp, err)
		}
		waitUntil(t, "the end of both", func() bool { return s.p.counters.inFlight.Load() == 0 })
		time.Sleep(noAttemptAfter / 2)
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.received) != 1 {
			t.Errorf("sent on after its client had left: %v", s.received)
		}
	})
}
