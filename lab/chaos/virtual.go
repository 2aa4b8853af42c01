package chaos

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ryerill/fleet/membership"
	"ryerill/fleet/quota"
	"ryerill/fleet/rollout"
	"ryerill/lab/faultnet"
	"ryerill/lab/membershipsim"
)

// What must hold once all troubles are over.
const (
	look     = 100 * time.Millisecond
	agreeIn  = 30 * time.Second // all know all, and so much again for each that comes back from having left
	grantIn  = 20 * time.Second // the budget goes where it is wanted
	granted  = 0.85             // of what is there, also where many want more than that
	planIn   = 10 * time.Minute // a plan ends, or waits for a person
	whole    = 1000.0           // units a second of the budget
	later    = 4 * time.Second
	oldHash  = "0123456789abcdef"
	settling = time.Second // a copy takes so long to change
)

// Violation is something that does not balance.
type Violation struct {
	At   time.Duration
	Rule string
	Text string
}

func (v *Violation) Error() string { return fmt.Sprintf("at %v: %s: %s", v.At, v.Rule, v.Text) }

// Stats are what a night came to.
type Stats struct {
	Copies, Steps     int
	Length            time.Duration
	Agreed            time.Duration // after the last trouble's end, until all knew all
	Deaths, Suspected int
	Plans, Done       int
	Datagrams         uint64
}

// hand is one copy with all that the fleet's host holds beside membership.
type hand struct {
	*membershipsim.Replica
	i       int
	allot   *quota.Manager
	roll    *rollout.Participant
	epoch   uint64
	holds   string
	before  string
	plan    string // that it changed by last
	ready   time.Duration
	change  time.Duration
	wants   float64
	told    int // among how many it divides
	state   rollout.State
	leaving bool
	gone    bool // it has said so
}

type parcel struct {
	from, to int
	budget   *quota.Message
	roll     *rollout.Message
}

// virtual is one night in virtual time.
type virtual struct {
	s       *membershipsim.Sim
	hands   []*hand
	rng     *rand.Rand
	costs   map[string]float64 // by target
	zones   [3]float64         // what the zones lose now
	links   []faultnet.Link
	plans   int
	bad     *Violation
	figures Stats
	last    time.Duration // the end of the last trouble
	strange Mutation
	back    int // copies that have yet to come back in the end
	floor   int // copies that a person has written
}

// Mutation is a fault planted in the glue between the parts, to see that nights find it.
type Mutation string

// Mutations are the faults that can be planted.
var Mutations = []Mutation{"restarted copies lend at once", "unsure copies spend", "divided among those that are there", "grants are rounded up", "starting counts as ready",
	"a crew of those in sight", "votes lose their sender", "torn frames are taken", "who leaves does not wait for its loans", "going back changes nothing"}

// Play plays a night in virtual time.
func Play(sch Schedule, m Mutation) (Stats, *Violation) {
	net := faultnet.New(membershipsim.Lan, sch.Seed)
	v := &virtual{s: membershipsim.New(sch.Replicas, net, sch.Seed), rng: rand.New(rand.NewPCG(sch.Seed, 22)), costs: map[string]float64{}, strange: m}
	v.figures = Stats{Copies: sch.Replicas, Steps: len(sch.Steps), Length: sch.Length}
	v.s.OnChange = func(c membershipsim.Change) {
		switch c.Record.Status {
		case membership.Dead:
			v.figures.Deaths++
		case membership.Suspect:
			v.figures.Suspected++
		}
	}
	for i := range sch.Replicas {
		v.hands = append(v.hands, &hand{Replica: v.s.Replicas[i], i: i, holds: oldHash, before: oldHash})
		v.s.Configure = func(i int, c *membership.Config) {
			c.Tags.SettingsHash, c.Tags.Phase = v.hands[i].holds, membership.Starting
		}
	}
	// Two more than a person has written come once the others have met.
	if v.floor = max(sch.Replicas-2, 2); sch.Replicas > 30 { // who takes longer to meet
		v.floor = sch.Replicas
	}
	for i := range sch.Replicas {
		if i < v.floor {
			v.start(i)
		} else {
			v.s.At(later, func() { v.start(i) })
		}
	}
	for _, st := range sch.Steps {
		v.s.At(st.At, func() { v.begin(&st) })
		v.last = max(v.last, st.At)
		if st.For > 0 && st.Kind != Wants && st.Kind != Good && st.Kind != Costly && st.Kind != Abort {
			v.s.At(st.At+st.For, func() { v.end(&st) })
			v.last = max(v.last, st.At+st.For)
		}
	}
	for v.s.Now < max(v.last, sch.Length) && v.bad == nil {
		v.step()
	}
	v.quiet()
	v.figures.Datagrams = net.Total.Frames
	return v.figures, v.bad
}

