// Package sim runs a scenario in virtual time: a discrete-event simulation that drives deciders in memory. The same
// scenario, decider and seed give the same result to the byte, on any number of cores: a run is one goroutine, draws
// from streams of its own, and never ranges over a map where order shows.
package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"ryerill/balancer"
	"ryerill/lab/baseline"
	"ryerill/lab/invariant"
	"ryerill/lab/load"
	"ryerill/lab/metrics"
	"ryerill/lab/scenario"
)

const (
	epoch          = time.Hour              // time 0 as deciders see it: a start at 0 means long ago to them
	finishSlack    = time.Second            // a run ends this long after the last deadline
	sampleInterval = 100 * time.Millisecond // between samples of the concurrency limits
	cancelCheck    = 1 << 16                // events between looks whether the context has ended
)

// The random streams of a run; lab/realtime uses the same.
const (
	delayStream  = 2
	workStream   = 3
	clientStream = 4
	seedStream   = 5
	faultStream  = 6
	speedStream  = 7
)

// noZone is the zone of clients and of discovery, which are in none.
const noZone = -1

// Options holds what a scenario is run with.
type Options struct {
	Decider string // see baseline.New
	Seed    uint64

	// New makes the deciders in place of Decider, if it is set.
	New func(cfg balancer.Config, seed uint64) baseline.Decider
}

// simulation is one run of a scenario.
type simulation struct {
	scenario     *scenario.Scenario
	options      Options
	now          time.Duration
	lastSequence uint64 // of events
	agenda       agenda
	draws        draws

	tiers       []*tier
	front       []*frontSlot // the clients' view of the first tier's proxies
	nextFront   []int        // round robin over front, by the client's zone
	proxyNames  []string     // by the proxy's number
	schedule    []load.Request
	recorder    *metrics.Recorder
	oracle      *invariant.Checker
	lastCallKey uint64
	spareLists  [][]balancer.Action // action lists for reuse, one for each depth of dispatch
}

// draws are the random streams of a run.
type draws struct {
	delay  *rand.Rand // jitter of the network and of discovery
	work   *rand.Rand // calls and errors
	client *rand.Rand // choices of clients
	seed   *rand.Rand // of deciders
	fault  *rand.Rand // targets of faults
}

func newDraws(seed uint64) draws {
	return draws{
		delay:  load.Stream(seed, delayStream),
		work:   load.Stream(seed, workStream),
		client: load.Stream(seed, clientStream),
		seed:   load.Stream(seed, seedStream),
		fault:  load.Stream(seed, faultStream),
	}
}

// tier is the endpoints of a tier with the discovery service that lists them.
type tier struct {
	index     int
	spec      *scenario.Tier
	endpoints []*endpoint
	byID      map[balancer.EndpointID]*endpoint
	discovery *discoveryService
	proxies   []*proxy // that send to it and are alive
}

// Run runs a scenario once. It ends early, with ctx's error, if ctx ends.
func Run(ctx context.Context, sc *scenario.Scenario, opt Options) (*metrics.Result, error) {
	s, err := newSimulation(sc, opt)
	if err != nil {
		return nil, err
	}
	return s.run(ctx)
}

// newSimulation sets up the time 0 of a run.
func newSimulation(sc *scenario.Scenario, opt Options) (*simulation, error) {
	if err := check(sc, opt); err != nil {
		return nil, err
	}
	s := &simulation{
		scenario:  sc,
		options:   opt,
		draws:     newDraws(opt.Seed),
		recorder:  metrics.New(sc),
		nextFront: make([]int, len(sc.Network.Zones)),
	}
	s.oracle = invariant.New(invariant.Config{
		Slack:   sc.Rules.Slack,
		Grace:   sc.Rules.Drain,
		Classes: sc.Balancer(0, 0, 0).Classes,
		Name:    func(number int) string { return s.proxyNames[number] },
	})
	s.startEndpoints()
	s.startProxies()
	s.schedule = load.Draw(sc, opt.Seed)
	if len(s.schedule) > 0 {
		s.at(s.schedule[0].At, func() { s.send(0) })
	}
	s.scheduleFaults()
	s.at(0, s.sample)
	return s, nil
}

