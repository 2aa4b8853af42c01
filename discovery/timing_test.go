package discovery

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ryerill/internal/buffer"
)

// fullListOf returns the text of a full list of count endpoints.
func fullListOf(t testing.TB, count int) []byte {
	t.Helper()
	list := EndpointList{Index: 8, Snapshot: true, Endpoints: []Endpoint{}}
	for i := range count {
		list.Endpoints = append(list.Endpoints, Endpoint{
			Name:    fmt.Sprintf("endpoint-%05d", i),
			Address: fmt.Sprintf("127.77.%d.%d:7070", i/200, i%200),
			Zone:    "a",
			Status:  Ready,
			Weight:  1,
		})
	}
	text, err := json.MarshalIndent(list, "", "    ")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// A full list from a service or an agent is read for as long as it arrives at the required pace. An answer that
// pauses or stays slower is given up, so that another call can get the list.
func TestFullListMayTakeLongAtRequiredPace(t *testing.T) {
	const size = 3200
	text := fullListOf(t, size)
	for _, tc := range []struct {
		name   string
		piece  int           // bytes
		pause  time.Duration // after each piece
		stalls bool          // after the first piece
		want   string
		within time.Duration
	}{
		{"at once", len(text), 0, false, "list 8", time.Second},
		{"in 3 s", len(text)/30 + 1, 100 * time.Millisecond, false, "list 8", 5 * time.Second},
		{"in 6 s", len(text)/60 + 1, 100 * time.Millisecond, false, "list 8", 8 * time.Second},
		{"pauses", len(text) / 2, 0, true, "failed", 2 * time.Second},
		{"crawls", 1, 50 * time.Millisecond, false, "failed", answerGrace + time.Second},
	} {
		for _, agent := range []bool{false, true} {
			t.Run(fmt.Sprint(tc.name, ", agent ", agent), func(t *testing.T) {
				if tc.pause > 0 || tc.stalls { // the other cases parse the list at once and need the CPU
					t.Parallel()
				}
				notified := make(recorder, 8)
				called := make(chan net.Conn, 8)
				startClientOf(t, agent, notified, called)
				conn := <-called
				began := time.Now()
				go func() {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(text))
					for rest := text; len(rest) > 0; {
						piece := rest[:min(tc.piece, len(rest))]
						if _, err := conn.Write(piece); err != nil || tc.stalls {
							return
						}
						rest = rest[len(piece):]
						time.Sleep(tc.pause)
					}
				}()
				if got := <-notified; got != tc.want {
					t.Errorf("got notification %q, want %q", got, tc.want)
				}
				if took := time.Since(began); took > tc.within {
					t.Errorf("notified after %v, want at most %v", took, tc.within)
				}
			})
		}
	}
}

// A service that needs longer for a full list than an answer may take gets more time in the next call, instead of
// being called in vain forever.
func TestSlowServiceGetsMoreTime(t *testing.T) {
	for _, agent := range []bool{false, true} {
		t.Run(fmt.Sprint("agent ", agent), func(t *testing.T) {
			t.Parallel()
			timing := serviceTiming
			if agent {
				timing = agentTiming
			}
			notified := make(recorder, 64)
			called := make(chan net.Conn, 8)
			client := startClientOf(t, agent, notified, called)
			text := fullListOf(t, 1)
			deadline := time.After(10 * time.Second)
			for {
				select {
				case conn := <-called:
					time.AfterFunc(timing.answer*3/2, func() {
						fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
					})
				case got := <-notified:
					if got == "list 8" {
						return
					}
					client.Subscribe(true) // as the balancer does after its pause
				case <-deadline:
					t.Fatal("no list within 10s")
				}
			}
		})
	}
}

// startClientOf starts a client without a list. It sends each connection of the client to called after the first call
// on it.
func startClientOf(t *testing.T, agent bool, notified recorder, called chan<- net.Conn) *Client {
	t.Helper()
	address, calls := listenForCalls(t)
	go func() {
		for conn := range calls {
			go io.Copy(io.Discard, conn)
			called <- conn
		}
	}()
	if agent {
		return NewAgentClient(t.Context(), address, EndpointList{}, new(buffer.Pool), notified)
	}
	client := NewClient(t.Context(), address, EndpointList{}, new(buffer.Pool), notified)
	client.Subscribe(true)
	return client
}

// listenForCalls listens like a service and sends each connection to calls after the first call on it.
func listenForCalls(t *testing.T) (address string, calls chan net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	calls = make(chan net.Conn, 8)
	go func() {
		defer close(calls)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				calls <- conn
			}
		}
	}()
	return l.Addr().String(), calls
}
