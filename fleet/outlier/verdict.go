// Package outlier draws judgements on servers from what several copies have seen of
// them. Copies tell each other evidence, never judgements, and each reader judges for
// itself, so that one copy that lies, or a zone that is cut off, condemns nobody for
// the rest. It is pure.
package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ryerill/internal/seedrand"
)

// How judgements are drawn.
const (
	HalfLife              = 4 * time.Second // of evidence: a server heals
	leastCalls            = 0.9             // of a copy, before what it saw is told
	newest                = 0.7             // weight of the latest call in what part of them failed
	mostWeight            = 2.0             // calls that one copy counts for at most: none decides alone
	leastWeight           = 4.0             // calls that all together must count for
	badFrom               = 0.5             // part of the calls that failed or hung from which a server is bad for a copy,
	overPeers             = 3.0             // if it is so many times that of its peers there,
	slowFrom              = 3.0             // or so many times slower than its peers
	leastVoices           = 2               // independent copies that must find the same, besides the zones' rule
	MaxEjectedFraction    = 0.3             // of a pool that hearsay may condemn
	sharedFrom            = 0.34            // of a pool that is bad for the same copy: then it is not the servers
	tellGap               = time.Second     // between what a copy tells of one server
	MaxForwardedReporters = 16              // voices on a server, beyond which a copy hands no more on
	probeSpan             = 2 * time.Second // in each such span one copy in all may try a condemned server
	mostServers           = 16384
	mostVoices            = 64 // on one server: of more, the youngest are kept
	oldest                = 6 * HalfLife
)

// Evidence is what one copy saw of one server, as counts that decay: a part of
// the latest calls, and how many they were.
type Evidence struct {
	Reporter        string  `json:"Reporter"`
	Epoch           uint64  `json:"Epoch"`
	Version         uint64  `json:"Version"`
	Zone            string  `json:"Zone"` // of the reporter
	Endpoint        uint64  `json:"Server"`
	StartedAt       int64   `json:"Since"` // the server's start: evidence on another start is worth nothing
	Attempts        float64 `json:"Calls"`
	Errors          float64 `json:"Errors"` // part failed or was turned away
	Timeouts        float64 `json:"Hangs"`  // part that did not answer in time, or could not be reached
	RelativeLatency float64 `json:"Slow"`   // latency against the reporter's other servers
	PeerErrorRate   float64 `json:"Peers"`  // part of the calls to its other servers that failed
}

func (e *Evidence) sound() bool {
	for _, f := range []float64{e.Attempts, e.Errors, e.Timeouts, e.RelativeLatency, e.PeerErrorRate} {
		if !(f >= 0 && f < 1e9) {
			return false
		}
	}
	return e.Reporter != "" && e.Errors+e.Timeouts <= e.Attempts*1.0001 && e.PeerErrorRate <= 1
}

// bad tells whether evidence is against its server.
func (e *Evidence) bad(calls float64) bool {
	if calls < leastCalls {
		return false
	}
	part := (e.Errors + e.Timeouts) / e.Attempts
	return part >= badFrom && part >= overPeers*e.PeerErrorRate || e.RelativeLatency >= slowFrom
}

type voice struct {
	Evidence
	at time.Duration
}

type own struct {
	calls, slow  float64 // calls decay
	failed, hung float64 // part of the latest calls
	since        int64
	at           time.Duration
	fresh        int           // calls since it was told
	told         time.Duration // when
	said         bool          // that it looks bad
	spoke        bool          // anything at all
	last         time.Duration // its latest call
}

// Endpoint is one of a pool's, as its own list has it.
type Endpoint struct {
	ID        uint64
	StartedAt int64
}

// Verdict is what a reader draws.
type Verdict struct {
	Endpoint  uint64
	Reporters []string // copies whose evidence it rests on
	Zones     []string
	Bad       bool
	Reason    string
}

// Detector is one copy's evidence and what it has heard. It is not safe for
// concurrent use.
type Detector struct {
	name, zone string
	epoch      uint64
	version    uint64
	now        time.Duration
	own        map[uint64]*own
	voices     map[uint64]map[string]*voice
	BadItems   uint64
}

// New returns a copy's verdicts.
func New(name, zone string, epoch uint64) *Detector {
	return &Detector{name: name, zone: zone, epoch: epoch, own: map[uint64]*own{}, voices: map[uint64]map[string]*voice{}}
}

func fade(d time.Duration) float64 { return math.Exp2(-float64(max(d, 0)) / float64(HalfLife)) }

// Outcome says how a call of this copy ended.
type Outcome uint8

// The outcomes that count.
const (
	Succeeded Outcome = iota
	Failed
	TimedOut
)

