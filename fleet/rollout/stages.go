package rollout

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// orderRetryInterval is the time after which an order without effect is repeated: the message may be lost.
const orderRetryInterval = time.Second

// stageController holds the leader's records of the replicas that it changes and observes.
type stageController struct {
	orderedAt map[string]time.Duration // by name, of replicas that were ordered to change and haven't yet
	epochs    map[string]uint64        // by name, of changed replicas: the process epoch after the change
	baseline  *Baseline
	evaluator *Evaluator // of the stage under observation; nil if there is none
}

func newStageController() stageController {
	return stageController{
		orderedAt: map[string]time.Duration{},
		epochs:    map[string]uint64{},
		baseline:  NewBaseline(),
	}
}

// addReport adds a report to the statistics of the stage, and to the baseline if its replica isn't selected.
func (c *stageController) addReport(now time.Duration, report *Report, selected []string) {
	if c.evaluator != nil {
		c.evaluator.AddReport(now, *report)
	}
	if !slices.Contains(selected, report.Name) {
		c.baseline.AddReport(*report)
	}
}

// unavailable counts the replicas that aren't alive or ready, for any reason, and those that were ordered to change and
// haven't reached the version yet.
func (c *stageController) unavailable(all replicas, changed func(*Replica) bool) int {
	count := 0
	for i := range all {
		replica := &all[i]
		_, ordered := c.orderedAt[replica.Name]
		if !replica.Alive || !replica.Ready || ordered && !changed(replica) {
			count++
		}
	}
	return count
}

// advanceStage advances the plan by one step. Only the leader calls it.
func (p *Participant) advanceStage() {
	state := &p.state
	if state.Age > state.Plan.ExpiresAfter && state.Phase != RollingBack && state.Phase != Observing {
		p.transition(Expired, p.expiredReason())
		return
	}
	switch state.Phase {
	case Changing:
		p.change()
	case Observing:
		p.observe()
	case RollingBack:
		p.rollBack()
	}
}

// change applies the plan to the replicas of the stage, with no more unavailable at once than the plan allows.
func (p *Participant) change() {
	state := &p.state
	if len(state.Selected) == 0 && !p.baselineObserved() {
		return
	}
	p.selectReplicas()
	changed := 0
	pending := 0
	for _, name := range state.Selected {
		progress, failure := p.changeReplica(name)
		switch progress {
		case changeFailed:
			p.failStage(name, failure)
			return
		case changePending:
			pending++
		case changeDone:
			changed++
		}
	}
	switch {
	case pending > 0:
	case changed > 0:
		clear(p.stages.orderedAt)
		p.startObservation()
		p.transition(Observing, fmt.Sprintf("stage %d: %d of %d copies hold it",
			state.Stage+1, len(state.Selected), len(p.env.replicas)))
	case state.Age > state.Plan.ExpiresAfter/2:
		p.transition(Stopped, "none of the copies of this stage is there")
	}
}

// maxNamed is the greatest number of replicas that an explanation names.
const maxNamed = 5

// awaited describes the replicas that the leader waits for during a change or rollback, or returns "" if there are
// none.
func (p *Participant) awaited() string {
	if ordered := slices.Sorted(maps.Keys(p.stages.orderedAt)); len(ordered) > 0 {
		return "waiting for " + listNames(ordered)
	}
	var unavailable []string
	for i := range p.env.replicas {
		if replica := &p.env.replicas[i]; !replica.Alive || !replica.Ready {
			unavailable = append(unavailable, replica.Name)
		}
	}
	limit := p.state.Plan.MaxUnavailable
	if len(unavailable) < limit {
		return ""
	}
	slices.Sort(unavailable)
	return fmt.Sprintf("not there or not ready: %s; at most %d may be away at once", listNames(unavailable), limit)
}

func (p *Participant) expiredReason() string {
	const reason = "it was not through in time"
	if awaited := p.awaited(); awaited != "" {
		return reason + ": " + awaited
	}
	return reason
}

// listNames joins the first maxNamed names and states how many more there are.
func listNames(names []string) string {
	if len(names) <= maxNamed {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamed], ", "), len(names)-maxNamed)
}

// baselineObserved reports whether the baseline is sufficient, or the time to observe it is over.
func (p *Participant) baselineObserved() bool {
	plan := &p.state.Plan
	end := p.election.ordersFrom + plan.Baseline
	if p.env.now < end {
		return false
	}
	return p.env.now >= end+plan.ExtraObservation ||
		p.stages.baseline.Sufficient(plan.Guardrails, p.firstToChange())
}

// firstToChange returns the name of the replica that is changed first, or "" if none is alive.
func (p *Participant) firstToChange() string {
	for _, replica := range p.env.replicas.inChangeOrder(p.state.Plan.ID) {
		if replica.Alive {
			return replica.Name
		}
	}
	return ""
}

// selectReplicas selects the replicas of the stage. Replicas that aren't alive are skipped until they return.
func (p *Participant) selectReplicas() {
	state := &p.state
	size := state.Plan.Size(state.Stage, len(p.env.replicas), p.env.replicas.zoneCount())
	if len(state.Selected) >= size {
		return
	}
	for _, replica := range p.env.replicas.inChangeOrder(state.Plan.ID) {
		if len(state.Selected) < size && replica.Alive && !slices.Contains(state.Selected, replica.Name) {
			state.Selected = append(state.Selected, replica.Name)
			state.Version++
		}
	}
}

// changeProgress is the progress of a selected replica's change.
type changeProgress uint8

const (
	changeAbsent changeProgress = iota // not alive, and not ordered to change
	changePending
	changeDone
	changeFailed
)

