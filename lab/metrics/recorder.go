// Package metrics records what happens in a run and sums it up. Both hosts of the laboratory use it, so that their
// figures mean the same. A Recorder is not safe for concurrent use: hosts with goroutines hold a lock of their own.
package metrics

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ryerill/lab/load"
	"ryerill/lab/scenario"
)

// Step is the width of a window of the series.
const Step = 500 * time.Millisecond

// Outcome is how a first try ended, with all its retries.
type Outcome uint8

// The outcomes. Those up to Late were served.
const (
	OnTime Outcome = iota // within the latency objective
	Late
	Shed
	Failed
	TimedOut // given up by its client
)

// outcomeNames are the metrics that count outcomes.
var outcomeNames = [...]string{"in_aim", "late", "refused", "failed", "overdue"}

func (o Outcome) served() bool { return o <= Late }

// outcomeCounts counts first tries by outcome.
type outcomeCounts [len(outcomeNames)]float64

// Recorder records one run.
type Recorder struct {
	scenario *scenario.Scenario
	windows  []window
	classes  []group
	tenants  []group
	counts   map[string]float64
}

// window is what happened within a Step.
type window struct {
	requestedWeight float64
	earnedWeight    float64
	firstTries      int
	latency         *hdrhistogram.Histogram // of what was served
	attempts        float64                 // at the first tier
	limitSum        float64                 // over samples
	inFlightSum     float64                 // over samples
	samples         int
}

// group is what happened to the first tries of a class or a tenant, after the warm-up.
type group struct {
	name            string
	firstTries      float64
	requestedWeight float64
	earnedWeight    float64
	outcomes        outcomeCounts
	latency         *hdrhistogram.Histogram // of what was served
}

func newGroup(name string) group { return group{name: name, latency: newRunHistogram()} }

// New returns a recorder for a scenario.
func New(s *scenario.Scenario) *Recorder {
	r := &Recorder{
		scenario: s,
		windows:  make([]window, int((s.Length+Step-1)/Step)),
		counts:   map[string]float64{},
	}
	for _, class := range s.Classes {
		r.classes = append(r.classes, newGroup(class.Name))
	}
	for _, tenant := range s.Tenants {
		r.tenants = append(r.tenants, newGroup(tenant.Name))
	}
	for i := range r.windows {
		r.windows[i].latency = newWindowHistogram()
	}
	return r
}

// window returns the window of a time; times outside of the run count to its first or last one.
func (r *Recorder) window(at time.Duration) *window {
	return &r.windows[min(max(int(at/Step), 0), len(r.windows)-1)]
}

// Final records how a first try ended. Its latency counts from when it was meant to be sent.
func (r *Recorder) Final(request *load.Request, outcome Outcome, latency time.Duration) {
	earned := 0.0
	switch outcome {
	case OnTime:
		earned = request.Weight
	case Late:
		earned = request.Weight * r.scenario.Classes[request.Class].LateWeight
	}
	w := r.window(request.At)
	w.firstTries++
	w.requestedWeight += request.Weight
	w.earnedWeight += earned
	if outcome.served() {
		recordLatency(w.latency, latency)
	}
	if request.At < r.scenario.Warmup {
		return
	}
	for _, g := range []*group{&r.classes[request.Class], &r.tenants[request.Tenant]} {
		g.firstTries++
		g.requestedWeight += request.Weight
		g.earnedWeight += earned
		g.outcomes[outcome]++
		if outcome.served() {
			recordLatency(g.latency, latency)
		}
	}
}

// Count adds to a counter of the run.
func (r *Recorder) Count(name string, n float64) { r.counts[name] += n }

// Attempt records an attempt at the first tier.
func (r *Recorder) Attempt(at time.Duration) { r.window(at).attempts++ }

// Sample records the sums of limits and of calls in flight over the first tier's proxies.
func (r *Recorder) Sample(at time.Duration, limit, inFlight float64) {
	w := r.window(at)
	w.limitSum += limit
	w.inFlightSum += inFlight
	w.samples++
}
