package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"ryerill/config"
	"ryerill/discovery"
)

const (
	scaleEndpoints = 3200 // the largest deployment
	scaleProxies   = 3

	// drainGrace is how long a proxy may send to a withdrawn endpoint after it has learnt of the change. It must hold
	// even if the proxy is delayed by holdUp between reading its clock and writing.
	drainGrace = time.Second
	holdUp     = 150 * time.Millisecond

	// sendsAfterChange is how long clients send requests after the last change: the longest time until a proxy must know
	// of it, the grace and a margin.
	sendsAfterChange = unseenChangeKnown + drainGrace + 2*time.Second

	// moveKnown is the delay after a reload moves a proxy to an agent until the proxy must know the agent's list.
	moveKnown = 4 * time.Second

	scaleSockets  = 200                   // of each proxy; the endpoints' sockets are in the same process
	scaleClients  = 4                     // of each proxy
	clientPause   = 20 * time.Millisecond // between a client's requests
	settlingPause = 300 * time.Millisecond
)

// drainScenario describes proxies with thousands of endpoints, many of which are withdrawn.
type drainScenario struct {
	name   string
	pushed bool
	faults listFaults // initial faults of each list service
	// before runs before the proxies start. Their known list is the one before it ran.
	before func(*endpointRegistry)
	// play withdraws endpoints and causes the faults of the scenario.
	play func(s *drainRun)
}

// drainRun is a running scenario.
type drainRun struct {
	t        *testing.T
	scenario drainScenario
	farm     *endpointFarm
	registry *endpointRegistry
	services []*listService // by proxy
	proxies  []*Proxy
	configs  []config.Config

	mu       sync.Mutex
	statuses map[int]int // of the responses
}

