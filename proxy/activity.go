package proxy

import (
	"time"

	"ryerill/balancer"
	"ryerill/fleet"
)

// maxAttemptResults bounds the attempts' results that wait for the fleet's next observation;
// further ones would add no evidence.
const maxAttemptResults = 4096

// activity is what a pool records for the fleet. The pool's mutex guards it. Methods of
// a nil activity, where nothing is shared, do nothing unless they say otherwise.
type activity struct {
	demand   []float64 // by tenant: requests since the last observation
	arrivals []uint64  // by class, since the start
	results  []attemptResult
	total    fleet.PoolActivity // for rollouts, since the start
}

type attemptResult struct {
	endpoint balancer.EndpointID
	outcome  balancer.Outcome
}

func newActivity(cfg *balancer.Config) *activity {
	return &activity{demand: make([]float64, len(cfg.Tenants)), arrivals: make([]uint64, len(cfg.Classes))}
}

// requestArrived records a request of a class and a tenant, which may be none that the settings name.
func (a *activity) requestArrived(class, tenant int) {
	if a == nil {
		return
	}
	if tenant >= 0 && tenant < len(a.demand) {
		a.demand[tenant]++
	}
	if class >= 0 && class < len(a.arrivals) {
		a.arrivals[class]++
	}
}

// attemptEnded records an attempt's end.
func (a *activity) attemptEnded(endpoint balancer.EndpointID, outcome balancer.Outcome) {
	if a == nil {
		return
	}
	a.total.Attempts++
	if len(a.results) < maxAttemptResults {
		a.results = append(a.results, attemptResult{endpoint, outcome})
	}
}

// requestEnded records a request's end. The activity must not be nil.
func (a *activity) requestEnded(class *balancer.Class, served bool, took time.Duration) {
	a.total.OfferedWeight += class.PriorityWeight
	a.total.Requests++
	if !served {
		return
	}
	a.total.Responses++
	a.total.ResponseSeconds += took.Seconds()
	if took <= class.LatencyObjective {
		a.total.ServedWeight += class.PriorityWeight
	} else {
		a.total.ServedWeight += class.PriorityWeight * class.LateWeight
	}
}
