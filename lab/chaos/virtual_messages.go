package chaos

import (
	"math"

	"ryerill/fleet/quota"
	"ryerill/fleet/rollout"
	"ryerill/lab/membershipsim"
)

const (
	messageSize       = 150 // bytes
	grantStep         = 10  // to which the mutation rounds grants
	corruptedMultiple = 3   // of an amount, where the mutation accepts corrupted frames
)

// peerMessage is a message of one replica's quota or rollout to another's.
type peerMessage struct {
	from, to int // indices
	quota    *quota.Message
	rollout  *rollout.Message
}

// post puts a message on the network. One for an unknown replica is dropped.
func (v *virtual) post(msg peerMessage) {
	if msg.to < 0 {
		return
	}
	epoch := v.replicas[msg.to].epoch
	from, to := membershipsim.Name(msg.from), membershipsim.Name(msg.to)
	for _, delivery := range v.sim.Net.Send(v.sim.Now, from, to, messageSize) {
		if delivery.Corrupt && v.mutation != acceptCorrupt {
			continue
		}
		v.sim.At(delivery.At, func() {
			receiver := v.replicas[msg.to]
			if receiver.runs() && receiver.epoch == epoch {
				v.receive(receiver, msg, delivery.Corrupt)
			}
		})
	}
}

func (v *virtual) receive(receiver *virtualReplica, msg peerMessage, isCorrupt bool) {
	if msg.quota != nil {
		v.receiveQuota(receiver, msg, isCorrupt)
		return
	}
	received := *msg.rollout
	if received.Kind == rollout.VoteGranted && v.mutation == anonymousVotes {
		received.From = ""
	}
	v.executeRollout(receiver, receiver.rollouts.Handle(v.sim.Now, received, nil))
}

func (v *virtual) receiveQuota(receiver *virtualReplica, msg peerMessage, isCorrupt bool) {
	received := *msg.quota
	if isCorrupt {
		received.Amount *= corruptedMultiple
	}
	if received.Grant && v.mutation == roundGrantsUp {
		received.Amount = math.Ceil(received.Amount/grantStep) * grantStep
	}
	actions := receiver.quotas.Handle(v.sim.Now, membershipsim.Name(msg.from), received, nil)
	v.executeQuota(receiver, actions)
}

// executeQuota sends the messages of a replica's quota.
func (v *virtual) executeQuota(r *virtualReplica, actions []quota.Action) {
	for _, action := range actions {
		v.post(peerMessage{from: r.index, to: v.indexOf(action.To), quota: &action.Message})
	}
}

// executeRollout sends the messages of a replica's rollout, and applies changes.
func (v *virtual) executeRollout(r *virtualReplica, actions []rollout.Action) {
	for _, action := range actions {
		switch action.Kind {
		case rollout.Send:
			v.post(peerMessage{from: r.index, to: v.indexOf(action.To), rollout: &action.Message})
		case rollout.Apply:
			v.apply(r, &action)
		}
	}
}

// apply changes a replica's version, or takes its latest change back.
func (v *virtual) apply(r *virtualReplica, action *rollout.Action) {
	version := action.Target
	if action.RollBack {
		version = r.previousVersion
		if v.mutation == rollBackNothing {
			version = r.version
		}
	}
	if version == r.version {
		return
	}
	if !action.RollBack {
		r.previousVersion = r.version
	}
	phase := r.rollouts.State().Phase
	if phase == rollout.Aborted || phase == rollout.Expired || phase == rollout.Paused {
		v.fail(ruleEndedPlanApplies, "%s changes while its plan is %v", r.Name, phase)
	}
	r.version = version
	r.readyAt = v.sim.Now + changeTime
	r.changedAt = r.readyAt
}