// Draining and gone endpoints get no new requests after the grace, with thousands of endpoints listed and with faults of
// the discovery service that delivers the list.
func TestDrainGraceWithThousandsOfEndpoints(t *testing.T) {
	drainQuarter := func(s *drainRun) { s.registry.change(discovery.Terminating, everyNth(4)...) }
	removeQuarter := func(s *drainRun) { s.registry.change(discovery.Gone, everyNth(4)...) }
	resetWatches := func(s *drainRun) { s.each((*listService).resetAll) }
	silenceWatches := func(s *drainRun) { s.each((*listService).silenceAll) }
	goDown := func(services []*listService) {
		for _, service := range services {
			service.goDown()
		}
	}
	inPieces := func(pause time.Duration) listFaults {
		return listFaults{wholeFirst: true, indented: true, pieces: 20, piecePause: pause}
	}
	playDrainScenarios(t, true, []drainScenario{
		{name: "polled, no faults", play: drainQuarter},
		{name: "pushed, no faults", pushed: true, play: removeQuarter},
		{name: "polled, whole list takes 2 s after a reset", faults: inPieces(100 * time.Millisecond), play: func(s *drainRun) {
			resetWatches(s)
			drainQuarter(s)
		}},
		{name: "pushed, whole list takes 0.5 s after a reset", pushed: true, faults: inPieces(25 * time.Millisecond), play: func(s *drainRun) {
			resetWatches(s)
			drainQuarter(s)
		}},
		{name: "polled, whole list leaves out what drains", faults: listFaults{wholeFirst: true, omitDraining: true, pieces: 20, piecePause: 100 * time.Millisecond}, play: func(s *drainRun) {
			drainQuarter(s)
			resetWatches(s)
		}},
		{name: "polled, watches fall silent", play: func(s *drainRun) {
			silenceWatches(s)
			drainQuarter(s)
		}},
		{name: "pushed, watches fall silent", pushed: true, faults: inPieces(10 * time.Millisecond), play: func(s *drainRun) {
			drainQuarter(s)
			resetWatches(s)
		}},
		{name: "polled, overloaded, reset between two calls of a watch", play: func(s *drainRun) {
			s.awaitWatches()
			s.each(func(service *listService) {
				service.setFaults(func(f *listFaults) { f.overloaded = true; f.resetBetween = true })
			})
			s.registry.change(discovery.Terminating, 1) // the service responds to each watch
			time.Sleep(resetDelay / 3)
			drainQuarter(s)
		}},
		{name: "polled, overloaded after a reset", play: func(s *drainRun) {
			s.each(func(service *listService) {
				service.setFaults(func(f *listFaults) { f.rejected = 3; f.rejectionDelay = 30 * time.Millisecond })
				service.resetAll()
			})
			drainQuarter(s)
		}},
		{name: "polled, down and back", faults: inPieces(100 * time.Millisecond), play: func(s *drainRun) {
			s.each((*listService).goDown)
			time.Sleep(3 * time.Second)
			drainQuarter(s)
			s.each((*listService).comeBack)
		}},
		{name: "pushed, down and back", pushed: true, faults: inPieces(10 * time.Millisecond), play: func(s *drainRun) {
			s.each((*listService).goDown)
			time.Sleep(3 * time.Second)
			removeQuarter(s)
			s.each((*listService).comeBack)
		}},
		{name: "polled, moved", faults: inPieces(100 * time.Millisecond), play: func(s *drainRun) {
			s.moveServices(s.scenario.faults)
			drainQuarter(s)
		}},
		{name: "pushed, moved", pushed: true, faults: inPieces(25 * time.Millisecond), play: func(s *drainRun) {
			s.moveServices(s.scenario.faults)
			drainQuarter(s)
		}},
		{name: "polled, moved to a overloaded service", play: func(s *drainRun) {
			s.awaitWatches()
			before := s.moveServices(listFaults{overloaded: true, admittedFirst: 1, rejectionDelay: 15 * time.Millisecond})
			time.Sleep(time.Second)
			goDown(before)
			time.Sleep(500 * time.Millisecond)
			drainQuarter(s)
		}},
		{name: "polled, a overloaded service at another address", play: func(s *drainRun) {
			s.awaitWatches()
			before := s.moveServices(listFaults{overloaded: true, continuesWatches: true, rejectionDelay: 15 * time.Millisecond})
			time.Sleep(2500 * time.Millisecond) // until the service has responded to each outstanding call
			goDown(before)
			drainQuarter(s)
		}},
		{name: "polled, whole list takes 4 s after a reset", faults: inPieces(200 * time.Millisecond), play: func(s *drainRun) {
			resetWatches(s)
			drainQuarter(s)
		}},
		{name: "polled, new settings while the service is down", play: func(s *drainRun) {
			drainQuarter(s)
			time.Sleep(2 * time.Second)
			s.each((*listService).goDown)
			s.changeSettings(func(*config.Config) {})
		}},
		{name: "polled, new settings before the first answer of a overloaded service", faults: listFaults{
			wholeFirst: true, pieces: 20, piecePause: 100 * time.Millisecond, overloaded: true, admittedFirst: 1,
		}, play: func(s *drainRun) {
			drainQuarter(s)
			s.awaitCalls()
			s.changeSettings(func(*config.Config) {})
		}},
		{name: "polled, a pool renamed while the service is down", play: func(s *drainRun) {
			drainQuarter(s)
			time.Sleep(2 * time.Second)
			s.each((*listService).goDown)
			s.changeSettings(renamePool)
		}},
		{name: "polled, a pool renamed while the service is overloaded", play: func(s *drainRun) {
			s.awaitWatches()
			s.each(func(service *listService) {
				service.setFaults(func(f *listFaults) { f.overloaded = true })
			})
			s.changeSettings(renamePool)
			time.Sleep(500 * time.Millisecond)
			drainQuarter(s)
		}},
		{name: "pushed, new settings while the service is slow", pushed: true, play: func(s *drainRun) {
			drainQuarter(s)
			time.Sleep(2 * time.Second)
			s.each(func(service *listService) {
				service.setFaults(func(f *listFaults) { *f = inPieces(100 * time.Millisecond) })
			})
			s.changeSettings(func(*config.Config) {})
		}},
		{name: "polled, then pushed", faults: inPieces(25 * time.Millisecond), play: func(s *drainRun) {
			s.awaitWatches()
			s.switchToAgents()
			drainQuarter(s)
		}},
		{name: "polled, a wholly new pool", faults: inPieces(100 * time.Millisecond), play: func(s *drainRun) {
			s.awaitWatches()
			drainQuarter(s)
			time.Sleep(time.Second)
			s.replacePools(false)
		}},
		{name: "pushed, a wholly new pool", pushed: true, faults: inPieces(25 * time.Millisecond), play: func(s *drainRun) {
			s.awaitWatches()
			drainQuarter(s)
			time.Sleep(time.Second)
			s.replacePools(true)
		}},
		{name: "pushed, withdrawn before the start", pushed: true, faults: inPieces(25 * time.Millisecond), before: func(registry *endpointRegistry) {
			registry.change(discovery.Terminating, everyNth(4)...)
			time.Sleep(2 * time.Second)
		}, play: func(*drainRun) {}},
		{name: "polled, one after another", play: func(s *drainRun) {
			for _, endpoint := range everyNth(4) {
				s.registry.change(discovery.Terminating, endpoint)
				time.Sleep(time.Millisecond)
			}
		}},
	})
}

