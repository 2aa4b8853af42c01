package reuse

import (
	"testing"
	"time"
)

// trusting returns a policy that knows enough responses.
func trusting() *Policy {
	p := NewPolicy()
	for i := range uint64(minResponses) {
		p.Responses.Record(Digest(i+1), i)
	}
	return p
}

func TestConnectionsRestBeforeTheyAreUsedAgain(t *testing.T) {
	p := trusting()
	now := time.Unix(1000, 0)
	if p.MayCarry(1, MinRest-1, now) || !p.MayCarry(1, MinRest, now) {
		t.Error("a connection is used again before it has rested, or not after")
	}
}

// A second response that came while a connection rested may come later the next time.
func TestConnectionsRestLongerAfterLateBytes(t *testing.T) {
	p := trusting()
	now := time.Unix(1000, 0)
	p.CameLate(1, now)
	if p.MayCarry(1, longRest-1, now) || !p.MayCarry(1, longRest, now) || !p.MayCarry(2, MinRest, now) {
		t.Error("the endpoint's connections rest no longer, or those of another do")
	}
	if !p.MayCarry(1, MinRest, now.Add(longRestPeriod)) {
		t.Error("they rest longer for ever")
	}
}
