// Package statesync spreads what copies share, budgets, counts and evidence, within a
// budget of bytes: what is new and most needed goes first, differences rather than
// whole tables. It is pure.
package statesync

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ryerill/fleet/counter"
	"ryerill/fleet/outlier"
	"ryerill/fleet/quota"
	"ryerill/internal/seedrand"
)

// How news is spread.
const (
	Interval      = 200 * time.Millisecond // between ticks
	payload       = 900                    // bytes of a datagram that are its own
	fanout        = 3
	retransmit    = 4
	mostItems     = 2048 // in the queue; of more, those sent most go
	tallyEvery    = time.Second
	zoneEvery     = 2 * time.Second
	evidenceGap   = 200 * time.Millisecond
	DefaultBudget = 1500 // bytes a second
	sparePart     = 0.5  // of the budget is for counts, which would take all of it in a large fleet
)

// Config says what is shared.
type Config struct {
	Name, Zone                 string
	Epoch, Seed                uint64
	LostState                  bool // this copy restarted and does not know what it had lent
	Quotas, Counters, Evidence bool
	BytesPerSecond             int
}

// Peer is another copy that is there.
type Peer struct{ Name, Zone string }

// aged is an item with how old it was when it was sent.
type aged[T any] struct {
	AgeMS int64 `cbor:"1,keyasint,omitempty"`
	Item  T     `cbor:"2,keyasint"`
}

type wireCounts struct {
	Pool     string `cbor:"1,keyasint,omitempty"`
	Class    string `cbor:"2,keyasint,omitempty"`
	Tenant   string `cbor:"3,keyasint,omitempty"`
	Arrivals uint64 `cbor:"4,keyasint,omitempty"`
	Served   uint64 `cbor:"5,keyasint,omitempty"`
	Refused  uint64 `cbor:"6,keyasint,omitempty"`
	Failed   uint64 `cbor:"7,keyasint,omitempty"`
	InFlight int64  `cbor:"8,keyasint,omitempty"`
}

type wireTally struct {
	Name    string       `cbor:"1,keyasint"`
	Epoch   uint64       `cbor:"2,keyasint"`
	Version uint64       `cbor:"3,keyasint"`
	Zone    string       `cbor:"4,keyasint,omitempty"`
	Members int          `cbor:"5,keyasint,omitempty"`
	Counts  []wireCounts `cbor:"6,keyasint,omitempty"`
}

// Packet is what one copy sends another.
type Packet struct {
	Quotas   []quota.Message          `cbor:"1,keyasint,omitempty"`
	Counters []aged[wireTally]        `cbor:"2,keyasint,omitempty"`
	Evidence []aged[outlier.Evidence] `cbor:"3,keyasint,omitempty"`
}

// Outgoing is a packet for somebody.
type Outgoing struct {
	To      string
	Payload []byte
}

type item struct {
	key    string
	since  time.Duration // when it was true
	times  int
	urgent bool
	tally  *wireTally
	seen   *outlier.Evidence
	size   int
}

// Syncer is one copy's side. It is not safe for concurrent use.
type Syncer struct {
	cfg                         Config
	rng                         seedrand.Source
	dec                         cbor.DecMode
	now                         time.Duration
	Quotas                      *quota.Manager
	Counters                    *counter.Set
	Outliers                    *outlier.Detector
	queue                       []item
	credit                      float64
	creditAt                    time.Duration
	peers                       []Peer
	nextOwn, nextZone, nextSeen time.Duration
	Stats                       Stats
}

// Stats count what passed.
type Stats struct {
	PacketsIn  uint64 `json:"PacketsIn"`
	PacketsOut uint64 `json:"PacketsOut"`
	BytesIn    uint64 `json:"BytesIn"`
	BytesOut   uint64 `json:"BytesOut"`
	Invalid    uint64 `json:"Bad"`
	Unsent     uint64 `json:"Unsent"`
}