// playDrainScenarios runs scenarios with the same endpoints, in parallel or one after another.
func playDrainScenarios(t *testing.T, parallel bool, scenarios []drainScenario) {
	t.Helper()
	farm := newEndpointFarm(t, scaleEndpoints)
	t.Run("scenario", func(t *testing.T) {
		for i, scenario := range scenarios {
			t.Run(scenario.name, func(t *testing.T) {
				if parallel {
					t.Parallel()
				}
				s := newDrainRun(t, scenario, farm)
				stopClients := s.startClients(fmt.Sprint(i))
				s.awaitReady()
				time.Sleep(settlingPause)
				scenario.play(s)
				time.Sleep(sendsAfterChange)
				stopClients()
				s.check(fmt.Sprint(i))
			})
		}
	})
}

func newDrainRun(t *testing.T, scenario drainScenario, farm *endpointFarm) *drainRun {
	s := &drainRun{t: t, scenario: scenario, farm: farm, registry: newEndpointRegistry(farm), statuses: make(map[int]int)}
	known := s.registry.whole(false)
	if scenario.before != nil {
		scenario.before(s.registry)
	}
	for i := range scaleProxies {
		service := newListService(t, s.registry, scenario.pushed)
		service.setFaults(func(f *listFaults) { *f = scenario.faults })
		s.services = append(s.services, service)
		proxy := run(t, func(cfg *config.Config) {
			cfg.Limits.Sockets = scaleSockets
			cfg.Limits.Memory = 256 << 20
			pool := &cfg.Pools[0]
			pool.Discovery = service.Addr().String()
			pool.KnownEndpoints = known
			pool.Settings.PushedDiscovery = scenario.pushed
			pool.Settings.Balancer.Subscribe = !scenario.pushed
			pool.Settings.Balancer.ReplicaIndex = i
			pool.Settings.Balancer.ReplicaCount = scaleProxies
			pool.Settings.Balancer.Contract.DrainGrace = drainGrace
			pool.Settings.Balancer.Contract.MaxPollInterval = 10 * time.Second
			s.configs = append(s.configs, *cfg)
		})
		s.proxies = append(s.proxies, proxy)
	}
	return s
}

// awaitReady waits until all proxies are ready.
func (s *drainRun) awaitReady() {
	s.t.Helper()
	for _, proxy := range s.proxies {
		for deadline := time.Now().Add(testTimeout); proxy.Readiness() != nil; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				s.t.Fatal(proxy.Readiness())
			}
		}
	}
}

// awaitWatches waits until each list service has sent a response to its proxy.
func (s *drainRun) awaitWatches() {
	s.t.Helper()
	for _, service := range s.services {
		for deadline := time.Now().Add(testTimeout); service.answerCount() == 0; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				s.t.Fatal("a proxy did not watch its list")
			}
		}
	}
}

// awaitCalls waits until all proxies have called their service.
func (s *drainRun) awaitCalls() {
	s.t.Helper()
	for _, service := range s.services {
		for deadline := time.Now().Add(testTimeout); service.callCount() == 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				s.t.Fatal("a proxy did not call its list service")
			}
		}
	}
}

// each calls do for each list service.
func (s *drainRun) each(do func(*listService)) {
	for _, service := range s.services {
		do(service)
	}
}

// everyNth returns every n-th endpoint of the farm.
func everyNth(n int) []int { return everyNthOf(scaleEndpoints, n) }

func everyNthOf(count, n int) (endpoints []int) {
	for i := 0; i < count; i += n {
		endpoints = append(endpoints, i)
	}
	return endpoints
}

// moveServices reloads each proxy with another list service of the same registry that has the given faults. It returns
// the previous services.
func (s *drainRun) moveServices(faults listFaults) (before []*listService) {
	return s.replaceServices(faults, s.scenario.pushed, func(*config.Config) {})
}

// switchToAgents reloads each proxy to receive its list from an agent instead of polling a service.
func (s *drainRun) switchToAgents() {
	s.replaceServices(s.scenario.faults, true, func(cfg *config.Config) {
		cfg.Pools[0].Settings.PushedDiscovery = true
		cfg.Pools[0].Settings.Balancer.Subscribe = false
	})
}

