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

// Before some responses are known a copy can't be told from a response that all requests get.
func TestNoConnectionIsUsedTwiceBeforeResponsesAreKnown(t *testing.T) {
	p := NewPolicy()
	now := time.Unix(1000, 0)
	for i := range uint64(minResponses) {
		if p.MayCarry(1, time.Hour, now) {
			t.Fatalf("a connection is used again after %d responses", i)
		}
		p.Responses.Record(Digest(i+1), i)
	}
	if !p.MayCarry(1, time.Hour, now) {
		t.Error("none is used again")
	}
}

// Requests that may not simply be repeated need proof while endpoints decline.
func TestDeclinesAreRememberedForAWhile(t *testing.T) {
	p := NewPolicy()
	now := time.Unix(1000, 0)
	before := p.Declining(now)
	p.Declined(now)
	if before || !p.Declining(now.Add(declinePeriod-1)) || p.Declining(now.Add(declinePeriod)) {
		t.Error("endpoints decline before they have, or for ever, or not at all")
	}
}

func TestEndpointsAreDistrustedForAWhile(t *testing.T) {
	p := trusting()
	now := time.Unix(1000, 0)
	p.Distrust(1, now)
	if p.MayKeep(1, now) || p.MayCarry(1, time.Hour, now.Add(distrustPeriod-1)) {
		t.Error("the endpoint is trusted")
	}
	if !p.MayKeep(2, now) || !p.MayKeep(1, now.Add(distrustPeriod)) {
		t.Error("another endpoint is distrusted, or this one for ever")
	}
}

// What is remembered of endpoints has a bound, beyond which all of them are distrusted.
func TestDistrustIsBounded(t *testing.T) {
	p := NewPolicy()
	now := time.Unix(1000, 0)
	for endpoint := range uint64(2 * maxNotedEndpoints) {
		p.Distrust(endpoint, now)
	}
	if len(p.endpoints) > maxNotedEndpoints || p.MayKeep(3*maxNotedEndpoints, now) {
		t.Errorf("%d endpoints are remembered, and another is trusted: %v", len(p.endpoints), p.MayKeep(3*maxNotedEndpoints, now))
	}
	later := now.Add(distrustPeriod)
	p.Distrust(0, later)
	p.Distrust(5*maxNotedEndpoints, later)
	if len(p.endpoints) > 2 || !p.MayKeep(1, later) {
		t.Errorf("%d endpoints are remembered once their time is over", len(p.endpoints))
	}
}
