package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"ryerill/internal/buffer"
)

// recorder is a Listener that sends each notification as a text.
type recorder chan string

func (c recorder) EndpointsListed(l EndpointList) { c <- fmt.Sprint("list ", l.Index) }
func (c recorder) EndpointsWithdrawn(Withdrawals) {}
func (c recorder) ListingFailed(err error)        { c <- "failed" }

// A watch continues after each answer, over the same connection while that is open. A failed call ends it until the
// next Subscribe.
func TestWatchContinuesUntilFailure(t *testing.T) {
	answers := make(chan func(http.ResponseWriter))
	type call struct{ query, from string }
	calls := make(chan call, 8)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- call{r.URL.RawQuery, r.RemoteAddr}
		select {
		case answer := <-answers:
			answer(w)
		case <-r.Context().Done():
			calls <- call{query: "left"}
		}
	}))
	defer server.Close()
	notifications := make(recorder, 8)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := NewClient(ctx, server.Listener.Addr().String(), EndpointList{}, new(buffer.Pool), notifications)
	const list = `{"index":%d,"snapshot":%v,"endpoints":[{"name":"s","status":"Gone"}]}`
	says := func(index int, whole bool) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { fmt.Fprintf(w, list, index, whole) }
	}
	closes := func(w http.ResponseWriter) { w.Header().Set("Connection", "close"); fmt.Fprintf(w, list, 6, false) }
	fails := func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
	cut := func(w http.ResponseWriter) { w.Header().Set("Content-Length", "999"); io.WriteString(w, `{"index":7`) }

	before := ""
	for i, step := range []struct {
		query  string
		answer func(http.ResponseWriter)
		same   bool // on the connection of the previous call
		want   string
	}{
		{"", says(5, true), false, "list 5"}, // no list is known: the full list is requested
		{"since=5&timeout_ms=2000", closes, true, "list 6"},
		{"since=6&timeout_ms=2000", fails, false, "failed"},
		{"since=6&timeout_ms=2000", cut, false, ""}, // the call is repeated at once
		{"since=6&timeout_ms=2000", cut, false, "failed"},
		{"since=6&timeout_ms=2000", says(3, false), false, "failed"}, // changes of another history
		{"", says(3, true), false, "list 3"},
		{"since=3&timeout_ms=2000", says(0, true), true, "list 0"},
		{"since=0&timeout_ms=2000", says(0, false), true, "list 0"}, // 0 is a valid version
	} {
		c.Subscribe(true) // no effect while the watch is running
		var got call
		select {
		case got = <-calls:
		case <-time.After(20 * time.Second):
			t.Fatalf("step %d: no call within 20s", i)
		}
		if got.query != step.query || (got.from == before) != step.same {
			t.Errorf("step %d: got unexpected call %+v after a call from %s", i, got, before)
		}
		before = got.from
		answers <- step.answer
		if step.want == "" {
			continue
		}
		if text := <-notifications; text != step.want {
			t.Errorf("step %d: got unexpected notification %q", i, text)
		}
		if step.want == "failed" {
			for running := true; running; { // until the failed watch has ended
				c.mu.Lock()
				running = c.current.watch != nil
				c.mu.Unlock()
			}
		}
	}
	<-calls
	c.Subscribe(false)
	if got := <-calls; got.query != "left" || len(notifications) > 0 {
		t.Errorf("after the end of the watch: got call %+v, want a cancelled one and no notification", got)
	}
}