// changeReplica advances the change of a selected replica by one step. failure is the reason if the change has failed.
func (p *Participant) changeReplica(name string) (progress changeProgress, failure string) {
	plan := &p.state.Plan
	replica := p.env.replicas.find(name)
	orderedAt, ordered := p.stages.orderedAt[name]
	overdue := ordered && p.env.now-orderedAt > plan.ReadyTimeout
	done := func(r *Replica) bool { return r.Version == plan.Target && r.Ready }
	switch {
	case replica == nil || !replica.Alive:
		if overdue {
			return changeFailed, "went away when it was changed and did not come back"
		}
		if ordered {
			return changePending, ""
		}
		return changeAbsent, ""
	case replica.RefusedReason != "":
		return changeFailed, "could not take it: " + replica.RefusedReason
	case done(replica):
		p.stages.epochs[name] = replica.Epoch
		delete(p.stages.orderedAt, name)
		return changeDone, ""
	case overdue:
		return changeFailed, fmt.Sprintf("is not ready with it after %v", plan.ReadyTimeout)
	case ordered:
		if p.env.now-orderedAt > orderRetryInterval {
			p.sendOrder(name, plan.Target, false)
		}
	case p.stages.unavailable(p.env.replicas, done) < plan.MaxUnavailable:
		p.stages.orderedAt[name] = p.env.now
		p.order(name, plan.Target, false)
	}
	return changePending, ""
}

// order orders a replica, possibly this one, to change.
func (p *Participant) order(name, target string, rollBack bool) {
	if name == p.env.name {
		p.apply(target, rollBack)
		return
	}
	p.sendOrder(name, target, rollBack)
}

func (p *Participant) sendOrder(name, target string, rollBack bool) {
	p.env.send(name, Message{
		Kind:         ChangeOrder,
		FencingToken: p.election.token,
		Plan:         p.state.Plan.ID,
		Target:       target,
		RollBack:     rollBack,
	})
}

// startObservation starts the observation of the stage with new statistics.
func (p *Participant) startObservation() {
	p.stages.evaluator = NewEvaluator(p.state.Plan.Guardrails, p.state.Selected, p.stages.baseline)
	p.state.ObservationStart = p.state.Age
}

// observe compares the changed replicas with the others, and ends the stage once the result is decisive.
func (p *Participant) observe() {
	state := &p.state
	if p.stages.evaluator == nil { // the leader has changed: observation restarts
		p.startObservation()
	}
	for _, name := range state.Selected {
		if p.observeReplica(name) {
			return
		}
	}
	observed := state.Age - state.ObservationStart
	assessment, reason := p.stages.evaluator.Assess(p.env.now)
	nothingToCompare := p.env.replicas.aliveWithout(state.Selected) == 0
	switch {
	case assessment == Regressed:
		p.failStage("", reason)
	case observed < state.observation():
	case assessment == Passed || nothingToCompare:
		p.finishStage(reason)
	case observed > state.observation()+state.Plan.ExtraObservation:
		p.transition(Stopped, "too little is known to go on: "+reason)
	}
}

// finishStage proceeds to the next stage, or ends the plan.
func (p *Participant) finishStage(reason string) {
	state := &p.state
	if state.Stage+1 >= len(state.Plan.Stages) {
		p.transition(Done, fmt.Sprintf("%d copies hold it", len(state.Selected)))
		return
	}
	state.Stage++
	p.stages.evaluator = nil
	p.transition(Changing, fmt.Sprintf("stage %d follows: %s", state.Stage+1, reason))
}

// observeReplica ends the observation if a changed replica restarted, died or lost the change, and reports whether it
// ended it.
func (p *Participant) observeReplica(name string) bool {
	replica := p.env.replicas.find(name)
	if replica == nil {
		return false
	}
	epoch, known := p.stages.epochs[name]
	hasTarget := replica.Version == p.state.Plan.Target
	switch {
	case !known && replica.Alive:
		p.stages.epochs[name] = replica.Epoch
		return false
	case known && replica.Alive && replica.Epoch != epoch && hasTarget:
		p.failStage(name, "started anew within its soak")
		return true
	case known && !replica.Alive && p.deathsAreComparable():
		if p.deathsExceedChance() {
			p.failStage(name, "went away within its soak")
			return true
		}
		return false
	case replica.Alive && !hasTarget && replica.RefusedReason != "":
		p.failStage(name, "went back by itself: "+replica.RefusedReason)
		return true
	case replica.Alive && !hasTarget:
		p.transition(Changing, name+" does not hold it any more")
		return true
	default:
		return false
	}
}

// deathsAreComparable reports whether there are unchanged replicas to compare deaths with, and most replicas aren't
// hidden by a partition.
func (p *Participant) deathsAreComparable() bool {
	all := p.env.replicas
	dead := len(all) - all.aliveCount()
	return len(all) > len(p.state.Selected) && !all.isMajority(dead)
}

// deathsExceedChance reports whether the death of a changed replica is unlikely given the deaths of unchanged ones.
func (p *Participant) deathsExceedChance() bool {
	all := p.env.replicas
	selected := p.state.Selected
	return deathExceedsChance(all.deadWithout(selected), len(all)-len(selected))
}

// failStage ends a stage that has regressed. replica is the replica at fault, or empty.
func (p *Participant) failStage(replica, reason string) {
	state := &p.state
	if replica != "" {
		reason = replica + " " + reason
		if !slices.Contains(state.Failed, replica) { // it may fail again each time that the plan is resumed
			state.Failed = append(state.Failed, replica)
		}
	}
	clear(p.stages.orderedAt)
	if state.Plan.RollBack {
		p.transition(RollingBack, reason)
	} else {
		p.transition(Stopped, reason)
	}
}
