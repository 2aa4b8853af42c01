package fleet

import (
	"context"
	"errors"
	"runtime/metrics"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ryerill/fleet/membership"
	"ryerill/fleet/rollout"
)

const (
	rolloutInterval  = 100 * time.Millisecond
	reportInterval   = time.Second
	fetchRetry       = 500 * time.Millisecond // pause after a failed fetch of a state
	fencingTokenBits = 24                     // shift of the fencing token in a persisted version
)

// ChangeFunc changes this replica to the target version of a rollout. A non-empty text holds the
// new settings; back requests a rollback to the previous version. The fleet calls it in a
// separate goroutine.
type ChangeFunc func(kind rollout.Kind, target string, text []byte, back bool) error

// PoolActivity holds this replica's totals for one pool since the start. A rollout compares them
// between changed and unchanged replicas.
type PoolActivity struct {
	Pool            string
	OfferedWeight   float64 // priority weight of the requests
	ServedWeight    float64 // priority weight of the requests answered in time
	Responses       float64
	ResponseSeconds float64 // total response time
	Requests        float64 // ended requests
	Attempts        float64 // ended attempts
}

// DesiredVersion is the version that the operator's tools must install on this replica.
type DesiredVersion struct {
	Plan        string `json:"plan"`
	Target      string `json:"target"`
	RollingBack bool   `json:"back"`
}

// refusal records why a replica could not change to the version of a plan.
type refusal struct{ plan, reason string }

// rolloutVersion orders the states of a rollout.
type rolloutVersion struct{ fencingToken, version uint64 }

func versionOf(s *rollout.State) rolloutVersion {
	return rolloutVersion{fencingToken: s.FencingToken, version: s.Version}
}

// rolloutHost connects this replica to rollouts. Fleet.mu guards it.
type rolloutHost struct {
	participant      *rollout.Participant
	change           ChangeFunc
	activity         func() []PoolActivity
	reportedActivity map[string]PoolActivity // by pool, totals at the latest report
	reportedInterval uint64                  // number of the latest reported interval
	refusals         map[string]refusal      // refusals of other replicas, by name
	ownRefusal       refusal
	refusalAttempt   uint64 // attempt at the plan in which the refusals occurred
	desired          DesiredVersion
	desiredAttempt   uint64 // attempt at the plan that ordered the desired version

	fetching      bool
	fetchFailedAt time.Time      // zero after a success
	fetched       []byte         // the state as received: it may have fields that this program does not know
	fetchedAt     rolloutVersion // version of fetched

	persistedVersion uint64
}

// EnableRollouts makes this replica take part in rollouts. It must be called before Run.
func (f *Fleet) EnableRollouts(change ChangeFunc, activity func() []PoolActivity) {
	f.rollouts = &rolloutHost{
		participant:      rollout.New(f.cfg.Name, f.now()),
		change:           change,
		activity:         activity,
		reportedActivity: map[string]PoolActivity{},
		refusals:         map[string]refusal{},
	}
	if f.restored.Rollout != nil {
		f.rollouts.participant.Restore(*f.restored.Rollout)
	}
}

// persistedState returns the state for the state file; nil before the first plan.
func (h *rolloutHost) persistedState() *rollout.State {
	state := h.participant.State()
	if state.FencingToken == 0 {
		return nil
	}
	return &state
}

// changedSincePersisted reports whether the version of the state has changed since the previous
// call.
func (h *rolloutHost) changedSincePersisted() bool {
	state := h.participant.State()
	version := state.FencingToken<<fencingTokenBits | state.Version
	if version == h.persistedVersion {
		return false
	}
	h.persistedVersion = version
	return true
}

// replica converts a member to the replica type of package rollout.
func (h *rolloutHost) replica(m *membership.MemberInfo, plan *rollout.Plan) rollout.Replica {
	replica := rollout.Replica{
		Name:     m.Name,
		Zone:     m.Tags.Zone,
		Alive:    m.Self || m.Status == membership.Alive || m.Status == membership.Suspect,
		Ready:    m.Tags.Phase == membership.Serving,
		Version:  m.Tags.SettingsHash,
		Epoch:    m.Epoch,
		MinLevel: m.Tags.MinLevel,
		MaxLevel: m.Tags.MaxLevel,
	}
	if plan.Kind == rollout.Program {
		replica.Version = m.Tags.ProgramVersion
	}
	refused := h.refusals[m.Name]
	if m.Self {
		refused = h.ownRefusal
	}
	if refused.plan == plan.ID && replica.Version != plan.Target {
		replica.RefusedReason = refused.reason
	}
	return replica
}

