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

// ChangeFunc carries out what a rollout tells this copy. It is called beside all else,
// and returns why it could not.
type ChangeFunc func(kind rollout.Kind, target string, text []byte, back bool) error

// PoolActivity is what this copy did in a span, for the comparison of changed and unchanged
// copies.
type PoolActivity struct {
	Pool                                                    string
	OfferedWeight, ServedWeight, Responses, ResponseSeconds float64
	Requests, Attempts                                      float64
}

// roller is this copy's side of rollouts. The fleet's mutex guards it.
type roller struct {
	*rollout.Participant
	change   ChangeFunc
	done     func() []PoolActivity // since the start
	before   map[string]PoolActivity
	span     uint64
	refused  map[string][2]string // by copy: plan, and why
	own      [2]string
	fetching bool
	fetched  time.Time
	kept     uint64 // version of the state on the disk, with its number
	told     []byte // the state that toldOf names as it came: a later program may have said more in it than is known here
	toldOf   rollout.State
	wanted   DesiredVersion
}

// DesiredVersion is what the operator's own means are to bring about here.
type DesiredVersion struct {
	Plan        string `json:"plan"`
	Target      string `json:"target"`
	RollingBack bool   `json:"back"`
}

// EnableRollouts has this copy take part in rollouts. It must be called before Run.
func (f *Fleet) EnableRollouts(change ChangeFunc, done func() []PoolActivity) {
	f.roller = &roller{Participant: rollout.New(f.cfg.Name, f.now()), change: change, done: done, before: map[string]PoolActivity{}, refused: map[string][2]string{}}
	if f.recalled.Rollout != nil {
		f.roller.Restore(*f.recalled.Rollout)
	}
}