func (v *virtual) fail(rule, format string, args ...any) {
	if v.bad == nil {
		v.bad = &Violation{v.s.Now, rule, fmt.Sprintf(format, args...)}
	}
}

func (v *virtual) start(i int) {
	h := v.hands[i]
	again := h.List != nil
	h.epoch++
	h.ready, h.change, h.leaving, h.gone = v.s.Now+300*time.Millisecond, 0, false, false
	var seeds []string
	for j := range min(3, len(v.hands)) {
		if j != i {
			seeds = append(seeds, membershipsim.Name(j))
		}
	}
	if len(seeds) == 0 {
		seeds = []string{membershipsim.Name((i + 1) % v.figures.Copies)}
	}
	v.s.Start(i, seeds...)
	fresh := again && v.strange != "restarted copies lend at once"
	h.allot = quota.New(h.Name, h.epoch, uint64(i)+h.epoch<<20, fresh, v.s.Now)
	h.allot.SetLimits(v.s.Now, []quota.Limit{{Name: "quota", Kind: quota.Rate, Total: whole}})
	h.roll = rollout.New(h.Name, v.s.Now)
	h.roll.Restore(h.state)
}

// up tells whether a copy runs and is not stopped.
func (h *hand) up() bool { return h.Up && !h.Stopped }

// step plays a span: membership by itself, and then each copy's look at the rest, as
// the host does.
func (v *virtual) step() {
	v.s.Run(v.s.Now + look)
	v.s.UpdatePlacements(v.floor)
	second := v.s.Now%time.Second < look
	for _, h := range v.hands {
		if h.up() {
			v.look(h, second)
		}
	}
	v.check()
}

func (v *virtual) look(h *hand, second bool) {
	now := v.s.Now
	phase := membership.Serving
	if now < h.ready {
		phase = membership.Starting
	}
	if t := h.List.Self().Tags; t.Phase != phase || t.SettingsHash != h.holds {
		tags := *t
		tags.Phase, tags.SettingsHash = phase, h.holds
		v.s.Deliver(h.i, membership.Event{Kind: membership.SetTags, Tags: tags})
	}
	place := h.Tracker.Position("main")
	among := place.QuotaReplicas
	if !place.Confirmed && v.strange != "unsure copies spend" {
		among = 0
	}
	if h.leaving || h.gone {
		among = 0
	}
	if v.strange == "divided among those that are there" {
		among = max(place.Alive, 1)
	}
	var others []string
	var crew []rollout.Replica
	for _, m := range h.List.Members() {
		if m.Status == membership.Left || m.Tags == nil {
			continue
		}
		alive := m.Self || m.Status == membership.Alive || m.Status == membership.Suspect
		crew = append(crew, rollout.Replica{Name: m.Name, Zone: m.Tags.Zone, Alive: alive, Ready: m.Tags.Phase == membership.Serving || v.strange == "starting counts as ready", Version: m.Tags.SettingsHash, Epoch: m.Epoch})
		if !m.Self && m.Status == membership.Alive {
			others = append(others, m.Name)
		}
	}
	if v.strange == "a crew of those in sight" {
		crew = slices.DeleteFunc(crew, func(c rollout.Replica) bool { return !c.Alive })
	}
	h.allot.SetReplicaCount(now, among, others)
	h.allot.AddDemand(now, "quota", h.wants*look.Seconds())
	v.budgets(h, h.allot.Tick(now, nil))
	if h.leaving && (h.allot.FitsWithin(now, math.MaxInt) || v.strange == "who leaves does not wait for its loans") {
		h.leaving = false
		h.AnnounceLeave()
		v.s.Deliver(h.i, membership.Event{Kind: membership.Leave})
		h.gone = true
		v.s.At(now+500*time.Millisecond, func() { v.s.Kill(h.i) })
	}
	v.rolls(h, h.roll.Tick(now, crew, nil))
	h.state = h.roll.State()
	if second {
		v.report(h)
	}
}

