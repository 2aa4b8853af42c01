package upstream

import (
	"testing"
	"time"

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
