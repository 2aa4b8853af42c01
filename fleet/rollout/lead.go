// Package rollout carries a change of settings or of the program through a fleet in
// stages, and stops it when a stage does worse. It is pure: one event and its time go
// in, actions come out.
//
// One copy leads at a time. It holds a lease from most of those it counts, under a
// number that only grows; every copy obeys a number that is not below the highest it
// has seen. The plan, its stage and its history lie with every copy, so that any of
// them can go on when the one that leads is gone.
package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"ryerill/internal/seedrand"
)

// How leading goes.
const (
	Lease       = 3 * time.Second // a vote holds so long for the voter
	drift       = 0.02            // clocks run fast or slow by at most so much
	renewEvery  = Lease / 3
	remindEvery = 2 * time.Second
	tryWithin   = 4 * Lease       // copies that seek the lease spread over so much
	meet        = 5 * time.Second // after its start a copy knows who else is there
	mostHistory = 64              // lines
	MaxSettings = 256 << 10       // bytes of settings
	MaxStages   = 32
	MaxReplicas = 8192
)

// Kind tells what a plan changes.
type Kind uint8

// The kinds of change.
const (
	Settings Kind = iota + 1
	Program
)

// Stage is one step of a plan.
type Stage struct {
	Count       int           `json:"Count"`   // copies that are changed by its end, in all; 0 is by Part
	Fraction    float64       `json:"Part"`    // part of all copies
	PerZone     bool          `json:"PerZone"` // one of each zone at least
	Observation time.Duration `json:"Soak"`    // they are watched for so long
}

// Plan is what a person wants.
type Plan struct {
	ID               string        `json:"ID"`
	Kind             Kind          `json:"Kind"`
	Target           string        `json:"Target"` // the settings' hash, or the program's version
	Settings         []byte        `json:"Text"`   // the settings
	Stages           []Stage       `json:"Stages"`
	MaxUnavailable   int           `json:"Away"`    // copies that may be on their way at once
	Baseline         time.Duration `json:"Watch"`   // how long copies are compared before the first is changed
	ReadyTimeout     time.Duration `json:"Wait"`    // how long a copy may take to change and be ready
	ExtraObservation time.Duration `json:"Unknown"` // how much longer than its soak a stage is watched while too little is known
	RollBack         bool          `json:"Back"`    // go back if a stage does worse; else stop and wait for a person
	ExpiresAfter     time.Duration `json:"Expires"` // since it was taken; nothing new begins after it
	Guardrails       Guardrails    `json:"Guards"`
	MinLevel         uint8         `json:"Least"` // levels of what copies say to each other that the program speaks; 0 is not stated
	MaxLevel         uint8         `json:"Most"`
}

// Phase is what a plan is at.
type Phase uint8

// The phases. The last four are ends.
const (
	Idle Phase = iota
	Changing
	Observing
	Paused      // a person said so
	Stopped     // a person has to say what follows: Reason says why
	RollingBack // going back
	Done
	RolledBack
	Aborted
	Expired
)

// String names a phase as tables and logs do.
func (p Phase) String() string {
	names := [...]string{"none", "changing", "soaking", "paused", "stopped", "going back", "done", "gone back", "aborted", "expired"}
	if int(p) >= len(names) {
		return "unknown"
	}
	return names[p]
}

// Ended tells whether nothing follows any more.
func (p Phase) Ended() bool { return p == Idle || p >= Done }

// State is a plan's progress. Of two the one of the higher number holds, and of one
// number the later version.
type State struct {
	Plan             Plan          `json:"Plan"`
	FencingToken     uint64        `json:"Fence"` // of who wrote it
	Version          uint64        `json:"Version"`
	Leader           string        `json:"Leader"`
	Phase            Phase         `json:"Phase"`
	Stage            int           `json:"Stage"`
	Reason           string        `json:"Reason"`
	Selected         []string      `json:"Chosen"` // copies that are to be changed by now, in order
	Failed           []string      `json:"Failed"` // that could not, or did worse
	History          []string      `json:"History"`
	Age              time.Duration `json:"Age"`     // since the plan was taken
	ObservationStart time.Duration `json:"StageAt"` // Age when the stage's soak began
}