func (v *virtual) budgets(h *hand, out []quota.Action) {
	for _, a := range out {
		v.post(parcel{from: h.i, to: v.index(a.To), budget: &a.Message})
	}
}

func (v *virtual) index(name string) int {
	var i int
	if _, err := fmt.Sscanf(name, "m%d", &i); err != nil || i >= len(v.hands) {
		return -1
	}
	return i
}

func (v *virtual) post(p parcel) {
	if p.to < 0 {
		return
	}
	epoch := v.hands[p.to].epoch
	for _, c := range v.s.Net.Send(v.s.Now, membershipsim.Name(p.from), membershipsim.Name(p.to), 150) {
		if c.Corrupt && v.strange != "torn frames are taken" {
			continue
		}
		v.s.At(c.At, func() {
			h := v.hands[p.to]
			if !h.up() || h.epoch != epoch && v.strange != "old frames are taken" {
				return
			}
			if p.budget != nil {
				msg := *p.budget
				if c.Corrupt {
					msg.Amount *= 3
				}
				if msg.Grant && v.strange == "grants are rounded up" {
					msg.Amount = math.Ceil(msg.Amount/10) * 10
				}
				v.budgets(h, h.allot.Handle(v.s.Now, membershipsim.Name(p.from), msg, nil))
			} else {
				msg := *p.roll
				if msg.Kind == rollout.VoteGranted && v.strange == "votes lose their sender" {
					msg.From = ""
				}
				v.rolls(h, h.roll.Handle(v.s.Now, msg, nil))
			}
		})
	}
}

// rolls carries out what a rollout wants of a copy.
func (v *virtual) rolls(h *hand, out []rollout.Action) {
	for _, a := range out {
		switch a.Kind {
		case rollout.Send:
			v.post(parcel{from: h.i, to: v.index(a.To), roll: &a.Message})
		case rollout.Apply:
			want := a.Target
			if a.RollBack && v.strange != "going back changes nothing" {
				want = h.before
			} else if a.RollBack {
				want = h.holds
			}
			if want == h.holds {
				continue
			}
			if !a.RollBack {
				h.before = h.holds
			}
			if p := h.roll.State().Phase; p == rollout.Aborted || p == rollout.Expired || p == rollout.Paused {
				v.fail("an ended plan changes nothing", "%s changes while its plan is %v", h.Name, p)
			}
			h.holds, h.ready, h.change = want, v.s.Now+settling, v.s.Now+settling
		}
	}
}

// report tells the leader how a copy did in the last second.
func (v *virtual) report(h *hand) {
	s := h.roll.State()
	leader := v.index(s.Leader)
	if leader < 0 || s.Phase.Ended() {
		return
	}
	zone := h.i % 3
	asked := 60.0
	good := min(max(0.98-v.zones[zone]-v.costs[h.holds]+0.01*v.rng.NormFloat64(), 0), 1)
	if v.s.Now < h.ready {
		asked = 0
	}
	rep := &rollout.Report{Name: h.Name, Zone: fmt.Sprint("z", zone), Pool: "main", Interval: uint64(v.s.Now / time.Second), OfferedWeight: asked, ServedWeight: math.Round(asked * good), Responses: math.Round(asked * good), ResponseSeconds: 0.02 * asked * good}
	msg := rollout.Message{Kind: rollout.ReportUpdate, From: h.Name, Report: rep}
	if leader == h.i {
		v.rolls(h, h.roll.Handle(v.s.Now, msg, nil))
	} else {
		v.post(parcel{from: h.i, to: leader, roll: &msg})
	}
}

