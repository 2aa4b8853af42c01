package balancer

import "time"

// attemptResult is the evidence of the latest attempt on whether an endpoint is alive.
type attemptResult int8

const (
	resultUnknown attemptResult = iota // no evidence since the list last named the endpoint
	resultServed
	resultFailed // the attempt timed out, could not connect or lost its connection
)

// endpoint is the state of an endpoint that is listed or retained.
type endpoint struct {
	Endpoint // as last listed
	health   health

	inFlight     int // attempts in flight of this replica
	lateInFlight int // attempts in flight that are older than Lmax
	lastResult   attemptResult
	lastKnownAt  time.Duration // when it was last listed as not gone, or last served
	statedStart  time.Duration // start time as listed, which may be in the future
	drained      bool          // listed as draining since its latest start
	warmUpBudget tokenBucket   // attempts that may be sent during its warm-up

	index        int  // index in endpointSet.listed
	inSubset     bool // in the subset that this replica prefers
	rank         int  // rank in the index, or unranked
	rankPosition int  // position among the endpoints of its rank in the index
	forgotten    bool // removed from the set
	rankPenalty  int  // half slots added to its rank for suspicion and zone, without health
}

// newEndpoint returns the state of an endpoint that is listed for the first time.
func newEndpoint(entry Endpoint, now time.Duration) *endpoint {
	return &endpoint{Endpoint: entry, health: health{relativeLatency: 1}, lastKnownAt: now, rank: unranked}
}

// resetForStart resets the health of an endpoint that has started and credits its warm-up budget.
func (e *endpoint) resetForStart(now time.Duration, credit float64) {
	e.health.reset()
	e.warmUpBudget = tokenBucket{tokens: credit, filledAt: now}
}

// health summarizes recent attempts to an endpoint. It decays over time.
type health struct {
	penalty         float64 // slots that failures occupy, as of updatedAt
	relativeLatency float64 // latency relative to the mean of its peers, as of updatedAt
	updatedAt       time.Duration
}

// at returns the decayed penalty and relative latency. The penalty and the latency's difference from 1 halve
// every halfLife seconds.
func (h *health) at(now time.Duration, halfLife float64) (penalty, relativeLatency float64) {
	if h.penalty == 0 && h.relativeLatency == 1 {
		return 0, 1
	}
	left := halfLifeFactor(now-h.updatedAt, halfLife)
	return h.penalty * left, 1 + (h.relativeLatency-1)*left
}

// reset returns to the state of an endpoint without attempts.
func (h *health) reset() {
	h.penalty = 0
	h.relativeLatency = 1
}
