package proxy

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"ryerill/config"
	"ryerill/discovery"
)

const (
	defaultScenarios  = 4 // without RYERILL_SLOW
	slowScenarios     = 32
	eventsPerScenario = 6 // of each scenario

	// envDrainSeed sets the seed of the first scenario, to reproduce a failure.
	envDrainSeed = "RYERILL_DRAIN_SEED"
)

// Draining and gone endpoints get no new requests after the grace while random faults of discovery occur. The name of a
// scenario is its seed.
//
// The scenarios run one after another unless RYERILL_SLOW is set. A change between the response to a watch and its next
// call counts as known. On a busy machine, with the race detector, the whole lists of several scenarios at once lengthen
// this gap from milliseconds to tenths of a second, and faults fall into it.
func TestDrainGraceWithRandomFaults(t *testing.T) {
	first, err := strconv.ParseUint(os.Getenv(envDrainSeed), 10, 64)
	if err != nil {
		first = 1
	}
	count := defaultScenarios
	slow := os.Getenv("RYERILL_SLOW") != ""
	if slow {
		count = slowScenarios
	}
	var scenarios []drainScenario
	for i := range uint64(count) {
		scenarios = append(scenarios, randomScenario(first+i))
	}
	playDrainScenarios(t, slow, scenarios)
}

// randomScenario returns the scenario of a seed.
func randomScenario(seed uint64) drainScenario {
	random := rand.New(rand.NewPCG(seed, 0))
	pushed := random.IntN(2) == 0
	faults := listFaults{
		indented:     random.IntN(2) == 0,
		wholeFirst:   random.IntN(2) == 0,
		omitDraining: random.IntN(2) == 0,
		pieces:       1 + random.IntN(20),
		piecePause:   time.Duration(random.IntN(15)) * time.Millisecond, // an agent's list takes 0.3 s at most
	}
	events := []func(*drainRun){
		func(s *drainRun) { s.each((*listService).resetAll) },
		func(s *drainRun) {
			s.each((*listService).goDown)
			time.Sleep(500 * time.Millisecond)
			s.each((*listService).comeBack)
		},
		func(s *drainRun) {
			s.each(func(service *listService) {
				service.setFaults(func(f *listFaults) { f.rejected = 3 })
				service.resetAll()
			})
		},
		func(s *drainRun) { s.moveServices(s.scenario.faults) },
		func(s *drainRun) { s.changeSettings(func(*config.Config) {}) },
	}
	if !pushed { // listService does not model the rules for a silent agent
		faults.piecePause *= 5
		events = append(events, func(s *drainRun) { s.each((*listService).silenceAll) })
	}
	return drainScenario{
		name:   fmt.Sprint("seed ", seed),
		pushed: pushed,
		faults: faults,
		play: func(s *drainRun) {
			for part := range eventsPerScenario {
				events[random.IntN(len(events))](s)
				s.withdrawPart(random, part)
				time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
			}
		},
	}
}

// withdrawPart sets one part of the endpoints, by the number of the event, to draining or gone.
func (s *drainRun) withdrawPart(random *rand.Rand, part int) {
	var endpoints []int
	for i := part; i < scaleEndpoints; i += 2 * eventsPerScenario {
		endpoints = append(endpoints, i)
	}
	status := discovery.Terminating
	if random.IntN(2) == 0 {
		status = discovery.Gone
	}
	s.registry.change(status, endpoints...)
}
