package outlier

import (
	"maps"
	"slices"
	"time"
)

// Parameters of this replica's own evidence.
const (
	latestFailureWeight = 0.7  // weight of the latest attempt in the failure rates
	latestLatencyWeight = 0.2  // weight of the latest attempt in the relative latency
	maxLatencyRatio     = 1e6  // greater ones are ignored
	negligibleAttempts  = 0.05 // evidence with fewer remaining attempts is dropped
	restartAttempts     = 0.01 // with fewer remaining attempts the failure rates are reset
	minRecoveryAttempts = 2.0  // remaining attempts needed to publish a recovery
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

// localEvidence is this replica's observations of one endpoint.
type localEvidence struct {
	startedAt       int64   // start of the endpoint
	attempts        float64 // decays
	relativeLatency float64 // decays to 1
	errorRate       float64 // of the latest attempts
	timeoutRate     float64
	decayedAt       time.Duration
	latestAttemptAt time.Duration

	unpublished int // attempts since the latest publication
	published   bool
	publishedAt time.Duration
	wasAgainst  bool // the latest publication was evidence against the endpoint
}

func (l *localEvidence) decay(now time.Duration) {
	remaining := decay(now - l.decayedAt)
	l.attempts *= remaining
	l.relativeLatency = 1 + (l.relativeLatency-1)*remaining
	l.decayedAt = now
}

// remainingAttempts returns the decayed number of attempts.
func (l *localEvidence) remainingAttempts(now time.Duration) float64 {
	return l.attempts * decay(now-l.decayedAt)
}

// failures returns the decayed number of attempts that failed or timed out.
func (l *localEvidence) failures() float64 { return l.attempts * (l.errorRate + l.timeoutRate) }

// evidence returns the observations as Evidence without its reporter and endpoint.
func (l *localEvidence) evidence() Evidence {
	return Evidence{
		Attempts:        l.attempts,
		Errors:          l.attempts * l.errorRate,
		Timeouts:        l.attempts * l.timeoutRate,
		RelativeLatency: l.relativeLatency,
	}
}

// record counts an attempt. The latest attempts weigh most, so that a replica with one attempt per second needs few.
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

// RecordOutcome counts an attempt of this replica. relativeLatency is the ratio of its latency to the typical latency,
// or 0 if unknown.
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

// PendingEvidence returns the evidence to send to others: on endpoints that look faulty to this replica or did so when
// it last published, and on endpoints that others reported, since this replica may have seen them succeed.
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

// decayLocal decays this replica's evidence and drops negligible evidence. It returns the sorted endpoints with
// evidence and the sums of attempts and failures, added in that order because rounding depends on the order.
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

// shouldPublish reports whether to send evidence now: at once if it turned against the endpoint or in its favour, and
// otherwise rarely, as others need a few reporters and not all evidence of each.
func (d *Detector) shouldPublish(id uint64, local *localEvidence, against bool) bool {
	if against != local.wasAgainst && (against || local.attempts >= minRecoveryAttempts) {
		return true
	}
	if local.unpublished == 0 || local.published && d.now-local.publishedAt < publishInterval {
		return false
	}
	return against || d.reportedFaulty(id) && d.now-local.latestAttemptAt <= publishInterval
}

// reportedFaulty reports whether others have sent evidence against an endpoint within HalfLife.
func (d *Detector) reportedFaulty(id uint64) bool {
	for _, report := range d.received[id] {
		if d.now-report.validAt < HalfLife && report.isAgainst(report.Attempts) {
			return true
		}
	}
	return false
}

// localFaulty reports whether this replica's own evidence is against an endpoint.
func (d *Detector) localFaulty(endpoint Endpoint) bool {
	local := d.local[endpoint.ID]
	if local == nil || local.startedAt != endpoint.StartedAt {
		return false
	}
	evidence := local.evidence()
	return evidence.isAgainst(local.remainingAttempts(d.now))
}
