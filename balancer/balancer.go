package balancer

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Settings: ratios of what Config states, so that they hold for deployments of any pace and size.
const (
	windowShare  = 0.125 // windowSize in shortest aims: a slow-down chokes servers within an aim or two
	minRequests  = 8     // samples for a verdict, or as many as the ceiling holds: quiet copies are many
	maxSamples   = 256   // buffered latencies; the oldest are overwritten
	overdueAt    = 0.6   // part of the servers with calls out that must have one beyond Lmax out
	percentile   = 60    // above the median, yet slow or hung servers and chance hardly move it
	lmaxShare    = 0.6   // Lmax in aims at the front: the rest is kept for what queues next,
	lmaxInTime   = 0.55  // and more of it where late answers are worth nothing: jams cost all then
	backoffRatio = 0.9   // a cut; windows are short, and several in one aim still fall fast
	leastRatio   = 0.5   // of the cuts of several windows at once, as backoffRatio may be at least
	maxSeats     = 10.0  // maxConcurrencyLimit for each server: on calm days it must not bind
	startSeats   = 8.0   // initialConcurrencyLimit for each server: more is for when other copies are away,
	startInTime  = 4.0   // and less where late answers are worth nothing: a start that jams loses all
	minSeats     = 1.0   // minConcurrencyLimit for each server: less would leave servers idle
	mostStep     = 0.1   // growth is 1, but no more than this part of the ceiling: many copies grow at once
	bunching     = 3.0   // calls above the limit that chance may bunch,
	spareSpan    = 0.25  // paid back over this many aims: on average the limit holds
	nearSeats    = 0.7   // servers that a copy keeps to, for each call that its seats hold,
	leastNear    = 2.0   // but no fewer than these: all copies near to a server can fill it
	leastOwn     = 0.17  // part of the servers that a zone must have for its copies to keep to them
	leastAt      = 0.7   // part of the limit open to requests worth nothing; those worth most find all of it
	quotaBurst   = 2.0   // seconds of quota that a tenant may save up
	hopeless     = 0.3   // less time left than this part of the usual latency: answer at once
	memoryPart   = 0.9   // of the memory span of keyed work is used: what counts is when a repeat arrives
	aimMargin    = 0.97  // calls are given up shortly before the aim: after it an answer is worth nothing
	mostHeld     = 15.0  // seats that failures can hold: bounds how long a healed server is shunned
	heldHalf     = 2.0   // half-life of held seats, in aims
	slowFrom     = 1.5   // a server this much slower than its peers holds a seat, twice as much two
	slowGain     = 0.25  // weight of the newest answer in how slow a server is
	meanGain     = 0.05  // weight of the newest answer in a class's usual latency
	quickShare   = 0.25  // an error within this part of the usual latency was not made deeper down
	remember     = 2.0   // a server is remembered for this many WarmUps after it was last listed, or served
	coldSafety   = 0.5   // part of the cold budget used: the estimate is rough and chance bunches calls
	askWithin    = 10e9  // ns, or the contract's, if less: drains go unheard while a watch is broken
	exactUpTo    = 128   // servers among which the best is picked; of more, so many of each shelf are looked at:
	mostLooked   = 20    // enough that none picked ranks worse, as measured, though it may be slower
)

// Balancer decides for one node. It is not safe for concurrent use.
type Balancer struct {
	cfg        Config
	rng        uint64
	began, now time.Duration
	out        []Action
	aim        time.Duration // the shortest aim of a class

	ifr, beside                int // calls in flight, and those of others at this place: one limit is for all,
	sharers, parts             int // and so are quotas and cold budgets, of which each copy has one of so many
	maxIFR, floor, ceiling     float64
	spare                      float64 // seats unused of late, or overdrawn
	rateAt, spareAt, windowEnd time.Duration
	lmax, start                float64             // in aims; the first limit, in seats a server
	samples                    [maxSamples]float64 // latencies in aims, a circular buffer
	seen                       int                 // samples in this window

	servers     []*server // as listed
	ring        []*server // the same: see settle
	levels      shelves   // those that may be sent to, by the least rank that they can have now: see place
	busy, late  int       // servers with calls out, and with such beyond Lmax
	byID        map[EndpointID]*server
	ready, near int     // servers to send to, and those near to this copy
	keeps       bool    // to its own zone
	rate        float64 // calls served, decaying over WarmUp, at rateAt
	version     uint64  // of the latest list
	asking      bool    // a call for the list is scheduled
	failed      int     // calls for the list that failed in a row

	requests map[RequestID]*request
	spares   spares            // over, to be used again
	flights  []flight          // by class: the calls out
	ages     []float64         // scratch
	weighed  int               // servers by pick: work that tests count
	turns    map[uint64]*turn  // by key, where order is kept
	timers   map[uint32]uint64 // by token: the key that a timer is for; token 0 is the list's
	token    uint32
	usual    []float64 // by class: usual latency in seconds
	quota    []credit  // by tenant: saved-up quota
	topWorth float64   // of a class
	fails    []float64 // by class: part of its calls that failed of late
}