// After SetAddress the watch moves to the new service once the call in flight has been answered, and requests changes
// since version 0 whatever version it held. If the new service rejects the call, as it may while all clients move, the
// old service is watched until the new watch is established, so that no drain is missed. After the first answer of the
// new service the old one can only withdraw endpoints, and once the new watch is established the old one is not
// notified at all: an outdated list would otherwise replace the new one after a reload.
func TestWatchMovesToNewAddress(t *testing.T) {
	type call struct {
		query string
		w     http.ResponseWriter
		done  chan struct{}
	}
	serve := func() (string, chan call, chan struct{}) {
		calls, closed := make(chan call, 8), make(chan struct{}, 8)
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c := call{r.URL.RawQuery, w, make(chan struct{})}
			calls <- c
			select {
			case <-c.done:
			case <-r.Context().Done():
			}
		}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				closed <- struct{}{}
			}
		}
		server.Start()
		t.Cleanup(server.Close)
		return server.Listener.Addr().String(), calls, closed
	}
	next := func(calls chan call, query string) call {
		t.Helper()
		select {
		case c := <-calls:
			if c.query != query {
				t.Fatalf("got query %q, want %q", c.query, query)
			}
			return c
		case <-time.After(20 * time.Second):
			t.Fatal("no call within 20s")
			return call{}
		}
	}
	answer := func(c call, text string) { io.WriteString(c.w, text); close(c.done) }
	old, oldCalls, oldClosed := serve()
	fresh, freshCalls, _ := serve()
	notifications := make(recorder, 8)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := NewClient(ctx, old, EndpointList{Index: 41, Snapshot: true}, new(buffer.Pool), notifications)
	c.Subscribe(true)
	waiting := next(oldCalls, "since=41&timeout_ms=2000")
	c.SetAddress(old) // an unchanged address has no effect
	c.SetAddress(fresh)
	fails := func(c call) {
		t.Helper()
		c.w.WriteHeader(http.StatusServiceUnavailable)
		close(c.done)
		if text := <-notifications; text != "failed" {
			t.Errorf("got notification %q, want \"failed\"", text)
		}
	}
	expectNotification := func(when, want string) {
		t.Helper()
		if text := <-notifications; text != want {
			t.Errorf("%s: got unexpected notification %q", when, text)
		}
	}
	time.Sleep(50 * time.Millisecond)
	if len(freshCalls) > 0 {
		t.Error("the new service is called while a call to the old one is in flight")
	}
	answer(waiting, `{"index":42,"snapshot":false,"endpoints":[{"name":"s","status":"Gone"}]}`)
	answered := time.Now()
	expectNotification("before the answer of the new service", "list 42")
	crowded := next(freshCalls, "since=0&timeout_ms=2000")
	if took := time.Since(answered); took > 150*time.Millisecond {
		t.Errorf("next call of the watch %v after its last answer, want at most 150ms", took)
	}
	if len(oldCalls) > 0 {
		t.Error("the old service is called while a call to the new one is in flight")
	}
	fails(crowded)
	waiting = next(oldCalls, "since=42&timeout_ms=2000")
	c.Subscribe(true) // as the balancer does after its pause
	answer(waiting, `{"index":43,"snapshot":false,"endpoints":[{"name":"q","status":"Gone"}]}`)
	expectNotification("while the new service rejects calls", "list 43")
	answer(next(freshCalls, "since=0&timeout_ms=2000"), `{"index":3,"snapshot":true,"endpoints":[]}`)
	expectNotification("first list of the new service", "list 3")
	fails(next(freshCalls, "since=3&timeout_ms=2000"))
	waiting = next(oldCalls, "since=43&timeout_ms=2000")
	answer(waiting, `{"index":44,"snapshot":true,"endpoints":[{"name":"r","address":"127.0.0.1:1","status":"Ready"}]}`)
	waiting = next(oldCalls, "since=44&timeout_ms=2000") // the list before withdrew nothing
	answer(waiting, `{"index":45,"snapshot":true,"endpoints":[]}`)
	expectNotification("before the new watch is established", "list 3") // r is withdrawn
	waiting = next(oldCalls, "since=45&timeout_ms=2000")
	c.Subscribe(true)
	answer(waiting, `{"index":45,"snapshot":false,"endpoints":[]}`)
	if len(oldClosed) > 0 {
		t.Error("the connection to the old service is closed before the new watch is established")
	}
	began := time.Now()
	answer(next(freshCalls, "since=3&timeout_ms=2000"), `{"index":3,"snapshot":false,"endpoints":[]}`)
	expectNotification("second list of the new watch", "list 3")
	await(t, oldClosed)
	if took := time.Since(began); took > time.Second {
		t.Errorf("the connection to the old service was closed after %v, want at most 1s", took)
	}
	fails(next(freshCalls, "since=3&timeout_ms=2000"))
	time.Sleep(50 * time.Millisecond)
	if len(oldCalls) > 0 {
		t.Error("the old service is called after the new watch was established")
	}
	c.SetAddress(old) // while no watch is running: it has failed, and restarts only later
	next(oldCalls, "since=0&timeout_ms=2000")
	if len(oldCalls)+len(freshCalls)+len(notifications) > 0 {
		t.Errorf("got %d more calls to the old service, %d to the new one and %d more notifications, want none", len(oldCalls), len(freshCalls), len(notifications))
	}
}