// Newer tells whether s overrides o.
func (s *State) Newer(o *State) bool {
	if s.FencingToken != o.FencingToken {
		return s.FencingToken > o.FencingToken
	}
	return s.Version > o.Version
}

// Replica is what the leader knows of one.
type Replica struct {
	Name          string
	Zone          string
	Alive         bool
	Ready         bool
	Version       string // settings' hash or program's version that it has
	Epoch         uint64 // of its process: another one is a crash or a restart
	RefusedReason string // why it could not take what it was told, if it was the plan's
	MinLevel      uint8  // levels that it speaks; 0 is not known
	MaxLevel      uint8
}

// Message is what copies say to each other about rollouts.
type Message struct {
	Kind         MessageKind `json:"Kind"`
	From         string      `json:"From"`
	FencingToken uint64      `json:"Fence"`
	Target       string      `json:"Target"` // Order: what the one it is for is to hold
	RollBack     bool        `json:"Back"`   // Order: what it held before
	Plan         string      `json:"Plan"`
	State        *State      `json:"State"`
	Report       *Report     `json:"Report"`
	Seq          uint64      `json:"Seq"`
}

// MessageKind tells what a message is for.
type MessageKind uint8

// The kinds of message.
const (
	VoteRequest MessageKind = iota + 1
	VoteGranted
	PreVoteRequest // whether one would vote, if asked: nothing is promised by the answer
	PreVoteGranted
	StateUpdate  // State
	ChangeOrder  // to one copy
	ReportUpdate // Report, to the leader
)

// Action is something that the host is to do.
type Action struct {
	Kind     ActionKind
	To       string
	Message  Message
	Target   string // Apply
	RollBack bool
	Plan     string
	Settings []byte
	Line     string
}

// ActionKind tells which fields of an Action are set.
type ActionKind uint8

// The kinds of action.
const (
	Send    ActionKind = iota + 1 // To, Message
	Apply                         // Target, Back, Plan, Text: this copy changes
	LogLine                       // Line: for the log
)

// poll is one time that all were asked for their vote. Answers to one may come after
// the next was begun.
type poll struct {
	seq   uint64
	at    time.Duration
	votes map[string]bool
}

const mostPolls = 4

// Participant is one copy's side. It is not safe for concurrent use.
type Participant struct {
	name  string
	now   time.Duration
	began time.Duration
	out   []Action

	state   State
	highest uint64        // number seen
	voted   time.Duration // until when its vote is given
	votedTo string
	applied string // plan and way that this copy was told last,
	reached bool   // and it came to hold that

	// Of a candidate or leader.
	fence    uint64
	will     poll
	asks     []poll
	heldTo   time.Duration // the lease, by its own clock
	nextTry  time.Duration
	nextAsk  time.Duration
	nextTell time.Duration
	nextWord time.Duration
	turns    int
	orders   time.Duration // from when it may give them: the votes for another are over
	copies   []Replica
	epochs   map[string]uint64 // of changed copies when they became ready
	ordered  map[string]time.Duration
	judge    *Evaluator
	before   *Baseline
	seq      uint64
	saved    Phase // before a pause
}

// New returns a copy's side. It votes for nobody until any vote that it may have given
// before a restart is over.
func New(name string, now time.Duration) *Participant {
	return &Participant{name: name, now: now, began: now, voted: now + stretch(Lease), epochs: map[string]uint64{}, ordered: map[string]time.Duration{},
		before: NewBaseline()}
}

func stretch(d time.Duration) time.Duration { return time.Duration(float64(d) * (1 + 2*drift)) }

// State is the plan's progress as far as it is known here.
func (r *Participant) State() State { return r.state }

// CandidateReason tells in words what a copy does about leading, for people who look for why
// nobody does.
func (r *Participant) CandidateReason() string {
	return fmt.Sprintf("number %d seen, own %d, vote for %q for %v, next try in %v, %d of %d there", r.highest, r.fence, r.votedTo, max(r.voted-r.now, 0), r.nextTry-r.now, r.there(), len(r.copies))
}