// RecordOutcome books a call of this copy. slow is how long it took against the usual, 0 if
// that says nothing.
func (v *Detector) RecordOutcome(now time.Duration, s Endpoint, o Outcome, slow float64) {
	v.now = max(v.now, now)
	e := v.own[s.ID]
	if e == nil || e.since != s.StartedAt {
		if e == nil && len(v.own) >= mostServers {
			return
		}
		e = &own{since: s.StartedAt, at: v.now, slow: 1}
		v.own[s.ID] = e
	}
	v.age(e)
	// The latest calls weigh most: a copy that sends a call a second must not need many to notice.
	failed, hung := 0.0, 0.0
	switch o {
	case Failed:
		failed = 1
	case TimedOut:
		hung = 1
	}
	if e.calls < 0.01 {
		e.failed, e.hung = failed, hung
	}
	e.failed += newest * (failed - e.failed)
	e.hung += newest * (hung - e.hung)
	e.calls++
	e.fresh++
	e.last = v.now
	if slow > 0 && slow < 1e6 {
		e.slow += 0.2 * (slow - e.slow)
	}
}

func (v *Detector) age(e *own) {
	left := fade(v.now - e.at)
	e.calls, e.slow, e.at = e.calls*left, 1+(e.slow-1)*left, v.now
}

// PendingEvidence is what this copy tells others: on servers that look bad to it, or did
// when it told last, and on those that others say look bad, since what it saw of them
// may be good.
func (v *Detector) PendingEvidence(now time.Duration) (out []Evidence) {
	v.now = max(v.now, now)
	calls, bad := 0.0, 0.0
	for id, e := range v.own {
		if v.age(e); e.calls < 0.05 {
			delete(v.own, id)
			continue
		}
		calls, bad = calls+e.calls, bad+e.calls*(e.failed+e.hung)
	}
	v.version++
	for _, id := range sorted(v.own) {
		e := v.own[id]
		peers := 0.0
		if rest := calls - e.calls; rest > 0 {
			peers = min((bad-e.calls*(e.failed+e.hung))/rest, 1)
		}
		one := Evidence{Reporter: v.name, Epoch: v.epoch, Version: v.version, Zone: v.zone, Endpoint: id, StartedAt: e.since, Attempts: e.calls, Errors: e.calls * e.failed, Timeouts: e.calls * e.hung,
			RelativeLatency: e.slow, PeerErrorRate: max(peers, 0)}
		against := one.bad(one.Attempts)
		// What has changed, and that seldom: others need a few voices, not all that each has to say.
		switch {
		case against != e.said && (against || e.calls >= 2):
		case e.fresh == 0, e.spoke && v.now-e.told < tellGap, !against && (!v.asked(id) || v.now-e.last > tellGap):
			continue
		}
		e.said, e.spoke, e.fresh, e.told = against, true, 0, v.now
		out = append(out, one)
	}
	return out
}

// asked tells whether others have said lately that a server looks bad.
func (v *Detector) asked(id uint64) bool {
	for _, o := range v.voices[id] {
		if v.now-o.at < HalfLife && o.bad(o.Attempts) {
			return true
		}
	}
	return false
}

