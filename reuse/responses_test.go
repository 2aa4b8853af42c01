package reuse

import "testing"

// A copy of a response can be told: no other connection has brought the same.
func TestCopiesAreToldFromCommonResponses(t *testing.T) {
	r := NewResponses()
	r.Record(7, 1)
	r.Record(7, 1)
	if !r.ToldApart(7) {
		t.Error("a response that one connection alone brings is common")
	}
	r.Record(7, 2)
	if r.ToldApart(7) {
		t.Error("a response that two connections bring is a copy")
	}
}

// Where many responses are common, equality says nothing of any.
func TestEqualityIsJudgedWhileItIsRare(t *testing.T) {
	r := NewResponses()
	for digest := range Digest(maxCommon) {
		r.Record(digest+1, 1)
		r.Record(digest+1, 2)
	}
	if r.ToldApart(500) || len(r.common) > maxCommon {
		t.Errorf("%d responses are common, and equality is judged", len(r.common))
	}
}

func TestHistoryHoldsTheLastResponses(t *testing.T) {
	var h History
	if h.Holds(0) {
		t.Error("an empty history holds a response")
	}
	for digest := range Digest(maxRemembered + 1) {
		h.Add(digest)
	}
	if h.Holds(0) || !h.Holds(1) || !h.Holds(maxRemembered) {
		t.Error("it holds others than the last")
	}
}
