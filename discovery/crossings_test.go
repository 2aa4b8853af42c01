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

// However an answer breaks off or lies, it is a failed call and never half a list, and
// the call after it is notified whole: on another connection, in time for the rule on drains,
// for a discovery service that is asked and for an agent alike.
func TestAnswersThatBreak(t *testing.T) {
	const list = `{"index":8,"snapshot":true,"endpoints":[{"name":"s","address":"127.0.0.1:1","status":"Terminating"}]}`
	ends := func(c *net.TCPConn) { c.CloseWrite() }
	stays := func(*net.TCPConn) {}
	for _, tc := range []struct {
		name, text string
		then       func(*net.TCPConn)
		whole      bool
		repeated   bool // a service is called again at once
	}{
		{"whole", says(list), stays, true, false},
		{"whole, and closes", says(list), ends, true, false},
		{"indented", says("{\n  \"index\": 8,\n\t\"snapshot\": true,\r\n  \"endpoints\": [\n  ]\n}\n"), stays, true, false},
		{"nothing changed", says(`{"index":7,"snapshot":false,"endpoints":[]}`), stays, true, false},
		{"of an earlier version, whole", says(`{"index":3,"snapshot":true,"endpoints":[]}`), stays, true, false},
		{"of an earlier version, changes", says(`{"index":3,"snapshot":false,"endpoints":[]}`), stays, false, false},
		{"silent", "", stays, false, false},
		{"silent in its head", "HTTP/1.1 200 OK\r\nCont", stays, false, false},
		{"silent in its body", says(list)[:90], stays, false, false},
		{"ended", "", ends, false, false},
		{"reset", "", reset, false, false},
		{"ended in its head", "HTTP/1.1 200 OK\r\nCont", ends, false, true},
		{"ended in its body", says(list)[:90], ends, false, true},
		{"reset in its body", says(list)[:90], reset, false, true},
		{"ended in a body of no length", "HTTP/1.1 200 OK\r\n\r\n" + list[:60], ends, false, true},
		{"ended in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n99\r\n" + list[:60], ends, false, true},
		{"empty", says(""), stays, false, false},
		{"no list", says("null"), stays, false, false},
		{"no endpoints", says(`{"index":8,"snapshot":true}`), stays, false, false},
		{"two lists", says(list + list), stays, false, false},
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
					t.Fatalf("notified of %q", text)
				}
				if took := time.Since(began); took > watchWait+answerTimeout+time.Second {
					t.Errorf("notified of after %v", took)
				}
				if tc.whole {
					return
				}
				if _, err := first.Read(make([]byte, 1)); tc.text == "" && err == nil {
					t.Error("the broken connection is used again")
				}
				c.mu.Lock()
				running := c.current.watch != nil
				c.mu.Unlock()
				if running != agent {
					t.Errorf("the watch goes on: %v", running)
				}
				c.Subscribe(true) // as the Balancer has it after its pause
				next := <-conns
				defer next.Close()
				answerCall(t, next, says(list))
				if text := <-notifications; text != "list 8" {
					t.Errorf("then notified of %q", text)
				}
			})
		}
	}
}

// Two moves in a row while a call is out, in any order with its answer: only what the
// last discovery service says is notified after the last move, and one watch is left.
func TestMovesInARow(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	called := func(conns <-chan *net.TCPConn) *net.TCPConn {
		c := <-conns
		answerCall(t, c, "")
		return c
	}
	list := func(index int) string {
		return says(fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[]}`, index))
	}
	for _, early := range []bool{true, false} { // the old discovery services' answers come before the last move, or after
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
				t.Errorf("notified of %q", text)
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
			t.Errorf("early %v: notified of %q", early, text)
		}
		if len(notifications) > 0 {
			t.Errorf("early %v: notified of %q besides", early, <-notifications)
		}
		cancel()
		for _, c := range []net.Conn{first, second, third} {
			io.Copy(io.Discard, c) // until the client has let go
			c.Close()
		}
		a.Close()
		b.Close()
	}
	if err := goleak.Find(leaks); err != nil {
		t.Error(err)
	}
}

// A watch whose connection breaks with an answer or soon after one goes on over another at once, so that the service
// sees it go on. It does so once for each whole answer, and not where the service has let the call wait.
func TestWatchOutlivesItsConnection(t *testing.T) {
	const answer = `{"index":8,"snapshot":true,"endpoints":[]}`
	for _, tc := range []struct {
		name     string
		breaks   func(*net.TCPConn)
		answered string // of the call after the first
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
			answerCall(t, first, says(answer))
			if text := <-notifications; text != "list 8" {
				t.Fatalf("notified of %q", text)
			}
			time.Sleep(tc.after)
			if tc.answered != "" {
				answerCall(t, first, tc.answered)
			}
			tc.breaks(first)
			if !tc.goesOn {
				if text := <-notifications; text != "failed" {
					t.Errorf("notified of %q", text)
				}
				return
			}
			select {
			case next := <-conns:
				request := answerCall(t, next, "")
				if since := request.URL.Query().Get("since"); since != "8" {
					t.Errorf("goes on with %s", request.URL)
				}
				tc.breaks(next)
			case text := <-notifications:
				t.Fatalf("notified of %q", text)
			}
			if text := <-notifications; text != "failed" {
				t.Errorf("notified of %q after a second break", text)
			}
		})
	}
}

// answerCall reads a call on a connection and answers it.
func answerCall(t *testing.T, c net.Conn, answer string) *http.Request {
	t.Helper()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, answer)
	return request
}

// says returns a response with a text as its body.
func says(text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

// acceptConnections returns a listener and the connections to it.
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
