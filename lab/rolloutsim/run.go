package rolloutsim

import (
	"fmt"
	"time"

	"ryerill/fleet/rollout"
)

// Result is the outcome of one rollout.
type Result struct {
	Stopped bool
	Reached float64 // fraction of the replicas that was changed at its end
	Lost    float64 // goodput lost by the change, in seconds of the whole fleet's traffic
	Took    time.Duration
	Unknown bool // it waits for an operator: too little was measured
}

// run is one rollout of a change.
type run struct {
	*traffic
	plan     rollout.Plan
	replicas int
	changed  int     // replicas so far: the first ones, whose zones alternate
	cost     float64 // of goodput, where the change is applied
	second   float64
	lost     float64
}

func newRun(replicas int, day Day, cost float64, seed uint64) *run {
	const unavailableOneIn = 20
	plan := rollout.Plan{
		ID:             "x",
		Kind:           rollout.Settings,
		Target:         "t",
		MaxUnavailable: max(replicas/unavailableOneIn, 1),
	}
	plan.Complete()
	return &run{traffic: newTraffic(replicas, day, seed), plan: plan, replicas: replicas, cost: cost}
}

// advance plays one second, and calls observe with what each replica did.
func (r *run) advance(observe func(replica int, offered, served float64)) {
	r.second++
	for replica := range r.replicas {
		cost := 0.0
		if replica < r.changed {
			cost = r.cost
		}
		offered, served := r.draw(replica, r.second, cost)
		r.lost += cost * offered / (r.rate * float64(r.replicas))
		observe(replica, offered, served)
	}
}

// changeStage changes the replicas of a stage. Each step takes a second until they are
// ready, which step plays.
func (r *run) changeStage(stage int, step func()) {
	size := r.plan.Size(stage, r.replicas, zones)
	for r.changed < size {
		r.changed = min(r.changed+r.plan.MaxUnavailable, size)
		step()
	}
}

func (r *run) result(stopped bool) Result {
	return Result{
		Stopped: stopped,
		Reached: float64(r.changed) / float64(r.replicas),
		Lost:    r.lost,
		Took:    time.Duration(r.second) * time.Second,
	}
}

// replicaName returns the name of a replica. Zones alternate, as in the order of a plan.
func replicaName(replica int) string { return fmt.Sprintf("c%04d", replica) }