// IsLeader tells whether this copy holds the lease.
func (r *Participant) IsLeader() bool {
	return r.fence != 0 && r.now < r.heldTo && r.fence >= r.highest
}

// Evidence is what the copy that leads knows of the stage that is watched: in words, and
// by span.
func (r *Participant) Evidence() (words string, points []Point) {
	switch {
	case !r.state.Phase.Ended() && !r.most():
		return fmt.Sprintf("nobody can lead: %d of %d copies are in sight, and most have to be", r.there(), len(r.copies)), nil
	case !r.IsLeader():
		return "", nil
	case r.state.Phase == Changing && len(r.state.Selected) == 0:
		return "how copies differ while all are alike is being watched", nil
	case r.judge == nil:
		return "", nil
	}
	_, words = r.judge.Assess(r.now)
	return words, slices.Clone(r.judge.points)
}

// Restore takes in what lay on the disk.
func (r *Participant) Restore(s State) {
	if s.Newer(&r.state) {
		r.state, r.highest = s, max(r.highest, s.FencingToken)
	}
}

// Start hands a plan over. It is refused while another stands.
func (r *Participant) Start(now time.Duration, p Plan) error {
	r.now = max(r.now, now)
	if err := p.Check(); err != nil {
		return err
	}
	if !r.state.Phase.Ended() {
		return &PlanStateError{r.state.Plan.ID, r.state.Phase}
	}
	for _, c := range r.copies {
		if p.MaxLevel > 0 && c.MaxLevel > 0 && (c.MinLevel > p.MaxLevel || c.MaxLevel < p.MinLevel) {
			return &KeyError{"speaks", fmt.Sprintf("%d to %d", p.MinLevel, p.MaxLevel), fmt.Sprintf("levels that meet those of every copy: %s speaks %d to %d, and the two could not hear each other", c.Name, c.MinLevel, c.MaxLevel)}
		}
	}
	r.highest++
	r.state = State{Plan: p, FencingToken: r.highest, Version: 1, Leader: "", Phase: Changing, History: []string{"taken by " + r.name}}
	r.nextTry, r.judge, r.before = r.now, nil, NewBaseline()
	return nil
}

// Command takes a person's word: pause, resume, abort, back.
func (r *Participant) Command(now time.Duration, word string) error {
	r.now = max(r.now, now)
	s := &r.state
	if s.Phase.Ended() {
		return &PlanStateError{s.Plan.ID, s.Phase}
	}
	switch word {
	case "pause":
		if s.Phase != Paused {
			r.saved = s.Phase
			r.turn(Paused, "a person said so")
		}
	case "resume":
		if s.Phase == Paused || s.Phase == Stopped {
			r.judge = nil
			r.turn(Changing, "a person said so")
		}
	case "abort":
		if s.Plan.RollBack && len(s.Selected) > 0 {
			r.turn(RollingBack, "aborted by a person")
		} else {
			r.turn(Aborted, "aborted by a person")
		}
	case "back":
		r.turn(RollingBack, "a person said so")
	}
	// Whoever leads has to follow: a word is a state of a higher number.
	r.highest++
	s.FencingToken, s.Version, s.Leader = r.highest, 1, ""
	r.fence, r.heldTo = 0, 0
	r.spread()
	return nil
}

// turn changes the phase and notes why.
func (r *Participant) turn(p Phase, why string) {
	s := &r.state
	s.Phase, s.Reason = p, why
	s.Version++
	s.History = append(s.History, p.String()+": "+why)
	if len(s.History) > mostHistory {
		s.History = slices.Delete(s.History, 1, len(s.History)-mostHistory+1)
	}
	r.act(Action{Kind: LogLine, Line: "plan " + s.Plan.ID + ": " + p.String() + ": " + why})
}

func (r *Participant) act(a Action) { r.out = append(r.out, a) }

