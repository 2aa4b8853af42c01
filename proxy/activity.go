package proxy

import (
	"time"

	"ryerill/balancer"
	"ryerill/fleet"
)

// maxAttemptResults bounds the attempt results buffered for the fleet's next observation. Results beyond it add no
// evidence and are dropped.
const maxAttemptResults = 4096

// activity records the load and the results of a pool for the fleet. It is guarded by the pool's mutex. A nil activity
// belongs to a pool that shares no state; its methods do nothing unless documented otherwise.
type activity struct {
	demand   []float64 // requests since the last observation, by tenant
	arrivals []uint64  // requests since the start, by class
	results  []attemptResult
	total    fleet.PoolActivity // totals since the start, for rollouts
}

type attemptResult struct {
	endpoint balancer.EndpointID
	outcome  balancer.Outcome
}

func newActivity(cfg *balancer.Config) *activity {
	return &activity{demand: make([]float64, len(cfg.Tenants)), arrivals: make([]uint64, len(cfg.Classes))}
}

// requestArrived counts a request by class and tenant. Indices that the settings do not define are ignored.
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

// attemptEnded records the outcome of an attempt.
func (a *activity) attemptEnded(endpoint balancer.EndpointID, outcome balancer.Outcome) {
	if a == nil {
		return
	}
	a.total.Attempts++
	if len(a.results) < maxAttemptResults {
		a.results = append(a.results, attemptResult{endpoint, outcome})
	}
}

// requestEnded records the end of a request. The activity must not be nil.
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