// New returns a Balancer for cfg. Figures that are missing or impossible are replaced by defaults.
func New(cfg Config, seed uint64) *Balancer {
	cfg.complete()
	b := &Balancer{rng: seed, began: -1, byID: map[EndpointID]*server{}, requests: map[RequestID]*request{},
		sharers: 1, parts: cfg.ReplicaCount, turns: map[uint64]*turn{}, timers: map[uint32]uint64{}}
	most := slices.MaxFunc(cfg.Classes, func(x, y Class) int { return cmp.Compare(x.LateWeight, y.LateWeight) })
	late := math.Ceil(min(most.LateWeight, 1))
	b.lmax, b.start = lmaxInTime+(lmaxShare-lmaxInTime)*late, startInTime+(startSeats-startInTime)*late
	b.lmax *= float64(cfg.Tiers-cfg.Tier) / float64(cfg.Tiers)
	for i := range cfg.Classes {
		c := &cfg.Classes[i]
		b.topWorth = max(b.topWorth, c.PriorityWeight)
		b.usual, b.fails = append(b.usual, b.lmax*c.LatencyObjective.Seconds()), append(b.fails, 0) // until calls have told
		if b.aim == 0 || c.LatencyObjective < b.aim {
			b.aim = c.LatencyObjective
		}
	}
	b.cfg, b.quota, b.flights = cfg, make([]credit, len(cfg.Tenants)), make([]flight, len(cfg.Classes))
	return b
}

// Handle takes one event and appends what is to be done to out. Times must not go back.
func (b *Balancer) Handle(now time.Duration, ev Event, out []Action) []Action {
	if b.began < 0 {
		b.began, b.rateAt, b.windowEnd = now, now, now
	}
	b.now, b.out = max(now, b.now), out
	b.adjust()
	switch ev.Kind {
	case EndpointListUpdated:
		b.list(&ev)
	case RequestArrived:
		b.arrive(&ev)
	case AttemptEnded:
		b.ended(&ev)
	case ClientLeft:
		b.departed(&ev)
	case TimerFired:
		if key, ok := b.timers[ev.Token]; ok {
			delete(b.timers, ev.Token)
			b.advance(key)
		} else if ev.Token == 0 && b.asking {
			b.asking, b.out = false, append(b.out, Action{Kind: Subscribe, Enabled: true})
		}
	}
	out, b.out = b.out, nil
	return out
}

