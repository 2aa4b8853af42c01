package statesyncsim

import (
	"context"
	"fmt"
	"strings"
	"time"

	"ryerill/lab/scenario"
	"ryerill/lab/sim"
)

// Case is one case that is simulated.
type Case struct {
	Replicas int
	Fault    string // of one endpoint: err, hang, slow or none
	Cut      bool   // a third of the replicas is partitioned from the rest for a while
}

// Result is the outcome of one run.
type Result struct {
	Goodput  float64
	Lost     int     // attempts that failed while the endpoint's fault held
	Bytes    float64 // sent for state sharing, a replica a second
	Violated int     // invariants of the simulation
}

const (
	length     = 40 * time.Second
	faultStart = 12 * time.Second
	faultEnd   = 30 * time.Second

	endpoints      = 8
	zones          = 3
	rate           = 400.0 // requests a second
	manyReplicas   = 300   // from here on the rate is higher, so that each replica has requests
	rateOfMany     = 900.0
	requestsACore  = 200 // a second
	fewestCores    = 2
	partitionFault = "  - {kind: split, at: 10s, for: 15s, part: 0.3334}"
)

// endpointFaults are the lines of the scenario file by Case.Fault.
var endpointFaults = map[string]string{
	"err":  "  - {kind: err, at: 12s, for: 18s, part: 0.125, factor: 0.9}",
	"hang": "  - {kind: hang, at: 12s, for: 18s, part: 0.125}",
	"slow": "  - {kind: slow, at: 12s, for: 18s, part: 0.125, factor: 12}",
	"none": "",
}

// scenarioFile takes length, proxies, providers, cores, rate and the faults.
const scenarioFile = `
name: sharing
length: %v
warmup: 5s
network: {zones: [a, b, c], same: 200us, cross: 2ms, consumer: 500us, jitter: 0.2}
tiers:
  - {name: only, proxies: %d, providers: %d, work: 1, node: {cores: %d, slots: 80, room: 200}}
classes:
  - {name: read, share: 1, work: 20ms, spread: 0.5, aim: 500ms, deadline: 2s, worth: 1, late: 0}
load: {rate: %g}
consumers: {retries: 1, try: 0.6, wait: 100ms, honour: 0.3}
%s`

// faults are the lines of the scenario file about faults; none if there is no fault.
func (c Case) faults() string {
	lines := []string{"troubles:"}
	if endpointFault := endpointFaults[c.Fault]; endpointFault != "" {
		lines = append(lines, endpointFault)
	}
	if c.Cut {
		lines = append(lines, partitionFault)
	}
	if len(lines) == 1 {
		return ""
	}
	return strings.Join(lines, "\n")
}

func (c Case) scenario() (*scenario.Scenario, error) {
	requestRate := rate
	if c.Replicas >= manyReplicas {
		requestRate = rateOfMany
	}
	cores := int(requestRate/requestsACore) + fewestCores
	text := fmt.Sprintf(scenarioFile, length, c.Replicas, endpoints, cores, requestRate, c.faults())
	return scenario.Parse("sharing", []byte(text))
}

// Play simulates a case once. The variant is one of Variants.
func Play(ctx context.Context, c Case, variant string, seed uint64) (r Result, err error) {
	sc, err := c.scenario()
	if err != nil {
		return r, err
	}
	h := newHub(variant, seed, zones)
	h.faults = networkFaults(sc, c.Replicas)
	h.failed.from = simulationStart + faultStart
	h.failed.to = simulationStart + faultEnd
	outcome, err := sim.Run(ctx, sc, sim.Options{Seed: seed, New: h.decider})
	if err != nil {
		return r, err
	}
	return Result{
		Goodput:  outcome.Metrics["goodput"],
		Lost:     h.failed.attempts,
		Bytes:    float64(h.bytes) / float64(c.Replicas) / length.Seconds(),
		Violated: len(outcome.Violations),
	}, nil
}