// check looks at what must hold at every moment.
func (v *virtual) check() {
	rates, parts, leaders, away := 0.0, 0.0, 0, 0
	bound := 0
	for _, h := range v.hands {
		if !h.Up || h.allot == nil {
			continue
		}
		rates += h.allot.Rate(v.s.Now, "quota")
		if h.Tracker != nil {
			parts += h.Tracker.Position("main").QuotaFraction()
		}
		if h.up() && h.roll.IsLeader() {
			leaders++
		}
		if v.s.Now < h.change {
			away++
		}
		bound = max(bound, h.roll.State().Plan.MaxUnavailable)
	}
	if rates > whole*1.0001 {
		v.fail("a budget is never overspent", "all together may spend %.1f of %.0f", rates, whole)
	}
	if parts > 1.0001 {
		v.fail("parts never exceed the whole", "the parts come to %.4f", parts)
	}
	if leaders > 1 {
		v.fail("one copy leads", "%d lead", leaders)
	}
	if away > bound && bound > 0 {
		v.fail("no more away than a plan allows", "%d on their way, %d may be", away, bound)
	}
}

// quiet plays on after the last trouble until all has come to rest.
func (v *virtual) quiet() {
	for _, h := range v.hands {
		v.s.Continue(h.i)
	}
	for waits := true; waits && v.bad == nil; v.step() { // who leaves is still about it
		waits = false
		for _, h := range v.hands {
			waits = waits || h.Up && h.Stopped || h.Up && (h.leaving || h.gone)
		}
	}
	for _, h := range v.hands {
		if !h.Up && h.gone {
			v.back++
			v.comeBack(h.i)
		} else if !h.Up {
			v.start(h.i)
		}
	}
	over := v.s.Now
	for v.bad == nil && !v.whole() {
		if v.s.Now-over > agreeIn+time.Duration(v.back)*agreeIn/3 {
			v.fail("views become equal", "after %v they are not: %s", agreeIn, v.views())
		}
		v.step()
	}
	v.figures.Agreed = v.s.Now - over
	wanted, rest := 0.0, v.s.Now
	for _, h := range v.hands {
		wanted += h.wants
	}
	for v.bad == nil {
		got := 0.0
		for _, h := range v.hands {
			got += min(h.wants, h.allot.Rate(v.s.Now, "quota"))
		}
		if got >= granted*min(wanted, whole) {
			break
		}
		if v.s.Now-rest > grantIn {
			v.fail("budgets go where they are wanted", "%.0f of %.0f wanted are granted after %v", got, min(wanted, whole), grantIn)
		}
		v.step()
	}
	for began := v.s.Now; v.bad == nil && !v.settled(); {
		if v.s.Now-began > planIn {
			v.fail("a plan ends or waits for a person", "after %v: %s", planIn, v.plan())
		}
		v.step()
	}
}

// whole tells whether all hold all for alive, alike.
func (v *virtual) whole() bool {
	if !v.s.Equal() {
		return false
	}
	for _, h := range v.hands {
		if alive, _, _ := h.List.Count(); alive != len(v.hands)-1 {
			return false
		}
	}
	return true
}

func (v *virtual) views() (text string) {
	for _, h := range v.hands[:min(len(v.hands), 12)] {
		alive, suspect, dead := h.List.Count()
		text += fmt.Sprintf("%s %d/%d/%d %x; ", h.Name, alive, suspect, dead, h.List.Digest()&0xffff)
	}
	return text
}

// plan is how it stands with each copy.
func (v *virtual) plan() (text string) {
	for _, h := range v.hands[:min(len(v.hands), 12)] {
		s := h.roll.State()
		text += fmt.Sprintf("%s leads %v, number %d.%d of %s, %v stage %d chosen %d (%s), %s; ", h.Name, h.roll.IsLeader(), s.FencingToken, s.Version, s.Leader, s.Phase, s.Stage, len(s.Selected), s.Reason, h.roll.CandidateReason())
	}
	return text
}

