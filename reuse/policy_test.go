package reuse

import (
	"testing"
	"time"
)

// newTrustingPolicy returns a policy with enough recorded responses to permit reuse.
func newTrustingPolicy() *Policy {
	p := NewPolicy()
	for i := range uint64(minResponses) {
		p.Responses.Record(Digest(i+1), i)
	}
	return p
}

func TestMayCarryRequiresMinRest(t *testing.T) {
	p := newTrustingPolicy()
	now := time.Unix(1000, 0)
	if p.MayCarry(1, MinRest-1, now) || !p.MayCarry(1, MinRest, now) {
		t.Error("got reuse before MinRest or none after it, want reuse from MinRest on")
	}
}

// An endpoint that has sent late bytes during a rest may send them later the next time.
func TestLateBytesLengthenRest(t *testing.T) {
	p := newTrustingPolicy()
	now := time.Unix(1000, 0)
	p.RecordLateBytes(1, now)
	if p.MayCarry(1, longRest-1, now) || !p.MayCarry(1, longRest, now) || !p.MayCarry(2, MinRest, now) {
		t.Error("got an unexpected rest, want longRest for the late endpoint and MinRest for another")
	}
	if !p.MayCarry(1, MinRest, now.Add(longRestPeriod)) {
		t.Error("got the longer rest after longRestPeriod, want MinRest")
	}
}

// With few responses recorded, a copy can't be distinguished from a common response.
func TestMayCarryRequiresMinResponses(t *testing.T) {
	p := NewPolicy()
	now := time.Unix(1000, 0)
	for i := range uint64(minResponses) {
		if p.MayCarry(1, time.Hour, now) {
			t.Fatalf("got reuse after %d responses, want none yet", i)
		}
		p.Responses.Record(Digest(i+1), i)
	}
	if !p.MayCarry(1, time.Hour, now) {
		t.Error("got no reuse after minResponses responses, want reuse")
	}
}

// Requests that need proof before a retry get new connections for declinePeriod after a decline.
func TestDeclinedRecentlyExpires(t *testing.T) {
	p := NewPolicy()
	now := time.Unix(1000, 0)
	before := p.DeclinedRecently(now)
	p.RecordDecline(now)
	if before || !p.DeclinedRecently(now.Add(declinePeriod-1)) || p.DeclinedRecently(now.Add(declinePeriod)) {
		t.Error("got a recent decline at the wrong time, want one for declinePeriod after the decline")
	}
}

func TestDistrustExpires(t *testing.T) {
	p := newTrustingPolicy()
	now := time.Unix(1000, 0)
	p.Distrust(1, now)
	if p.MayKeep(1, now) || p.MayCarry(1, time.Hour, now.Add(distrustPeriod-1)) {
		t.Error("got reuse for the distrusted endpoint, want none for distrustPeriod")
	}
	if !p.MayKeep(2, now) || !p.MayKeep(1, now.Add(distrustPeriod)) {
		t.Error("got distrust of another endpoint or after distrustPeriod, want neither")
	}
}

// The number of endpoints with recorded state is bounded; beyond the bound all endpoints are distrusted.
func TestTrackedEndpointsAreBounded(t *testing.T) {
	p := NewPolicy()
	now := time.Unix(1000, 0)
	for endpoint := range uint64(2 * maxTrackedEndpoints) {
		p.Distrust(endpoint, now)
	}
	if len(p.endpoints) > maxTrackedEndpoints || p.MayKeep(3*maxTrackedEndpoints, now) {
		t.Errorf("got %d tracked endpoints and trust in another %v, want at most maxTrackedEndpoints and false", len(p.endpoints), p.MayKeep(3*maxTrackedEndpoints, now))
	}
	later := now.Add(distrustPeriod)
	p.Distrust(0, later)
	p.Distrust(5*maxTrackedEndpoints, later)
	if len(p.endpoints) > 2 || !p.MayKeep(1, later) {
		t.Errorf("got %d tracked endpoints after distrustPeriod, want at most 2 and the others trusted", len(p.endpoints))
	}
}