// check returns an error if a scenario can't be run in virtual time, or the decider has no known name.
func check(sc *scenario.Scenario, opt Options) error {
	if sc.Parallel {
		return fmt.Errorf("world %s: parallel tiers are played on sockets only", sc.Name)
	}
	for i := range sc.Faults {
		if sc.Faults[i].Kind == scenario.Reload {
			return fmt.Errorf("world %s: reloads are played on sockets only", sc.Name)
		}
	}
	if opt.New != nil {
		return nil
	}
	_, err := baseline.New(opt.Decider, sc.Balancer(0, 0, 0), 0)
	return err
}

// startEndpoints starts the endpoints of all tiers, warm, with the discovery services that list them.
func (s *simulation) startEndpoints() {
	speeds := load.Stream(s.options.Seed, speedStream)
	for index := range s.scenario.Tiers {
		spec := &s.scenario.Tiers[index]
		t := &tier{index: index, spec: spec, byID: map[balancer.EndpointID]*endpoint{}}
		t.discovery = newDiscoveryService(s, t)
		s.tiers = append(s.tiers, t)
		for i := range spec.Endpoints {
			name := fmt.Sprintf("%s-%d", spec.Name, i)
			e := s.newEndpoint(t, name, s.scenario.EndpointZone(i), i/spec.Group, load.Speed(speeds, &spec.Machine))
			e.start(true)
			t.discovery.publish(e, balancer.Ready)
		}
	}
}

// startProxies starts the front proxies and those of the endpoints.
func (s *simulation) startProxies() {
	for i := range s.scenario.Tiers[0].Proxies {
		slot := &frontSlot{zone: s.scenario.EndpointZone(i)}
		slot.proxy = s.newProxy(s.tiers[0], i, slot.zone, fmt.Sprintf("front-%d", i))
		s.front = append(s.front, slot)
	}
	for _, t := range s.tiers[:len(s.tiers)-1] {
		for _, e := range t.endpoints {
			e.startProxy()
		}
	}
}

// run calls the events in their order until the last deadline is over.
func (s *simulation) run(ctx context.Context) (*metrics.Result, error) {
	end := s.scenario.Length
	for i := range s.scenario.Classes {
		end = max(end, s.scenario.Length+s.scenario.Classes[i].Deadline+finishSlack)
	}
	for n := 0; len(s.agenda) > 0; n++ {
		next := s.agenda.pop()
		if next.at > end {
			break
		}
		s.now = next.at
		next.call()
		if n%cancelCheck == 0 && ctx.Err() != nil {
			return nil, fmt.Errorf("world %s, seed %d, at %v: %w",
				s.scenario.Name, s.options.Seed, s.now, context.Cause(ctx))
		}
	}
	workDone := 0.0
	for _, t := range s.tiers {
		for _, e := range t.endpoints {
			workDone += e.earlierWork + e.machine.Done()
		}
	}
	s.recorder.Count("work_done", workDone)
	violations, counts := s.oracle.Finish(end)
	return s.recorder.Result(violations, counts), nil
}

// at schedules a call at a time, or now if that has passed.
func (s *simulation) at(t time.Duration, call func()) {
	s.lastSequence++
	s.agenda.push(event{at: max(t, s.now), sequence: s.lastSequence, call: call})
}

// after schedules a call after a duration.
func (s *simulation) after(d time.Duration, call func()) { s.at(s.now+d, call) }

// delay draws the delay one way between two zones.
func (s *simulation) delay(from, to int) time.Duration {
	base := s.scenario.Network.Same
	if from == noZone {
		base = s.scenario.Network.Client
	} else if from != to {
		base = s.scenario.Network.Cross
	}
	return base + time.Duration(s.scenario.Network.Jitter*s.draws.delay.Float64()*float64(base))
}

// sample records the concurrency limits of the front proxies, and their requests in flight, ten times a second.
func (s *simulation) sample() {
	limit := 0.0
	inFlight := 0.0
	for _, p := range s.tiers[0].proxies {
		if reporter, ok := p.decider.(baseline.ConcurrencyReporter); ok {
			proxyLimit, proxyInFlight := reporter.Concurrency()
			limit += proxyLimit
			inFlight += float64(proxyInFlight)
		}
	}
	s.recorder.Sample(s.now, limit, inFlight)
	if s.now < s.scenario.Length {
		s.after(sampleInterval, s.sample)
	}
}