func names(m map[string]*voice) []string {
	all := make([]string, 0, len(m))
	for name := range m {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

func sorted[V any](m map[uint64]V) []uint64 {
	ids := make([]uint64, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Merge takes another's evidence in, and tells whether it was news.
func (v *Detector) Merge(now time.Duration, e Evidence, age time.Duration) bool {
	v.now = max(v.now, now)
	if !e.sound() || age < 0 {
		v.BadItems++
		return false
	}
	if e.Reporter == v.name || age > oldest {
		return false
	}
	all := v.voices[e.Endpoint]
	if all == nil {
		if len(v.voices) >= mostServers {
			return false
		}
		all = map[string]*voice{}
		v.voices[e.Endpoint] = all
	}
	old := all[e.Reporter]
	switch {
	case old != nil && (e.Epoch < old.Epoch || e.Epoch == old.Epoch && e.Version <= old.Version):
		return false
	case old == nil && len(all) >= mostVoices:
		youngest := e.Reporter
		at := v.now - age
		for name, o := range all {
			if o.at < at || o.at == at && name > youngest {
				youngest, at = name, o.at
			}
		}
		if youngest == e.Reporter {
			return false
		}
		delete(all, youngest)
	}
	all[e.Reporter] = &voice{e, v.now - age}
	return true
}

// ForgetReporter drops what a copy that left has said.
func (v *Detector) ForgetReporter(reporter string) {
	for _, all := range v.voices {
		delete(all, reporter)
	}
}

// Evaluate draws judgements on the servers of a pool. zones is how many zones copies
// stand in. What only copies of one zone have seen holds for that zone alone: a cut
// between zones looks like dead servers from one side.
func (v *Detector) Evaluate(now time.Duration, servers []Endpoint, zones int) []Verdict {
	v.now = max(v.now, now)
	listed := make(map[uint64]int64, len(servers))
	for _, s := range servers {
		listed[s.ID] = s.StartedAt
	}
	// A copy for which much of the pool is bad says something of itself, or of what all share.
	against := map[string]int{}
	for id, all := range v.voices {
		since, here := listed[id]
		for name, o := range all {
			if v.now-o.at > oldest {
				delete(all, name)
			} else if here && o.StartedAt == since && o.bad(o.Attempts*fade(v.now-o.at)) {
				against[name]++
			}
		}
		if len(all) == 0 {
			delete(v.voices, id)
		}
	}
	mine := 0
	for _, s := range servers {
		if v.mine(s) {
			mine++
		}
	}
	many := max(sharedFrom*float64(len(servers)), 1)
	type weighed struct {
		Verdict
		weight float64
	}
	var found []weighed
	for _, s := range servers {
		j := Verdict{Endpoint: s.ID}
		var sum struct{ weight, bad, peers, slow float64 }
		weigh := func(who, zone string, e *Evidence, calls float64) {
			if calls <= 0 || e.Attempts <= 0 {
				return
			}
			w := min(calls, mostWeight)
			sum.weight, sum.bad = sum.weight+w, sum.bad+w*(e.Errors+e.Timeouts)/e.Attempts
			sum.peers, sum.slow = sum.peers+w*e.PeerErrorRate, sum.slow+w*e.RelativeLatency
			if !e.bad(max(calls, leastCalls)) {
				return
			}
			j.Reporters = append(j.Reporters, who)
			if !slices.Contains(j.Zones, zone) {
				j.Zones = append(j.Zones, zone)
			}
		}
		for _, name := range names(v.voices[s.ID]) {
			if o := v.voices[s.ID][name]; o.StartedAt == s.StartedAt && float64(against[name]) <= many {
				weigh(name, o.Zone, &o.Evidence, o.Attempts*fade(v.now-o.at))
			}
		}
		if e := v.own[s.ID]; e != nil && e.since == s.StartedAt && float64(mine) <= many {
			weigh(v.name, v.zone, &Evidence{Attempts: e.calls, Errors: e.calls * e.failed, Timeouts: e.calls * e.hung, RelativeLatency: e.slow}, e.calls*fade(v.now-e.at))
		}
		slices.Sort(j.Reporters)
		slices.Sort(j.Zones)
		own := len(j.Zones) == 1 && j.Zones[0] == v.zone
		part, peers, slow := sum.bad/max(sum.weight, 1e-9), sum.peers/max(sum.weight, 1e-9), sum.slow/max(sum.weight, 1e-9)
		if sum.weight >= leastWeight && len(j.Reporters) >= leastVoices && (zones < 2 || len(j.Zones) >= 2 || own) &&
			(part >= badFrom && part >= overPeers*peers || slow >= slowFrom) {
			found = append(found, weighed{j, sum.weight})
		}
	}
	// At most a part of the pool, and never the last two: the worst first.
	slices.SortStableFunc(found, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	most := int(MaxEjectedFraction * float64(len(servers)))
	var out []Verdict
	for i := range found {
		if i >= most {
			break
		}
		j := found[i].Verdict
		j.Bad, j.Reason = true, "seen by several copies"
		out = append(out, j)
	}
	return out
}

// mine tells whether a server is bad by this copy's own evidence.
func (v *Detector) mine(s Endpoint) bool {
	e := v.own[s.ID]
	if e == nil || e.since != s.StartedAt {
		return false
	}
	one := Evidence{Attempts: e.calls, Errors: e.calls * e.failed, Timeouts: e.calls * e.hung, RelativeLatency: e.slow}
	return one.bad(e.calls * fade(v.now-e.at))
}

// ShouldProbe tells whether this copy may try a condemned server now: of all copies one
// at a time does, so that the probing share is divided and not multiplied. clock is
// a time that all know about alike; being wrong about it costs a probe.
func ShouldProbe(server uint64, clock time.Duration, self, of int) bool {
	slot := uint64(clock / probeSpan)
	return int(seedrand.Mix(server^seedrand.Mix(slot))%uint64(max(of, 1))) == self
}

// EvidenceAgainst are all voices on a server, as people read them.
func (v *Detector) EvidenceAgainst(server uint64) (out []Evidence) {
	for _, o := range v.voices[server] {
		e := o.Evidence
		left := fade(v.now - o.at)
		e.Attempts, e.Errors, e.Timeouts = e.Attempts*left, e.Errors*left, e.Timeouts*left
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Evidence) int { return cmp.Compare(a.Reporter, b.Reporter) })
	return out
}

// ReporterCount is how many are heard on a server.
func (v *Detector) ReporterCount(server uint64) int { return len(v.voices[server]) }

// AllEvidence is every voice, by server and reporter.
func (v *Detector) AllEvidence() (out []Evidence) {
	for _, id := range sorted(v.voices) {
		out = append(out, v.EvidenceAgainst(id)...)
	}
	return out
}