// New returns a copy's side.
func New(cfg Config, now time.Duration) (*Syncer, error) {
	if cfg.BytesPerSecond <= 0 {
		cfg.BytesPerSecond = DefaultBudget
	}
	dec, err := cbor.DecOptions{MaxArrayElements: 4096, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode() // bounds of a packet
	if err != nil {
		return nil, err
	}
	return &Syncer{dec: dec, cfg: cfg, rng: seedrand.Source(cfg.Seed), now: now, creditAt: now, Quotas: quota.New(cfg.Name, cfg.Epoch, cfg.Seed, cfg.LostState, now),
		Counters: counter.New(cfg.Name, cfg.Zone, cfg.Epoch), Outliers: outlier.New(cfg.Name, cfg.Zone, cfg.Epoch)}, nil
}

// Tick sends what is due to copies that are there.
func (s *Syncer) Tick(now time.Duration, peers []Peer) (out []Outgoing) {
	s.now, s.peers = max(s.now, now), peers
	s.credit = min(s.credit+float64(s.cfg.BytesPerSecond)*(s.now-s.creditAt).Seconds(), 4*float64(s.cfg.BytesPerSecond))
	s.creditAt = s.now
	direct := map[string]*Packet{}
	if s.cfg.Quotas {
		for _, a := range s.Quotas.Tick(s.now, nil) {
			p := direct[a.To]
			if p == nil {
				p = &Packet{}
				direct[a.To] = p
			}
			p.Quotas = append(p.Quotas, a.Message)
		}
	}
	if s.cfg.Counters {
		s.count()
	}
	if s.cfg.Evidence && s.now >= s.nextSeen {
		s.nextSeen = s.now + evidenceGap
		for _, e := range s.Outliers.PendingEvidence(s.now) {
			s.put(item{key: fmt.Sprintf("e%x/%s", e.Endpoint, e.Reporter), since: s.now, urgent: true, seen: &e, size: 48 + len(e.Reporter) + len(e.Zone)})
		}
	}
	for _, to := range sortedKeys(direct) {
		out = s.send(out, to, direct[to])
	}
	for range min(fanout, len(peers)) {
		if len(s.queue) == 0 || s.credit <= 0 {
			break
		}
		to := peers[s.rng.Uint64()%uint64(len(peers))]
		if p := s.pack(to); p != nil {
			out = s.send(out, to.Name, p)
		}
	}
	return out
}

func sortedKeys(m map[string]*Packet) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// count makes this copy's counts news, and its zone's if it speaks for it. The larger
// the zone, the more seldom: all of them share one budget.
func (s *Syncer) count() {
	var zone []string
	speaks := true
	for _, p := range s.peers {
		if p.Zone == s.cfg.Zone {
			zone = append(zone, p.Name)
			speaks = speaks && s.cfg.Name < p.Name
		}
	}
	if s.now >= s.nextOwn {
		it := s.tallyItem(s.Counters.LocalUpdate(s.now))
		gap := time.Duration(float64(len(zone)*it.size) / (sparePart * float64(s.cfg.BytesPerSecond)) * float64(time.Second))
		s.nextOwn = s.now + max(gap, tallyEvery)
		s.put(it)
	}
	if speaks && s.now >= s.nextZone && len(zone) < len(s.peers) {
		s.nextZone = s.now + zoneEvery
		s.put(s.tallyItem(s.Counters.ZoneUpdate(s.now, zone)))
	}
}

func (s *Syncer) tallyItem(t counter.Update) item {
	w := &wireTally{Name: t.Name, Epoch: t.Epoch, Version: t.Version, Zone: t.Zone, Members: t.Members}
	size := 48 + len(t.Name) + len(t.Zone)
	for k, c := range t.Counts {
		w.Counts = append(w.Counts, wireCounts{Pool: k.Pool, Class: k.Class, Tenant: k.Tenant, Arrivals: c.Arrivals, Served: c.Served, Refused: c.Refused, Failed: c.Failed, InFlight: c.InFlight})
		size += 34 + len(k.Pool) + len(k.Class) + len(k.Tenant)
	}
	slices.SortFunc(w.Counts, func(a, b wireCounts) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tenant, b.Tenant))
	})
	for size > payload && len(w.Counts) > 0 { // a datagram's worth: the last keys wait for none
		last := w.Counts[len(w.Counts)-1]
		w.Counts = w.Counts[:len(w.Counts)-1]
		size -= 34 + len(last.Pool) + len(last.Class) + len(last.Tenant)
	}
	return item{key: "t" + t.Zone + "/" + t.Name, since: s.now - time.Duration(t.AgeMS)*time.Millisecond, tally: w, size: size}
}

// put makes an item news in the place of an older one of its key.
func (s *Syncer) put(it item) {
	s.queue = slices.DeleteFunc(s.queue, func(o item) bool { return o.key == it.key })
	if len(s.queue) >= mostItems {
		s.queue = s.queue[:mostItems-1]
	}
	at, _ := slices.BinarySearchFunc(s.queue, it, compare)
	s.queue = slices.Insert(s.queue, at, it)
}

