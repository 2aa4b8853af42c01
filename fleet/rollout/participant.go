// Package rollout applies a change of settings or of the program to a fleet in stages, and stops it or rolls it back
// when a stage regresses. It does no I/O and reads no clock: callers pass in events with their time and execute the
// actions that it returns.
//
// At most one replica is the leader. It holds a lease from the votes of a quorum, under an increasing fencing token. A
// replica accepts orders only from the leader that it voted for, under a token not below the highest it has seen. The
// plan, its stage and its history are replicated to all replicas, so that any of them can continue if the leader fails.
package rollout

import (
	"fmt"
	"slices"
	"time"
)

// Participant is one replica's side of rollouts. It is not safe for concurrent use.
type Participant struct {
	env         environment
	startedAt   time.Duration
	state       State
	election    election
	replication replication
	application application
	attempts    uint64 // see Attempts
	stages      stageController
}

// New returns the Participant of the named replica.
func New(name string, now time.Duration) *Participant {
	return &Participant{
		env:       environment{name: name, now: now},
		startedAt: now,
		election:  newElection(now),
		stages:    newStageController(),
	}
}

// State returns the plan's progress as known to this replica.
func (p *Participant) State() State { return p.state }

// Attempts returns how often a plan was started, or resumed after it had stopped, as far as this replica knows.
// Refusals of an earlier attempt do not count in the current one.
func (p *Participant) Attempts() uint64 { return p.attempts }

// IsLeader reports whether this replica holds the lease.
func (p *Participant) IsLeader() bool { return p.election.isLeader(p.env.now) }

// CandidateReason describes this replica's election state, to diagnose why there is no leader.
func (p *Participant) CandidateReason() string {
	e := &p.election
	return fmt.Sprintf("fencing token %d seen, own %d, vote for %q for %v, next candidacy in %v, %d of %d alive",
		e.highestToken, e.token, e.vote.candidate, max(e.vote.until-p.env.now, 0), e.nextCampaignAt-p.env.now,
		p.env.replicas.aliveCount(), len(p.env.replicas))
}

// Evidence returns an explanation and the points by interval of the stage under observation, or the reason why the
// leader waits. On other replicas it is empty, unless there is no quorum for a leader.
func (p *Participant) Evidence() (explanation string, points []Point) {
	switch {
	case !p.state.Phase.Ended() && !p.env.replicas.hasQuorum():
		return fmt.Sprintf("nobody can lead: %d of %d copies are in sight, and most have to be",
			p.env.replicas.aliveCount(), len(p.env.replicas)), nil
	case p.state.Phase == Aborted && !p.env.replicas.hasQuorum():
		return fmt.Sprintf("most copies may not know of the abort; they are told once in sight: %d of %d are",
			p.env.replicas.aliveCount(), len(p.env.replicas)), nil
	case !p.IsLeader():
		return "", nil
	case p.state.Phase == Changing && len(p.state.Selected) == 0:
		return "how copies differ while all are alike is being watched", nil
	case p.state.Phase == Changing || p.state.Phase == RollingBack:
		return p.awaited(), nil
	case p.stages.evaluator == nil:
		return "", nil
	}
	_, explanation = p.stages.evaluator.Assess(p.env.now)
	return explanation, slices.Clone(p.stages.evaluator.points)
}

// Restore adopts the state that was persisted before a restart.
func (p *Participant) Restore(state State) {
	if state.Newer(&p.state) {
		p.state = state
		p.election.sawToken(state.FencingToken)
	}
}

// Start starts a completed plan. It returns a KeyError for an invalid plan, and a PlanStateError while another is
// active.
func (p *Participant) Start(now time.Duration, plan Plan) error {
	p.env.advance(now)
	if err := plan.Check(); err != nil {
		return err
	}
	if !p.state.Phase.Ended() {
		return &PlanStateError{p.state.Plan.ID, p.state.Phase}
	}
	if err := p.env.replicas.checkLevels(&plan); err != nil {
		return err
	}
	token := p.election.nextToken()
	p.state = State{
		Plan:         plan,
		FencingToken: token,
		Version:      1,
		Phase:        Changing,
		History:      []string{attemptEntry(takenPrefix, p.env.name, token)},
	}
	p.election.nextCampaignAt = p.env.now
	p.stages = newStageController()
	p.beginAttempt()
	return nil
}

// Commands of an operator.
const (
	commandPause  = "pause"
	commandResume = "resume"
	commandAbort  = "abort"
	commandBack   = "back"
)

// Reasons that a command gives.
const (
	byOperator      = "a person said so"
	abortByOperator = "aborted by a person"
)

