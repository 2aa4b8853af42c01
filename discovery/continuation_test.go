package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"ryerill/internal/buffer"
)

// blockingListener blocks the decoding of a list at the first endpoint that the list withdraws.
type blockingListener struct {
	recorder
	withdrawn chan struct{} // receives a value for each withdrawn endpoint
	released  chan struct{} // closed to unblock the decoding
}

// EndpointsWithdrawn implements [Listener].
func (l blockingListener) EndpointsWithdrawn(Withdrawals) {
	l.withdrawn <- struct{}{}
	<-l.released
}

// severalBlocks is a number of endpoints that fill several blocks of readSize and are decoded soon.
const severalBlocks = 1000

// knownBefore is the list that precedes that of longListOf.
var knownBefore = EndpointList{
	Index:     7,
	Snapshot:  true,
	Endpoints: []Endpoint{{Name: "endpoint-00000", Status: Ready}},
}

// longListOf returns a list of count endpoints: the first is withdrawn, the others are ready.
func longListOf(t *testing.T, count int) []byte {
	t.Helper()
	return bytes.Replace(fullListOf(t, count), []byte(`"Ready"`), []byte(`"Terminating"`), 1)
}

// Guards against a watch that a service forgets while its last answer is decoded: a change between that answer and the
// next call binds the proxy at once, and the next call is too late to report it.
func TestWatchContinuesBeforeLongListIsDecoded(t *testing.T) {
	const continueWithin = 200 * time.Millisecond // from the last byte of an answer to the next call
	listener := blockingListener{make(recorder, 8), make(chan struct{}, 8), make(chan struct{})}
	text := okResponse(string(longListOf(t, maxListed))) // prepared before the call, whose answer has to begin in time
	address, calls := listenForCalls(t)
	client := NewClient(t.Context(), address, knownBefore, new(buffer.Pool), listener)
	client.Subscribe(true)
	conn := <-calls
	requests := bufio.NewReader(conn)
	conn.SetWriteDeadline(time.Now().Add(10 * time.Second)) // the write blocks if the list is read no faster than it is decoded
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	conn.SetReadDeadline(time.Now().Add(continueWithin))
	request, err := http.ReadRequest(requests)
	if err != nil {
		t.Fatalf("no call within %v after the last byte of the answer: %v", continueWithin, err)
	}
	if got, want := request.URL.RawQuery, "since=8&timeout_ms=2000"; got != want {
		t.Errorf("got query %q, want %q", got, want)
	}
	<-listener.withdrawn
	// An answer that arrives while the list is being decoded is kept, even after the time in which it had to begin.
	io.WriteString(conn, okResponse(`{"index":9,"snapshot":false,"endpoints":[]}`))
	time.Sleep(watchWait + answerTimeout)
	close(listener.released)
	for _, want := range []string{"list 8", "list 9"} {
		if text := <-listener.recorder; text != want {
			t.Errorf("got notification %q, want %q", text, want)
		}
	}
}

// Guards against an early call that is sent for an invalid list: its answer would be taken for that of another call.
func TestEarlyCallForInvalidListIsDiscarded(t *testing.T) {
	text := string(longListOf(t, severalBlocks))
	for name, wrong := range map[string]string{
		"entry without a name": strings.Replace(text, "endpoint-00999", "", 1),
		"text after it":        text + "1",
		"two versions":         strings.TrimSuffix(text, "}") + `,"index":9}`,
	} {
		t.Run(name, func(t *testing.T) {
			notifications := make(recorder, 8)
			address, calls := listenForCalls(t)
			client := NewClient(t.Context(), address, EndpointList{}, new(buffer.Pool), notifications)
			client.Subscribe(true)
			conn := <-calls
			if _, err := io.WriteString(conn, okResponse(wrong)); err != nil {
				t.Fatal(err)
			}
			notification := <-notifications
			if name == "two versions" && notification != "list 9" || name != "two versions" && notification != "failed" {
				t.Errorf("got notification %q", notification)
			}
			conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			if _, err := io.Copy(io.Discard, conn); err != nil && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("got error %v, want a closed connection", err)
			}
		})
	}
}

// Guards against a change of address that drops an early call: the watch moves after that call has been answered.
func TestMoveWaitsForEarlyCall(t *testing.T) {
	listener := blockingListener{make(recorder, 8), make(chan struct{}, 8), make(chan struct{})}
	address, calls := listenForCalls(t)
	newAddress, newCalls := listenForCalls(t)
	client := NewClient(t.Context(), address, knownBefore, new(buffer.Pool), listener)
	client.Subscribe(true)
	conn := <-calls
	if _, err := io.WriteString(conn, okResponse(string(longListOf(t, severalBlocks)))); err != nil {
		t.Fatal(err)
	}
	close(listener.released)
	if text := <-listener.recorder; text != "list 8" {
		t.Fatalf("got notification %q, want \"list 8\"", text)
	}
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		t.Fatal(err)
	}
	client.SetAddress(newAddress)
	select {
	case <-newCalls:
		t.Error("the new service is called while a call to the previous one is in flight")
	case <-time.After(watchWait / 4):
	}
	io.WriteString(conn, okResponse(`{"index":9,"snapshot":false,"endpoints":[{"name":"endpoint-00001","status":"Gone"}]}`))
	if text := <-listener.recorder; text != "list 9" {
		t.Errorf("got notification %q, want \"list 9\"", text)
	}
	<-newCalls
}

// Guards against a watch that begins 2.1 s late after a change of address: the watch of the previous service took the
// turn for another call before the new watch had begun to wait for it.
func TestNewWatchCallsBeforeReplacedOne(t *testing.T) {
	const startOfNewWatch = 50 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	replaced := &source{}
	newWatch := &watch{turnTaken: make(chan struct{})}
	client := &Client{
		timing:  serviceTiming,
		current: &source{watch: newWatch},
		turn:    newWatchTurn(),
	}
	turnOfReplaced := turnHolder{turn: client.turn}
	if !turnOfReplaced.await(ctx, nil) {
		t.Fatal("the replaced watch did not get the free turn")
	}
	began := make(chan bool, 1)
	go func() {
		time.Sleep(startOfNewWatch)
		turnOfNew := turnHolder{turn: client.turn}
		began <- turnOfNew.await(ctx, time.After(startOfNewWatch))
		close(newWatch.turnTaken)
		turnOfNew.pass()
	}()
	if !client.awaitTurn(ctx, replaced, &turnOfReplaced) {
		t.Error("the replaced watch did not get the turn again")
	}
	if !<-began {
		t.Error("the new watch did not get the turn before the replaced one")
	}
}
