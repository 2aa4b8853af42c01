package rollout

import (
	"strings"
	"time"
)

// rollBackTimeoutFactor is how many times the plan's ready timeout a replica may take to roll back.
const rollBackTimeoutFactor = 4

// rollBack returns all changed replicas to their previous version, with no more unavailable at once than the plan
// allows.
func (p *Participant) rollBack() {
	state := &p.state
	var missing []string
	pending := false
	for _, name := range state.Selected {
		replica := p.env.replicas.find(name)
		switch {
		case replica == nil || !replica.Alive:
			missing = append(missing, name)
		case p.hasPreviousVersion(replica):
			delete(p.stages.orderedAt, name)
		default:
			pending = true
			if !p.rollBackReplica(replica) {
				p.transition(Stopped, name+" does not go back")
				return
			}
		}
	}
	if pending {
		return
	}
	reason := state.Reason
	if len(missing) > 0 {
		reason += "; not there, and to be looked at: " + strings.Join(missing, ", ")
	}
	p.transition(RolledBack, reason)
}

func (p *Participant) hasPreviousVersion(replica *Replica) bool {
	return replica.Version != p.state.Plan.Target && replica.Ready
}

// rollBackReplica orders a replica to roll back and repeats the order until the replica has. It reports false once the
// replica has exceeded its time.
func (p *Participant) rollBackReplica(replica *Replica) bool {
	orderedAt, ordered := p.stages.orderedAt[replica.Name]
	waited := p.env.now - orderedAt
	switch {
	case !ordered && p.mayRollBack(replica):
		p.stages.orderedAt[replica.Name] = p.env.now
		p.order(replica.Name, "", true)
	case ordered && waited > orderRetryInterval:
		p.order(replica.Name, "", true)
	}
	return !ordered || waited <= time.Duration(rollBackTimeoutFactor)*p.state.Plan.ReadyTimeout
}

// mayRollBack reports whether one more replica may be ordered to roll back. One that isn't ready is already
// unavailable.
func (p *Participant) mayRollBack(replica *Replica) bool {
	limit := p.state.Plan.MaxUnavailable
	if len(p.stages.orderedAt) >= limit {
		return false
	}
	return !replica.Ready || p.stages.unavailable(p.env.replicas, p.hasPreviousVersion) < limit
}
