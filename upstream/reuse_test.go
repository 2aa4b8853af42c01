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

// knowResponses has a pool know that its endpoints answer many requests alike, as the stand-ins of the tests do.
func knowResponses(p *Pool) {
	for digest := range reuse.Digest(100) {
		p.policy.Responses.Record(digest, 0)
		p.policy.Responses.Record(digest, 1)
	}
}

// letRest waits until idle connections may be used again.
func letRest() { time.Sleep(reuse.MinRest + 5*time.Millisecond) }

// Guards against a connection that carries the next request before a late second response has come in.
func TestConnectionsRestBeforeTheNextRequest(t *testing.T) {
	address, conns, _ := serve(t, okay, nil)
	p := NewPool(newDescriptors(8), time.Hour, 5*time.Second, new(buffer.Pool))
	defer p.Close()
	knowResponses(p)
	for range 3 {
		p.Do(newCall(address))
	}
	if len(conns) != 3 {
		t.Errorf("%d connections for three requests at once", len(conns))
	}
	letRest()
	again := newCall(address)
	p.Do(again)
	if use := again.Connection(); len(conns) != 3 || use.Number != 3 || use.Uses != 2 || use.Rest < reuse.MinRest {
		t.Errorf("%d connections, then %+v: not the one used last", len(conns), use)
	}
}

// Guards against a decline or an error that comes late and is taken for that of the next request.
func TestDeclinesProveNothingOnAUsedConnection(t *testing.T) {
	const decline = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
	address, conns := serveInTurn(t, okay, decline, decline)
	p := NewPool(newDescriptors(8), time.Hour, 5*time.Second, new(buffer.Pool))
	defer p.Close()
	knowResponses(p)
	p.Do(newCall(address))
	letRest()
	if outcome, _ := p.Do(newCall(address)); outcome != balancer.RejectedInDoubt || outcome.NeverRan() {
		t.Errorf("on a used connection: %v", outcome)
	}
	letRest()
	needsProof := newCall(address)
	needsProof.NeedsProof = true
	if outcome, _ := p.Do(needsProof); outcome != balancer.Rejected || len(conns) != 2 {
		t.Errorf("after a decline: %v, %d connections", outcome, len(conns))
	}
}

// Guards against a copy of the response before, sent once the next request has come, that is served for it.
func TestCopiesAreNotServed(t *testing.T) {
	address, _ := serveInTurn(t, okay, okay, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew")
	p := NewPool(newDescriptors(8), time.Hour, 5*time.Second, new(buffer.Pool))
	defer p.Close()
	for i := range reuse.Digest(20) {
		p.policy.Responses.Record(i, 100) // none of them is common
	}
	p.Do(newCall(address))
	letRest()
	if outcome, response := p.Do(newCall(address)); outcome != balancer.Reset || response != nil {
		t.Errorf("a copy: %v, %+v", outcome, response)
	}
	for range 2 { // its endpoint's connections are not used again for a while
		letRest()
		fresh := newCall(address)
		outcome, response := p.Do(fresh)
		if use := fresh.Connection(); outcome != balancer.OK || use.Uses != 1 {
			t.Errorf("then: %v on %+v", outcome, use)
		}
		response.Free()
	}
}

// Guards against half of a late response, with the beginning of the next one behind it, that is served as a whole one.
func TestMoreThanAResponseIsNotServedOnAUsedConnection(t *testing.T) {
	for _, uses := range []int{1, 2} {
		t.Run(fmt.Sprint(uses, " uses"), func(t *testing.T) {
			responses := []string{okay, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnewand more"}
			address, _ := serveInTurn(t, responses[2-uses:]...)
			p := NewPool(newDescriptors(8), time.Hour, 5*time.Second, new(buffer.Pool))
			defer p.Close()
			knowResponses(p)
			want := balancer.OK
			if uses > 1 {
				p.Do(newCall(address))
				letRest()
				want = balancer.Reset
			}
			if outcome, _ := p.Do(newCall(address)); outcome != want {
				t.Errorf("%v, want %v", outcome, want)
			}
		})
	}
}

// serveInTurn answers all requests, of whatever connection, with one text after another, the last one for all that
// follow. It counts connections.
func serveInTurn(t *testing.T, texts ...string) (address string, conns chan struct{}) {
	t.Helper()
	var answered atomic.Int64
	return serveRequests(t, func(c net.Conn) {
		turn := min(int(answered.Add(1)), len(texts))
		io.WriteString(c, texts[turn-1])
	})
}
