package balancer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// coldID is the endpoint that starts, and starts again, in a slowStart.
const coldID EndpointID = 99

// slowStart plays a steady load on replicas whose endpoints are warm but for one, and records what that one is sent.
type slowStart struct {
	t        *testing.T
	rng      *rand.Rand
	cfg      Config
	replicas []*replica // that serve clients
	all      []*replica // those too that have ended but have attempts in flight
	now      time.Duration
	begun    time.Duration
	born     time.Duration // of the cold endpoint: its latest start
	rate     float64       // requests a second, of all replicas together
	warm     int           // endpoints

	outcome func(EndpointID) Outcome // of an attempt at an endpoint
	due     []dueEvent
	next    RequestID
	toCold  []coldSend
}

// replica is a Balancer of a slowStart.
type replica struct{ *Balancer }

// dueEvent is an event to come at a Balancer.
type dueEvent struct {
	at      time.Duration
	replica *replica
	event   Event
}

// coldSend is an attempt at the cold endpoint.
type coldSend struct{ at, born time.Duration }

func newSlowStart(t *testing.T, rate float64, warm int) *slowStart {
	s := &slowStart{t: t, rng: rand.New(rand.NewSource(1)), cfg: testConfig(), now: time.Hour, begun: time.Hour,
		rate: rate, warm: warm}
	s.outcome = func(EndpointID) Outcome { return OK }
	return s
}

// list is the list of endpoints as it is now.
func (s *slowStart) list() []Endpoint {
	list := readyList(s.warm)
	if s.born > 0 {
		list = append(list, Endpoint{ID: coldID, State: Ready, StartedAt: s.born})
	}
	return list
}

// start starts a replica.
func (s *slowStart) start(index, count int) *replica {
	cfg := s.cfg
	cfg.ReplicaIndex, cfg.ReplicaCount = index, count
	r := &replica{New(cfg, uint64(index+1))}
	s.replicas = append(s.replicas, r)
	s.all = append(s.all, r)
	s.handle(r, Event{Kind: EndpointListUpdated, ListKind: ListCached, Endpoints: s.list()})
	return r
}

// stop ends a replica: its clients go to the others.
func (s *slowStart) stop(r *replica) {
	s.replicas = slices.DeleteFunc(s.replicas, func(other *replica) bool { return other == r })
}

// restartCold starts the cold endpoint, once more if it has started before, as a list tells all replicas.
func (s *slowStart) restartCold() {
	s.born = s.now
	for _, r := range s.replicas {
		s.handle(r, Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: s.list()})
	}
}

// handle hands an event to a replica's Balancer, and plays the attempts that it sends.
func (s *slowStart) handle(r *replica, event Event) {
	for _, action := range r.Handle(s.now, event, nil) {
		switch action.Kind {
		case Send:
			s.sent(r, &action)
		case SetTimer:
			s.plan(dueEvent{s.now + action.Delay, r, Event{Kind: TimerFired, Token: action.Token}})
		}
	}
}

// sent records an attempt and plans its end.
func (s *slowStart) sent(r *replica, action *Action) {
	if action.Endpoint == coldID {
		s.toCold = append(s.toCold, coldSend{s.now, s.born})
	}
	outcome, took := s.outcome(action.Endpoint), 5*ms
	if outcome != OK {
		took = ms
	}
	attempt := len(r.requests[action.Request].attempts) - 1
	s.plan(dueEvent{s.now + took, r, Event{Kind: AttemptEnded, Request: action.Request, Attempt: attempt,
		Endpoint: action.Endpoint, Outcome: outcome, RequestClosed: outcome == OK, Elapsed: took}})
}

func (s *slowStart) plan(event dueEvent) {
	i, _ := slices.BinarySearchFunc(s.due, event.at, func(e dueEvent, at time.Duration) int { return cmp.Compare(e.at, at) })
	s.due = slices.Insert(s.due, i, event)
}

// arrive brings a request at any of the replicas.
func (s *slowStart) arrive() {
	s.next++
	r := s.replicas[s.rng.Intn(len(s.replicas))]
	s.handle(r, Event{Kind: RequestArrived, Request: s.next, Remaining: 2 * time.Second})
}

