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

// Each attempt, first or retry, states the time that the client has left when the attempt is written.
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
			var sentAt, attempts atomic.Int64 // sentAt: when the client sent its request
			behave := func(c net.Conn, r *http.Request) {
				left := waits - time.Duration(time.Now().UnixNano()-sentAt.Load())
				stated, err := strconv.Atoi(r.Header.Get(http1.HeaderDeadline))
				if err != nil || time.Duration(stated)*time.Millisecond > left+slack || stated < 1 {
					t.Errorf("attempt %d states a deadline of %d ms, client has %v left: %v", attempts.Load()+1, stated, left, err)
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
			sentAt.Store(time.Now().UnixNano())
			if status, _ := client.ask(text); status != http.StatusOK || attempts.Load() != 2 {
				t.Errorf("got status %d after %d attempts, want 200 after 2", status, attempts.Load())
			}
		})
	}
}

// A streamed request states the time that its client waits after the last byte, without the time allowed for the upload.
func TestStreamedRequestGetsRemainingTime(t *testing.T) {
	t.Parallel()
	const waits = 5 * time.Second
	stated := make(chan string, 1)
	b := newBackend(t, func(c net.Conn, r *http.Request) {
		stated <- r.Header.Get(http1.HeaderDeadline)
		_, _ = io.WriteString(c, okay)
	})
	body := strings.Repeat("x", 200<<10)
	head, _, _ := strings.Cut(request("burn", int(waits.Milliseconds())), "Content-Length")
	client := dial(t, start(t, nil, b.endpoint("s1", 1)))
	status, _ := client.ask(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
	if status != http.StatusOK {
		t.Fatalf("got status %d, want 200", status)
	}
	ms, err := strconv.Atoi(<-stated)
	if err != nil || ms < 1 || time.Duration(ms)*time.Millisecond > waits {
		t.Errorf("got deadline of %d ms, want 1 ms to %v: %v", ms, waits, err)
	}
}
