package balancer

import "testing"

func TestRequestPoolReleasesEndpoints(t *testing.T) {
	var pool requestPool
	r := &request{attempts: []*endpoint{{}, {}}, possiblyExecutedOn: &Endpoint{}, answered: true}
	pool.put(r)
	again := pool.take()
	if again != r || cap(again.attempts) != 2 || again.attempts[0] != nil || again.attempts[1] != nil ||
		again.possiblyExecutedOn != nil {
		t.Errorf("got %+v, want the pooled request without endpoints", again)
	}
	if !again.answered {
		t.Error("put reset other fields, want them unchanged")
	}
	if other := pool.take(); other == r {
		t.Error("the same request was taken twice")
	}
}

func TestRequestPoolIsBounded(t *testing.T) {
	var pool requestPool
	for range maxPooled + 5 {
		pool.put(&request{})
	}
	if len(pool) != maxPooled {
		t.Errorf("got %d pooled requests, want %d", len(pool), maxPooled)
	}
}