// A service that is silent when it is replaced delays the watch of the next service by at most the wait of its call,
// and its watch then ends.
func TestSilentServiceDoesNotDelayMove(t *testing.T) {
	silent, silentCalls := listenForCalls(t)
	next, nextCalls := listenForCalls(t)
	known := EndpointList{Index: 41, Snapshot: true}
	c := NewClient(t.Context(), silent, known, new(buffer.Pool), make(recorder, 8))
	c.Subscribe(true)
	old := <-silentCalls
	began := time.Now()
	c.SetAddress(next)
	select {
	case <-nextCalls:
	case <-time.After(20 * time.Second):
		t.Fatal("no call to the next service within 20s")
	}
	if took := time.Since(began); took > watchWait+maxTurnDelay+time.Second {
		t.Errorf("first call to the next service after %v, want at most watchWait+maxTurnDelay+1s", took)
	}
	old.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := old.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got error %v from the connection to the silent service, want a closed connection", err)
	}
}

// If the first answer of a new service is not its full list, that is requested separately from the watch, and again
// after a pause if the call fails or returns a list older than the watch's: a rejected request for the list hides no
// change.
func TestFullListIsRequestedBesideWatch(t *testing.T) {
	type call struct {
		query  string
		answer chan string
	}
	calls := make(chan call, 8)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := call{r.URL.RawQuery, make(chan string, 1)}
		calls <- c
		select {
		case text := <-c.answer:
			if text == "" {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			io.WriteString(w, text)
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	// next returns the answer channel of the next call with a query: "" for the full list, or that of the watch.
	var waiting []call
	next := func(query string) chan string {
		t.Helper()
		for {
			if i := slices.IndexFunc(waiting, func(c call) bool { return c.query == query }); i >= 0 {
				found := waiting[i].answer
				waiting = slices.Delete(waiting, i, i+1)
				return found
			}
			select {
			case c := <-calls:
				waiting = append(waiting, c)
			case <-time.After(20 * time.Second):
				t.Fatalf("no call with query %q, unanswered calls: %v", query, waiting)
			}
		}
	}
	notifications := make(recorder, 8)
	expectNotification := func(want string) {
		t.Helper()
		if text := <-notifications; text != want {
			t.Errorf("got notification %q, want %q", text, want)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	known := EndpointList{Index: 41, Snapshot: true}
	c := NewClient(ctx, "127.0.0.1:1", known, new(buffer.Pool), notifications)
	c.timing.listPause = 20 * time.Millisecond
	c.Subscribe(true)
	expectNotification("failed")
	c.SetAddress(server.Listener.Addr().String())
	next("since=0&timeout_ms=2000") <- `{"index":5,"snapshot":false,"endpoints":[{"name":"s","status":"Gone"}]}`
	expectNotification("list 5")
	standing := next("since=5&timeout_ms=2000")
	next("") <- "" // rejected
	standing <- `{"index":6,"snapshot":false,"endpoints":[{"name":"r","status":"Gone"}]}`
	expectNotification("list 6")
	standing = next("since=6&timeout_ms=2000")
	next("") <- `{"index":5,"snapshot":true,"endpoints":[]}` // older than the last change
	next("") <- `{"index":6,"snapshot":true,"endpoints":[]}`
	expectNotification("list 6")
	standing <- `{"index":7,"snapshot":false,"endpoints":[]}`
	expectNotification("list 7")
	next("since=7&timeout_ms=2000")
	if len(calls)+len(waiting)+len(notifications) > 0 {
		t.Errorf("got %d more calls and %d more notifications, want none", len(calls)+len(waiting), len(notifications))
	}
}

// A list withdraws the entries that are not ready, and the ready endpoints that a full list leaves out.
func TestListWithdrawsEndpoints(t *testing.T) {
	ready := func(names ...string) (list []Endpoint) {
		for _, name := range names {
			list = append(list, Endpoint{Name: name, Status: Ready})
		}
		return list
	}
	s := new(source)
	for i, step := range []struct {
		list EndpointList
		want string
	}{
		{EndpointList{Snapshot: true, Endpoints: ready("a", "b", "c", "d")}, "[]"},
		{EndpointList{Endpoints: []Endpoint{{Name: "a", Status: Terminating}}}, "[a Terminating]"},
		{EndpointList{Snapshot: true, Endpoints: ready("b", "c", "e")}, "[d Gone]"}, // a was not ready
		{EndpointList{Endpoints: append(ready("f"), Endpoint{Name: "b", Status: Gone})}, "[b Gone]"},
		{EndpointList{Endpoints: ready("b")}, "[]"},
		{EndpointList{Snapshot: true, Endpoints: append(ready("c", "e", "f"), Endpoint{Name: "b", Status: Terminating})}, "[b Terminating]"},
	} {
		got := []string{}
		for _, entry := range s.apply(step.list) {
			got = append(got, entry.Name+" "+entry.Status)
		}
		if fmt.Sprint(got) != step.want {
			t.Errorf("step %d: got withdrawn entries %v, want %v", i, got, step.want)
		}
	}
}

// Failures of a replaced service are not notified. The watch of a service that is replaced before its first answer
// ends at once, and the service before it continues to be watched.
func TestReplacedServiceFailsSilently(t *testing.T) {
	services := make([]string, 3)
	calls := make([]chan net.Conn, 3)
	for i := range services {
		services[i], calls[i] = listenForCalls(t)
	}
	list := func(index int) string {
		text := fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[]}`, index)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
	notifications := make(recorder, 8)
	expectNotification := func(want string) {
		t.Helper()
		if text := <-notifications; text != want {
			t.Fatalf("got notification %q, want %q", text, want)
		}
	}
	c := NewClient(t.Context(), services[0], EndpointList{}, new(buffer.Pool), notifications)
	c.Subscribe(true)
	first := <-calls[0]
	io.WriteString(first, list(1))
	expectNotification("list 1")
	c.SetAddress(services[1])
	io.WriteString(first, list(2))
	expectNotification("list 2")
	second := <-calls[1]
	time.Sleep(100 * time.Millisecond) // until the old watch waits for its turn, as the next one
	c.SetAddress(services[2])
	second.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := second.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got error %v from the connection to the service that never answered, want a closed connection", err)
	}
	io.WriteString(first, list(3)) // answers a call made after the second watch ended
	expectNotification("list 3")
	third := <-calls[2]
	first.Close()
	time.Sleep(100 * time.Millisecond)
	io.WriteString(third, list(7))
	expectNotification("list 7")
	if len(notifications) > 0 {
		t.Errorf("got an additional notification %q, want none", <-notifications)
	}
}

// A second listener that joins gets all later notifications. The watch ends when the last listener leaves, and Join
// fails after that.
func TestListenersShareAWatch(t *testing.T) {
	address, calls := listenForCalls(t)
	first, second := make(recorder, 8), make(recorder, 8)
	c := NewClient(t.Context(), address, EndpointList{}, new(buffer.Pool), first)
	c.Subscribe(true)
	conn := <-calls
	begun := false
	if !c.Join(second, func() { begun = true }) || !begun {
		t.Fatal("Join failed or did not call its function")
	}
	text := `{"index":1,"snapshot":true,"endpoints":[]}`
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	for _, notified := range []recorder{first, second} {
		if got := <-notified; got != "list 1" {
			t.Errorf("got notification %q, want \"list 1\"", got)
		}
	}
	c.Leave(first)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	if got := <-second; got != "list 1" || len(first) > 0 {
		t.Errorf("after one listener left: the other got notification %q, want \"list 1\"; it got %d, want 0", got, len(first))
	}
	c.Leave(second)
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the watch continues without a listener")
	}
	if c.Join(first, func() { t.Error("Join called its function on a client that has ended") }) {
		t.Error("Join succeeded on a client that has ended")
	}
}

func await(t *testing.T, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("not done within 20s")
	}
}

// A discovery service that accepts a watch and sends nothing is noticed long before a change that it had to report
// takes effect.
func TestSilentServiceIsDetected(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer server.Close()
	notifications := make(recorder, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	NewClient(ctx, server.Listener.Addr().String(), EndpointList{Snapshot: true}, new(buffer.Pool), notifications).Subscribe(true)
	select {
	case text := <-notifications:
		if text != "failed" {
			t.Errorf("got notification %q, want \"failed\"", text)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no notification within 20s")
	}
}

// A full list of 7,000 endpoints is accepted: ten times the largest fleet.
func TestLargeListIsAccepted(t *testing.T) {
	var list EndpointList
	list.Snapshot, list.Index = true, 1
	for i := range 7000 {
		list.Endpoints = append(list.Endpoints, Endpoint{Name: fmt.Sprintf("s-%08x", i), Address: "127.0.0.1:10000", Zone: "surabaya",
			Type: "ledger-small", Group: i / 4, Status: Ready, Weight: 1, SinceMS: 1_700_000_000_000})
	}
	text, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write(text) }))
	defer server.Close()
	c := NewClient(t.Context(), server.Listener.Addr().String(), EndpointList{}, new(buffer.Pool), nil)
	l := c.newConnection(c.currentSource())
	defer l.close()
	got, err := c.get(t.Context(), l, fullListCall)
	if err != nil || len(got.Endpoints) != 7000 {
		t.Fatalf("list of %d bytes: got %d endpoints, error %v, want 7000 endpoints", len(text), len(got.Endpoints), err)
	}
}

// The watch of an agent continues by itself: after a rejection, a broken connection and silence it calls again in less
// than the time in which a drain must take effect, over any number of failures, and notifies the first in a row.
func TestAgentWatchContinuesAfterFailures(t *testing.T) {
	asked, answers := make(chan time.Time), make(chan string)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case asked <- time.Now():
		case <-r.Context().Done():
			return
		}
		switch text := <-answers; text {
		case "fails":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "breaks":
			panic(http.ErrAbortHandler)
		case "silent":
			<-r.Context().Done()
		default:
			io.WriteString(w, text)
		}
	}))
	defer server.Close()
	notifications := make(recorder, 8)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := NewAgentClient(ctx, server.Listener.Addr().String(), EndpointList{}, new(buffer.Pool), notifications)
	c.Subscribe(true) // no effect: the watch is running
	within := (agentWatchWait + agentAnswerTimeout + agentMaxPause).Milliseconds()
	for i, step := range []struct{ answer, want string }{
		{`{"index":5,"snapshot":true,"endpoints":[]}`, "list 5"},
		{"fails", "failed"}, {"breaks", ""}, {"silent", ""}, {"fails", ""}, {"fails", ""},
		{`{"index":6,"snapshot":false,"endpoints":[]}`, "list 6"},
		{"breaks", "failed"},
		{`{"index":2,"snapshot":true,"endpoints":[]}`, "list 2"},
	} {
		began := time.Now()
		select {
		case at := <-asked:
			if took := at.Sub(began).Milliseconds(); took > 2*within {
				t.Errorf("step %d: next call after %d ms, want at most 2*(agentWatchWait+agentAnswerTimeout+agentMaxPause)", i, took)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("step %d: no call within 20s", i)
		}
		answers <- step.answer
		if step.want == "" {
			continue
		}
		if text := <-notifications; text != step.want {
			t.Errorf("step %d: got notification %q, want %q", i, text, step.want)
		}
	}
	if len(notifications) > 0 {
		t.Errorf("got an additional notification %q, want none", <-notifications)
	}
}
