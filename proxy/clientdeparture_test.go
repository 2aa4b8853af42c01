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

// noAttemptAfter is how long after its client has left a request may still get a new attempt.
const noAttemptAfter = 100 * time.Millisecond

// clientDepartures are the ways in which a client ends its connection.
var clientDepartures = map[string]func(net.Conn){
	"closes":        func(c net.Conn) { c.Close() },
	"resets":        func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
	"ends its side": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
}

// extraBytes are the bytes that a client has sent after its request before it leaves.
var extraBytes = map[string]string{
	"nothing": "", "a byte": "x", "a request": request("read", 10_000), "5 KiB": strings.Repeat("x", 5<<10),
}

// noticeDelay is the time from the client's departure until an attempt is due. With extra bytes the proxy checks the
// connection right before the attempt; without, a pending read has to return first.
func noticeDelay(more string) time.Duration {
	if more == "" {
		return noAttemptAfter / 2
	}
	return noAttemptAfter / 20
}

// forEachDeparture runs a subtest for each combination of clientDepartures and extraBytes.
func forEachDeparture(t *testing.T, leave func(t *testing.T, depart func(net.Conn), more string)) {
	for name, depart := range clientDepartures {
		for what, more := range extraBytes {
			t.Run(fmt.Sprint(name, ", ", what, " after the request"), func(t *testing.T) {
				t.Parallel()
				leave(t, depart, more)
			})
		}
	}
}

// A request that an endpoint rejects right after its client has left is not sent to another endpoint.
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
	var left, last atomic.Int64 // when the client left, and when the last attempt arrived
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
		cfg.Pools[0].Settings.Balancer.Limits.AllowCancel = false // else the first attempt ends with the client
	}, x.endpoint("x", 1), y.endpoint("y", 1))
	c := dial(t, p.Address())
	if more == extraBytes["a request"] {
		more = strings.Replace(more, "read", "other", 2) // an unknown class
	}
	_, _ = io.WriteString(c, request(class, 10_000)+more)
	waitUntil(t, "the first attempt", func() bool { return attempts.Load() == 1 })
	depart(c.Conn)
	left.Store(time.Now().UnixNano())
	time.Sleep(noticeDelay(more))
	close(reject)
	waitUntil(t, "the end of the request", func() bool { return p.counters.inFlight.Load() == 0 })
	time.Sleep(noAttemptAfter)
	if n := attempts.Load(); n != 1 {
		t.Errorf("got %d attempts, the last one %v after the client left; want 1", n, time.Duration(last.Load()-left.Load()))
	}
}

// A request that is queued behind another one of its key is not sent once its client has left.
func TestQueuedRequestIsNotSentAfterClientLeaves(t *testing.T) {
	t.Parallel()
	forEachDeparture(t, func(t *testing.T, depart func(net.Conn), more string) {
		s := newStageTest(t, "ordered", nil)
		defer s.close()
		first := dial(t, s.p.Address())
		_, _ = io.WriteString(first, s.requestText("hang", "&k=1"))
		s.awaitArrival()
		s.write(s.requestText("serve", "&k=1") + more)
		waitUntil(t, "two requests accepted", func() bool { return s.p.counters.inFlight.Load() == 2 })
		depart(s.c.Conn)
		time.Sleep(noticeDelay(more))
		s.releaseEndpoints() // the first request ends, and the second one is due
		if resp, err := http.ReadResponse(first.r, nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("first request: got response %v, error %v; want 200", resp, err)
		}
		waitUntil(t, "the end of both requests", func() bool { return s.p.counters.inFlight.Load() == 0 })
		time.Sleep(noAttemptAfter / 2)
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.received) != 1 {
			t.Errorf("got requests %v at endpoints, want the first one only", s.received)
		}
	})
}
