package chaos

import (
	"fmt"
	"time"

	"ryerill/fleet/rollout"
	"ryerill/lab/membershipsim"
)

const (
	rejoinInterval        = 500 * time.Millisecond
	planObservation       = 3 * time.Second
	planExtraObservation  = time.Minute
	maxPlannedUnavailable = 3
)

// hasVirtualEnd reports whether a step's fault has to be ended in virtual time.
func (s *Step) hasVirtualEnd() bool {
	switch s.Kind {
	case Demand, HarmlessRollout, CostlyRollout, AbortRollout:
		return false
	default:
		return s.Duration > 0
	}
}

// each calls a function for the replicas of a step.
func (v *virtual) each(step *Step, do func(*virtualReplica)) {
	for _, index := range step.Replicas {
		do(v.replicas[index])
	}
}

// names returns the names of the replicas of a step.
func (v *virtual) names(step *Step) (names []string) {
	v.each(step, func(r *virtualReplica) { names = append(names, r.Name) })
	return names
}

// zone returns the index of the zone of a zone fault.
func (s *Step) zone() int { return s.Replicas[0] % zones }

// begin begins the fault of a step.
func (v *virtual) begin(step *Step) {
	switch step.Kind {
	case Isolate, IsolateOutgoing:
		v.each(step, func(r *virtualReplica) { v.sim.Net.Isolate(r.Name, step.Kind == IsolateOutgoing) })
	case Split:
		v.sim.Net.Split(v.names(step))
	case DegradeNetwork:
		v.sim.Net.Usual(step.Link)
	case Stop:
		v.each(step, func(r *virtualReplica) { v.sim.Stop(r.index) })
	case Kill:
		v.each(step, func(r *virtualReplica) { v.sim.Kill(r.index) })
	case Leave:
		v.each(step, func(r *virtualReplica) { r.isLeaving = r.isLeaving || r.runs() })
	case Demand:
		v.each(step, func(r *virtualReplica) { r.demand = step.Amount })
	case HarmlessRollout, CostlyRollout:
		v.startRollout(v.replicas[step.Replicas[0]], step)
	case AbortRollout:
		if r := v.replicas[step.Replicas[0]]; r.runs() {
			_ = r.rollouts.Command(v.sim.Now, "abort") // refused where no plan is active
		}
	case ZoneFault:
		v.zoneCosts[step.zone()] = step.Amount
	case DiskFailure:
		v.each(step, func(r *virtualReplica) { r.DiskFailed = true })
	}
}

// end ends the fault of a step.
func (v *virtual) end(step *Step) {
	switch step.Kind {
	case Isolate, IsolateOutgoing, Split:
		v.sim.Net.Heal()
	case DegradeNetwork:
		v.sim.Net.Usual(membershipsim.Lan)
	case Stop:
		v.each(step, func(r *virtualReplica) { v.sim.Continue(r.index) })
	case Kill:
		v.each(step, func(r *virtualReplica) {
			if !r.Up && !r.hasAnnouncedExit {
				v.start(r.index)
			}
		})
	case Leave:
		v.each(step, func(r *virtualReplica) { v.rejoin(r.index) })
	case ZoneFault:
		v.zoneCosts[step.zone()] = 0
	case DiskFailure:
		v.each(step, func(r *virtualReplica) { r.DiskFailed = false })
	}
}

// startRollout starts a plan at a replica. It is refused while another one is active.
func (v *virtual) startRollout(r *virtualReplica, step *Step) {
	if !r.runs() {
		return
	}
	target := fmt.Sprintf("t%d-%s", v.stats.Plans, step.Kind)
	plan := rollout.Plan{
		ID:             target,
		Kind:           rollout.Settings,
		Target:         target,
		RollBack:       true,
		MaxUnavailable: 1 + v.rng.IntN(maxPlannedUnavailable),
		Stages: []rollout.Stage{
			{Count: 1, Observation: planObservation},
			{PerZone: true, Observation: planObservation},
			{Fraction: 0.3, Observation: planObservation},
			{Fraction: 1, Observation: planObservation},
		},
		ExtraObservation: planExtraObservation,
	}
	plan.Complete()
	if r.rollouts.Start(v.sim.Now, plan) == nil {
		v.stats.Plans++
		v.planCosts[target] = step.Amount
	}
}

// rejoin starts a replica that has left the fleet, once those that are up have met: with it
// there may be more of them than the configuration states.
func (v *virtual) rejoin(index int) {
	r := v.replicas[index]
	if r.Up && !r.hasAnnouncedExit && !r.isLeaving {
		return
	}
	if r.Up || !v.runningHaveMet() {
		v.sim.At(v.sim.Now+rejoinInterval, func() { v.rejoin(index) })
		return
	}
	v.start(index)
}

// runningHaveMet reports whether all replicas that are up hold all of them for alive, and
// none of them leaves.
func (v *virtual) runningHaveMet() bool {
	up := 0
	for _, r := range v.replicas {
		if r.Up {
			up++
		}
	}
	for _, r := range v.replicas {
		if !r.Up {
			continue
		}
		alive, _, _ := r.List.Count()
		if alive != up-1 || r.isLeaving || r.hasAnnouncedExit {
			return false
		}
	}
	return true
}
