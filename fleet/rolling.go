package fleet

import (
	"context"
	"errors"
	"net"
	"runtime/metrics"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ryerill/fleet/membership"
	"ryerill/fleet/rollout"
)

const (
	rollEvery  = 100 * time.Millisecond
	reportSpan = time.Second
	fetchAgain = 500 * time.Millisecond
)

// Changer carries out what a rollout tells this copy. It is called beside all else,
// and returns why it could not.
type Changer func(kind rollout.Kind, target string, text []byte, back bool) error

// Done is what this copy did in a span, for the comparison of changed and unchanged
// copies.
type Done struct {
	Pool                       string
	Asked, Good, Answers, Took float64
	Requests, Attempts         float64
}

// roller is this copy's side of rollouts. The fleet's mutex guards it.
type roller struct {
	*rollout.Rollout
	change   Changer
	done     func() []Done // since the start
	before   map[string]Done
	span     uint64
	refused  map[string][2]string // by copy: plan, and why
	own      [2]string
	fetching bool
	fetched  time.Time
	kept     uint64 // version of the state on the disk, with its number
	told     []byte // the state that toldOf names as it came: a later program may have said more in it than is known here
	toldOf   rollout.State
	wanted   Wanted
}

// Wanted is what the operator's own means are to bring about here.
type Wanted struct {
	Plan   string `json:"plan"`
	Target string `json:"target"`
	Back   bool   `json:"back"`
}

// Roll has this copy take part in rollouts. It must be called before Run.
func (f *Fleet) Roll(change Changer, done func() []Done) {
	f.roller = &roller{Rollout: rollout.New(f.cfg.Name, f.now()), change: change, done: done, before: map[string]Done{}, refused: map[string][2]string{}}
	if f.recalled.Rollout != nil {
		f.roller.Restore(*f.recalled.Rollout)
	}
}

// head is all of a state that a datagram carries: who has an older one fetches it.
func head(s *rollout.State) *rollout.State {
	return &rollout.State{Fence: s.Fence, Version: s.Version}
}

// rolling looks at rollouts until ctx ends.
func (f *Fleet) rolling(ctx context.Context) {
	defer f.all.Done()
	tick := time.NewTicker(rollEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		f.mu.Lock()
		r := f.roller
		f.carry(r.Tick(f.now(), f.crew(), nil))
		if span := uint64(time.Now().UnixNano() / int64(reportSpan)); span != r.span {
			r.span = span
			f.report(span)
		}
		f.keepRollout()
		f.mu.Unlock()
	}
}

// crew is who could be changed. The mutex is held.
func (f *Fleet) crew() (all []rollout.Copy) {
	r := f.roller
	s := r.State()
	for _, m := range f.member.Members() {
		if m.Status == membership.Left || m.Tags == nil {
			continue
		}
		c := rollout.Copy{Name: m.Name, Zone: m.Tags.Zone, Alive: m.Self || m.Status == membership.Alive || m.Status == membership.Suspect,
			Ready: m.Tags.Phase == membership.Serving, Holds: m.Tags.Settings, Epoch: m.Epoch,
			Least: m.Tags.Least, Most: m.Tags.Most}
		if s.Plan.Kind == rollout.Program {
			c.Holds = m.Tags.Program
		}
		refused := r.refused[m.Name]
		if m.Self {
			refused = r.own
		}
		if refused[0] == s.Plan.ID && c.Holds != s.Plan.Target {
			c.Refused = refused[1]
		}
		all = append(all, c)
	}
	return all
}

// carry carries out what a rollout wants. The mutex is held.
func (f *Fleet) carry(actions []rollout.Action) {
	for _, a := range actions {
		switch a.Kind {
		case rollout.Send:
			f.sendRolling(a.To, a.Message)
		case rollout.Say:
			f.log.Info("fleet: rollout", "says", a.Line)
		case rollout.Apply:
			f.log.Info("fleet: rollout", "plan", a.Plan, "told to take", a.Target, "back", a.Back)
			kind := f.roller.State().Plan.Kind
			f.roller.wanted = Wanted{a.Plan, a.Target, a.Back}
			f.all.Add(1)
			go func() {
				defer f.all.Done()
				err := f.roller.change(kind, a.Target, a.Text, a.Back)
				f.mu.Lock()
				defer f.mu.Unlock()
				if err != nil {
					f.log.Error("fleet: rollout: this copy can't take it", "plan", a.Plan, "error", err)
					f.roller.own = [2]string{a.Plan, err.Error()}
				}
			}()
		}
	}
}

