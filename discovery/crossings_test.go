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
	const head, list = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", `{"index":8,"snapshot":true,"endpoints":[{"name":"s","address":"127.0.0.1:1","status":"Terminating"}]}`
	says := func(text string) string { return fmt.Sprintf(head, len(text), text) }
	ends := func(c *net.TCPConn) { c.CloseWrite() }
	resets := func(c *net.TCPConn) { c.SetLinger(0); c.Close() }
	stays := func(*net.TCPConn) {}
	for _, tc := range []struct {
		name, text string
		then       func(*net.TCPConn)
		whole      bool
	}{
		{"whole", says(list), stays, true},
		{"whole, and closes", says(list), ends, true},
		{"indented", says("{\n  \"index\": 8,\n\t\"snapshot\": true,\r\n  \"endpoints\": [\n  ]\n}\n"), stays, true},
		{"nothing changed", says(`{"index":7,"snapshot":false,"endpoints":[]}`), stays, true},
		{"of an earlier version, whole", says(`{"index":3,"snapshot":true,"endpoints":[]}`), stays, true},
		{"of an earlier version, changes", says(`{"index":3,"snapshot":false,"endpoints":[]}`), stays, false},
		{"silent", "", stays, false},
		{"silent in its head", "HTTP/1.1 200 OK\r\nCont", stays, false},
		{"silent in its body", says(list)[:90], stays, false},
		{"ended", "", ends, false},
		{"reset", "", resets, false},
		{"ended in its head", "HTTP/1.1 200 OK\r\nCont", ends, false},
		{"ended in its body", says(list)[:90], ends, false},
		{"reset in its body", says(list)[:90], resets, false},
		{"ended in a body of no length", "HTTP/1.1 200 OK\r\n\r\n" + list[:60], ends, false},
		{"ended in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n99\r\n" + list[:60], ends, false},
		{"empty", says(""), stays, false},
		{"no list", says("null"), stays, false},
		{"no endpoints", says(`{"index":8,"snapshot":true}`), stays, false},
		{"two lists", says(list + list), stays, false},
		{"down", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", stays, false},
		{"not HTTP", "hello\r\n\r\n", stays, false},
	} {
		for _, agent := range []bool{false, true} {
			t.Run(fmt.Sprint(tc.name, ", agent ", agent), func(t *testing.T) {
				t.Parallel()
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer l.Close()
				conns := make(chan net.Conn, 8)
				go func() {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						conns <- c
					}
				}()
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
				first := (<-conns).(*net.TCPConn)
				defer first.Close()
				r := bufio.NewReader(first)
				if _, err := http.ReadRequest(r); err != nil {
					t.Fatal(err)
				}
				began := time.Now()
				io.WriteString(first, tc.text)
				tc.then(first)
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
				if _, err := http.ReadRequest(bufio.NewReader(next)); err != nil {
					t.Fatal(err)
				}
				io.WriteString(next, says(list))
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
	peer := func() (string, chan net.Conn, func()) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		conns := make(chan net.Conn, 8)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				http.ReadRequest(bufio.NewReader(c))
				conns <- c
			}
		}()
		return l.Addr().String(), conns, func() { l.Close() }
	}
	says := func(c net.Conn, index int) {
		text := fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[]}`, index)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
	for _, early := range []bool{true, false} { // the old discovery services' answers come before the last move, or after
		a, fromA, endA := peer()
		b, fromB, endB := peer()
		notifications := make(recorder, 8)
		ctx, cancel := context.WithCancel(t.Context())
		c := NewClient(ctx, a, EndpointList{}, new(buffer.Pool), notifications)
		c.Subscribe(true)
		first := <-fromA
		c.SetAddress(b)
		second := <-fromB
		if early {
			says(second, 2)
			if text := <-notifications; text != "list 2" {
				t.Errorf("notified of %q", text)
			}
		}
		c.SetAddress(a)
		says(first, 1)
		if !early {
			says(second, 2)
		}
		third := <-fromA
		says(third, 3)
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
		endA()
		endB()
	}
	if err := goleak.Find(leaks); err != nil {
		t.Error(err)
	}
}
