package rollout

import (
	"slices"
	"time"
)

const periodicUpdateInterval = 2 * time.Second

// replication schedules state updates: the leader broadcasts its state, and every replica periodically sends its own to
// one peer, which may have missed a broadcast.
type replication struct {
	nextBroadcastAt      time.Duration
	nextPeriodicUpdateAt time.Duration
	periodicUpdates      int // number sent, which selects the next peer
}

// stateUpdate returns the state as it is now, as a message.
func (p *Participant) stateUpdate() Message {
	state := p.state
	return Message{Kind: StateUpdate, FencingToken: state.FencingToken, State: &state}
}

// broadcast sends the state to all peers that are alive.
func (p *Participant) broadcast() { p.env.sendToPeers(p.stateUpdate()) }

// sendPeriodicUpdate sends the state to the next peer in turn, if that is due.
func (p *Participant) sendPeriodicUpdate() {
	replicas := p.env.replicas
	if p.state.FencingToken == 0 || p.env.now < p.replication.nextPeriodicUpdateAt || len(replicas) < 2 {
		return
	}
	p.replication.nextPeriodicUpdateAt = p.env.now + periodicUpdateInterval
	p.replication.periodicUpdates++
	// Each replica starts after its own index, so that replicas with equal counters choose different peers.
	own := slices.IndexFunc(replicas, func(replica Replica) bool { return replica.Name == p.env.name })
	for i := range replicas {
		peer := &replicas[(max(own, 0)+p.replication.periodicUpdates+i)%len(replicas)]
		if peer.Alive && peer.Name != p.env.name {
			p.env.send(peer.Name, p.stateUpdate())
			return
		}
	}
}

// handleState adopts the state of another replica if it is valid and newer.
func (p *Participant) handleState(update *Message) {
	if update.State == nil || update.State.FencingToken != update.FencingToken || update.State.Plan.Check() != nil {
		return
	}
	p.election.sawToken(update.FencingToken)
	if update.State.Newer(&p.state) {
		before := p.state
		p.state = *update.State
		p.election.nextCampaignAt = 0
		if p.state.beginsAttempt(&before) {
			p.beginAttempt()
		}
		p.repeatLostCommand(&before)
	}
}

// refuseOutdated refuses a candidate that has an older state than this replica and sends it the newer one: as the
// leader the candidate would resume a plan that has ended since. Requests of older programs carry no state.
func (p *Participant) refuseOutdated(request *Message) bool {
	if request.State == nil || !p.state.Newer(request.State) {
		return false
	}
	p.env.send(request.From, p.stateUpdate())
	return true
}
