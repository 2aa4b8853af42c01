package rollout

import "time"

// startupGrace is the time after its start by which a replica certainly knows which peers are alive.
const startupGrace = 5 * time.Second

// order is a change that the leader ordered a replica to make.
type order struct {
	plan   string
	target string // empty for the version before the plan
}

// application tracks the execution of orders by this replica.
type application struct {
	latest    order // zero if there was none
	completed bool  // this replica has since reached the ordered version
}

// isResting reports whether a plan in this phase makes no progress without an operator's decision.
func isResting(phase Phase) bool { return phase.Ended() || phase == Stopped }

// beginAttempt forgets the orders of earlier attempts at a plan with this ID, so that they are executed again.
func (p *Participant) beginAttempt() {
	p.attempts++
	p.application = application{}
}

// handleOrder executes an order of the leader.
func (p *Participant) handleOrder(message *Message) {
	if !p.election.acceptsOrder(message, p.env.now) {
		return
	}
	p.election.highestToken = message.FencingToken
	if p.state.Plan.ID != message.Plan {
		return // this replica doesn't know the plan yet; the leader repeats the order
	}
	p.apply(message.Target, message.RollBack)
}

// apply makes this replica change to the ordered version: once for each order in an attempt, and once more if the
// replica had reached the ordered version and an operator has since changed it by hand.
func (p *Participant) apply(target string, rollBack bool) {
	plan := &p.state.Plan
	ordered := order{plan: plan.ID, target: target}
	changedByHand := p.application.completed && !p.hasOrderedVersion()
	if p.application.latest == ordered && !changedByHand {
		return
	}
	p.application = application{latest: ordered}
	p.env.add(Action{
		Kind:     Apply,
		Plan:     plan.ID,
		Target:   target,
		RollBack: rollBack,
		Settings: plan.Settings,
	})
}

// hasOrderedVersion reports whether this replica has the version that it was last ordered to change to.
func (p *Participant) hasOrderedVersion() bool {
	self := p.env.replicas.find(p.env.name)
	latest := p.application.latest
	if self == nil || latest == (order{}) || latest.plan != p.state.Plan.ID {
		return false
	}
	if latest.target == "" {
		return self.Version != p.state.Plan.Target
	}
	return self.Version == latest.target
}

// applyOutcome makes a replica that was unreachable change to the version that the plan ended with. Many replicas may
// return at once, so they change in order of name, with no more unavailable than the plan allows.
func (p *Participant) applyOutcome() {
	state := &p.state
	self := p.env.replicas.find(p.env.name)
	if self == nil || state.Plan.ID == "" || self.RefusedReason != "" || !state.isOutdated(self) {
		return
	}
	if !p.env.replicas.hasQuorum() || p.env.now-p.startedAt < startupGrace {
		return
	}
	switch {
	case p.unavailableBeforeSelf() >= state.Plan.MaxUnavailable:
	case state.Phase == Done:
		p.apply(state.Plan.Target, false)
	default:
		p.apply("", true)
	}
}

// unavailableBeforeSelf counts the peers that aren't ready, and the outdated peers with smaller names.
func (p *Participant) unavailableBeforeSelf() int {
	count := 0
	for i := range p.env.replicas {
		peer := &p.env.replicas[i]
		if !peer.Alive || peer.RefusedReason != "" || peer.Name == p.env.name {
			continue
		}
		if !peer.Ready || peer.Name < p.env.name && p.state.isOutdated(peer) {
			count++
		}
	}
	return count
}

// isOutdated reports whether a replica doesn't have the version that the plan ended with.
func (s *State) isOutdated(replica *Replica) bool {
	switch s.Phase {
	case Done:
		return s.Plan.Kind == Settings && replica.Version != s.Plan.Target
	case RolledBack:
		return replica.Version == s.Plan.Target
	default:
		return false
	}
}