// Command executes a command of an operator: pause, resume, abort or back. It returns a PlanStateError if no plan is
// active, and a CommandError for any other command.
func (p *Participant) Command(now time.Duration, command string) error {
	p.env.advance(now)
	state := &p.state
	if state.Phase.Ended() {
		return &PlanStateError{state.Plan.ID, state.Phase}
	}
	before := state.Phase
	switch command {
	case commandPause:
		if state.Phase != Paused {
			p.transition(Paused, byOperator)
		}
	case commandResume:
		if state.Phase == Paused || state.Phase == Stopped {
			p.stages.evaluator = nil
			p.transition(state.resumedPhase(), byOperator)
		}
	case commandAbort:
		if state.Plan.RollBack && len(state.Selected) > 0 {
			p.transition(RollingBack, abortByOperator)
		} else {
			p.transition(Aborted, abortByOperator)
		}
	case commandBack:
		p.transition(RollingBack, byOperator)
	default:
		return &CommandError{command}
	}
	// The state with a new token supersedes that of any leader.
	state.FencingToken = p.election.nextToken()
	if isResting(before) && !isResting(state.Phase) {
		state.record(attemptEntry(takenAgainPrefix, p.env.name, state.FencingToken))
		p.beginAttempt()
	}
	state.Version = 1
	state.Leader = ""
	p.election.resign()
	p.broadcast()
	return nil
}

// Tick executes what is due and returns the actions, appended to out. replicas lists the whole fleet, this replica
// included.
func (p *Participant) Tick(now time.Duration, replicas []Replica, out []Action) []Action {
	previous := p.env.now
	p.env.advance(now)
	p.env.actions = append(out, p.env.actions...)
	p.env.replicas = replicas
	p.application.completed = p.application.completed || p.hasOrderedVersion()
	if p.state.Phase.Ended() {
		p.election.withdraw()
		p.applyOutcome()
	} else {
		p.state.Age += p.env.now - previous
		p.advancePlan()
	}
	p.sendPeriodicUpdate()
	return p.env.takeActions()
}

// Handle processes a message and returns the resulting actions, appended to out.
func (p *Participant) Handle(now time.Duration, message Message, out []Action) []Action {
	p.env.advance(now)
	p.env.actions = append(out, p.env.actions...)
	switch message.Kind {
	case VoteRequest:
		if !p.refuseOutdated(&message) {
			p.election.handleVoteRequest(&p.env, &message)
		}
	case VoteGranted:
		p.election.handleVote(&p.env, &message)
	case PreVoteRequest:
		if !p.refuseOutdated(&message) {
			p.election.handlePreVoteRequest(&p.env, &message)
		}
	case PreVoteGranted:
		if p.election.handlePreVote(&message) && !p.state.Phase.Ended() {
			p.election.campaignIfElectable(&p.env, p.state.head())
		}
	case StateUpdate:
		p.handleState(&message)
	case ChangeOrder:
		p.handleOrder(&message)
	case ReportUpdate:
		if message.Report != nil && p.IsLeader() {
			p.stages.addReport(p.env.now, message.Report, p.state.Selected)
		}
	}
	return p.env.takeActions()
}

// advancePlan runs for leader, renews the lease and, as the leader, advances the plan.
func (p *Participant) advancePlan() {
	if p.election.token == 0 {
		p.election.considerCampaign(&p.env, p.state.head())
		return
	}
	if p.election.superseded() {
		p.stages.evaluator = nil
	}
	p.election.maintain(&p.env, p.state.head())
	if !p.IsLeader() {
		return
	}
	if p.state.FencingToken != p.election.token {
		p.takeOver()
	}
	version := p.state.Version
	if p.env.now >= p.election.ordersFrom {
		p.advanceStage()
	}
	if p.state.Version != version || p.env.now >= p.replication.nextBroadcastAt {
		p.replication.nextBroadcastAt = p.env.now + renewInterval
		p.broadcast()
	}
}

// takeOver continues the plan as its new leader.
func (p *Participant) takeOver() {
	p.state.FencingToken = p.election.token
	p.state.Version++
	p.state.Leader = p.env.name
	p.state.record("led by " + p.env.name)
	p.stages = newStageController() // data of an earlier term may concern another plan or processes that have ended
}

// transition enters a phase, and logs and records why.
func (p *Participant) transition(phase Phase, reason string) {
	p.state.transition(phase, reason)
	p.env.log("plan " + p.state.Plan.ID + ": " + phase.String() + ": " + reason)
}
