package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"

	"ryerill/internal/buffer"
)

// A truncated or invalid answer is a failed call and never a partial list. The list in the answer to the next call is
// notified in full: over another connection, in time for drains, for a discovery service and for an agent alike.
func TestBrokenAnswers(t *testing.T) {
	const list = `{"index":8,"snapshot":true,"endpoints":[{"name":"s","address":"127.0.0.1:1","status":"Terminating"}]}`
	ends := func(c *net.TCPConn) { c.CloseWrite() }
	stays := func(*net.TCPConn) {}
	for _, tc := range []struct {
		name, text string
		then       func(*net.TCPConn)
		whole      bool
		repeated   bool // a service is called again at once
	}{
		{"whole", okResponse(list), stays, true, false},
		{"whole, and closes", okResponse(list), ends, true, false},
		{"indented", okResponse("{\n  \"index\": 8,\n\t\"snapshot\": true,\r\n  \"endpoints\": [\n  ]\n}\n"), stays, true, false},
		{"nothing changed", okResponse(`{"index":7,"snapshot":false,"endpoints":[]}`), stays, true, false},
		{"of an earlier version, whole", okResponse(`{"index":3,"snapshot":true,"endpoints":[]}`), stays, true, false},
		{"of an earlier version, changes", okResponse(`{"index":3,"snapshot":false,"endpoints":[]}`), stays, false, false},
		{"silent", "", stays, false, false},
		{"silent in its head", "HTTP/1.1 200 OK\r\nCont", stays, false, false},
		{"silent in its body", okResponse(list)[:90], stays, false, false},
		{"ended", "", ends, false, false},
		{"reset", "", reset, false, false},
		{"ended in its head", "HTTP/1.1 200 OK\r\nCont", ends, false, true},
		{"ended in its body", okResponse(list)[:90], ends, false, true},
		{"reset in its body", okResponse(list)[:90], reset, false, true},
		{"ended in a body of no length", "HTTP/1.1 200 OK\r\n\r\n" + list[:60], ends, false, true},
		{"ended in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n99\r\n" + list[:60], ends, false, true},
		{"empty", okResponse(""), stays, false, false},
		{"no list", okResponse("null"), stays, false, false},
		{"no endpoints", okResponse(`{"index":8,"snapshot":true}`), stays, false, false},
		{"two lists", okResponse(list + list), stays, false, false},
		{"down", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", stays, false, false},
		{"not HTTP", "hello\r\n\r\n", stays, false, false},
	} {
		for _, agent := range []bool{false, true} {
			t.Run(fmt.Sprint(tc.name, ", agent ", agent), func(t *testing.T) {
				t.Parallel()
				l, conns := acceptConnections(t)
				notifications := make(recorder, 8)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				known := EndpointList{Index: 7, Snapshot: true}
				var c *Client
				if agent {
					c = NewAgentClient(ctx, l.Addr().String(), known, new(buffer.Pool), notifications)
				} else {
					c = NewClient(ctx, l.Addr().String(), known, new(buffer.Pool), notifications)
					c.Subscribe(true)
				}
				began := time.Now()
				first := <-conns
				defer first.Close()
				answerCall(t, first, tc.text)
				tc.then(first)
				if tc.repeated && !agent {
					second := <-conns
					defer second.Close()
					answerCall(t, second, tc.text)
					tc.then(second)
				}
				text := <-notifications
				if (text != "failed") != tc.whole {
					t.Fatalf("got unexpected notification %q", text)
				}
				if took := time.Since(began); took > watchWait+answerTimeout+time.Second {
					t.Errorf("notified after %v, want at most watchWait+answerTimeout+1s", took)
				}
				if tc.whole {
					return
				}
				if _, err := first.Read(make([]byte, 1)); tc.text == "" && err == nil {
					t.Error("the broken connection was used again")
				}
				c.mu.Lock()
				running := c.current.watch != nil
				c.mu.Unlock()
				if running != agent {
					t.Errorf("watch running after the failure: got %v, want true for an agent only", running)
				}
				c.Subscribe(true) // as the balancer does after its pause
				next := <-conns
				defer next.Close()
				answerCall(t, next, okResponse(list))
				if text := <-notifications; text != "list 8" {
					t.Errorf("after the next call: got notification %q, want \"list 8\"", text)
				}
			})
		}
	}
}

// Two changes of address while a call is in flight, in any order with its answer: after the second change only lists
// of the last service are notified, and one watch remains.
func TestConsecutiveMoves(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	called := func(conns <-chan *net.TCPConn) *net.TCPConn {
		c := <-conns
		answerCall(t, c, "")
		return c
	}
	list := func(index int) string {
		return okResponse(fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[]}`, index))
	}
	for _, early := range []bool{true, false} { // the answers of the old services arrive before the last change of address, or after it
		a, toA := acceptConnections(t)
		b, toB := acceptConnections(t)
		notifications := make(recorder, 8)
		ctx, cancel := context.WithCancel(t.Context())
		c := NewClient(ctx, a.Addr().String(), EndpointList{}, new(buffer.Pool), notifications)
		c.Subscribe(true)
		first := called(toA)
		c.SetAddress(b.Addr().String())
		second := called(toB)
		if early {
			io.WriteString(second, list(2))
			if text := <-notifications; text != "list 2" {
				t.Errorf("got notification %q, want \"list 2\"", text)
			}
		}
		c.SetAddress(a.Addr().String())
		io.WriteString(first, list(1))
		if !early {
			io.WriteString(second, list(2))
		}
		third := called(toA)
		io.WriteString(third, list(3))
		if text := <-notifications; text != "list 3" {
			t.Errorf("early %v: got notification %q, want \"list 3\"", early, text)
		}
		if len(notifications) > 0 {
			t.Errorf("early %v: got an additional notification %q, want none", early, <-notifications)
		}
		cancel()
		for _, c := range []net.Conn{first, second, third} {
			io.Copy(io.Discard, c) // until the client has closed it
			c.Close()
		}
		a.Close()
		b.Close()
	}
	if err := goleak.Find(leaks); err != nil {
		t.Error(err)
	}
}

// A watch whose connection breaks during an answer or shortly after one continues at once over another connection, so
// that the service considers it continued. It does so once per complete answer, and not if the service has let the
// call wait.
func TestWatchContinuesOnNewConnection(t *testing.T) {
	const answer = `{"index":8,"snapshot":true,"endpoints":[]}`
	for _, tc := range []struct {
		name     string
		breaks   func(*net.TCPConn)
		answered string // answer to the second call
		after    time.Duration
		goesOn   bool
	}{
		{"reset", reset, "", 0, true},
		{"ended", func(c *net.TCPConn) { c.Close() }, "", 0, true},
		{"reset in an answer", reset, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{", 0, true},
		{"reset while the call waits", reset, "", 2 * maxContinuationDelay, false},
		{"rejected", func(*net.TCPConn) {}, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			l, conns := acceptConnections(t)
			notifications := make(recorder, 8)
			c := NewClient(t.Context(), l.Addr().String(), EndpointList{}, new(buffer.Pool), notifications)
			c.Subscribe(true)
			first := <-conns
			answerCall(t, first, okResponse(answer))
			if text := <-notifications; text != "list 8" {
				t.Fatalf("got notification %q, want \"list 8\"", text)
			}
			time.Sleep(tc.after)
			if tc.answered != "" {
				answerCall(t, first, tc.answered)
			}
			tc.breaks(first)
			if !tc.goesOn {
				if text := <-notifications; text != "failed" {
					t.Errorf("got notification %q, want \"failed\"", text)
				}
				return
			}
			select {
			case next := <-conns:
				request := answerCall(t, next, "")
				if since := request.URL.Query().Get("since"); since != "8" {
					t.Errorf("got call %s, want since=8", request.URL)
				}
				tc.breaks(next)
			case text := <-notifications:
				t.Fatalf("got notification %q, want a call", text)
			}
			if text := <-notifications; text != "failed" {
				t.Errorf("after a second break: got notification %q, want \"failed\"", text)
			}
		})
	}
}

// answerCall reads a call from a connection and writes an answer.
func answerCall(t *testing.T, c net.Conn, answer string) *http.Request {
	t.Helper()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, answer)
	return request
}

// okResponse returns a response of status 200 with a body.
func okResponse(text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

// acceptConnections returns a listener and the connections that it accepts.
func acceptConnections(t *testing.T) (net.Listener, <-chan *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	conns := make(chan *net.TCPConn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c.(*net.TCPConn)
		}
	}()
	return l, conns
}