// NotTaken books that the operator's own means could not bring about what is wanted.
func (f *Fleet) NotTaken(plan, why string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.roller != nil {
		f.roller.own = [2]string{plan, why}
	}
}

func (f *Fleet) sendRolling(to string, m rollout.Message) {
	r, known := f.member.Find(to)
	if !known || r.Tags == nil {
		return
	}
	if m.State != nil {
		m.State = head(m.State)
	}
	text, err := cbor.Marshal(m)
	if err != nil {
		f.figures.Unsent++
		return
	}
	self := f.member.Self()
	f.send(to, r.Tags.Address, &membership.Message{Kind: membership.Rolling, From: self.Head, Target: to, Digest: f.member.Digest(), Counted: f.view.Counted(), Share: text})
}

// hearRolling takes a datagram in, if it is from the present process of a member that
// is known. The mutex is held.
func (f *Fleet) hearRolling(m *membership.Message) {
	r := f.roller
	known, there := f.member.Find(m.From.Name)
	if r == nil || m.Target != f.cfg.Name || f.ended || !there || known.Epoch != m.From.Epoch || m.From.Name == f.cfg.Name {
		return
	}
	var msg rollout.Message
	if err := cbor.Unmarshal(m.Share, &msg); err != nil || msg.From != m.From.Name {
		f.figures.Bad["of a rollout, torn"]++
		return
	}
	switch msg.Kind {
	case rollout.Tell:
		own := r.State()
		if msg.State != nil && msg.State.Newer(&own) && !r.fetching && time.Since(r.fetched) > fetchAgain {
			r.fetching = true
			f.all.Add(1)
			go f.fetch(f.reach(known.Name, known.Tags.Address))
		}
		return
	case rollout.Reports:
		if rep := msg.Report; rep != nil && rep.Name == m.From.Name && rep.Refused != "" {
			r.refused[rep.Name] = [2]string{rep.Plan, rep.Refused}
		}
	}
	f.carry(r.Handle(f.now(), msg, nil))
}

// fetch gets another's state whole.
func (f *Fleet) fetch(address string) {
	defer f.all.Done()
	state, text, err := f.fetchState(address)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.roller.fetching, f.roller.fetched = false, time.Now()
	if err != nil {
		f.complain("a rollout's state can't be fetched", "at", address, "error", err)
		return
	}
	f.roller.fetched = time.Time{}
	f.roller.told, f.roller.toldOf = text, rollout.State{Fence: state.Fence, Version: state.Version}
	f.carry(f.roller.Handle(f.now(), rollout.Message{Kind: rollout.Tell, From: state.Leader, Fence: state.Fence, State: state}, nil))
}

func (f *Fleet) fetchState(address string) (*rollout.State, []byte, error) {
	conn, err := net.DialTimeout("tcp", address, dialTime)
	if err != nil {
		return nil, nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(exchangeTime))
	f.mu.Lock()
	self := f.member.Self().Head
	f.mu.Unlock()
	if err := f.deliver(conn, &membership.Message{Kind: membership.Fetch, From: self}); err != nil {
		return nil, nil, err
	}
	m, err := f.receive(conn, membership.Fetched)
	if err != nil {
		return nil, nil, err
	}
	s := new(rollout.State)
	return s, m.Share, cbor.Unmarshal(m.Share, s)
}

// answerFetch tells this copy's state whole.
func (f *Fleet) answerFetch(conn net.Conn) {
	f.mu.Lock()
	if f.roller == nil {
		f.mu.Unlock()
		return
	}
	s, self, r := f.roller.State(), f.member.Self().Head, f.roller
	told := r.told
	if r.toldOf.Fence != s.Fence || r.toldOf.Version != s.Version {
		told = nil
	}
	f.mu.Unlock()
	text, err := told, error(nil)
	if told == nil {
		text, err = cbor.Marshal(s)
	}
	if err == nil {
		f.deliver(conn, &membership.Message{Kind: membership.Fetched, From: self, Share: text})
	}
}

// held is how many MB this process holds of the system.
func held() float64 {
	all := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(all)
	for _, s := range all {
		if s.Value.Kind() != metrics.KindUint64 {
			return 0
		}
	}
	return float64(all[0].Value.Uint64()-all[1].Value.Uint64()) / (1 << 20)
}

