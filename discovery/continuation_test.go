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

// holdingListener holds the decoding of a list up at the first endpoint that it withdraws.
type holdingListener struct {
	recorder
	withdrawn chan struct{} // gets a value at each endpoint that is withdrawn
	released  chan struct{} // ends the hold
}

// EndpointsWithdrawn implements [Listener].
func (l holdingListener) EndpointsWithdrawn(Withdrawals) {
	l.withdrawn <- struct{}{}
	<-l.released
}

// severalBlocks is how many endpoints fill a list of several blocks of readSize, and are decoded soon.
const severalBlocks = 1000

// knownBefore is the list before that of longListOf.
var knownBefore = EndpointList{
	Index:     7,
	Snapshot:  true,
	Endpoints: []Endpoint{{Name: "endpoint-00000", Status: Ready}},
}

// longListOf returns a list of so many ready endpoints behind one that it withdraws.
func longListOf(t *testing.T, count int) []byte {
	t.Helper()
	return bytes.Replace(wholeListOf(t, count), []byte(`"Ready"`), []byte(`"Terminating"`), 1)
}

// Guards against a watch that a service forgets while its last answer is decoded: what changes between that answer and
// the next call counts as told at once, and the next call comes too late to learn of it.
func TestWatchGoesOnBeforeALongListIsDecoded(t *testing.T) {
	const continueWithin = 200 * time.Millisecond // from the last byte of an answer to the next call
	listener := holdingListener{make(recorder, 8), make(chan struct{}, 8), make(chan struct{})}
	text := says(string(longListOf(t, maxListed))) // before the call: its answer has to begin in time
	address, calls := listenForCalls(t)
	client := NewClient(t.Context(), address, knownBefore, new(buffer.Pool), listener)
	client.Subscribe(true)
	conn := <-calls
	requests := bufio.NewReader(conn)
	conn.SetWriteDeadline(time.Now().Add(10 * time.Second)) // it stands still where the list is read no faster than decoded
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	conn.SetReadDeadline(time.Now().Add(continueWithin))
	request, err := http.ReadRequest(requests)
	if err != nil {
		t.Fatalf("no call within %v of the last byte of the answer: %v", continueWithin, err)
	}
	if got, want := request.URL.RawQuery, "since=8&timeout_ms=2000"; got != want {
		t.Errorf("asked for %q, want %q", got, want)
	}
	<-listener.withdrawn
	// An answer that comes while the list is being decoded is kept, beyond the time in which it had to begin, too.
	io.WriteString(conn, says(`{"index":9,"snapshot":false,"endpoints":[]}`))
	time.Sleep(watchWait + answerTimeout)
	close(listener.released)
	for _, want := range []string{"list 8", "list 9"} {
		if text := <-listener.recorder; text != want {
			t.Errorf("notified of %q, want %q", text, want)
		}
	}
}

// Guards against a call made ahead of a list that turns out to be wrong: its answer would be taken for another's.
func TestCallAheadOfAWrongListIsThrownAway(t *testing.T) {
	text := string(longListOf(t, severalBlocks))
	for name, wrong := range map[string]string{
		"entry without a name": strings.Replace(text, "endpoint-00999", "", 1),
		"text behind it":       text + "1",
		"two versions":         strings.TrimSuffix(text, "}") + `,"index":9}`,
	} {
		t.Run(name, func(t *testing.T) {
			notifications := make(recorder, 8)
			address, calls := listenForCalls(t)
			client := NewClient(t.Context(), address, EndpointList{}, new(buffer.Pool), notifications)
			client.Subscribe(true)
			conn := <-calls
			if _, err := io.WriteString(conn, says(wrong)); err != nil {
				t.Fatal(err)
			}
			heard := <-notifications
			if name == "two versions" && heard != "list 9" || name != "two versions" && heard != "failed" {
				t.Errorf("notified of %q", heard)
			}
			conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			if _, err := io.Copy(io.Discard, conn); err != nil && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the connection is kept: %v", err)
			}
		})
	}
}

// Guards against a move that drops a call made ahead: the watch moves once that call has been answered.
func TestMoveWaitsForACallMadeAhead(t *testing.T) {
	listener := holdingListener{make(recorder, 8), make(chan struct{}, 8), make(chan struct{})}
	address, calls := listenForCalls(t)
	newAddress, newCalls := listenForCalls(t)
	client := NewClient(t.Context(), address, knownBefore, new(buffer.Pool), listener)
	client.Subscribe(true)
	conn := <-calls
	if _, err := io.WriteString(conn, says(string(longListOf(t, severalBlocks)))); err != nil {
		t.Fatal(err)
	}
	close(listener.released)
	if text := <-listener.recorder; text != "list 8" {
		t.Fatalf("notified of %q", text)
	}
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		t.Fatal(err)
	}
	client.SetAddress(newAddress)
	select {
	case <-newCalls:
		t.Error("the new service is called while a call to the one before is out")
	case <-time.After(watchWait / 4):
	}
	io.WriteString(conn, says(`{"index":9,"snapshot":false,"endpoints":[{"name":"endpoint-00001","status":"Gone"}]}`))
	if text := <-listener.recorder; text != "list 9" {
		t.Errorf("notified of %q", text)
	}
	<-newCalls
}

// Guards against a watch that begins 2.1 s late after a move: the watch of the service before took the turn back for
// another call before the new watch stood in line for it.
func TestReplacedWatchLetsTheNewOneCallFirst(t *testing.T) {
	const startOfNewWatch = 50 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	replaced := &source{}
	newWatch := &watch{begins: make(chan struct{})}
	client := &Client{
		timing:  serviceTiming,
		current: &source{watch: newWatch},
		turn:    newWatchTurn(),
	}
	turnOfReplaced := turnOf{turn: client.turn}
	if !turnOfReplaced.await(ctx, nil) {
		t.Fatal("the turn is not free")
	}
	began := make(chan bool, 1)
	go func() {
		time.Sleep(startOfNewWatch)
		turnOfNew := turnOf{turn: client.turn}
		began <- turnOfNew.await(ctx, time.After(startOfNewWatch))
		close(newWatch.begins)
		turnOfNew.pass()
	}()
	if !client.awaitTurn(ctx, replaced, &turnOfReplaced) {
		t.Error("the replaced watch gets no turn again")
	}
	if !<-began {
		t.Error("the replaced watch has the turn while the new one waits for it")
	}
}