// run plays the load for a time.
func (s *slowStart) run(span time.Duration) {
	for end := s.now + span; s.now < end; s.now += ms {
		for len(s.due) > 0 && s.due[0].at <= s.now {
			event := s.due[0]
			s.due = s.due[1:]
			s.handle(event.replica, event.event)
		}
		for mean := s.rate / float64(time.Second/ms); s.rng.Float64() < mean; mean-- {
			s.arrive()
		}
	}
}

// checkBudget checks that no span of the settings' time brought the cold endpoint more than its budget: N requests,
// the multiple of what it bears at its age, and 2 x root of N and 2 beyond, or 3 x root of N and 3 where N is small.
// Warm endpoints bear what the load brings each of them, at least.
func (s *slowStart) checkBudget(least int) {
	s.t.Helper()
	contract := &s.cfg.Contract
	warmRate := s.rate / float64(s.warm+1)
	for from, first := range s.toCold {
		sent := 0
		for _, other := range s.toCold[from:] {
			if other.at < first.at+contract.OverloadPeriod {
				sent++
			}
		}
		age := first.at - first.born
		n := contract.OverloadMultiple * contract.capacity(age) * warmRate * contract.OverloadPeriod.Seconds()
		if budget := coldBudget(n); float64(sent) > budget {
			s.t.Errorf("%v after its start, %v after the beginning: %d attempts within %v, budget %.1f (N is %.1f)",
				age, first.at-s.begun, sent, contract.OverloadPeriod, budget, n)
			return
		}
	}
	if len(s.toCold) < least {
		s.t.Errorf("the cold endpoint got %d attempts, want %d at least", len(s.toCold), least)
	}
}