// compare has what is urgent come first, and of that what was sent least.
func compare(a, b item) int {
	if a.urgent != b.urgent {
		if a.urgent {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.times, b.times)
}

// pack takes of the queue what fits and concerns the other.
func (s *Syncer) pack(to Peer) *Packet {
	p, room, taken := &Packet{}, payload, false
	for i := range s.queue {
		it := &s.queue[i]
		// Of another zone its sums are enough.
		if it.size > room || it.tally != nil && (it.tally.Zone == "" && to.Zone != s.cfg.Zone || it.tally.Zone != "" && it.tally.Zone == to.Zone) {
			continue
		}
		room -= it.size
		taken = true
		it.times++
		age := (s.now - it.since).Milliseconds()
		switch {
		case it.tally != nil:
			p.Counters = append(p.Counters, aged[wireTally]{AgeMS: age, Item: *it.tally})
		default:
			p.Evidence = append(p.Evidence, aged[outlier.Evidence]{AgeMS: age, Item: *it.seen})
		}
		if room < 60 {
			break
		}
	}
	if !taken {
		return nil
	}
	most := retransmit * digits(len(s.peers)+1)
	s.queue = slices.DeleteFunc(s.queue, func(it item) bool { return it.times >= most })
	slices.SortStableFunc(s.queue, compare)
	return p
}

func digits(n int) (d int) {
	for ; n > 0; n /= 10 {
		d++
	}
	return d
}

func (s *Syncer) send(out []Outgoing, to string, p *Packet) []Outgoing {
	text, err := cbor.Marshal(p)
	if err != nil {
		s.Stats.Unsent++
		return out
	}
	s.credit -= float64(len(text))
	s.Stats.PacketsOut++
	s.Stats.BytesOut += uint64(len(text))
	return append(out, Outgoing{to, text})
}

// Receive takes a packet in.
func (s *Syncer) Receive(now time.Duration, from string, text []byte) (out []Outgoing) {
	s.now = max(s.now, now)
	s.Stats.PacketsIn++
	s.Stats.BytesIn += uint64(len(text))
	var p Packet
	if err := s.dec.Unmarshal(text, &p); err != nil {
		s.Stats.Invalid++
		return nil
	}
	if s.cfg.Quotas {
		var answer Packet
		for _, m := range p.Quotas {
			for _, a := range s.Quotas.Handle(s.now, from, m, nil) {
				if a.To == from {
					answer.Quotas = append(answer.Quotas, a.Message)
				}
			}
		}
		if len(answer.Quotas) > 0 {
			out = s.send(out, from, &answer)
		}
	}
	if s.cfg.Counters {
		for i := range p.Counters {
			s.hearTally(&p.Counters[i])
		}
	}
	if s.cfg.Evidence {
		for i := range p.Evidence {
			e := &p.Evidence[i]
			age := time.Duration(min(max(e.AgeMS, -1), 1e9)) * time.Millisecond
			if s.Outliers.Merge(s.now, e.Item, age) && s.Outliers.ReporterCount(e.Item.Endpoint) <= outlier.MaxForwardedReporters {
				s.put(item{key: fmt.Sprintf("e%x/%s", e.Item.Endpoint, e.Item.Reporter), since: s.now - age, times: 1, urgent: true, seen: &e.Item, size: 48 + len(e.Item.Reporter) + len(e.Item.Zone)})
			}
		}
	}
	return out
}

func (s *Syncer) hearTally(t *aged[wireTally]) {
	w := &t.Item
	in := counter.Update{Name: w.Name, Epoch: w.Epoch, Version: w.Version, Zone: w.Zone, Members: w.Members, AgeMS: t.AgeMS, Counts: make(map[counter.Key]counter.Counts, len(w.Counts))}
	for _, c := range w.Counts {
		in.Counts[counter.Key{Pool: c.Pool, Class: c.Class, Tenant: c.Tenant}] = counter.Counts{Arrivals: c.Arrivals, Served: c.Served, Refused: c.Refused, Failed: c.Failed, InFlight: c.InFlight}
	}
	if s.Counters.Merge(s.now, in) {
		it := s.tallyItem(in)
		it.times = 1
		s.put(it)
	}
}

// ExpireReplica says that starts of a copy up to an epoch are over.
func (s *Syncer) ExpireReplica(name string, epoch uint64) {
	s.Counters.Expire(name, epoch)
	s.Outliers.ForgetReporter(name)
	s.queue = slices.DeleteFunc(s.queue, func(it item) bool { return it.tally != nil && it.tally.Name == name && it.tally.Epoch <= epoch })
}