func (r *Participant) send(to string, m Message) {
	m.From = r.name
	r.act(Action{Kind: Send, To: to, Message: m})
}

// spread tells the state to all that are there.
func (r *Participant) spread() {
	s := r.state
	for _, c := range r.copies {
		if c.Alive && c.Name != r.name {
			r.send(c.Name, Message{Kind: StateUpdate, FencingToken: s.FencingToken, State: &s})
		}
	}
}

// Tick does what is due. copies are all that this copy counts, itself among them.
func (r *Participant) Tick(now time.Duration, copies []Replica, out []Action) []Action {
	before := r.now
	r.now, r.out, r.copies = max(r.now, now), append(out, r.out...), copies
	r.reached = r.reached || r.holds(r.state.Plan.ID)
	if r.state.Phase.Ended() {
		r.fence = 0
		r.follow()
	} else {
		r.state.Age += r.now - before
		r.lead()
	}
	r.remind()
	out, r.out = r.out, nil
	return out
}

// follow has a copy that was away hold what the plan came to.
func (r *Participant) follow() {
	s := &r.state
	c := r.find(r.name)
	if c == nil || s.Plan.ID == "" || c.RefusedReason != "" || !r.behind(c) || !r.most() || r.now-r.began < meet {
		return
	}
	// Many may be back at once: they have their turn by name, no more away than the plan allows.
	before := 0
	for i := range r.copies {
		o := &r.copies[i]
		if o.Alive && o.RefusedReason == "" && o.Name != r.name && (!o.Ready || o.Name < r.name && r.behind(o)) {
			before++
		}
	}
	switch {
	case before >= s.Plan.MaxUnavailable:
	case s.Phase == Done:
		r.obey(s.Plan.ID, s.Plan.Target, false)
	default:
		r.obey(s.Plan.ID, "", true)
	}
}

// behind tells whether a copy does not hold what the plan came to.
func (r *Participant) behind(c *Replica) bool {
	s := &r.state
	return s.Phase == Done && s.Plan.Kind == Settings && c.Version != s.Plan.Target || s.Phase == RolledBack && c.Version == s.Plan.Target
}

// remind tells one other now and then how the plan stands: it may have been away.
func (r *Participant) remind() {
	if r.state.FencingToken == 0 || r.now < r.nextWord || len(r.copies) < 2 {
		return
	}
	r.nextWord = r.now + remindEvery
	r.turns++
	for i := range r.copies {
		if c := r.copies[(r.turns+i)%len(r.copies)]; c.Alive && c.Name != r.name {
			s := r.state
			r.send(c.Name, Message{Kind: StateUpdate, FencingToken: s.FencingToken, State: &s})
			return
		}
	}
}

// lead seeks, keeps and uses the lease.
func (r *Participant) lead() {
	switch {
	case r.fence != 0 && r.fence < r.highest: // another has a higher number
		r.fence, r.heldTo, r.judge = 0, 0, nil
		r.nextTry = r.now + r.patience()
	case r.fence == 0:
		if r.nextTry == 0 {
			r.nextTry = r.now + r.patience()
		}
		if r.now < r.nextTry || r.now < r.voted && r.votedTo != r.name || !r.most() {
			return // without most copies in sight a number would only be in the way of who has them
		}
		// First it is asked who would vote: a try that must fail would keep votes from others for a lease.
		r.seq++
		r.will = poll{seq: r.seq, at: r.now, votes: map[string]bool{r.name: true}}
		for _, c := range r.copies {
			if c.Name != r.name && c.Alive {
				r.send(c.Name, Message{Kind: PreVoteRequest, FencingToken: r.highest + 1, Seq: r.seq})
			}
		}
		r.nextTry = r.now + r.patience()
		r.willed()
		return
	}
	if r.fence != 0 && r.heldTo == 0 && r.now >= r.nextTry { // too few voted: others may have more luck
		r.fence = 0
		r.nextTry = r.now + r.patience()
		return
	}
	if r.fence != 0 && r.heldTo != 0 && r.now >= r.heldTo+Lease { // lost: another may try
		r.fence, r.heldTo = 0, 0
		r.nextTry = r.now + r.patience()
		return
	}
	if r.fence != 0 && r.now >= r.nextAsk {
		r.ask()
	}
	if !r.IsLeader() {
		return
	}
	if r.state.FencingToken != r.fence { // what is known of the plan goes on under this number
		r.state.FencingToken, r.state.Version, r.state.Leader = r.fence, r.state.Version+1, r.name
		r.state.History = append(r.state.History, "led by "+r.name)
		r.judge, r.before = nil, NewBaseline() // what it may know is of another plan
	}
	before := r.state.Version
	if r.now >= r.orders {
		r.drive()
	}
	if r.state.Version != before || r.now >= r.nextTell {
		r.nextTell = r.now + renewEvery
		r.spread()
	}
}