// head is all of a state that a datagram carries: who has an older one fetches it.
func head(s *rollout.State) *rollout.State {
	return &rollout.State{FencingToken: s.FencingToken, Version: s.Version}
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
func (f *Fleet) crew() (all []rollout.Replica) {
	r := f.roller
	s := r.State()
	for _, m := range f.member.Members() {
		if m.Status == membership.Left || m.Tags == nil {
			continue
		}
		c := rollout.Replica{Name: m.Name, Zone: m.Tags.Zone, Alive: m.Self || m.Status == membership.Alive || m.Status == membership.Suspect,
			Ready: m.Tags.Phase == membership.Serving, Version: m.Tags.SettingsHash, Epoch: m.Epoch,
			MinLevel: m.Tags.MinLevel, MaxLevel: m.Tags.MaxLevel}
		if s.Plan.Kind == rollout.Program {
			c.Version = m.Tags.ProgramVersion
		}
		refused := r.refused[m.Name]
		if m.Self {
			refused = r.own
		}
		if refused[0] == s.Plan.ID && c.Version != s.Plan.Target {
			c.RefusedReason = refused[1]
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
		case rollout.LogLine:
			f.log.Info("fleet: rollout", "says", a.Line)
		case rollout.Apply:
			f.log.Info("fleet: rollout", "plan", a.Plan, "told to take", a.Target, "back", a.RollBack)
			kind := f.roller.State().Plan.Kind
			f.roller.wanted = DesiredVersion{a.Plan, a.Target, a.RollBack}
			f.all.Add(1)
			go func() {
				defer f.all.Done()
				err := f.roller.change(kind, a.Target, a.Settings, a.RollBack)
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

// RolloutRefused books that the operator's own means could not bring about what is wanted.
func (f *Fleet) RolloutRefused(plan, why string) {
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
	f.send(to, r.Tags.Address, &membership.Message{Kind: membership.Rollout, From: self.State, Target: to, Digest: f.member.Digest(), ReplicaSetDigest: f.view.ReplicaSetDigest(), Payload: text})
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
	if err := cbor.Unmarshal(m.Payload, &msg); err != nil || msg.From != m.From.Name {
		f.figures.Invalid["of a rollout, torn"]++
		return
	}
	switch msg.Kind {
	case rollout.StateUpdate:
		own := r.State()
		if msg.State != nil && msg.State.Newer(&own) && !r.fetching && time.Since(r.fetched) > fetchAgain {
			r.fetching = true
			f.all.Add(1)
			go f.fetch(f.reach(known.Name, known.Tags.Address))
		}
		return
	case rollout.ReportUpdate:
		if rep := msg.Report; rep != nil && rep.Name == m.From.Name && rep.RefusedReason != "" {
			r.refused[rep.Name] = [2]string{rep.Plan, rep.RefusedReason}
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
	f.roller.told, f.roller.toldOf = text, rollout.State{FencingToken: state.FencingToken, Version: state.Version}
	f.carry(f.roller.Handle(f.now(), rollout.Message{Kind: rollout.StateUpdate, From: state.Leader, FencingToken: state.FencingToken, State: state}, nil))
}

func (f *Fleet) fetchState(address string) (*rollout.State, []byte, error) {
	conn, err := net.DialTimeout("tcp", address, dialTime)
	if err != nil {
		return nil, nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(exchangeTime))
	f.mu.Lock()
	self := f.member.Self().State
	f.mu.Unlock()
	if err := f.deliver(conn, &membership.Message{Kind: membership.RolloutFetch, From: self}); err != nil {
		return nil, nil, err
	}
	m, err := f.receive(conn, membership.RolloutState)
	if err != nil {
		return nil, nil, err
	}
	s := new(rollout.State)
	return s, m.Payload, cbor.Unmarshal(m.Payload, s)
}

// answerFetch tells this copy's state whole.
func (f *Fleet) answerFetch(conn net.Conn) {
	f.mu.Lock()
	if f.roller == nil {
		f.mu.Unlock()
		return
	}
	s, self, r := f.roller.State(), f.member.Self().State, f.roller
	told := r.told
	if r.toldOf.FencingToken != s.FencingToken || r.toldOf.Version != s.Version {
		told = nil
	}
	f.mu.Unlock()
	text, err := told, error(nil)
	if told == nil {
		text, err = cbor.Marshal(s)
	}
	if err == nil {
		f.deliver(conn, &membership.Message{Kind: membership.RolloutState, From: self, Payload: text})
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
	if s.Phase == rollout.Observing {
		memory = held()
	}
	for _, now := range r.done() {
		b := r.before[now.Pool]
		r.before[now.Pool] = now
		if s.Phase != rollout.Observing && s.Phase != rollout.Changing || s.Leader == "" {
			continue
		}
		rep := rollout.Report{Name: f.cfg.Name, Zone: f.cfg.Zone, Pool: now.Pool, Interval: span, OfferedWeight: now.OfferedWeight - b.OfferedWeight, ServedWeight: now.ServedWeight - b.ServedWeight,
			Responses: now.Responses - b.Responses, ResponseSeconds: now.ResponseSeconds - b.ResponseSeconds,
			Requests: now.Requests - b.Requests, Attempts: now.Attempts - b.Attempts, Memory: memory, Plan: r.own[0], RefusedReason: r.own[1]}
		msg := rollout.Message{Kind: rollout.ReportUpdate, From: f.cfg.Name, Report: &rep}
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
	if now := s.FencingToken<<24 | s.Version; now != f.roller.kept && f.cfg.StateFile != "" && !f.keeping && !f.phases {
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

// RolloutCommand passes a person's word on.
func (f *Fleet) RolloutCommand(word string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.roller == nil || f.phases {
		return errNoRollouts
	}
	return f.roller.Command(f.now(), word)
}

// RolloutStatus is what the door tells of a plan.
type RolloutStatus struct {
	Plan            string          `json:"plan"`
	Kind            string          `json:"kind"`
	Target          string          `json:"target"`
	Phase           string          `json:"phase"`
	Ended           bool            `json:"ended"`
	Stage           int             `json:"stage"` // from 1
	Stages          []StageStatus   `json:"stages"`
	Reason          string          `json:"reason"`
	Leader          string          `json:"leader"`
	IsLeader        bool            `json:"leads"`
	FencingToken    uint64          `json:"number"`
	AgeMS           int64           `json:"age_ms"`
	ChangedReplicas []string        `json:"changed"`
	FailedReplicas  []string        `json:"failed"`
	History         []string        `json:"history"`
	Replicas        []ReplicaStatus `json:"copies"`
	Desired         DesiredVersion  `json:"wanted"`

	Evidence string          `json:"evidence,omitempty"` // of the copy that leads
	Points   []rollout.Point `json:"points,omitempty"`
}

// StageStatus is one stage.
type StageStatus struct {
	Replicas    int    `json:"copies"`
	Observation string `json:"soak"`
}

// ReplicaStatus is what one copy holds.
type ReplicaStatus struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	Alive         bool   `json:"alive"`
	Ready         bool   `json:"ready"`
	Version       string `json:"holds"`
	RefusedReason string `json:"refused,omitempty"`
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
		Leader: s.Leader, IsLeader: f.roller.IsLeader(), FencingToken: s.FencingToken, AgeMS: s.Age.Milliseconds(), ChangedReplicas: s.Selected, FailedReplicas: s.Failed, History: s.History, Desired: f.roller.wanted}
	out.Evidence, out.Points = f.roller.Evidence()
	zones := map[string]bool{}
	crew := f.crew()
	for _, c := range crew {
		zones[c.Zone] = true
		out.Replicas = append(out.Replicas, ReplicaStatus{c.Name, c.Zone, c.Alive, c.Ready, c.Version, c.RefusedReason})
	}
	for i, st := range s.Plan.Stages {
		out.Stages = append(out.Stages, StageStatus{s.Plan.Size(i, len(crew), len(zones)), st.Observation.String()})
	}
	return out, true
}
