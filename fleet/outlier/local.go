package outlier

import (
	"maps"
	"slices"
	"time"
)

// Parameters of the evidence of this replica.
const (
	latestFailureWeight = 0.7  // of the latest attempt in the failure rates
	latestLatencyWeight = 0.2  // of the latest attempt in the relative latency
	maxLatencyRatio     = 1e6  // greater ones are ignored
	negligibleAttempts  = 0.05 // evidence that counts for less is dropped
	restartAttempts     = 0.01 // with less left the failure rates start anew
	minRecoveryAttempts = 2.0  // before it is published that an endpoint has recovered
	publishInterval     = time.Second
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes that count.
const (
	Succeeded Outcome = iota
	Failed
	TimedOut
)

// localEvidence is what this replica saw of one endpoint.
type localEvidence struct {
	startedAt       int64   // start of the endpoint
	attempts        float64 // decays
	relativeLatency float64 // returns to 1
	errorRate       float64 // of the latest attempts
	timeoutRate     float64
	decayedAt       time.Duration
	latestAttemptAt time.Duration

	unpublished int // attempts since it was published
	published   bool
	publishedAt time.Duration
	wasAgainst  bool // the endpoint, when it was published
}

func (l *localEvidence) decay(now time.Duration) {
	remaining := decay(now - l.decayedAt)
	l.attempts *= remaining
	l.relativeLatency = 1 + (l.relativeLatency-1)*remaining
	l.decayedAt = now
}

// remainingAttempts are the attempts that the evidence still counts for.
func (l *localEvidence) remainingAttempts(now time.Duration) float64 {
	return l.attempts * decay(now-l.decayedAt)
}

// failures are the attempts that failed or timed out.
func (l *localEvidence) failures() float64 { return l.attempts * (l.errorRate + l.timeoutRate) }

// evidence returns it as others see it, without its reporter.
func (l *localEvidence) evidence() Evidence {
	return Evidence{
		Attempts:        l.attempts,
		Errors:          l.attempts * l.errorRate,
		Timeouts:        l.attempts * l.timeoutRate,
		RelativeLatency: l.relativeLatency,
	}
}

// record counts an attempt. The latest ones weigh most: a replica with one attempt a second must not need many.
func (l *localEvidence) record(now time.Duration, outcome Outcome, relativeLatency float64) {
	failed := 0.0
	timedOut := 0.0
	switch outcome {
	case Failed:
		failed = 1
	case TimedOut:
		timedOut = 1
	}
	if l.attempts < restartAttempts {
		l.errorRate = failed
		l.timeoutRate = timedOut
	}
	l.errorRate += latestFailureWeight * (failed - l.errorRate)
	l.timeoutRate += latestFailureWeight * (timedOut - l.timeoutRate)
	l.attempts++
	l.unpublished++
	l.latestAttemptAt = now
	if relativeLatency > 0 && relativeLatency < maxLatencyRatio {
		l.relativeLatency += latestLatencyWeight * (relativeLatency - l.relativeLatency)
	}
}

// RecordOutcome counts an attempt of this replica. relativeLatency is the ratio of its latency to the typical one, 0 if
// it is not known.
func (d *Detector) RecordOutcome(now time.Duration, endpoint Endpoint, outcome Outcome, relativeLatency float64) {
	d.advance(now)
	local := d.local[endpoint.ID]
	if local == nil || local.startedAt != endpoint.StartedAt {
		if local == nil && len(d.local) >= maxEndpoints {
			return
		}
		local = &localEvidence{startedAt: endpoint.StartedAt, decayedAt: d.now, relativeLatency: 1}
		d.local[endpoint.ID] = local
	}
	local.decay(d.now)
	local.record(d.now, outcome, relativeLatency)
}

// PendingEvidence returns what this replica is to send to others: evidence on endpoints that look faulty to it or did
// when it last published, and on those that others reported, since it may have seen them succeed.
func (d *Detector) PendingEvidence(now time.Duration) []Evidence {
	d.advance(now)
	endpoints, attempts, failures := d.decayLocal()
	d.version++
	var pending []Evidence
	for _, id := range endpoints {
		local := d.local[id]
		evidence := local.evidence()
		evidence.Reporter = d.name
		evidence.Epoch = d.epoch
		evidence.Version = d.version
		evidence.Zone = d.zone
		evidence.Endpoint = id
		evidence.StartedAt = local.startedAt
		if peerAttempts := attempts - local.attempts; peerAttempts > 0 {
			evidence.PeerErrorRate = max(min((failures-local.failures())/peerAttempts, 1), 0)
		}
		against := evidence.isAgainst(evidence.Attempts)
		if !d.shouldPublish(id, local, against) {
			continue
		}
		local.wasAgainst = against
		local.published = true
		local.unpublished = 0
		local.publishedAt = d.now
		pending = append(pending, evidence)
	}
	return pending
}

// decayLocal decays this replica's evidence, drops what is negligible, and returns the endpoints that it is on, sorted,
// and all attempts and failures. They are added in that order: sums of rounded numbers depend on it.
func (d *Detector) decayLocal() (endpoints []uint64, attempts, failures float64) {
	for _, id := range slices.Sorted(maps.Keys(d.local)) {
		local := d.local[id]
		local.decay(d.now)
		if local.attempts < negligibleAttempts {
			delete(d.local, id)
			continue
		}
		endpoints = append(endpoints, id)
		attempts += local.attempts
		failures += local.failures()
	}
	return endpoints, attempts, failures
}

// shouldPublish reports whether evidence is to be sent now: at once if it has changed sides, and otherwise seldom, as
// others need a few reporters and not all evidence that each has.
func (d *Detector) shouldPublish(id uint64, local *localEvidence, against bool) bool {
	if against != local.wasAgainst && (against || local.attempts >= minRecoveryAttempts) {
		return true
	}
	if local.unpublished == 0 || local.published && d.now-local.publishedAt < publishInterval {
		return false
	}
	return against || d.reportedFaulty(id) && d.now-local.latestAttemptAt <= publishInterval
}

// reportedFaulty reports whether others have lately sent evidence against an endpoint.
func (d *Detector) reportedFaulty(id uint64) bool {
	for _, report := range d.received[id] {
		if d.now-report.validAt < HalfLife && report.isAgainst(report.Attempts) {
			return true
		}
	}
	return false
}

// localFaulty reports whether an endpoint looks faulty by this replica's own evidence.
func (d *Detector) localFaulty(endpoint Endpoint) bool {
	local := d.local[endpoint.ID]
	if local == nil || local.startedAt != endpoint.StartedAt {
		return false
	}
	evidence := local.evidence()
	return evidence.isAgainst(local.remainingAttempts(d.now))
}
