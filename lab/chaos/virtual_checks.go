package chaos

import (
	"fmt"
	"strings"
	"time"

	"ryerill/fleet/rollout"
)

const (
	grantTimeout = 20 * time.Second
	minGranted   = 0.85 // of the demand, or of the quota where the demand is higher
	planTimeout  = 10 * time.Minute

	maxDescribed = 12 // replicas in the text of a violation
)

// check checks what must hold at every moment.
func (v *virtual) check() {
	var rates, fractions float64
	var leaders, unavailable, maxUnavailable int
	for _, r := range v.replicas {
		if !r.Up || r.quotas == nil {
			continue
		}
		rates += r.quotas.Rate(v.sim.Now, quotaName)
		if r.Tracker != nil {
			fractions += r.Tracker.Position(poolName).QuotaFraction()
		}
		if r.runs() && r.rollouts.IsLeader() {
			leaders++
		}
		if v.sim.Now < r.changedAt {
			unavailable++
		}
		maxUnavailable = max(maxUnavailable, r.rollouts.State().Plan.MaxUnavailable)
	}
	if rates > totalQuota*maxQuotaExcess {
		v.fail(ruleQuotaBound, "all together may spend %.1f of %.0f", rates, totalQuota)
	}
	if fractions > maxQuotaExcess {
		v.fail(ruleFractionsBound, "the parts come to %.4f", fractions)
	}
	if leaders > 1 {
		v.fail(ruleOneLeader, "%d lead", leaders)
	}
	if unavailable > maxUnavailable && maxUnavailable > 0 {
		v.fail(ruleMaxUnavailable, "%d on their way, %d may be", unavailable, maxUnavailable)
	}
}

// awaitRecovery plays on after the last fault, until all that must come to hold does.
func (v *virtual) awaitRecovery() {
	for _, r := range v.replicas {
		v.sim.Continue(r.index)
	}
	v.finishLeaving()
	rejoining := v.restartAll()
	v.awaitAgreement(agreeTimeout + time.Duration(rejoining)*agreeTimeout/3)
	v.awaitGrants()
	v.awaitPlan()
}

// finishLeaving plays until the replicas that leave have ended.
func (v *virtual) finishLeaving() {
	for v.violation == nil {
		isWaiting := false
		for _, r := range v.replicas {
			isWaiting = isWaiting || r.Up && (r.Stopped || r.isLeaving || r.hasAnnouncedExit)
		}
		v.step()
		if !isWaiting {
			return
		}
	}
}

// restartAll starts the replicas that are not up, and returns how many of them have left
// the fleet before, and join it again.
func (v *virtual) restartAll() (rejoining int) {
	for _, r := range v.replicas {
		switch {
		case r.Up:
		case r.hasAnnouncedExit:
			rejoining++
			v.rejoin(r.index)
		default:
			v.start(r.index)
		}
	}
	return rejoining
}

// stepUntil plays until a condition holds. If that takes longer than a timeout, the rule is
// violated.
func (v *virtual) stepUntil(timeout time.Duration, holds func() bool, rule string, describe func() string) {
	startedAt := v.sim.Now
	for v.violation == nil && !holds() {
		if v.sim.Now-startedAt > timeout {
			v.fail(rule, "%s", describe())
		}
		v.step()
	}
}

// awaitAgreement plays until all replicas have the same view, in which all are alive.
func (v *virtual) awaitAgreement(timeout time.Duration) {
	startedAt := v.sim.Now
	v.stepUntil(timeout, v.agree, ruleViewsAgree, func() string {
		return fmt.Sprintf("after %v they are not: %s", agreeTimeout, v.describeViews())
	})
	v.stats.Agreed = v.sim.Now - startedAt
}

// awaitGrants plays until the replicas are granted what they demand of the quota.
func (v *virtual) awaitGrants() {
	demand := 0.0
	for _, r := range v.replicas {
		demand += r.demand
	}
	granted := 0.0
	isGranted := func() bool {
		granted = 0
		for _, r := range v.replicas {
			granted += min(r.demand, r.quotas.Rate(v.sim.Now, quotaName))
		}
		return granted >= minGranted*min(demand, totalQuota)
	}
	v.stepUntil(grantTimeout, isGranted, ruleQuotaGranted, func() string {
		return fmt.Sprintf("%.0f of %.0f wanted are granted after %v", granted, min(demand, totalQuota), grantTimeout)
	})
}

// awaitPlan plays until the latest plan has ended, or waits for an operator.
func (v *virtual) awaitPlan() {
	v.stepUntil(planTimeout, v.planSettled, rulePlanEnds, func() string {
		return fmt.Sprintf("after %v: %s", planTimeout, v.describePlan())
	})
	if v.violation == nil && v.replicas[0].rollouts.State().Phase == rollout.Done {
		v.stats.Done++
	}
}

// agree reports whether all replicas have the same view, in which all are alive.
func (v *virtual) agree() bool {
	if !v.sim.Equal() {
		return false
	}
	for _, r := range v.replicas {
		if alive, _, _ := r.List.Count(); alive != len(v.replicas)-1 {
			return false
		}
	}
	return true
}

// planSettled reports whether all replicas have the same state of the plan, in which it has
// ended or waits for an operator, and the versions that follow from it.
func (v *virtual) planSettled() bool {
	first := v.replicas[0].rollouts.State()
	for _, r := range v.replicas {
		state := r.rollouts.State()
		if state.FencingToken != first.FencingToken || state.Version != first.Version {
			return false
		}
		isSettled := state.Phase.Ended() || state.Phase == rollout.Stopped || state.Phase == rollout.Paused
		hasTarget := r.version == first.Plan.Target
		if !isSettled ||
			first.Phase == rollout.Done && !hasTarget ||
			first.Phase == rollout.RolledBack && hasTarget {
			return false
		}
	}
	return true
}

// described returns the replicas that the text of a violation describes.
func (v *virtual) described() []*virtualReplica {
	return v.replicas[:min(len(v.replicas), maxDescribed)]
}

func (v *virtual) describeViews() string {
	var text strings.Builder
	for _, r := range v.described() {
		alive, suspect, dead := r.List.Count()
		fmt.Fprintf(&text, "%s %d/%d/%d %x; ", r.Name, alive, suspect, dead, r.List.Digest()&0xffff)
	}
	return text.String()
}

func (v *virtual) describePlan() string {
	var text strings.Builder
	for _, r := range v.described() {
		state := r.rollouts.State()
		fmt.Fprintf(&text, "%s leads %v, number %d.%d of %s, %v stage %d chosen %d (%s), %s; ",
			r.Name, r.rollouts.IsLeader(), state.FencingToken, state.Version, state.Leader,
			state.Phase, state.Stage, len(state.Selected), state.Reason, r.rollouts.CandidateReason())
	}
	return text.String()
}
