package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ryerill/internal/http1"
)

// The time that an endpoint is told is what the client has left when the attempt is written: for the first and for a
// repeat.
func TestEachAttemptGetsRemainingTime(t *testing.T) {
	t.Parallel()
	const (
		waits = 5 * time.Second
		delay = 700 * time.Millisecond // of the first attempt's response
		slack = 150 * time.Millisecond
	)
	for _, tc := range []struct {
		name, class string
	}{{"safe", "read"}, {"keyed", "pay"}, {"unsafe", "burn"}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var asked, attempts atomic.Int64 // asked: when the client sent its request
			behave := func(c net.Conn, r *http.Request) {
				left := waits - time.Duration(time.Now().UnixNano()-asked.Load())
				told, err := strconv.Atoi(r.Header.Get(http1.HeaderDeadline))
				if err != nil || time.Duration(told)*time.Millisecond > left+slack || told < 1 {
					t.Errorf("attempt %d is told of %d ms, the client has %v left: %v", attempts.Load()+1, told, left, err)
				}
				if attempts.Add(1) < 2 {
					time.Sleep(delay)
					_, _ = io.WriteString(c, "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
					return
				}
				_, _ = io.WriteString(c, okay)
			}
			x, y := newBackend(t, behave), newBackend(t, behave)
			client := dial(t, start(t, nil, x.endpoint("x", 1), y.endpoint("y", 1)))
			text := request(tc.class, int(waits.Milliseconds()))
			asked.Store(time.Now().UnixNano())
			if status, _ := client.ask(text); status != http.StatusOK || attempts.Load() != 2 {
				t.Errorf("answered %d after %d attempts", status, attempts.Load())
			}
		})
	}
}

// A request that streams is told what its client waits for from its last byte on, not the time that its upload may take.
func TestStreamedRequestGetsRemainingTime(t *testing.T) {
	t.Parallel()
	const waits = 5 * time.Second
	told := make(chan string, 1)
	b := newBackend(t, func(c net.Conn, r *http.Request) {
		told <- r.Header.Get(http1.HeaderDeadline)
		_, _ = io.WriteString(c, okay)
	})
	body := strings.Repeat("x", 200<<10)
	head, _, _ := strings.Cut(request("burn", int(waits.Milliseconds())), "Content-Length")
	client := dial(t, start(t, nil, b.endpoint("s1", 1)))
	status, _ := client.ask(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
	if status != http.StatusOK {
		t.Fatalf("answered %d", status)
	}
	ms, err := strconv.Atoi(<-told)
	if err != nil || ms < 1 || time.Duration(ms)*time.Millisecond > waits {
		t.Errorf("told of %d ms, the client waits %v: %v", ms, waits, err)
	}
}