// replacePools reloads each proxy with a pool of another name at another list service.
func (s *drainRun) replacePools(pushed bool) {
	s.replaceServices(s.scenario.faults, pushed, renamePool)
}

// replaceServices reloads each proxy with another list service of the same registry and a further change. It returns
// the previous services.
func (s *drainRun) replaceServices(
	faults listFaults, pushed bool, change func(*config.Config),
) (before []*listService) {
	before = slices.Clone(s.services)
	for i, proxy := range s.proxies {
		service := newListService(s.t, s.registry, pushed)
		service.setFaults(func(f *listFaults) { *f = faults })
		service.follow(s.services[i])
		cfg := s.configs[i]
		cfg.Pools = slices.Clone(cfg.Pools)
		cfg.Routes = slices.Clone(cfg.Routes)
		cfg.Pools[0].Discovery = service.Addr().String()
		change(&cfg)
		if err := proxy.Reload(cfg); err != nil {
			s.t.Error(err)
		}
		s.configs[i] = cfg
		s.services[i] = service
	}
	return before
}

func renamePool(cfg *config.Config) {
	cfg.Pools[0].Name = "renamed"
	cfg.Routes[0].Pool = "renamed"
}

// changeSettings reloads each proxy with a further change and a setting that a pool cannot take over: a new pool replaces
// the old one.
func (s *drainRun) changeSettings(change func(*config.Config)) {
	for i, proxy := range s.proxies {
		cfg := s.configs[i]
		cfg.Pools = slices.Clone(cfg.Pools)
		cfg.Routes = slices.Clone(cfg.Routes)
		cfg.Pools[0].Settings.Balancer.Contract.WarmUpPeriod -= time.Minute
		change(&cfg)
		if err := proxy.Reload(cfg); err != nil {
			s.t.Error(err)
		}
		s.configs[i] = cfg
	}
}

// startClients sends requests to each proxy until stop is called. stop waits for the last response.
func (s *drainRun) startClients(scenario string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i, proxy := range s.proxies {
		for range scaleClients {
			clients.Go(func() { s.sendRequests(ctx, proxy.Address(), requestPath(scenario, i)) })
		}
	}
	return func() {
		cancel()
		clients.Wait()
	}
}

// sendRequests sends one request after another on one connection.
func (s *drainRun) sendRequests(ctx context.Context, address, path string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		s.t.Error(err)
		return
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for ctx.Err() == nil {
		c.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %016x\r\nReq-Kind: read\r\nReq-Owner: nobody\r\n"+
			"Req-Deadline-Ms: 4000\r\n\r\n", path, rand.Uint64())
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			s.t.Errorf("no response: %v", err)
			return
		}
		io.Copy(io.Discard, response.Body)
		s.mu.Lock()
		s.statuses[response.StatusCode]++
		s.mu.Unlock()
		time.Sleep(clientPause)
	}
}

// check fails the test if a withdrawn endpoint got a request later than the grace after its proxy had to know of the
// withdrawal.
func (s *drainRun) check(scenario string) {
	withdrawn := s.registry.withdrawn()
	breaks, requests := 0, 0
	var worst time.Duration
	for i, service := range s.services {
		for _, arrived := range s.farm.arrivalsOf(requestPath(scenario, i)) {
			requests++
			change, bound := withdrawn[arrived.endpoint]
			if !bound {
				continue
			}
			late := arrived.at.Sub(service.knownAt(change)) - (drainGrace - holdUp)
			if late > 0 {
				breaks++
				worst = max(worst, late)
				s.t.Logf("proxy %d, endpoint %d: change known after %v, request received after %v", i, arrived.endpoint,
					service.knownAt(change).Sub(change.changedAt), arrived.at.Sub(change.changedAt))
				if breaks == 1 {
					s.t.Logf("exchanges of its list services, relative to the change: %s", service.exchanges(change.changedAt))
				}
			}
		}
	}
	if breaks > 0 {
		s.t.Errorf("%d of %d requests reached withdrawn endpoints after the grace, up to %v late; want none", breaks, requests, worst)
	}
	if s.statuses[http.StatusOK] < requests*9/10 || requests == 0 {
		s.t.Errorf("%d requests reached endpoints, statuses %v; want some, and 200 for at least nine tenths of them", requests, s.statuses)
	}
}