// forgetRefusals discards the refusals of earlier attempts at a plan, whose causes may have been fixed. Callers must
// hold Fleet.mu.
func (h *rolloutHost) forgetRefusals() {
	attempt := h.participant.Attempts()
	if attempt == h.refusalAttempt {
		return
	}
	h.refusalAttempt = attempt
	h.ownRefusal = refusal{}
	clear(h.refusals)
}

// noteReport records whether the sender of a report refuses the plan. Callers must hold Fleet.mu.
func (h *rolloutHost) noteReport(report *rollout.Report) {
	if report.RefusedReason == "" {
		delete(h.refusals, report.Name)
		return
	}
	h.refusals[report.Name] = refusal{plan: report.Plan, reason: report.RefusedReason}
}

// replicas returns all replicas that may be running. Callers must hold mu.
func (f *Fleet) replicas() (all []rollout.Replica) {
	state := f.rollouts.participant.State()
	for _, m := range f.list.Members() {
		if m.Status != membership.Left && m.Tags != nil {
			all = append(all, f.rollouts.replica(&m, &state.Plan))
		}
	}
	return all
}

// runRollouts drives rollouts until ctx ends.
func (f *Fleet) runRollouts(ctx context.Context) {
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.tickRollouts()
		}
	}
}

func (f *Fleet) tickRollouts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.rollouts
	h.forgetRefusals()
	f.executeRollout(h.participant.Tick(f.now(), f.replicas(), nil))
	if interval := uint64(time.Now().UnixNano() / int64(reportInterval)); interval != h.reportedInterval {
		h.reportedInterval = interval
		f.reportActivity()
	}
	f.persistRollout()
}

// persistRollout starts a write of the state file if the rollout has changed. Callers must hold mu.
func (f *Fleet) persistRollout() {
	if !f.stateFile.enabled() || f.persisted.writing || f.departed {
		return
	}
	if f.rollouts.changedSincePersisted() {
		f.persistReplicaSet()
	}
}

// executeRollout executes the actions of a rollout. Callers must hold mu.
func (f *Fleet) executeRollout(actions []rollout.Action) {
	for _, action := range actions {
		switch action.Kind {
		case rollout.Send:
			f.sendRollout(action.To, action.Message)
		case rollout.LogLine:
			f.log.Info("fleet rollout progressed", "reason", action.Line)
		case rollout.Apply:
			f.applyVersion(action)
		}
	}
}

