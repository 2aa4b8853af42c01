package upstream

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"ryerill/balancer"
	"ryerill/internal/buffer"
	"ryerill/reuse"
)

// recordCommonResponses records many common responses, so that the pool accepts repeated ones: the test endpoints send
// the same response to every request.
func recordCommonResponses(p *Pool) {
	for digest := range reuse.Digest(100) {
		p.policy.Responses.Record(digest, 0)
		p.policy.Responses.Record(digest, 1)
	}
}

// waitMinRest waits until idle connections may be reused.
func waitMinRest() { time.Sleep(reuse.MinRest + 5*time.Millisecond) }

// Guards against reusing a connection before a late second response has arrived on it.
func TestConnectionRestsBeforeNextRequest(t *testing.T) {
	address, conns, _ := serve(t, okResponse, nil)
	p := NewPool(newConnectionBudget(8), time.Hour, 5*time.Second, new(buffer.Pool))
	defer p.Close()
	recordCommonResponses(p)
	for range 3 {
		p.Do(newAttempt(address))
	}
	if len(conns) != 3 {
		t.Errorf("got %d connections after three requests without a rest, want 3", len(conns))
	}
	waitMinRest()
	again := newAttempt(address)
	p.Do(again)
	if use := again.Connection(); len(conns) != 3 || use.Number != 3 || use.Uses != 2 || use.Rest < reuse.MinRest {
		t.Errorf("after a rest: got %d connections and use %+v, want 3 and the second use of connection 3", len(conns), use)
	}
}

// Guards against attributing a late decline or error to the next request.
func TestDeclineOnReusedConnectionIsInDoubt(t *testing.T) {
	const decline = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
	address, conns := serveInTurn(t, okResponse, decline, decline)
	p := NewPool(newConnectionBudget(8), time.Hour, 5*time.Second, new(buffer.Pool))
	defer p.Close()
	recordCommonResponses(p)
	p.Do(newAttempt(address))
	waitMinRest()
	if outcome, _ := p.Do(newAttempt(address)); outcome != balancer.RejectedInDoubt || outcome.NeverRan() {
		t.Errorf("on a reused connection: got outcome %v, want RejectedInDoubt", outcome)
	}
	waitMinRest()
	needsProof := newAttempt(address)
	needsProof.NeedsProof = true
	if outcome, _ := p.Do(needsProof); outcome != balancer.Rejected || len(conns) != 2 {
		t.Errorf("after a decline: got outcome %v and %d connections, want Rejected and 2", outcome, len(conns))
	}
}

// Guards against serving a copy of the previous response that the endpoint sends in reply to the next request.
func TestRepeatedResponseIsNotServed(t *testing.T) {
	address, _ := serveInTurn(t, okResponse, okResponse, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew")
	p := NewPool(newConnectionBudget(8), time.Hour, 5*time.Second, new(buffer.Pool))
	defer p.Close()
	for i := range reuse.Digest(20) {
		p.policy.Responses.Record(i, 100) // no response is common
	}
	p.Do(newAttempt(address))
	waitMinRest()
	if outcome, response := p.Do(newAttempt(address)); outcome != balancer.Reset || response != nil {
		t.Errorf("repeated response: got outcome %v and response %+v, want Reset and nil", outcome, response)
	}
	for range 2 { // the distrusted endpoint's connections are not reused
		waitMinRest()
		fresh := newAttempt(address)
		outcome, response := p.Do(fresh)
		if use := fresh.Connection(); outcome != balancer.OK || use.Uses != 1 {
			t.Errorf("next attempt: got outcome %v with use %+v, want OK and the first use", outcome, use)
		}
		response.Free()
	}
}

// Guards against serving part of a late response, followed by the beginning of the next response, as a complete one.
func TestTrailingBytesOnReusedConnectionFailAttempt(t *testing.T) {
	for _, uses := range []int{1, 2} {
		t.Run(fmt.Sprint(uses, " uses"), func(t *testing.T) {
			responses := []string{okResponse, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnewand more"}
			address, _ := serveInTurn(t, responses[2-uses:]...)
			p := NewPool(newConnectionBudget(8), time.Hour, 5*time.Second, new(buffer.Pool))
			defer p.Close()
			recordCommonResponses(p)
			want := balancer.OK
			if uses > 1 {
				p.Do(newAttempt(address))
				waitMinRest()
				want = balancer.Reset
			}
			if outcome, _ := p.Do(newAttempt(address)); outcome != want {
				t.Errorf("got outcome %v, want %v", outcome, want)
			}
		})
	}
}

// serveInTurn answers the n-th request over all connections with the n-th text, and further requests with the last
// text. It counts connections.
func serveInTurn(t *testing.T, texts ...string) (address string, conns chan struct{}) {
	t.Helper()
	var answered atomic.Int64
	return serveRequests(t, func(c net.Conn) {
		turn := min(int(answered.Add(1)), len(texts))
		io.WriteString(c, texts[turn-1])
	})
}
