package downstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"ryerill/drain"
	"ryerill/internal/buffer"
	"ryerill/message"
)

// awaitShutdown waits until the shutdown began the given time ago.
func awaitShutdown(s *Server, ago time.Duration) {
	for begun := false; !begun; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		begun = !s.stoppedAt.IsZero() && time.Since(s.stoppedAt) >= ago
		s.mu.Unlock()
	}
}

var killedPlans = map[string]func(time.Duration) drain.Plan{
	"without successor": drain.Shutdown,
	"with successor":    func(time.Duration) drain.Plan { return drain.Handover() },
}

// A client may use a resting connection as long as it stays open. One that outlasted 0.7 s from the stop signal took
// requests whose long responses were cut off by the kill.
func TestIdleConnectionsEndBeforeLateRequests(t *testing.T) {
	for name, plan := range killedPlans {
		t.Run(name, func(t *testing.T) {
			h := newHeldService(time.Minute)
			h.plan = plan
			s, stop := startServer(t, h, 64)
			used, r := connect(t, s.Address())
			send(t, used, get(1, ""))
			receiveFrom(t, h.accepted, "the request")
			h.serve(1)
			expectOK(t, r)
			unused, unusedReader := connect(t, s.Address())
			time.Sleep(newConnectionGrace)
			stop()
			awaitShutdown(s, 0)
			if _, err := r.Peek(1); err != io.EOF {
				t.Errorf("used connection: got %v, want EOF", err)
			}
			if _, err := unusedReader.Peek(1); err != io.EOF {
				t.Errorf("unused connection: got %v, want EOF", err)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if after := time.Since(s.stoppedAt); after > killGrace {
				t.Errorf("idle connections ended %v after the stop signal, want at most %v", after, killGrace)
			}
			used.Close()
			unused.Close()
		})
	}
}

// A request that is received late, because its client writes slowly, gets a final answer before the kill: a long
// response was begun for it and cut off. A request received in time, and a short response, are not affected.
func TestLateRequestGetsNoLongResponse(t *testing.T) {
	long := strings.Repeat("y", 1<<20)
	upload := fmt.Sprintf("POST /burn HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\nContent-Length: %d\r\n\r\n", 100<<10) + long[:100<<10]
	for _, tc := range []struct {
		name, text string
		sentAfter  time.Duration // of the text's last byte, from the stop signal
		streamed   bool          // the response
		status     int
	}{
		{"request in time", get(1, ""), 0, true, http.StatusOK},
		{"late request", get(1, ""), lateAfter, true, http.StatusBadGateway},
		{"late request, short response", get(1, ""), lateAfter, false, http.StatusOK},
		{"upload in time", upload, 0, true, http.StatusOK},
		{"upload that ends late", upload, lateAfter, true, http.StatusBadGateway},
	} {
		for name, plan := range killedPlans {
			t.Run(tc.name+" "+name, func(t *testing.T) {
				h := newHeldService(time.Minute)
				h.plan = plan
				s, stop := startServer(t, h, 64)
				c, r := connect(t, s.Address())
				send(t, c, tc.text[:len(tc.text)-1])
				time.Sleep(10 * time.Millisecond) // until they have been read
				stop()
				awaitShutdown(s, tc.sentAfter)
				send(t, c, tc.text[len(tc.text)-1:])
				request := receiveFrom(t, h.accepted, "the request")
				if stream := request.Outgoing.Stream; stream != nil {
					if _, err := io.Copy(io.Discard, stream); err != nil {
						t.Fatal(err)
					}
				}
				awaitShutdown(s, tc.sentAfter+lateAfter)
				response := &message.Response{Body: new(buffer.Body)}
				if tc.streamed {
					response.Stream = io.NopCloser(strings.NewReader(long))
					response.Length = int64(len(long))
				}
				h.markEnded(1)
				request.Reply(message.Result{Kind: message.Served, Response: response})
				resp, err := http.ReadResponse(r, nil)
				if err != nil || resp.StatusCode != tc.status || !resp.Close {
					t.Fatalf("got response %v, error %v, want status %d and a close", resp, err, tc.status)
				}
				body, err := io.ReadAll(resp.Body)
				if whole := tc.streamed && tc.status == http.StatusOK; err != nil || whole && len(body) != len(long) {
					t.Errorf("got %d bytes, error %v, want the whole response", len(body), err)
				}
			})
		}
	}
}

// outageListener accepts nothing from its queue until the outage ends.
type outageListener struct {
	clientListener
	ends time.Time
}

func (l outageListener) Next() (int, error) {
	if time.Now().Before(l.ends) {
		return -1, syscall.ENFILE
	}
	return l.clientListener.Next()
}

// Accepting fails for longer than a new connection is waited for. The connections in the listener's queue, of clients
// whose old ones the shutdown has closed, were reset at 1.05 s although there was time to answer them.
func TestQueuedConnectionsOutlastAnOutage(t *testing.T) {
	service := newHeldService(time.Minute)
	service.plan = func(time.Duration) drain.Plan {
		return drain.Plan{CloseIdle: drain.Handover().CloseIdle, Reject: drain.Never}
	}
	server, err := Listen("127.0.0.1:0", 64, false, new(buffer.Pool))
	if err != nil {
		t.Fatal(err)
	}
	server.listener = outageListener{server.listener, time.Now().Add(3 * newConnectionGrace)}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, service) }()
	awaitShutdown(server, 0)
	c, r := connect(t, server.Address())
	send(t, c, get(1, ""))
	receiveFrom(t, service.accepted, "the request")
	service.serve(1)
	expectOK(t, r)
	c.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
}
