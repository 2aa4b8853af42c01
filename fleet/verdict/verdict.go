// Package verdict draws judgements on servers from what several copies have seen of
// them. Copies tell each other evidence, never judgements, and each reader judges for
// itself, so that one copy that lies, or a zone that is cut off, condemns nobody for
// the rest. It is pure.
package verdict

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// How judgements are drawn.
const (
	HalfLife    = 4 * time.Second // of evidence: a server heals
	leastCalls  = 3.0             // of a copy, before what it saw is evidence
	badFrom     = 0.5             // part of the calls that failed or hung from which a server is bad for a copy,
	overPeers   = 3.0             // if it is so many times that of its peers there,
	slowFrom    = 3.0             // or so many times slower than its peers
	leastVoices = 2               // independent copies that must find the same, besides the zones' rule
	Most        = 0.3             // of a pool that hearsay may condemn
	sharedFrom  = 0.34            // of a pool that is bad for the same copy: then it is not the servers
	probeSpan   = 2 * time.Second // in each such span one copy in all may try a condemned server
	mostServers = 16384
	mostVoices  = 64 // on one server: of more, the youngest are kept
	oldest      = 6 * HalfLife
)

// Evidence is what one copy saw of one server, as counts that decay.
type Evidence struct {
	Reporter string
	Epoch    uint64
	Version  uint64
	Zone     string // of the reporter
	Server   uint64
	Since    int64 // the server's start: evidence on another start is worth nothing
	Calls    float64
	Errors   float64 // part failed or was turned away
	Hangs    float64 // part that did not answer in time, or could not be reached
	Slow     float64 // latency against the reporter's other servers
	Peers    float64 // part of the calls to its other servers that failed
}

func (e *Evidence) sound() bool {
	for _, f := range []float64{e.Calls, e.Errors, e.Hangs, e.Slow, e.Peers} {
		if !(f >= 0 && f < 1e9) {
			return false
		}
	}
	return e.Reporter != "" && e.Errors+e.Hangs <= e.Calls*1.0001 && e.Peers <= 1
}

// bad tells whether evidence is against its server.
func (e *Evidence) bad(calls float64) bool {
	if calls < leastCalls {
		return false
	}
	part := (e.Errors + e.Hangs) / e.Calls
	return part >= badFrom && part >= overPeers*e.Peers || e.Slow >= slowFrom
}

type voice struct {
	Evidence
	at time.Duration
}

type own struct {
	calls, errors, hangs, slow float64
	since                      int64
	at                         time.Duration
}

// Server is one of a pool's, as its own list has it.
type Server struct {
	ID    uint64
	Since int64
}

// Judgement is what a reader draws.
type Judgement struct {
	Server uint64
	By     []string // copies whose evidence it rests on
	Zones  []string
	Bad    bool
	Why    string
}

// Verdict is one copy's evidence and what it has heard. It is not safe for
// concurrent use.
type Verdict struct {
	name, zone string
	epoch      uint64
	version    uint64
	now        time.Duration
	own        map[uint64]*own
	voices     map[uint64]map[string]*voice
	told       map[uint64]bool
	BadItems   uint64
}

// New returns a copy's verdicts.
func New(name, zone string, epoch uint64) *Verdict {
	return &Verdict{name: name, zone: zone, epoch: epoch, own: map[uint64]*own{}, voices: map[uint64]map[string]*voice{}, told: map[uint64]bool{}}
}

func fade(d time.Duration) float64 { return math.Exp2(-float64(max(d, 0)) / float64(HalfLife)) }

// Outcome says how a call of this copy ended.
type Outcome uint8

// The outcomes that count.
const (
	Good Outcome = iota
	Failed
	Hung
)

// Saw books a call of this copy. slow is how long it took against the usual, 0 if
// that says nothing.
func (v *Verdict) Saw(now time.Duration, s Server, o Outcome, slow float64) {
	v.now = max(v.now, now)
	e := v.own[s.ID]
	if e == nil || e.since != s.Since {
		if e == nil && len(v.own) >= mostServers {
			return
		}
		e = &own{since: s.Since, at: v.now, slow: 1}
		v.own[s.ID] = e
	}
	v.age(e)
	e.calls++
	switch o {
	case Failed:
		e.errors++
	case Hung:
		e.hangs++
	}
	if slow > 0 && slow < 1e6 {
		e.slow += 0.2 * (slow - e.slow)
	}
}

func (v *Verdict) age(e *own) {
	left := fade(v.now - e.at)
	e.calls, e.errors, e.hangs, e.slow, e.at = e.calls*left, e.errors*left, e.hangs*left, 1+(e.slow-1)*left, v.now
}