func (b *Balancer) logf(format string, args ...any) {
	b.out = append(b.out, Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// --- Limiter: one AIMD limit on the calls in flight to the next tier.

// sample buffers the latency of an ended call, in aims of its class.
func (b *Balancer) sample(c *Class, wait time.Duration) {
	b.samples[b.seen%maxSamples] = float64(wait) / float64(c.LatencyObjective)
	b.seen++
}

// adjust ends a window. With too few samples the limit holds, and they are carried over.
func (b *Balancer) adjust() {
	b.spare += (b.maxIFR - float64(b.ifr+b.beside)) * float64(b.now-b.spareAt) / float64(b.aim) / spareSpan
	b.spare, b.spareAt = min(max(b.spare, -max(1, 8*math.Floor(1/b.ceiling))), bunching), b.now
	if b.now < b.windowEnd || b.seen < max(1, min(minRequests, int(b.ceiling))) {
		return
	}
	// A quiet copy makes up for the windows in which it had too few samples, or thousands of them would go
	// on for many aims by what held before the trouble.
	span := windowShare * float64(b.aim)
	cut := max(math.Pow(backoffRatio, 1+math.Floor(float64(b.now-b.windowEnd)/span)), leastRatio)
	b.windowEnd = b.now + time.Duration(span)
	b.overdue()
	window := b.samples[:min(b.seen, maxSamples)]
	slices.Sort(window)
	latency, before := window[(len(window)-1)*percentile/100], b.maxIFR
	if b.maxIFR = min(before+min(1, mostStep*b.ceiling), b.ceiling); latency > b.lmax {
		b.maxIFR = max(before*cut, b.floor)
	}
	b.seen = 0
	if b.maxIFR == b.floor && before > b.floor {
		b.logf("limit: at its floor of %.1f, latency %.2f aims, Lmax %.2f", b.floor, latency, b.lmax)
	}
}

// overdue adds the calls that are out beyond Lmax to the samples, if most servers that have calls out have
// such: where all are crowded, the calls that end tell too late. Few tell of hung servers, not of the tier.
// Each call is counted late once; of more than there is room for, those least late are taken.
func (b *Balancer) overdue() {
	for i := range b.flights {
		for f := &b.flights[i]; f.young != nil && b.age(f.young) > b.lmax; f.young = f.young.next {
			f.young.late = true
			if s := f.young.latest(); s.late == 0 {
				b.late++
			}
			f.young.latest().late++
		}
	}
	if float64(b.late) <= overdueAt*float64(b.busy) {
		return
	}
	ages, room := b.ages[:0], max(maxSamples-b.seen, 0)
	for i := range b.flights { // by class the least late come first: more than room are of no use
		most := len(ages) + room
		for r := b.flights[i].newestLate(); r != nil && len(ages) < most; r = r.prev {
			ages = append(ages, b.age(r))
		}
		slices.Sort(ages)
		ages = ages[:min(len(ages), room)]
	}
	b.seen, b.ages = b.seen+copy(b.samples[b.seen:], ages), ages[:0]
}

// age is how long the call of r is out, in aims of its class.
func (b *Balancer) age(r *request) float64 {
	return float64(b.now-r.sent) / float64(r.c.LatencyObjective)
}

// admits tells whether r finds room. At the front what is worth least meets a lower threshold of the limit,
// by class and quota, and so does a class whose calls fail more than others': one that drags everywhere would
// fill the limit with calls that come to nothing. Harm: the class worth least may fare much worse.
func (b *Balancer) admits(r *request) bool {
	limit := b.maxIFR + b.spare
	if b.cfg.Tier == 0 {
		limit -= (1 - leastAt) * (1 - r.value) * b.maxIFR
		limit *= (1 - b.fails[r.class]) / (1 - slices.Min(b.fails))
	}
	return float64(b.ifr+b.beside) < limit && len(b.requests) < b.cfg.Limits.MaxOpenRequests
}

// overQuota books a request on its tenant. Each copy at the front holds an equal part of a quota.
func (b *Balancer) overQuota(tenant int) bool {
	if b.cfg.Tier > 0 || tenant < 0 || tenant >= len(b.quota) || !(b.cfg.Tenants[tenant].Quota > 0) {
		return false
	}
	rate, saved := b.quotaRate(tenant), &b.quota[tenant]
	if saved.fill(b.now, rate, max(quotaBurst*rate, 1)) < 1 {
		return true
	}
	saved.n--
	return false
}

// --- Picker: idle servers first, else the one with the fewest of our calls.

// pick returns the server for the next attempt of r, or nil: the one with the fewest seats held, by calls
// out, failed or slow. Among equals cold ones with credit come first, then our zone, then the fastest.
// A list of which no server can rank better any more ends the look. Harm: in large fleets, by a sample.
func (b *Balancer) pick(r *request) *server {
	size := len(b.servers)
	c := choice{r: r, from: int(b.random() * float64(size)), size: size, least: math.MaxInt}
	most := mostLooked
	if size <= exactUpTo || r.ran != nil && r.c.Effect == Keyed && r.c.Group != GroupAll { // a group is small
		most = size
	}
	for level, list := range b.levels {
		if c.least < level-1 {
			break
		}
		if level == 0 {
			for i := len(list) - 1; i >= max(len(list)-most, 0); i-- {
				b.place(list[i]) // it may be warm by now
			}
		}
		b.look(&c, b.levels[level], most)
	}
	if c.best == nil && most < size { // others than were looked at may be left
		b.look(&c, b.servers, size)
	}
	return c.best
}

// choice is the best server so far. Of equals it is the first in the list, from a random place on.
type choice struct {
	r          *request
	from, size int
	best       *server
	least      int
	quickest   float64
}

func (c *choice) turn(s *server) int { return (s.at - c.from + c.size) % c.size }

// look weighs so many servers of a list.
func (b *Balancer) look(c *choice, list []*server, most int) {
	if len(list) > most {
		start := c.from * (len(list) - most + 1) / c.size
		list = list[start : start+most]
	}
	for _, s := range list {
		b.weighed++
		if !b.usable(s) || !c.r.mayUse(s, b.now) || !b.warmEnough(s) {
			continue
		}
		rank := s.behind + 2*s.out
		if b.coldShare(s) < 1 {
			rank--
		}
		if rank > c.least || rank == c.least && min(s.slow, 1) > c.quickest {
			continue // verdicts don't make it rank better, and slowness only nears its peers'
		}
		held, slow := b.standing(s)
		rank += 2 * int(held+math.Floor(slow/slowFrom))
		if rank > c.least || rank == c.least && slow > c.quickest {
			continue
		}
		if rank < c.least || slow < c.quickest || c.turn(s) < c.turn(c.best) {
			c.best, c.least, c.quickest = s, rank, slow
		}
	}
}

// place files s under the rank, and one, that its calls out and its place give it: what it is judged by comes
// on top. Near servers that are cold rank half a seat less; they have the first shelf to themselves.
func (b *Balancer) place(s *server) {
	if s.behind = s.doubt(); b.keeps && s.Zone != b.cfg.Zone {
		s.behind++
	}
	level := 1 + s.behind + 2*s.out
	if !b.trusted(s) {
		level = -1
	} else if s.near && b.coldShare(s) < 1 {
		level = 0
	}
	b.levels.move(s, level)
}

// --- Server state: list, draining, cold, health.

type server struct {
	Endpoint
	out          int           // our calls out
	held         float64       // seats held by failed calls, at touch
	slow         float64       // latency against the peers' mean, at touch; 1 is as quick as they
	touch, known time.Duration // when it was judged; when it was last listed, or served
	drained      bool          // it was called draining since it started
	latest       int           // our latest call since it was called gone: served 1, failed -1, none 0
	near         bool          // see settle
	late         int           // its calls out beyond Lmax
	at           int           // its place in the list
	level, spot  int           // where it is filed; level -1 is nowhere
	behind       int           // half seats that it stands behind its peers: see place
	budget       credit        // calls that the cold budget allows
}

// usable tells whether s may be sent to. Where only draining binds, a list that leaves servers out, is empty
// or old is believed as long as our own calls agree: one once named and not seen draining stays a candidate,
// a seat behind until it has served, last once a call has failed. Harm: calls to what is really gone.
func (b *Balancer) usable(s *server) bool {
	return s.State == Ready || b.trusted(s) && b.remembered(s)
}

// trusted tells whether s may be sent to for as long as it is remembered.
func (b *Balancer) trusted(s *server) bool {
	return s.State == Ready || s.State == Gone && b.cfg.Contract.OnlyDrainingBinds && !s.drained
}

func (b *Balancer) remembered(s *server) bool {
	return s.out > 0 || b.cfg.Contract.OnlyDrainingBinds && b.now-s.known < remember*b.cfg.Contract.WarmUpPeriod
}

// doubt is how many half seats s stands behind its peers, for being called gone or not near.
func (s *server) doubt() int {
	switch {
	case s.State != Ready && s.latest < 0:
		return 2 * mostHeld
	case s.State != Ready && s.latest == 0 || !s.near:
		return 2
	}
	return 0
}

// standing is what is left of the verdicts on s: servers are tried again sparingly, not shut out.
func (b *Balancer) standing(s *server) (held, slow float64) {
	if s.held == 0 && s.slow == 1 {
		return 0, 1
	}
	left := math.Exp2(-(b.now - s.touch).Seconds() / (heldHalf * b.aim.Seconds()))
	return s.held * left, 1 + (s.slow-1)*left
}

// judge books how a call ended on its server. A failed call goes on holding its seat for a while, and more
// with each that follows, or a server that errs quickly would be idle always. Trouble of all shuts none out.
func (b *Balancer) judge(s *server, class int, o Outcome, wait time.Duration) {
	held, slow := b.standing(s)
	blame := max(0, 1-2*b.fails[class]) // what all servers have holds less of a seat
	usual, took, doubted := &b.usual[class], wait.Seconds(), s.latest < 0
	switch o {
	case OK:
		held, s.latest, s.known = held/2, 1, b.now
		b.served(1)
	case Timeout, ConnectFailed, Reset:
		s.latest = -1
		fallthrough
	case Error, Rejected:
		if held = min(held+blame*(held+1), mostHeld); held == mostHeld && s.held < mostHeld/2 {
			b.logf("server %x: keeps failing (%v), shunned", uint64(s.ID), o)
		}
	}
	if o == OK || o == Timeout && took > *usual { // one cut shorter by its client says nothing of the server
		slow += slowGain * (min(took / *usual, 10) - slow)
		*usual += meanGain * (took - *usual)
	}
	s.held, s.slow, s.touch = held, slow, b.now
	if s.State == Gone && doubted != (s.latest < 0) { // our own calls outweigh the list
		b.settle()
	} else {
		b.place(s)
	}
}

// warmEnough keeps this copy's part of a cold server's budget. What near servers serve on average is what a
// warm one can do at least; a cold one may be sent a multiple of a share of it that grows with its age.
// Credit starts evenly spread over the copies and lapses if not used soon, or hundreds would come at once.
func (b *Balancer) warmEnough(s *server) bool {
	share, c := b.coldShare(s), &b.cfg.Contract
	if share >= 1 || !s.near {
		return share >= 1
	}
	least := float64(b.ready) / float64(b.parts) / c.OverloadPeriod.Seconds() // a call a span, by all
	rate := max(b.served(0), least) / float64(b.near*b.sharers) * share
	saved := rate * c.OverloadPeriod.Seconds() / 4
	if n := s.budget.fill(b.now, rate, math.Inf(1)); n > 1+saved {
		s.budget.n -= math.Floor(n - saved)
	}
	return s.budget.n >= 1
}

// coldShare is the part of a warm server's load that s may be sent: 1 or more when it need not be watched.
func (b *Balancer) coldShare(s *server) float64 {
	c, age := &b.cfg.Contract, max(b.now-s.StartedAt, 0)
	if s.StartedAt > 0 && age < c.WarmUpPeriod {
		return coldSafety * c.OverloadMultiple * (c.InitialCapacity + (1-c.InitialCapacity)*float64(age)/float64(c.WarmUpPeriod))
	}
	return 1
}

// served adds n to the calls served, a count that decays over one WarmUp, and returns their rate.
func (b *Balancer) served(n float64) float64 {
	span := b.cfg.Contract.WarmUpPeriod.Seconds()
	b.rate, b.rateAt = b.rate*math.Exp(-(b.now-b.rateAt).Seconds()/span)+n, b.now
	return b.rate / span / max(1-math.Exp(-(b.now-b.began).Seconds()/span), 0.01)
}

// list takes in a server list. Draining and gone servers get nothing from then on.
func (b *Balancer) list(ev *Event) {
	if ev.ListKind == ListFailed {
		if b.failed++; b.failed > 2 {
			b.logf("server list: %d calls failed in a row", b.failed)
		}
		b.ask()
		return
	}
	if ev.ListKind == ListCached {
		b.ask()
	} else {
		b.failed = 0
	}
	for _, s := range b.servers {
		if held, _ := b.standing(s); s.State != Gone {
			s.known, s.latest = b.now, -int(min(held, 1))
		}
		if ev.ListKind != ListChanges {
			s.State = Gone
		}
	}
	added, old := false, b.cfg.Contract.OnlyDrainingBinds || ev.Version < b.version // then perhaps
	for _, e := range ev.Endpoints {
		s := b.byID[e.ID]
		if s == nil {
			s = &server{Endpoint: e, slow: 1, known: b.now, level: -1}
			b.byID[e.ID] = s
			b.servers, b.ring, added = append(b.servers, s), append(b.ring, s), true
		} else if e.State == Gone { // perhaps told without them, but calls to it may yet be resent in its group
			e.Zone, e.Cell, e.StartedAt = s.Zone, s.Cell, max(e.StartedAt, s.StartedAt)
		} else if old && e.StartedAt <= s.StartedAt {
			if e.StartedAt = s.StartedAt; s.drained {
				e.State = Draining
			}
		}
		s.drained = e.State == Draining || s.drained && e.StartedAt == s.StartedAt
		if e.StartedAt != s.StartedAt || s.budget.at == 0 { // new or restarted: nothing known of it holds
			s.held, s.slow, s.budget = 0, 1, credit{n: math.Mod(float64(b.cfg.ReplicaIndex)*math.Phi, 1), at: b.now}
		}
		s.Endpoint = e
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		forget := s.State == Gone && !b.remembered(s)
		if forget {
			delete(b.byID, s.ID)
		}
		return forget
	})
	b.ring = slices.DeleteFunc(b.ring, func(s *server) bool { return b.byID[s.ID] != s })
	if b.version = ev.Version; added {
		slices.SortFunc(b.ring, func(x, y *server) int { return cmp.Compare(mix(uint64(x.ID)), mix(uint64(y.ID))) })
	}
	b.settle()
}

// settle picks the servers that this copy keeps to, or many copies would each meet one twice a minute and
// know none. All derive one ring of a zone's servers, and each its place by Self: the next ones are near. The
// limit is bounded by this copy's part of the servers. Harm: late lists shift places.
func (b *Balancer) settle() {
	defer b.file()
	var fleet, own []*server
	for _, s := range b.ring {
		if s.near = false; !b.usable(s) || s.doubt() >= mostHeld {
			continue
		}
		if fleet = append(fleet, s); s.Zone == b.cfg.Zone {
			own = append(own, s)
		}
	}
	if len(fleet) == 0 { // nobody to send to: what the limit has learnt stays
		return
	}
	b.ready = len(fleet)
	part := float64(b.ready) / float64(b.cfg.ReplicaCount) * float64(b.cfg.Tiers-b.cfg.Tier)
	if b.ceiling > 0 { // the limit is for so many servers: it keeps its seats for each
		b.maxIFR *= maxSeats * part / b.ceiling
	}
	b.floor, b.ceiling = minSeats*part, maxSeats*part
	if b.maxIFR == 0 { // initialConcurrencyLimit: too high is cut in an aim, too low starves
		b.maxIFR = b.start * part
	}
	b.maxIFR = min(max(b.maxIFR, b.floor), b.ceiling)
	b.keeps = float64(len(own)) >= max(leastNear, leastOwn*float64(b.ready)) // few must not get all
	if !b.keeps {
		own = fleet
	}
	b.near = int(math.Ceil(min(max(nearSeats*startSeats*part, leastNear), float64(len(own)))))
	// From this copy's place on the ring up to the next copy's, and as many as are near at the least.
	place := float64(len(own)) / float64(b.cfg.ReplicaCount)
	from, to := int(float64(b.cfg.ReplicaIndex)*place), int(float64(b.cfg.ReplicaIndex+1)*place)
	for i := range min(max(b.near, to-from), len(own)) {
		own[(from+i)%len(own)].near = true
	}
}

// file files all servers anew.
func (b *Balancer) file() {
	b.levels.empty()
	for i, s := range b.servers {
		s.at, s.level = i, -1
		b.place(s)
	}
}

// ask schedules a call for the list, at a random moment: all copies may start or fail at once.
func (b *Balancer) ask() {
	if !b.cfg.Subscribe || b.asking {
		return
	}
	b.asking = true
	wait := float64(min(b.cfg.Contract.MaxPollInterval, askWithin)) / 32 * math.Exp2(float64(min(b.failed, 3)))
	b.out = append(b.out, Action{Kind: SetTimer, Delay: time.Duration(wait * (0.1 + b.random()))})
}

// --- Request state: what may have run and what is still allowed. Rules 1, 2 and 5 are decided here alone.

type request struct {
	id       RequestID
	class    int
	c        *Class
	value    float64       // against what is worth most
	end      time.Duration // an answer after this is worth nothing
	attempts []*server
	sent     time.Duration // when the latest attempt was sent
	to, at   Endpoint      // where to, as listed then; and of the first that may have run

	open, done bool          // the latest attempt is out; answered
	key        uint64        // where order is kept
	due        time.Duration // a turn after this comes too late
	ran        *Endpoint     // at, once an attempt may have run: keyed work may go near it again,
	lapse      time.Duration // if all of that is out by then

	prev, next *request // in the flight of its class
	late       bool     // its call is counted late
}

// latest is the server of the latest attempt.
func (r *request) latest() *server { return r.attempts[len(r.attempts)-1] }

// mayUse tells whether another attempt may go to s: never to one already tried and, for keyed work that
// may have run, only within its group and memory span. Unsafe work that may have run never gets here.
func (r *request) mayUse(s *server, now time.Duration) bool {
	if slices.ContainsFunc(r.attempts, func(o *server) bool { return o.ID == s.ID }) { // or forgotten since
		return false
	}
	if r.ran == nil || r.c.Effect == Safe {
		return true
	}
	if r.c.Effect == Unsafe || now >= r.lapse {
		return false
	}
	return r.c.Group == GroupAll || r.c.Group == GroupZone && s.Zone == r.ran.Zone ||
		r.c.Group == GroupCell && s.Cell == r.ran.Cell
}

// arrive decides a new request: send it, or refuse it at once.
func (b *Balancer) arrive(ev *Event) {
	class := ev.Class
	if class < 0 || class >= len(b.cfg.Classes) {
		class = 0
	}
	c := &b.cfg.Classes[class]
	r := b.spares.take()
	*r = request{id: ev.Request, class: class, c: c, value: c.PriorityWeight / b.topWorth, end: b.now + ev.Remaining,
		attempts: r.attempts[:0]}
	if c.LateWeight == 0 {
		r.end = min(r.end, b.now+time.Duration(aimMargin*(float64(c.LatencyObjective)+max(c.ObjectivePerWork, 0)*float64(ev.ExpectedWork))))
	}
	if b.overQuota(ev.Tenant) {
		r.value *= min(max(b.cfg.OverQuotaWeight, 0), 1)
	}
	b.requests[r.id] = r
	b.fails[class] *= 1 - meanGain/5 // a class that is hardly sent is tried again
	if !c.OrderedByKey || ev.Key == 0 || len(b.requests) >= b.cfg.Limits.MaxOpenRequests {
		b.begin(r)
		return
	}
	r.key, r.due = ev.Key, r.end-b.least(r)
	if b.turns[r.key] == nil {
		b.turns[r.key] = &turn{}
	}
	b.turns[r.key].queue = append(b.turns[r.key].queue, r)
	if b.advance(r.key); len(r.attempts) == 0 && !r.done {
		b.wake(r.key, r.due-b.now+1)
	}
}

// begin sends the first attempt of r, or refuses it at once.
func (b *Balancer) begin(r *request) {
	if !b.admits(r) || !b.send(r) {
		b.answer(r)
		b.release(r)
	}
}

// advance gives the turn of a key on. Its requests run one at a time, as they came. They wait outside the
// limit until the head is over, has no attempt out and, if one may still run, the key has rested. What can't
// be in time by what is known is refused at once: a head may hang. Harm: popular keys are refused.
func (b *Balancer) advance(key uint64) {
	t := b.turns[key]
	if t == nil {
		return
	}
	for len(t.queue) > 0 && len(t.queue[0].attempts) == 0 && b.now >= t.rest {
		b.begin(t.queue[0])
	}
	start := max(b.now, t.rest)
	for _, r := range slices.Clone(t.queue) {
		usual := time.Duration(b.usual[r.class] * float64(time.Second))
		if len(r.attempts) > 0 {
			start += max(0, usual-(b.now-r.sent))
		} else if start > r.due {
			b.answer(r)
			b.release(r)
		} else {
			start += usual
		}
	}
	if len(t.queue) == 0 && b.now >= t.rest {
		delete(b.turns, key)
	}
}

// wake has the turn of a key looked at again after a while.
func (b *Balancer) wake(key uint64, wait time.Duration) {
	b.token = max(b.token+1, 1)
	b.timers[b.token] = key
	b.out = append(b.out, Action{Kind: SetTimer, Delay: wait, Token: b.token})
}

// least is the time without which a request is not worth sending.
func (b *Balancer) least(r *request) time.Duration {
	return max(1, time.Duration(hopeless*b.usual[r.class]*float64(time.Second)))
}

// send starts the next attempt of r, if there is a server for it and time for an answer.
func (b *Balancer) send(r *request) bool {
	left := r.end - b.now
	if left < b.least(r) {
		return false
	}
	s := b.pick(r)
	if s == nil {
		return false
	}
	r.attempts, r.sent, r.to, r.open = append(r.attempts, s), b.now, s.Endpoint, true
	if b.flights[r.class].add(r); s.out == 0 {
		b.busy++
	}
	s.out, b.ifr = s.out+1, b.ifr+1
	if b.ceiling < 1 { // quiet copies pay back in full, and not in step
		b.spare += b.random() - 0.5
	}
	if b.coldShare(s) < 1 {
		s.budget.n--
	}
	b.place(s)
	a := Action{Kind: Send, Request: r.id, Endpoint: s.ID, Timeout: left, WriteTimeout: left}
	if r.ran != nil && r.c.Effect == Keyed { // a connection may come up late
		a.WriteTimeout = min(left, r.lapse-b.now)
	}
	b.out = append(b.out, a)
	return true
}

// ended books the end of an attempt and, if an answer is still owed, tries again or gives it.
func (b *Balancer) ended(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || !r.open || ev.Attempt != len(r.attempts)-1 {
		return
	}
	s := r.attempts[ev.Attempt]
	r.open, s.out, b.ifr = false, s.out-1, b.ifr-1
	if b.flights[r.class].remove(r); s.out == 0 {
		b.busy--
	}
	if r.late {
		if s.late--; s.late == 0 {
			b.late--
		}
	}
	o := ev.Outcome
	switch {
	case o == OK, (o == Timeout || o == Cancelled) && float64(ev.Elapsed) > b.lmax*float64(r.c.LatencyObjective):
		b.sample(r.c, ev.Elapsed) // cut short, a call tells something beyond Lmax only
	case o == Error && ev.Elapsed.Seconds() > quickShare*b.usual[r.class]:
		b.sample(r.c, max(ev.Elapsed, r.c.LatencyObjective)) // a refusal from deeper down asks for a cut here
	case o == ConnectFailed:
		b.sample(r.c, max(ev.Elapsed, b.cfg.Limits.ConnectTimeout))
	}
	b.judge(s, r.class, o, ev.Elapsed)
	if b.fails[r.class] *= 1 - meanGain; o == Error || o == Reset || o == Timeout || o.NeverRan() {
		b.fails[r.class] += meanGain
	}
	if !o.NeverRan() && r.ran == nil {
		r.ran, r.at, r.lapse = &r.at, r.to, r.sent+time.Duration(memoryPart*float64(r.c.IdempotencyWindow))
	}
	if t := b.turns[r.key]; t != nil && (o == Timeout || o == Reset || o == Cancelled) {
		t.rest = b.now + b.cfg.Contract.KeyQuarantine
		b.wake(r.key, b.cfg.Contract.KeyQuarantine)
	}
	r.done = r.done || ev.RequestClosed
	again := !ev.BodyConsumed && (r.ran == nil || r.c.Effect != Unsafe) && len(r.attempts) < b.cfg.Limits.MaxAttempts
	if !r.done && !(again && b.send(r)) {
		b.answer(r)
	}
	b.release(r)
	b.advance(r.key)
}

// answer gives the final answer of r: a refusal where trying again is harmless, else a failure.
func (b *Balancer) answer(r *request) {
	a := Action{Kind: Fail, Request: r.id}
	if r.ran == nil || r.c.Effect == Safe || r.c.Effect == Keyed && r.c.Group == GroupAll {
		a.Kind = Shed
		if b.cfg.Tier == 0 && b.cfg.Limits.SendRetryAfter {
			// Half an aim away the limit has had time to move; the spread keeps clients apart.
			a.RetryAfter = min(time.Duration((0.25+0.5*b.random())*float64(r.c.LatencyObjective)), b.cfg.Limits.MaxRetryAfter)
		}
	}
	b.out = append(b.out, a)
	r.done = true
}

// departed: the client left, no answer is owed. Work that nobody waits for is called off.
func (b *Balancer) departed(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil {
		return
	}
	r.done = true
	if r.open && b.cfg.Limits.AllowCancel {
		b.out = append(b.out, Action{Kind: Cancel, Request: r.id, Attempt: len(r.attempts) - 1})
	}
	b.release(r)
	b.advance(r.key)
}

// release forgets what is answered and has no attempt out. Its fields stand until the next arrival.
func (b *Balancer) release(r *request) {
	if r.done && !r.open && b.requests[r.id] == r {
		delete(b.requests, r.id)
		b.spares.put(r)
		b.turns[r.key].drop(r)
	}
}
