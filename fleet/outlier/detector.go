// Package outlier detects endpoints that fail, from what several replicas have seen of them. Replicas send each other
// evidence, never conclusions, and each one evaluates the evidence itself: so one faulty replica, or a partitioned
// zone, can't cause the others to eject an endpoint. It is pure.
package outlier

import (
	"maps"
	"slices"
	"time"
)

// Bounds of what is kept and how long it counts.
const (
	// HalfLife is the time in which the weight of evidence halves: endpoints recover.
	HalfLife = 4 * time.Second
	// MaxForwardedReporters is the number of reporters on an endpoint beyond which a replica forwards no more evidence.
	MaxForwardedReporters = 16

	maxEvidenceAge = 6 * HalfLife
	maxEndpoints   = 16384 // with evidence
	maxReporters   = 64    // on one endpoint: of more, those with the youngest evidence are kept
)

// Endpoint is one of a pool's endpoint list.
type Endpoint struct {
	ID        uint64
	StartedAt int64 // its start as the list has it: evidence on another start doesn't count
}

// Detector holds one replica's own evidence and what it received. It is not safe for concurrent use.
type Detector struct {
	name    string
	zone    string
	epoch   uint64 // of this process
	version uint64 // of the latest evidence published
	now     time.Duration

	local    map[uint64]*localEvidence // by endpoint
	received map[uint64]reports        // by endpoint

	// Invalid counts evidence that can't be true.
	Invalid uint64
}

// reports are the latest evidence on one endpoint, by reporter.
type reports map[string]*report

type report struct {
	Evidence
	validAt time.Duration // when it was received, less its age
}

// remainingAttempts are the attempts that the evidence still counts for.
func (r *report) remainingAttempts(now time.Duration) float64 {
	return r.Attempts * decay(now-r.validAt)
}

// New returns the detector of a replica in a zone.
func New(name, zone string, epoch uint64) *Detector {
	return &Detector{
		name:     name,
		zone:     zone,
		epoch:    epoch,
		local:    map[uint64]*localEvidence{},
		received: map[uint64]reports{},
	}
}

// Merge adds evidence of another replica that was valid an age ago, and reports whether it was newer than what was
// known.
func (d *Detector) Merge(now time.Duration, evidence Evidence, age time.Duration) bool {
	d.advance(now)
	if !evidence.valid() || age < 0 {
		d.Invalid++
		return false
	}
	if evidence.Reporter == d.name || age > maxEvidenceAge {
		return false
	}
	all := d.received[evidence.Endpoint]
	if all == nil {
		if len(d.received) >= maxEndpoints {
			return false
		}
		all = reports{}
		d.received[evidence.Endpoint] = all
	}
	return all.merge(&report{Evidence: evidence, validAt: d.now - age})
}

// merge adds a report unless a later one of its reporter is known or it is the oldest of too many.
func (r reports) merge(added *report) bool {
	current := r[added.Reporter]
	if current != nil && !added.newerThan(&current.Evidence) {
		return false
	}
	if current == nil && len(r) >= maxReporters {
		oldest := r.oldestWith(added)
		if oldest == added {
			return false
		}
		delete(r, oldest.Reporter)
	}
	r[added.Reporter] = added
	return true
}

// oldestWith returns the oldest of the reports and another one; of equally old ones the last by name.
func (r reports) oldestWith(added *report) *report {
	oldest := added
	for _, candidate := range r {
		if candidate.validAt < oldest.validAt ||
			candidate.validAt == oldest.validAt && candidate.Reporter > oldest.Reporter {
			oldest = candidate
		}
	}
	return oldest
}

// ForgetReporter drops the evidence of a replica that left.
func (d *Detector) ForgetReporter(reporter string) {
	for _, all := range d.received {
		delete(all, reporter)
	}
}

// EvidenceAgainst returns the received evidence on an endpoint, decayed to now, sorted by reporter.
func (d *Detector) EvidenceAgainst(endpoint uint64) []Evidence {
	all := d.received[endpoint]
	var out []Evidence
	for _, reporter := range slices.Sorted(maps.Keys(all)) {
		evidence := all[reporter].Evidence
		remaining := decay(d.now - all[reporter].validAt)
		evidence.Attempts *= remaining
		evidence.Errors *= remaining
		evidence.Timeouts *= remaining
		out = append(out, evidence)
	}
	return out
}

// ReporterCount is the number of replicas whose evidence on an endpoint is known.
func (d *Detector) ReporterCount(endpoint uint64) int { return len(d.received[endpoint]) }

// AllEvidence returns the received evidence, sorted by endpoint and reporter.
func (d *Detector) AllEvidence() []Evidence {
	var out []Evidence
	for _, endpoint := range slices.Sorted(maps.Keys(d.received)) {
		out = append(out, d.EvidenceAgainst(endpoint)...)
	}
	return out
}

func (d *Detector) advance(now time.Duration) { d.now = max(d.now, now) }