// applyVersion starts the change of this replica to the version that a rollout orders. Callers must hold mu.
func (f *Fleet) applyVersion(action rollout.Action) {
	h := f.rollouts
	f.log.Info("applying fleet rollout to this replica", "plan", action.Plan, "target", action.Target,
		"rolling_back", action.RollBack)
	attempt := h.participant.Attempts()
	h.desired = DesiredVersion{Plan: action.Plan, Target: action.Target, RollingBack: action.RollBack}
	h.desiredAttempt = attempt
	kind := h.participant.State().Plan.Kind
	f.goroutines.Go(func() {
		err := h.change(kind, action.Target, action.Settings, action.RollBack)
		if err == nil {
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.log.Error("fleet rollout not applied to this replica", "plan", action.Plan, "err", err)
		if h.participant.Attempts() == attempt {
			h.ownRefusal = refusal{plan: action.Plan, reason: err.Error()}
		}
	})
}

// RolloutRefused records that the operator's tools could not install the desired version of a
// plan. It ignores a refusal if only an earlier attempt at the plan ordered that version.
func (f *Fleet) RolloutRefused(plan, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.rollouts
	if h == nil || h.desired.Plan == plan && h.desiredAttempt != h.participant.Attempts() {
		return
	}
	h.ownRefusal = refusal{plan: plan, reason: reason}
}

// currentDesired returns the desired version. It is empty until the current attempt at the plan orders one.
func (h *rolloutHost) currentDesired() DesiredVersion {
	if h.desiredAttempt != h.participant.Attempts() {
		return DesiredVersion{}
	}
	return h.desired
}

// sendRollout sends a rollout message. It reduces a state to its version; replicas with an older
// one fetch the whole state. Callers must hold mu.
func (f *Fleet) sendRollout(to string, message rollout.Message) {
	if message.State != nil {
		message.State = &rollout.State{FencingToken: message.State.FencingToken, Version: message.State.Version}
	}
	payload, err := cbor.Marshal(message)
	if err != nil {
		f.transport.count(func(stats *Stats) { stats.Unsent++ })
		return
	}
	f.sendToReplica(to, membership.Rollout, payload)
}

// receiveRollout handles a rollout datagram. Callers must hold mu.
func (f *Fleet) receiveRollout(datagram *membership.Message) {
	if f.rollouts == nil || !f.fromCurrentProcess(datagram) {
		return
	}
	sender := datagram.From.Name
	var message rollout.Message
	if err := cbor.Unmarshal(datagram.Payload, &message); err != nil || message.From != sender {
		f.transport.count(func(stats *Stats) { stats.Invalid[faultRollout]++ })
		return
	}
	if message.Kind == rollout.StateUpdate {
		f.fetchIfNewer(sender, message.State)
		return
	}
	if report := message.Report; message.Kind == rollout.ReportUpdate && report != nil && report.Name == sender {
		f.rollouts.noteReport(report)
	}
	f.executeRollout(f.rollouts.participant.Handle(f.now(), message, nil))
}

// memoryMB returns the memory, in MB, that this process has obtained from the system; 0 if unknown.
func memoryMB() float64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	for _, sample := range samples {
		if sample.Value.Kind() != metrics.KindUint64 {
			return 0
		}
	}
	const bytesPerMB = 1 << 20
	return float64(samples[0].Value.Uint64()-samples[1].Value.Uint64()) / bytesPerMB
}

// reportActivity reports this replica's activity in the last interval to the leader while a
// rollout changes or observes replicas. Callers must hold mu.
func (f *Fleet) reportActivity() {
	h := f.rollouts
	state := h.participant.State()
	memory := 0.0
	if state.Phase == rollout.Observing {
		memory = memoryMB()
	}
	inProgress := state.Phase == rollout.Observing || state.Phase == rollout.Changing
	for _, activity := range h.activity() {
		before := h.reportedActivity[activity.Pool]
		h.reportedActivity[activity.Pool] = activity
		if !inProgress || state.Leader == "" {
			continue
		}
		report := rollout.Report{
			Name:            f.cfg.Name,
			Zone:            f.cfg.Zone,
			Pool:            activity.Pool,
			Interval:        h.reportedInterval,
			OfferedWeight:   activity.OfferedWeight - before.OfferedWeight,
			ServedWeight:    activity.ServedWeight - before.ServedWeight,
			Responses:       activity.Responses - before.Responses,
			ResponseSeconds: activity.ResponseSeconds - before.ResponseSeconds,
			Requests:        activity.Requests - before.Requests,
			Attempts:        activity.Attempts - before.Attempts,
			Memory:          memory,
			Plan:            h.ownRefusal.plan,
			RefusedReason:   h.ownRefusal.reason,
		}
		message := rollout.Message{Kind: rollout.ReportUpdate, From: f.cfg.Name, Report: &report}
		if state.Leader == f.cfg.Name {
			f.executeRollout(h.participant.Handle(f.now(), message, nil))
		} else {
			f.sendRollout(state.Leader, message)
		}
	}
}

var errNoRollouts = errors.New("this proxy takes no part in rollouts now")

// StartRollout starts a rollout of the plan.
func (f *Fleet) StartRollout(plan rollout.Plan) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rollouts == nil || f.departed {
		return errNoRollouts
	}
	return f.rollouts.participant.Start(f.now(), plan)
}

// RolloutCommand passes an operator's command to the rollout.
func (f *Fleet) RolloutCommand(command string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rollouts == nil || f.departed {
		return errNoRollouts
	}
	return f.rollouts.participant.Command(f.now(), command)
}
