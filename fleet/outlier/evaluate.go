package outlier

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ryerill/internal/seedrand"
)

// Parameters of the evaluation.
const (
	// MaxEjectedFraction is the maximum fraction of a pool's endpoints that shared evidence may eject.
	MaxEjectedFraction = 0.3

	maxReporterWeight = 2.0             // in attempts: less than minTotalWeight, so that no reporter decides alone
	minTotalWeight    = 4.0             // in attempts, of all reporters together
	minReporters      = 2               // with evidence against the endpoint
	minZones          = 2               // of the reporters, unless all are in the reader's zone
	maxFaultyFraction = 0.34            // of a pool: a reporter that finds more endpoints faulty is not credible
	probeSlot         = 2 * time.Second // time in which one replica may probe an ejected endpoint
	minWeight         = 1e-9            // avoids division by zero
)

// Verdict is the decision to eject an endpoint, with the reporters that it is based on.
type Verdict struct {
	Endpoint  uint64
	Reporters []string // replicas with evidence against the endpoint, sorted
	Zones     []string // of the reporters, sorted
}

// Evaluate returns the endpoints of a pool to eject, those with the most evidence first. zones is the number of zones
// with replicas. Evidence from one zone alone counts in that zone only, because a partition between zones makes healthy
// endpoints look faulty from one side.
func (d *Detector) Evaluate(now time.Duration, endpoints []Endpoint, zones int) []Verdict {
	d.advance(now)
	d.expireReceived()
	faulty := d.faultyByReporter(endpoints)
	maxFaulty := max(maxFaultyFraction*float64(len(endpoints)), 1)
	credible := func(reporter string) bool { return float64(faulty[reporter]) <= maxFaulty }

	var candidates []assessment
	for _, endpoint := range endpoints {
		candidate := d.assess(endpoint, credible)
		if candidate.isFaulty(d.zone, zones) {
			candidates = append(candidates, candidate)
		}
	}
	slices.SortStableFunc(candidates, func(a, b assessment) int { return cmp.Compare(b.weight, a.weight) })
	maxEjected := int(MaxEjectedFraction * float64(len(endpoints)))
	var verdicts []Verdict
	for _, candidate := range candidates[:min(len(candidates), maxEjected)] {
		verdicts = append(verdicts, candidate.Verdict)
	}
	return verdicts
}

// expireReceived drops evidence that is too old to count.
func (d *Detector) expireReceived() {
	for id, all := range d.received {
		maps.DeleteFunc(all, func(_ string, r *report) bool { return d.now-r.validAt > maxEvidenceAge })
		if len(all) == 0 {
			delete(d.received, id)
		}
	}
}

// faultyByReporter counts the endpoints of a pool that look faulty to each reporter, this replica included. If much of
// the pool looks faulty to a reporter, the reporter itself is faulty or all endpoints share a fault.
func (d *Detector) faultyByReporter(endpoints []Endpoint) map[string]int {
	startedAt := make(map[uint64]int64, len(endpoints))
	for _, endpoint := range endpoints {
		startedAt[endpoint.ID] = endpoint.StartedAt
	}
	faulty := map[string]int{}
	for id, all := range d.received {
		start, listed := startedAt[id]
		if !listed {
			continue
		}
		for reporter, report := range all {
			if report.StartedAt == start && report.isAgainst(report.remainingAttempts(d.now)) {
				faulty[reporter]++
			}
		}
	}
	for _, endpoint := range endpoints {
		if d.localFaulty(endpoint) {
			faulty[d.name]++
		}
	}
	return faulty
}

// assessment sums up the evidence on one endpoint, weighted by attempts.
type assessment struct {
	Verdict
	weight          float64
	failureRate     float64 // this and the following are sums of weighted values
	peerFailureRate float64
	relativeLatency float64
}

// assess sums up the evidence of credible reporters on an endpoint.
func (d *Detector) assess(endpoint Endpoint, credible func(reporter string) bool) assessment {
	sum := assessment{Verdict: Verdict{Endpoint: endpoint.ID}}
	all := d.received[endpoint.ID]
	for _, reporter := range slices.Sorted(maps.Keys(all)) {
		report := all[reporter]
		if report.StartedAt == endpoint.StartedAt && credible(reporter) {
			sum.add(&report.Evidence, report.remainingAttempts(d.now))
		}
	}
	local := d.local[endpoint.ID]
	if local != nil && local.startedAt == endpoint.StartedAt && credible(d.name) {
		evidence := local.evidence()
		evidence.Reporter = d.name
		evidence.Zone = d.zone
		sum.add(&evidence, local.remainingAttempts(d.now))
	}
	slices.Sort(sum.Reporters)
	slices.Sort(sum.Zones)
	return sum
}

// add adds evidence with its decayed number of attempts.
func (a *assessment) add(evidence *Evidence, attempts float64) {
	if attempts <= 0 || evidence.Attempts <= 0 {
		return
	}
	weight := min(attempts, maxReporterWeight)
	a.weight += weight
	a.failureRate += weight * (evidence.Errors + evidence.Timeouts) / evidence.Attempts
	a.peerFailureRate += weight * evidence.PeerErrorRate
	a.relativeLatency += weight * evidence.RelativeLatency
	if !evidence.isAgainst(max(attempts, minAttempts)) {
		return
	}
	a.Reporters = append(a.Reporters, evidence.Reporter)
	if !slices.Contains(a.Zones, evidence.Zone) {
		a.Zones = append(a.Zones, evidence.Zone)
	}
}

// isFaulty reports whether the evidence suffices to eject the endpoint, for a reader in readerZone among zones zones.
func (a *assessment) isFaulty(readerZone string, zones int) bool {
	if a.weight < minTotalWeight || len(a.Reporters) < minReporters {
		return false
	}
	seenInReaderZone := len(a.Zones) == 1 && a.Zones[0] == readerZone
	if zones >= minZones && len(a.Zones) < minZones && !seenInReaderZone {
		return false
	}
	divisor := max(a.weight, minWeight)
	return exceedsThresholds(a.failureRate/divisor, a.peerFailureRate/divisor, a.relativeLatency/divisor)
}

// ShouldProbe reports whether the replica with an index among replicaCount replicas may probe an ejected endpoint now.
// One replica probes at a time, so that probes do not multiply with the fleet. clock is a time on which all
// replicas agree approximately; a difference costs a probe.
func ShouldProbe(endpoint uint64, clock time.Duration, index, replicaCount int) bool {
	slot := uint64(clock / probeSlot)
	chosen := seedrand.Mix(endpoint^seedrand.Mix(slot)) % uint64(max(replicaCount, 1))
	return int(chosen) == index
}