// settled tells whether what stands has ended, everywhere alike, or waits for a person,
// and all hold what it came to.
func (v *virtual) settled() bool {
	first := v.hands[0].roll.State()
	for _, h := range v.hands {
		s := h.roll.State()
		if s.FencingToken != first.FencingToken || s.Version != first.Version || !s.Phase.Ended() && s.Phase != rollout.Stopped && s.Phase != rollout.Paused {
			return false
		}
		switch {
		case first.Phase == rollout.Done && h.holds != first.Plan.Target, first.Phase == rollout.RolledBack && h.holds == first.Plan.Target:
			return false
		}
	}
	if first.Phase == rollout.Done {
		v.figures.Done++
	}
	return true
}

// comeBack starts a copy that had left, once those that run have met: there may be more
// of them than a person has written.
func (v *virtual) comeBack(i int) {
	h := v.hands[i]
	if h.Up && !h.gone && !h.leaving {
		return
	}
	met := !h.Up
	up := 0
	for _, o := range v.hands {
		if o.Up {
			up++
		}
	}
	for _, o := range v.hands {
		if o.Up {
			alive, _, _ := o.List.Count()
			met = met && alive == up-1 && !o.leaving && !o.gone
		}
	}
	if !met {
		v.s.At(v.s.Now+500*time.Millisecond, func() { v.comeBack(i) })
		return
	}
	v.start(i)
}

// begin starts a trouble.
func (v *virtual) begin(st *Step) {
	names := func() (out []string) {
		for _, i := range st.Whom {
			out = append(out, membershipsim.Name(i))
		}
		return out
	}
	switch st.Kind {
	case Cut, Deaf:
		for _, name := range names() {
			v.s.Net.Isolate(name, st.Kind == Deaf)
		}
	case Split:
		v.s.Net.Split(names())
	case Bad:
		v.s.Net.Usual(st.Link)
	case Stop:
		for _, i := range st.Whom {
			v.s.Stop(i)
		}
	case Kill:
		for _, i := range st.Whom {
			v.s.Kill(i)
		}
	case Leave:
		for _, i := range st.Whom {
			if h := v.hands[i]; h.up() {
				h.leaving = true // it lends nothing more, and says that it goes once what it has lent is back
			}
		}
	case Wants:
		for _, i := range st.Whom {
			v.hands[i].wants = st.Much
		}
	case Good, Costly:
		i := st.Whom[0]
		if h := v.hands[i]; h.up() {
			target := fmt.Sprintf("t%d-%s", v.plans, st.Kind)
			p := rollout.Plan{ID: target, Kind: rollout.Settings, Target: target, RollBack: true, MaxUnavailable: 1 + v.rng.IntN(3),
				Stages: []rollout.Stage{{Count: 1, Observation: 3 * time.Second}, {PerZone: true, Observation: 3 * time.Second}, {Fraction: 0.3, Observation: 3 * time.Second}, {Fraction: 1, Observation: 3 * time.Second}}, ExtraObservation: time.Minute}
			p.Complete()
			if h.roll.Start(v.s.Now, p) == nil {
				v.plans++
				v.figures.Plans++
				v.costs[target] = st.Much
			}
		}
	case Abort:
		if h := v.hands[st.Whom[0]]; h.up() {
			h.roll.Command(v.s.Now, "abort")
		}
	case Trouble:
		v.zones[st.Whom[0]%3] = st.Much
	case Disk:
		for _, i := range st.Whom {
			v.hands[i].DiskFailed = true
		}
	}
}

// end ends it.
func (v *virtual) end(st *Step) {
	switch st.Kind {
	case Cut, Deaf, Split:
		v.s.Net.Heal()
	case Bad:
		v.s.Net.Usual(membershipsim.Lan)
	case Stop:
		for _, i := range st.Whom {
			v.s.Continue(i)
		}
	case Kill:
		for _, i := range st.Whom {
			if !v.hands[i].Up && !v.hands[i].gone {
				v.start(i)
			}
		}
	case Leave:
		for _, i := range st.Whom {
			v.comeBack(i)
		}
	case Trouble:
		v.zones[st.Whom[0]%3] = 0
	case Disk:
		for _, i := range st.Whom {
			v.hands[i].DiskFailed = false
		}
	}
}
