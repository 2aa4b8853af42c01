package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// What was seen: an attempt that was sent for a client that had left 0.3 s before. How it came about: the read that
// watches the client failed for lack of memory at the very moment at which the client left, and was made again and again;
// meanwhile the first endpoint closed its connection, and the request was sent to the second one. Cause: before an attempt
// the client is only asked after where no read watches it, and a read that fails watches nothing. What proved it: without
// the rule of the fault plan the request reaches one endpoint, with it two.
func TestNothingIsSentForAClientWhoseReadsFail(t *testing.T) {
	program := build(t)
	laboratory := buildLaboratory(t)
	for name, more := range map[string]string{
		"reads fail":           "",
		"reads and polls fail": "{call: ppoll, error: ENOMEM}",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			leaveWhileReadsFail(t, program, laboratory, more)
		})
	}
}

// leaveWhileReadsFail has a client leave while its endpoint, and the reads that watch it, fail.
func leaveWhileReadsFail(t *testing.T, program, laboratory, rules string) {
	const (
		asked     = 1300 * time.Millisecond // since the program is begun, as are the others
		readsFail = 2500 * time.Millisecond
		left      = 3500 * time.Millisecond
		released  = 4000 * time.Millisecond // the endpoint closes its connection
	)
	var began time.Time
	var mu sync.Mutex
	var attempts []time.Duration
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		attempts = append(attempts, time.Since(began))
		mu.Unlock()
		time.Sleep(time.Until(began.Add(released)))
		panic(http.ErrAbortHandler) // ends the connection without a response
	}))
	t.Cleanup(endpoint.Close)
	address := endpoint.Listener.Addr().String()
	plan := fmt.Sprintf("rules: [{call: read, descriptor: client, error: ENOMEM, from: %v, until: 7s}, %s]", readsFail, rules)
	settings := outageConfiguration(t, []string{address, address}, outageDeadline)
	cmd, record := underFaults(t, program, laboratory, settings, plan)
	began = time.Now()
	proxy, _, _ := serving(t, cmd)
	askAndLeave(t, proxy, began.Add(asked), began.Add(left))
	time.Sleep(time.Until(began.Add(released + time.Second)))
	mu.Lock()
	defer mu.Unlock()
	if len(attempts) != 1 {
		t.Errorf("%d attempts, at %v; the client left at %v", len(attempts), attempts, left)
	}
	if len(injections(t, record)) == 0 {
		t.Error("no call has failed: the test shows nothing")
	}
}

// What was seen: a request that reached its endpoint 0.8 s after its client had left. How it came about: the write of the
// request failed for lack of buffers and was made again until it worked. Cause: whether the client is there is asked
// before the first write alone. What proved it: the time at which the endpoint receives the request.
func TestNothingIsSentForAClientThatLeavesWhileWritesFail(t *testing.T) {
	program := build(t)
	laboratory := buildLaboratory(t)
	for name, change := range map[string]func(settings string) string{
		"attempts may be cancelled": func(settings string) string { return settings },
		"they may not": func(settings string) string {
			return strings.Replace(settings, `"MayCancel":true`, `"MayCancel":false`, 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			leaveWhileWritesFail(t, program, laboratory, change)
		})
	}
}

// leaveWhileWritesFail has a client leave while its request can't be written to the endpoint.
func leaveWhileWritesFail(t *testing.T, program, laboratory string, change func(settings string) string) {
	const (
		asked = 1300 * time.Millisecond // since the program's start, as are the others
		left  = 1700 * time.Millisecond
		works = 2500 * time.Millisecond // a write to an endpoint
	)
	var attempts atomic.Int64
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { attempts.Add(1) }))
	t.Cleanup(endpoint.Close)
	rule := "{call: %s, descriptor: endpoint, error: ENOBUFS, until: %v}"
	plan := fmt.Sprintf("rules: ["+rule+", "+rule+"]", "writev", works, "write", works)
	settings := change(configuration("127.0.0.1:0", endpoint.Listener.Addr().String()))
	cmd, record := underFaults(t, program, laboratory, settings, plan)
	began := time.Now()
	proxy, _, _ := serving(t, cmd)
	askAndLeave(t, proxy, began.Add(asked), began.Add(left))
	time.Sleep(time.Until(began.Add(works + time.Second)))
	if n := attempts.Load(); n != 0 {
		t.Errorf("%d requests have reached the endpoint, of a client that left long before", n)
	}
	if len(injections(t, record)) == 0 {
		t.Error("no call has failed: the test shows nothing")
	}
}

// askAndLeave asks one request of a proxy at a time, and closes its connection at another, without waiting for a response.
func askAndLeave(t *testing.T, proxy string, asked, left time.Time) {
	t.Helper()
	conn, err := net.Dial("tcp", proxy)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(asked))
	if _, err := io.WriteString(conn, ask()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(left))
	conn.Close()
}