// report tells the leader what this copy did in the last span. The mutex is held.
func (f *Fleet) report(span uint64) {
	r := f.roller
	s := r.State()
	memory := 0.0
	if s.Phase == rollout.Soaking {
		memory = held()
	}
	for _, now := range r.done() {
		b := r.before[now.Pool]
		r.before[now.Pool] = now
		if s.Phase != rollout.Soaking && s.Phase != rollout.Changing || s.Leader == "" {
			continue
		}
		rep := rollout.Report{Name: f.cfg.Name, Zone: f.cfg.Zone, Pool: now.Pool, Span: span, Asked: now.Asked - b.Asked, Good: now.Good - b.Good,
			Answers: now.Answers - b.Answers, Took: now.Took - b.Took,
			Requests: now.Requests - b.Requests, Attempts: now.Attempts - b.Attempts, Memory: memory, Plan: r.own[0], Refused: r.own[1]}
		msg := rollout.Message{Kind: rollout.Reports, From: f.cfg.Name, Report: &rep}
		if s.Leader == f.cfg.Name {
			f.carry(r.Handle(f.now(), msg, nil))
		} else {
			f.sendRolling(s.Leader, msg)
		}
	}
}

// keepRollout writes the plan to the disk when it has changed. The mutex is held.
func (f *Fleet) keepRollout() {
	s := f.roller.State()
	if now := s.Fence<<24 | s.Version; now != f.roller.kept && f.cfg.Remember != "" && !f.keeping && !f.phases {
		f.roller.kept = now
		f.keep()
	}
}

var errNoRollouts = errors.New("this proxy takes no part in rollouts now")

// StartRollout hands a plan over.
func (f *Fleet) StartRollout(p rollout.Plan) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.roller == nil || f.phases {
		return errNoRollouts
	}
	return f.roller.Start(f.now(), p)
}

// RolloutWord passes a person's word on.
func (f *Fleet) RolloutWord(word string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.roller == nil || f.phases {
		return errNoRollouts
	}
	return f.roller.Word(f.now(), word)
}

// RolloutStatus is what the door tells of a plan.
type RolloutStatus struct {
	Plan    string        `json:"plan"`
	Kind    string        `json:"kind"`
	Target  string        `json:"target"`
	Phase   string        `json:"phase"`
	Ended   bool          `json:"ended"`
	Stage   int           `json:"stage"` // from 1
	Stages  []StageStatus `json:"stages"`
	Reason  string        `json:"reason"`
	Leader  string        `json:"leader"`
	Leads   bool          `json:"leads"`
	Number  uint64        `json:"number"`
	AgeMS   int64         `json:"age_ms"`
	Changed []string      `json:"changed"`
	Failed  []string      `json:"failed"`
	History []string      `json:"history"`
	Copies  []CopyStatus  `json:"copies"`
	Wanted  Wanted        `json:"wanted"`

	Evidence string          `json:"evidence,omitempty"` // of the copy that leads
	Points   []rollout.Point `json:"points,omitempty"`
}

// StageStatus is one stage.
type StageStatus struct {
	Copies int    `json:"copies"`
	Soak   string `json:"soak"`
}

// CopyStatus is what one copy holds.
type CopyStatus struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Alive   bool   `json:"alive"`
	Ready   bool   `json:"ready"`
	Holds   string `json:"holds"`
	Refused string `json:"refused,omitempty"`
}

// RolloutStatus tells how a plan stands.
func (f *Fleet) RolloutStatus() (RolloutStatus, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.roller == nil {
		return RolloutStatus{}, false
	}
	s := f.roller.State()
	kinds := map[rollout.Kind]string{rollout.Settings: "settings", rollout.Program: "program"}
	out := RolloutStatus{Plan: s.Plan.ID, Kind: kinds[s.Plan.Kind], Target: s.Plan.Target, Phase: s.Phase.String(), Ended: s.Phase.Ended(), Stage: s.Stage + 1, Reason: s.Reason,
		Leader: s.Leader, Leads: f.roller.Leads(), Number: s.Fence, AgeMS: s.Age.Milliseconds(), Changed: s.Chosen, Failed: s.Failed, History: s.History, Wanted: f.roller.wanted}
	out.Evidence, out.Points = f.roller.Evidence()
	zones := map[string]bool{}
	crew := f.crew()
	for _, c := range crew {
		zones[c.Zone] = true
		out.Copies = append(out.Copies, CopyStatus{c.Name, c.Zone, c.Alive, c.Ready, c.Holds, c.Refused})
	}
	for i, st := range s.Plan.Stages {
		out.Stages = append(out.Stages, StageStatus{s.Plan.Size(i, len(crew), len(zones)), st.Soak.String()})
	}
	return out, true
}