// willed seeks the lease once most would vote.
func (r *Participant) willed() {
	if 2*len(r.will.votes) <= len(r.copies) || r.fence != 0 || r.state.Phase.Ended() || r.now < r.voted && r.votedTo != r.name {
		return
	}
	r.will = poll{}
	r.highest++
	r.fence = r.highest
	r.asks, r.heldTo = nil, 0
	r.ask()
	r.nextTry = r.now + Lease/2
}

// patience is how long a copy waits until it seeks the lease: until votes for others
// are over, and then a while that is its own for each number, lest all seek it at
// once, vote for themselves, and nobody ever gets it. Who comes first by name does not
// wait longer.
func (r *Participant) patience() time.Duration {
	if r.rank() == 0 {
		return stretch(Lease)
	}
	return stretch(Lease) + time.Duration(seedrand.Spread(fmt.Sprint(r.highest), "/", r.name)%uint64(tryWithin))
}

// most tells whether most copies are there.
func (r *Participant) most() bool { return 2*r.there() > len(r.copies) }

func (r *Participant) there() (n int) {
	for _, c := range r.copies {
		if c.Alive {
			n++
		}
	}
	return n
}

// rank is how many copies that are there come before this one by name.
func (r *Participant) rank() (n int) {
	for _, c := range r.copies {
		if c.Alive && c.Name < r.name {
			n++
		}
	}
	return n
}

// ask asks all for their vote, and votes itself.
func (r *Participant) ask() {
	r.nextAsk = r.now + renewEvery
	r.seq++
	p := poll{seq: r.seq, at: r.now, votes: map[string]bool{}}
	if r.now >= r.voted || r.votedTo == r.name {
		r.voted, r.votedTo = r.now+stretch(Lease), r.name
		p.votes[r.name] = true
	}
	if r.asks = append(r.asks, p); len(r.asks) > mostPolls {
		r.asks = r.asks[1:]
	}
	for _, c := range r.copies {
		if c.Name != r.name && c.Alive {
			r.send(c.Name, Message{Kind: VoteRequest, FencingToken: r.fence, Seq: r.seq})
		}
	}
	r.counted(&p)
}

// counted takes the lease once most of all copies have voted. It is counted from
// when they were asked.
func (r *Participant) counted(p *poll) {
	if 2*len(p.votes) > len(r.copies) {
		if r.heldTo == 0 {
			r.orders = r.now + stretch(Lease)
		}
		r.heldTo = max(r.heldTo, p.at+time.Duration(float64(Lease)*(1-drift)))
	}
}

