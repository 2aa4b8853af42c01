package balancer

import "testing"

func TestRequestPoolKeepsNoEndpoints(t *testing.T) {
	var pool requestPool
	r := &request{attempts: []*endpoint{{}, {}}, possiblyExecutedOn: &Endpoint{}, answered: true}
	pool.put(r)
	again := pool.take()
	if again != r || cap(again.attempts) != 2 || again.attempts[0] != nil || again.attempts[1] != nil ||
		again.possiblyExecutedOn != nil {
		t.Errorf("taken %+v", again)
	}
	if !again.answered {
		t.Error("its other fields are lost before the next use")
	}
	if other := pool.take(); other == r {
		t.Error("one request is taken twice")
	}
}

func TestRequestPoolIsBounded(t *testing.T) {
	var pool requestPool
	for range maxPooled + 5 {
		pool.put(&request{})
	}
	if len(pool) != maxPooled {
		t.Errorf("%d requests are kept, at most %d wanted", len(pool), maxPooled)
	}
}