// coldBudget is how many requests of mean work a cold endpoint may be sent that bears n.
func coldBudget(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// slowStartRates are loads of all replicas together: a few requests of which a cold endpoint gets one now and then, and
// many.
var slowStartRates = []float64{4, 60, 900}

// The budget binds for any number of processes, also for one and two.
func TestSlowStartBudgetOfFewReplicas(t *testing.T) {
	for _, count := range []int{1, 2, 3, 7} {
		for _, rate := range slowStartRates {
			t.Run(fmt.Sprintf("%d replicas, %.0f a second", count, rate), func(t *testing.T) {
				s := newSlowStart(t, rate, 5)
				for index := range count {
					s.start(index, count)
				}
				s.run(3 * time.Second)
				s.restartCold()
				s.run(7 * time.Second)
				s.checkBudget(int(rate / 10))
			})
		}
	}
}

// Replicas come and go while an endpoint warms up, and all know it a while later.
func TestSlowStartBudgetOverAChangedNumberOfReplicas(t *testing.T) {
	for _, rate := range slowStartRates {
		for _, counts := range [][]int{{2, 6, 1}, {1, 2, 1}, {5, 1, 5}} {
			t.Run(fmt.Sprintf("%v replicas, %.0f a second", counts, rate), func(t *testing.T) {
				s := newSlowStart(t, rate, 5)
				for index := range counts[0] {
					s.start(index, counts[0])
				}
				s.run(3 * time.Second)
				s.restartCold()
				for _, count := range counts {
					for len(s.replicas) > count {
						s.stop(s.replicas[len(s.replicas)-1])
					}
					for len(s.replicas) < count {
						s.start(len(s.replicas), count)
					}
					s.run(200 * ms)
					for index, r := range s.replicas {
						r.SetReplicas(index, count, count)
					}
					s.run(1800 * ms)
				}
				s.checkBudget(0)
			})
		}
	}
}

// A proxy that starts knows nothing of the load: clients that come back to it all at once make it no greater.
func TestSlowStartBudgetAcrossARestartOfTheProxy(t *testing.T) {
	for _, rate := range slowStartRates {
		for _, count := range []int{1, 2} {
			for _, waiting := range []time.Duration{0, 100 * ms, 500 * ms} { // the load of this time comes at once
				t.Run(fmt.Sprintf("%d replicas, %.0f a second, %v waiting", count, rate, waiting), func(t *testing.T) {
					s := newSlowStart(t, rate, 5)
					for index := range count {
						s.start(index, count)
					}
					s.run(3 * time.Second)
					s.restartCold()
					s.run(1500 * ms)
					for range 3 {
						for _, r := range slices.Clone(s.replicas) {
							s.stop(r)
						}
						for index := range count {
							s.start(index, count)
						}
						for range int(rate * waiting.Seconds()) {
							s.arrive()
						}
						s.run(700 * ms)
					}
					s.run(time.Second)
					s.checkBudget(0)
				})
			}
		}
	}
}

// At an upgrade two processes are one replica. Each knows of the other a while later, the second begins with what the
// first has learnt, and the clients go over to it one by one.
func TestSlowStartBudgetOverAnUpgrade(t *testing.T) {
	for _, rate := range slowStartRates {
		for _, after := range []time.Duration{0, 30 * ms, 3 * time.Second} { // the first one's start
			t.Run(fmt.Sprintf("%.0f a second, %v after a start", rate, after), func(t *testing.T) {
				s := newSlowStart(t, rate, 5)
				first := s.start(0, 1)
				s.run(after)
				s.restartCold()
				s.run(200 * ms)
				second := s.start(0, 1)
				second.Restore(first.Snapshot())
				s.run(100 * ms)
				first.SetSiblings(1, second.attempts.inFlight)
				second.SetSiblings(1, first.attempts.inFlight)
				s.run(1500 * ms)
				s.stop(first)
				s.run(100 * ms)
				second.SetSiblings(0, 0)
				s.run(2 * time.Second)
				s.checkBudget(0)
			})
		}
	}
}

// Two processes of one replica, each with half of the clients, send a cold endpoint no more than one would.
func TestTwoProcessesShareASlowStartBudget(t *testing.T) {
	play := func(processes int) int {
		s := newSlowStart(t, 900, 5)
		first := s.start(0, 1)
		s.run(20 * time.Second)
		learnt := first.Snapshot()
		for range processes - 1 {
			s.start(0, 1).Restore(learnt)
		}
		for _, r := range s.replicas {
			r.SetSiblings(processes-1, 0)
		}
		s.restartCold()
		s.run(2 * time.Second)
		s.checkBudget(1)
		return len(s.toCold)
	}
	alone, together := play(1), play(2)
	if float64(together) > 1.1*float64(alone) {
		t.Errorf("two processes sent %d attempts, one alone %d", together, alone)
	}
}

// An endpoint that starts again and again gets no new credit for each start.
func TestSlowStartBudgetOverRepeatedRestarts(t *testing.T) {
	for _, rate := range slowStartRates {
		for _, count := range []int{1, 2, 7} {
			for _, every := range []time.Duration{20 * ms, 150 * ms, 900 * ms} {
				t.Run(fmt.Sprintf("%d replicas, %.0f a second, every %v", count, rate, every), func(t *testing.T) {
					s := newSlowStart(t, rate, 5)
					for index := range count {
						s.start(index, count)
					}
					s.run(3 * time.Second)
					for end := s.now + 4*time.Second; s.now < end; {
						s.restartCold()
						s.run(every)
					}
					s.checkBudget(0)
				})
			}
		}
	}
}

// What a cold endpoint rejects, and what comes to it as a retry, counts like any attempt. Where most attempts fail, none
// is held against an endpoint, so its budget alone keeps what fails quickly from being sent there again and again.
func TestSlowStartBudgetCountsRejectedWorkAndRetries(t *testing.T) {
	for _, rate := range slowStartRates {
		for _, outcome := range []Outcome{Rejected, Error, ConnectFailed, NotSent} {
			for _, count := range []int{1, 2} {
				for _, failing := range []float64{0, 0.25, 0.7} { // part of the attempts at warm endpoints
					name := fmt.Sprintf("%d replicas, %.0f a second, %v, %v elsewhere", count, rate, outcome, failing)
					t.Run(name, func(t *testing.T) {
						s := newSlowStart(t, rate, 5)
						for index := range count {
							s.start(index, count)
						}
						s.run(3 * time.Second)
						s.outcome = func(id EndpointID) Outcome {
							if id == coldID || s.rng.Float64() < failing {
								return outcome
							}
							return OK
						}
						s.restartCold()
						s.run(6 * time.Second)
						s.checkBudget(min(int(rate/20), 3))
					})
				}
			}
		}
	}
}
