package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"ryerill/internal/buffer"
)

// Guards against a watch that a service forgets while its last answer is decoded on a busy machine: what changes between
// that answer and the next call counts as told at once, and the next call comes too late to learn of it.
func TestWatchGoesOnInTimeAfterALongListOnABusyMachine(t *testing.T) {
	const (
		continueWithin = 200 * time.Millisecond // from the last byte of an answer to the next call
		processors     = 2
		busy           = 16 // goroutines beside the watch that never wait
	)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(processors))
	var done atomic.Bool
	defer done.Store(true)
	for range busy {
		go func() {
			for !done.Load() { // burns a processor's time
			}
		}()
	}
	text := wholeListOf(t, maxListed)
	address, calls := listenForCalls(t)
	client := NewClient(t.Context(), address, EndpointList{}, new(buffer.Pool), make(recorder, 8))
	client.Subscribe(true)
	conn := <-calls
	requests := bufio.NewReader(conn)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text); err != nil {
		t.Fatal(err)
	}
	written := time.Now()
	if _, err := http.ReadRequest(requests); err != nil {
		t.Fatal(err)
	}
	if late := time.Since(written); late > continueWithin {
		t.Errorf("the next call came %v after the last byte of the answer, want %v", late, continueWithin)
	}
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
