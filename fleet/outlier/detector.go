// Package outlier detects failing endpoints from the evidence of several replicas. Replicas send each other evidence,
// never conclusions, and each replica evaluates the evidence itself: a single faulty replica or a partitioned zone
// can't make others eject an endpoint. The package does no I/O and reads no clock.
package outlier

import (
	"maps"
	"slices"
	"time"
)

// Limits of the evidence that is kept and of its age.
const (
	// HalfLife is the time in which the weight of evidence halves, as endpoints recover.
	HalfLife = 4 * time.Second
	// MaxForwardedReporters is the number of known reporters on an endpoint beyond which evidence is not forwarded.
	MaxForwardedReporters = 16

	maxEvidenceAge = 6 * HalfLife
	maxEndpoints   = 16384 // that evidence is kept on
	maxReporters   = 64    // on one endpoint; the reporters with the youngest evidence are kept
)

// Endpoint is an endpoint in a pool's endpoint list.
type Endpoint struct {
	ID        uint64
	StartedAt int64 // start time in the list; evidence on another start doesn't count
}

// Detector holds one replica's own evidence and the evidence received from others. It is not safe for concurrent use.
type Detector struct {
	name    string
	zone    string
	epoch   uint64 // of this process
	version uint64 // of the latest evidence published
	now     time.Duration

	local    map[uint64]*localEvidence // by endpoint
	received map[uint64]reports        // by endpoint

	// Invalid counts refused evidence with impossible values.
	Invalid uint64
}

// reports are the latest evidence on one endpoint, by reporter.
type reports map[string]*report

type report struct {
	Evidence
	validAt time.Duration // time of receipt, less the age of the evidence
}

// remainingAttempts returns the decayed number of attempts.
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

// Merge adds evidence of another replica with its age, and reports whether it was newer than the evidence known.
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

// merge adds a report unless a newer one of its reporter is known, or the table is full of younger reports.
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

// oldestWith returns the oldest among the reports and added; of equally old ones, the last by name of reporter.
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

// ReporterCount returns the number of replicas whose evidence on an endpoint is known.
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