// Handle takes one message in.
func (r *Participant) Handle(now time.Duration, m Message, out []Action) []Action {
	r.now, r.out = max(r.now, now), append(out, r.out...)
	switch m.Kind {
	case VoteRequest:
		// A vote is given to one at a time, and to nobody below what was seen.
		if m.FencingToken >= r.highest && (r.now >= r.voted || r.votedTo == m.From) {
			r.highest = m.FencingToken
			r.voted, r.votedTo = r.now+stretch(Lease), m.From
			r.nextTry = max(r.nextTry, r.now+r.patience())
			r.send(m.From, Message{Kind: VoteGranted, FencingToken: m.FencingToken, Seq: m.Seq})
		} else if m.FencingToken < r.highest { // who asks has to know
			r.send(m.From, Message{Kind: VoteGranted, FencingToken: r.highest})
		}
	case PreVoteRequest:
		if m.FencingToken > r.highest && (r.now >= r.voted || r.votedTo == m.From) {
			r.send(m.From, Message{Kind: PreVoteGranted, FencingToken: r.highest, Seq: m.Seq})
		} else if m.FencingToken <= r.highest {
			r.send(m.From, Message{Kind: VoteGranted, FencingToken: r.highest}) // who asks has to know
		}
	case PreVoteGranted:
		if r.highest = max(r.highest, m.FencingToken); m.Seq == r.will.seq && r.will.votes != nil {
			r.will.votes[m.From] = true
			r.willed()
		}
	case VoteGranted:
		if r.highest = max(r.highest, m.FencingToken); m.FencingToken != r.fence || r.fence == 0 {
			break
		}
		if i := slices.IndexFunc(r.asks, func(p poll) bool { return p.seq == m.Seq }); i >= 0 {
			r.asks[i].votes[m.From] = true
			r.counted(&r.asks[i])
		}
	case StateUpdate:
		if m.State != nil && m.State.FencingToken == m.FencingToken && m.State.Plan.Check() == nil {
			if m.State.Newer(&r.state) {
				r.state = *m.State
				r.nextTry = 0
			}
			r.highest = max(r.highest, m.FencingToken)
		}
	case ChangeOrder:
		if m.FencingToken < r.highest || m.FencingToken == 0 || m.From != r.votedTo || r.now >= r.voted {
			break // of a leader that is one no more, or that this copy did not vote for
		}
		r.highest = m.FencingToken
		if r.state.Plan.ID != m.Plan {
			break // its plan is not known here yet: the order comes again
		}
		r.obey(m.Plan, m.Target, m.RollBack)
	case ReportUpdate:
		if m.Report == nil || !r.IsLeader() {
			break
		}
		if r.judge != nil {
			r.judge.AddReport(r.now, *m.Report)
		}
		if !slices.Contains(r.state.Selected, m.Report.Name) {
			r.before.AddReport(*m.Report)
		}
	}
	out, r.out = r.out, nil
	return out
}

// holds tells whether this copy has come to what it was told last.
func (r *Participant) holds(plan string) bool {
	c := r.find(r.name)
	if c == nil || r.applied == "" {
		return false
	}
	if r.applied == plan+">" { // back
		return c.Version != r.state.Plan.Target
	}
	return r.applied == plan+">"+c.Version
}

// obey has this copy change: once for each order, and once more if it came to what it was
// told and a person has since given it something else.
func (r *Participant) obey(plan, target string, back bool) {
	way := plan + ">" + target
	if r.applied == way && !(r.reached && !r.holds(plan)) {
		return
	}
	r.applied, r.reached = way, false
	r.act(Action{Kind: Apply, Plan: plan, Target: target, RollBack: back, Settings: r.state.Plan.Settings})
}

// order puts copies in the order in which they are changed: zones in turn, and within
// a zone by chance that the plan's name decides.
func order(id string, copies []Replica) []Replica {
	byZone := map[string][]Replica{}
	var zones []string
	for _, c := range copies {
		if byZone[c.Zone] == nil {
			zones = append(zones, c.Zone)
		}
		byZone[c.Zone] = append(byZone[c.Zone], c)
	}
	slices.Sort(zones)
	for _, z := range zones {
		slices.SortFunc(byZone[z], func(a, b Replica) int {
			return cmp.Or(cmp.Compare(seedrand.Spread(id, "/", a.Name), seedrand.Spread(id, "/", b.Name)), cmp.Compare(a.Name, b.Name))
		})
	}
	var out []Replica
	for i := 0; len(out) < len(copies); i++ {
		for _, z := range zones {
			if i < len(byZone[z]) {
				out = append(out, byZone[z][i])
			}
		}
	}
	return out
}
