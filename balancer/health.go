package balancer

import "time"

const (
	maxPenalty      = 15.0 // maximum penalty in slots; bounds how long a recovered endpoint is avoided
	penaltyHalfLife = 2.0  // in latency objectives
	latencyGain     = 0.25 // weight of the newest answer in an endpoint's relative latency
	averageGain     = 0.05 // weight of the newest answer in a class's typical latency and error rate
	maxSlowness     = 10.0 // maximum latency of one answer, as a multiple of the typical latency
)

// recordOutcome updates the health of an attempt's endpoint and the averages of its class. A failure adds a
// decaying penalty that grows with each further failure; without it an endpoint that fails quickly would look
// idle. The penalty shrinks with the class's error rate, so that a common failure excludes no endpoint.
func (b *Balancer) recordOutcome(e *endpoint, class int, outcome Outcome, elapsed time.Duration) {
	penalty, relativeLatency := e.health.at(b.now, b.endpoints.halfLife)
	failureWeight := max(0, 1-2*b.stats.errorRate[class])
	wasFailing := e.lastResult == resultFailed
	switch outcome {
	case OK:
		penalty /= 2
		e.lastResult = resultServed
		e.lastKnownAt = b.now
		b.endpoints.served.add(b.now, 1)
	case Timeout, ConnectFailed, Reset:
		e.lastResult = resultFailed
		fallthrough
	case Error, Rejected, RejectedInDoubt:
		penalty = min(penalty+failureWeight*(penalty+1), maxPenalty)
		if penalty == maxPenalty && e.health.penalty < maxPenalty/2 {
			b.logf("endpoint %x keeps failing (%v): it gets few attempts", uint64(e.ID), outcome)
		}
	}
	typical := &b.stats.typicalLatency[class]
	took := elapsed.Seconds()
	if outcome == OK || outcome == Timeout && took > *typical { // a shorter timeout is no latency sample
		relativeLatency = moveTowards(relativeLatency, min(took / *typical, maxSlowness), latencyGain)
		*typical = moveTowards(*typical, took, averageGain)
	}
	e.health = health{penalty, relativeLatency, b.now}
	if e.State == Gone && wasFailing != (e.lastResult == resultFailed) { // attempts override the list
		b.chooseSubset()
	} else {
		b.endpoints.updateRank(e, b.now)
	}
	failed := outcome != OK && outcome != Cancelled
	b.stats.addResult(class, failed, averageGain)
}
