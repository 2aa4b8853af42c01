package rolloutsim

import "time"

const (
	naiveBaseline   = 30   // seconds
	naiveMaxDrop    = 0.03 // below the goodput of the baseline
	naiveMinGoodput = 0.9
)

// Naive simulates the same with fixed observation periods: it stops when the goodput of
// the changed replicas lies below a fixed threshold or 0.03 below what it was before.
func Naive(n int, day Day, cost float64, seed uint64) Result {
	r := newRun(n, day, cost, seed)
	before := r.meanGoodput(naiveBaseline)
	for stage := range r.plan.Stages {
		r.changeStage(stage, func() { r.changedGoodput() })
		goodput := r.meanGoodput(int(r.plan.Stages[stage].Observation / time.Second))
		if goodput < before-naiveMaxDrop || goodput < naiveMinGoodput {
			return r.result(true)
		}
	}
	return r.result(false)
}

// meanGoodput plays some seconds and returns the mean of changedGoodput.
func (r *run) meanGoodput(seconds int) (mean float64) {
	for range seconds {
		mean += r.changedGoodput() / float64(seconds)
	}
	return mean
}

// changedGoodput plays a second and returns the goodput of the changed replicas in it, or
// of the first one if none is changed yet.
func (r *run) changedGoodput() float64 {
	var offered, served float64
	r.advance(func(replica int, replicaOffered, replicaServed float64) {
		if replica < max(r.changed, 1) {
			offered += replicaOffered
			served += replicaServed
		}
	})
	return served / max(offered, 1)
}