// Evidence is what this copy tells others: on servers that look bad to it, and on
// those that did when it told last.
func (v *Verdict) Evidence(now time.Duration) (out []Evidence) {
	v.now = max(v.now, now)
	calls, bad := 0.0, 0.0
	for id, e := range v.own {
		if v.age(e); e.calls < 0.05 {
			delete(v.own, id)
			continue
		}
		calls, bad = calls+e.calls, bad+e.errors+e.hangs
	}
	v.version++
	for _, id := range sorted(v.own) {
		e := v.own[id]
		peers := 0.0
		if rest := calls - e.calls; rest > 0 {
			peers = min((bad-e.errors-e.hangs)/rest, 1)
		}
		one := Evidence{Reporter: v.name, Epoch: v.epoch, Version: v.version, Zone: v.zone, Server: id, Since: e.since, Calls: e.calls, Errors: e.errors, Hangs: e.hangs,
			Slow: e.slow, Peers: max(peers, 0)}
		if against := one.bad(one.Calls); against || v.told[id] {
			if v.told[id] = against; !against {
				delete(v.told, id)
			}
			out = append(out, one)
		}
	}
	return out
}

func sorted[V any](m map[uint64]V) []uint64 {
	ids := make([]uint64, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Hear takes another's evidence in, and tells whether it was news.
func (v *Verdict) Hear(now time.Duration, e Evidence, age time.Duration) bool {
	v.now = max(v.now, now)
	if !e.sound() || age < 0 {
		v.BadItems++
		return false
	}
	if e.Reporter == v.name || age > oldest {
		return false
	}
	all := v.voices[e.Server]
	if all == nil {
		if len(v.voices) >= mostServers {
			return false
		}
		all = map[string]*voice{}
		v.voices[e.Server] = all
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

// Forget drops what a copy that left has said.
func (v *Verdict) Forget(reporter string) {
	for _, all := range v.voices {
		delete(all, reporter)
	}
}

// Judge draws judgements on the servers of a pool. zones is how many zones copies
// stand in. What only copies of one zone have seen holds for that zone alone: a cut
// between zones looks like dead servers from one side.
func (v *Verdict) Judge(now time.Duration, servers []Server, zones int) []Judgement {
	v.now = max(v.now, now)
	listed := make(map[uint64]int64, len(servers))
	for _, s := range servers {
		listed[s.ID] = s.Since
	}
	// A copy for which much of the pool is bad says something of itself, or of what all share.
	against := map[string]int{}
	for id, all := range v.voices {
		since, here := listed[id]
		for name, o := range all {
			if v.now-o.at > oldest {
				delete(all, name)
			} else if here && o.Since == since && o.bad(o.Calls*fade(v.now-o.at)) {
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
		Judgement
		weight float64
	}
	var found []weighed
	for _, s := range servers {
		j := Judgement{Server: s.ID}
		weight := 0.0
		for name, o := range v.voices[s.ID] {
			calls := o.Calls * fade(v.now-o.at)
			if o.Since != s.Since || !o.bad(calls) || float64(against[name]) > many {
				continue
			}
			j.By = append(j.By, name)
			if !slices.Contains(j.Zones, o.Zone) {
				j.Zones = append(j.Zones, o.Zone)
			}
			weight += min(calls/leastCalls, 2) // no copy weighs more than two
		}
		if v.mine(s) && float64(mine) <= many {
			j.By = append(j.By, v.name)
			if !slices.Contains(j.Zones, v.zone) {
				j.Zones = append(j.Zones, v.zone)
			}
			weight += 1
		}
		slices.Sort(j.By)
		slices.Sort(j.Zones)
		own := len(j.Zones) == 1 && j.Zones[0] == v.zone
		if len(j.By) >= leastVoices && (zones < 2 || len(j.Zones) >= 2 || own) {
			found = append(found, weighed{j, weight})
		}
	}
	// At most a part of the pool, and never the last two: the worst first.
	slices.SortStableFunc(found, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	most := int(Most * float64(len(servers)))
	var out []Judgement
	for i := range found {
		if i >= most {
			break
		}
		j := found[i].Judgement
		j.Bad, j.Why = true, "seen by several copies"
		out = append(out, j)
	}
	return out
}

// mine tells whether a server is bad by this copy's own evidence.
func (v *Verdict) mine(s Server) bool {
	e := v.own[s.ID]
	if e == nil || e.since != s.Since {
		return false
	}
	one := Evidence{Calls: e.calls, Errors: e.errors, Hangs: e.hangs, Slow: e.slow}
	return one.bad(e.calls * fade(v.now-e.at))
}

// Probes tells whether this copy may try a condemned server now: of all copies one
// at a time does, so that the probing share is divided and not multiplied. clock is
// a time that all know about alike; being wrong about it costs a probe.
func Probes(server uint64, clock time.Duration, self, of int) bool {
	slot := uint64(clock / probeSpan)
	z := server ^ slot*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z ^= z >> 27
	return int(z%uint64(max(of, 1))) == self
}

// Heard are all voices on a server, as people read them.
func (v *Verdict) Heard(server uint64) (out []Evidence) {
	for _, o := range v.voices[server] {
		e := o.Evidence
		left := fade(v.now - o.at)
		e.Calls, e.Errors, e.Hangs = e.Calls*left, e.Errors*left, e.Hangs*left
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Evidence) int { return cmp.Compare(a.Reporter, b.Reporter) })
	return out
}

// All is every voice, by server and reporter.
func (v *Verdict) All() (out []Evidence) {
	for _, id := range sorted(v.voices) {
		out = append(out, v.Heard(id)...)
	}
	return out
}
