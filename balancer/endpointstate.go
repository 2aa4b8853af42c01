package balancer

import "time"

// attemptResult is the latest attempt's evidence of whether an endpoint is alive.
type attemptResult int8

const (
	resultUnknown attemptResult = iota // there was none since the list last named the endpoint
	resultServed
	resultFailed // it timed out, could not connect, or the connection broke
)

// endpoint is what is known of an endpoint that is listed or was.
type endpoint struct {
	Endpoint // as last listed
	health   health

	inFlight     int // attempts of this replica
	lateInFlight int // those of them beyond Lmax
	lastResult   attemptResult
	lastKnownAt  time.Duration // when it was last listed as not gone, or served
	statedStart  time.Duration // its start as the list states it, perhaps ahead of the clock
	drained      bool          // it was listed as draining since its latest start
	warmUpBudget tokenBucket   // attempts that may be sent while it warms up

	index        int  // in the list
	inSubset     bool // of the endpoints that this replica prefers
	rank         int  // in the index, or unranked
	rankPosition int  // among the endpoints of its rank in the index
	forgotten    bool // it is taken out of the set
	rankPenalty  int  // half slots added to its rank for suspicion and zone; health is not included
}

// newEndpoint returns the state of an endpoint that no list has named before.
func newEndpoint(entry Endpoint, now time.Duration) *endpoint {
	return &endpoint{Endpoint: entry, health: health{relativeLatency: 1}, lastKnownAt: now, rank: unranked}
}

// forget forgets what was learnt of an endpoint before its start, and begins its warm-up budget with a credit.
func (e *endpoint) forget(now time.Duration, credit float64) {
	e.health.reset()
	e.warmUpBudget = tokenBucket{tokens: credit, filledAt: now}
}

// health is what recent attempts have shown of an endpoint. It decays.
type health struct {
	penalty         float64 // slots that failures hold, as of updatedAt
	relativeLatency float64 // against its peers' mean, as of updatedAt; 1 is as fast as they
	updatedAt       time.Duration
}

// at returns what is left of the penalty and of the difference in latency, which halve in halfLife seconds.
func (h *health) at(now time.Duration, halfLife float64) (penalty, relativeLatency float64) {
	if h.penalty == 0 && h.relativeLatency == 1 {
		return 0, 1
	}
	left := halfLifeFactor(now-h.updatedAt, halfLife)
	return h.penalty * left, 1 + (h.relativeLatency-1)*left
}

// reset forgets what is known.
func (h *health) reset() {
	h.penalty = 0
	h.relativeLatency = 1
}
