package chaos

import (
	"fmt"
	"math"
	"slices"
	"time"

	"ryerill/fleet/membership"
	"ryerill/fleet/quota"
	"ryerill/fleet/rollout"
	"ryerill/lab/membershipsim"
)

const (
	firstVersion = "0123456789abcdef"
	quotaName    = "quota"
	startTime    = 300 * time.Millisecond // until a replica that has started is ready
	changeTime   = time.Second            // until one that has changed is ready
	leaveTime    = 500 * time.Millisecond // from the announcement that a replica leaves to its end
	seedReplicas = 3                      // through which replicas join
	seedShift    = 20                     // separates the seeds of replicas from those of their epochs

	usualGoodput     = 0.98
	goodputDeviation = 0.01
	offeredASecond   = 60.0 // requests at a replica
	responseSeconds  = 0.02
)

// virtualReplica is one replica with all that the fleet's host holds beside membership.
type virtualReplica struct {
	*membershipsim.Replica
	index    int
	epoch    uint64
	quotas   *quota.Manager
	rollouts *rollout.Participant
	demand   float64 // units of the quota a second

	version         string
	previousVersion string
	savedRollout    rollout.State // persisted
	readyAt         time.Duration
	changedAt       time.Duration // when it is ready after its latest change

	isLeaving        bool // it waits until what it has lent is back
	hasAnnouncedExit bool // and then it announces that it leaves
}

// runs reports whether a replica is up and not stopped.
func (r *virtualReplica) runs() bool { return r.Up && !r.Stopped }

// start starts a replica, or starts it again.
func (v *virtual) start(index int) {
	r := v.replicas[index]
	restarted := r.List != nil
	r.epoch++
	r.readyAt = v.sim.Now + startTime
	r.changedAt = 0
	r.isLeaving = false
	r.hasAnnouncedExit = false
	v.sim.Start(index, v.seedsOf(index)...)
	lostState := restarted && v.mutation != restartedLend
	r.quotas = quota.New(r.Name, r.epoch, uint64(index)+r.epoch<<seedShift, lostState, v.sim.Now)
	r.quotas.SetLimits(v.sim.Now, []quota.Limit{{Name: quotaName, Kind: quota.Rate, Total: totalQuota}})
	r.rollouts = rollout.New(r.Name, v.sim.Now)
	r.rollouts.Restore(r.savedRollout)
}

// seedsOf returns the names of the replicas through which one joins.
func (v *virtual) seedsOf(index int) (seeds []string) {
	for i := range min(seedReplicas, len(v.replicas)) {
		if i != index {
			seeds = append(seeds, membershipsim.Name(i))
		}
	}
	if len(seeds) == 0 { // in a fleet of one
		seeds = []string{membershipsim.Name(index)}
	}
	return seeds
}

// tick does what the fleet's host does at each interval.
func (v *virtual) tick(r *virtualReplica, reportsDue bool) {
	now := v.sim.Now
	v.updateTags(r)
	replicaCount := v.quotaReplicas(r)
	rolloutReplicas := v.rolloutReplicas(r)
	r.quotas.SetReplicaCount(now, replicaCount, alivePeers(r))
	r.quotas.AddDemand(now, quotaName, r.demand*stepLength.Seconds())
	v.executeQuota(r, r.quotas.Tick(now, nil))
	v.leaveIfDue(r)
	v.executeRollout(r, r.rollouts.Tick(now, rolloutReplicas, nil))
	r.savedRollout = r.rollouts.State()
	if reportsDue {
		v.report(r)
	}
}

// updateTags publishes a replica's phase and version if they have changed.
func (v *virtual) updateTags(r *virtualReplica) {
	phase := membership.Serving
	if v.sim.Now < r.readyAt {
		phase = membership.Starting
	}
	current := r.List.Self().Tags
	if current.Phase == phase && current.SettingsHash == r.version {
		return
	}
	tags := *current
	tags.Phase = phase
	tags.SettingsHash = r.version
	v.sim.Deliver(r.index, membership.Event{Kind: membership.SetTags, Tags: tags})
}

// quotaReplicas returns among how many replicas one divides the quota; 0 if it has no
// fraction of its own.
func (v *virtual) quotaReplicas(r *virtualReplica) int {
	position := r.Tracker.Position(poolName)
	switch {
	case v.mutation == divideAmongAlive:
		return max(position.Alive, 1)
	case r.isLeaving || r.hasAnnouncedExit:
		return 0
	case !position.Confirmed && v.mutation != unconfirmedSpend:
		return 0
	default:
		return position.QuotaReplicas
	}
}

// alivePeers returns the names of the others that a replica holds for alive.
func alivePeers(r *virtualReplica) (names []string) {
	for _, member := range r.List.Members() {
		if !member.Self && member.Status == membership.Alive && member.Tags != nil {
			names = append(names, member.Name)
		}
	}
	return names
}

// rolloutReplicas returns the replicas as one passes them to its rollout.
func (v *virtual) rolloutReplicas(r *virtualReplica) (replicas []rollout.Replica) {
	for _, member := range r.List.Members() {
		if member.Status == membership.Left || member.Tags == nil {
			continue
		}
		isServing := member.Tags.Phase == membership.Serving
		replicas = append(replicas, rollout.Replica{
			Name:    member.Name,
			Zone:    member.Tags.Zone,
			Alive:   member.Self || member.Status == membership.Alive || member.Status == membership.Suspect,
			Ready:   isServing || v.mutation == startingIsReady,
			Version: member.Tags.SettingsHash,
			Epoch:   member.Epoch,
		})
	}
	if v.mutation == forgetUnreachable {
		replicas = slices.DeleteFunc(replicas, func(replica rollout.Replica) bool { return !replica.Alive })
	}
	return replicas
}

// leaveIfDue has a leaving replica announce that once what it has lent is back, and end.
func (v *virtual) leaveIfDue(r *virtualReplica) {
	if !r.isLeaving {
		return
	}
	if !r.quotas.FitsWithin(v.sim.Now, math.MaxInt) && v.mutation != leaveAtOnce {
		return
	}
	r.isLeaving = false
	r.AnnounceLeave()
	v.sim.Deliver(r.index, membership.Event{Kind: membership.Leave})
	r.hasAnnouncedExit = true
	v.sim.At(v.sim.Now+leaveTime, func() { v.sim.Kill(r.index) })
}

// report sends the leader of a rollout the replica's traffic of the last second.
func (v *virtual) report(r *virtualReplica) {
	state := r.rollouts.State()
	leader := v.indexOf(state.Leader)
	if leader < 0 || state.Phase.Ended() {
		return
	}
	zone := r.index % zones
	noise := goodputDeviation * v.rng.NormFloat64()
	goodput := min(max(usualGoodput-v.zoneCosts[zone]-v.planCosts[r.version]+noise, 0), 1)
	offered := offeredASecond
	if v.sim.Now < r.readyAt {
		offered = 0
	}
	served := math.Round(offered * goodput)
	msg := rollout.Message{Kind: rollout.ReportUpdate, From: r.Name, Report: &rollout.Report{
		Name:            r.Name,
		Zone:            fmt.Sprint("z", zone),
		Pool:            poolName,
		Interval:        uint64(v.sim.Now / time.Second),
		OfferedWeight:   offered,
		ServedWeight:    served,
		Responses:       served,
		ResponseSeconds: responseSeconds * offered * goodput,
	}}
	if leader == r.index {
		v.executeRollout(r, r.rollouts.Handle(v.sim.Now, msg, nil))
	} else {
		v.post(peerMessage{from: r.index, to: leader, rollout: &msg})
	}
}
