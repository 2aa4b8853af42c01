package reuse

import "testing"

// A repeated response is a copy if no other connection has received it.
func TestResponseOfTwoConnectionsIsNotDistinctive(t *testing.T) {
	r := NewResponses()
	r.Record(7, 1)
	r.Record(7, 1)
	if !r.IsDistinctive(7) {
		t.Error("response of one connection is not distinctive, want distinctive")
	}
	r.Record(7, 2)
	if r.IsDistinctive(7) {
		t.Error("response of two connections is distinctive, want common")
	}
}

// When many responses are common, a repetition proves nothing about any response.
func TestNoResponseIsDistinctiveWithManyCommonOnes(t *testing.T) {
	r := NewResponses()
	for digest := range Digest(maxCommon) {
		r.Record(digest+1, 1)
		r.Record(digest+1, 2)
	}
	if r.IsDistinctive(500) || len(r.common) > maxCommon {
		t.Errorf("got %d common responses, want at most maxCommon and no distinctive response", len(r.common))
	}
}

func TestHistoryContainsLatestResponses(t *testing.T) {
	var h History
	if h.Contains(0) {
		t.Error("empty history contains a response, want none")
	}
	for digest := range Digest(historySize + 1) {
		h.Add(digest)
	}
	if h.Contains(0) || !h.Contains(1) || !h.Contains(historySize) {
		t.Error("history does not contain exactly the latest responses")
	}
}
