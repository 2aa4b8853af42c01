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

// coldID is the endpoint that starts and restarts in a slowStart.
const coldID EndpointID = 99

// slowStart simulates a steady load on replicas whose endpoints are all warm except one, and records the attempts at
// that one.
type slowStart struct {
	t             *testing.T
	rng           *rand.Rand
	cfg           Config
	replicas      []*replica // replicas that serve clients
	all           []*replica // replicas including stopped ones, which may have attempts in flight
	now           time.Duration
	startedAt     time.Duration
	coldStartedAt time.Duration // latest start of the cold endpoint
	rate          float64       // requests per second of all replicas together
	warm          int           // number of warm endpoints

	outcome func(EndpointID) Outcome // outcome of an attempt at an endpoint
	due     []dueEvent
	next    RequestID
	toCold  []coldSend
}

// replica is a Balancer of a slowStart.
type replica struct{ *Balancer }

// dueEvent is a scheduled event of a replica.
type dueEvent struct {
	at      time.Duration
	replica *replica
	event   Event
}

// coldSend is an attempt at the cold endpoint.
type coldSend struct{ at, startedAt time.Duration }

func newSlowStart(t *testing.T, rate float64, warm int) *slowStart {
	s := &slowStart{t: t, rng: rand.New(rand.NewSource(1)), cfg: testConfig(), now: time.Hour, startedAt: time.Hour,
		rate: rate, warm: warm}
	s.outcome = func(EndpointID) Outcome { return OK }
	return s
}

// list returns the current list of endpoints.
func (s *slowStart) list() []Endpoint {
	list := readyList(s.warm)
	if s.coldStartedAt > 0 {
		list = append(list, Endpoint{ID: coldID, State: Ready, StartedAt: s.coldStartedAt})
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

// stop stops a replica. Its clients go to the others.
func (s *slowStart) stop(r *replica) {
	s.replicas = slices.DeleteFunc(s.replicas, func(other *replica) bool { return other == r })
}

// restartCold starts or restarts the cold endpoint and sends the list to all replicas.
func (s *slowStart) restartCold() {
	s.coldStartedAt = s.now
	for _, r := range s.replicas {
		s.handle(r, Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: s.list()})
	}
}

// handle passes an event to a replica's Balancer and schedules the results of its actions.
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

// sent records an attempt and schedules its end.
func (s *slowStart) sent(r *replica, action *Action) {
	if action.Endpoint == coldID {
		s.toCold = append(s.toCold, coldSend{s.now, s.coldStartedAt})
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

// arrive passes a request to a random replica.
func (s *slowStart) arrive() {
	s.next++
	r := s.replicas[s.rng.Intn(len(s.replicas))]
	s.handle(r, Event{Kind: RequestArrived, Request: s.next, Remaining: 2 * time.Second})
}

// run simulates the load for a time.
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

// checkBudget checks that the cold endpoint got no more attempts than its budget within any OverloadPeriod. With N
// requests as OverloadMultiple times its capacity at its age, the budget is N + 2*sqrt(N) + 2, or N + 3*sqrt(N) + 3 for
// small N. The capacity of a warm endpoint is at least its share of the load.
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
		age := first.at - first.startedAt
		n := contract.OverloadMultiple * contract.capacity(age) * warmRate * contract.OverloadPeriod.Seconds()
		if budget := coldBudget(n); float64(sent) > budget {
			s.t.Errorf("%v after its start, %v after the test began: got %d attempts within %v, budget %.1f (N is %.1f)",
				age, first.at-s.startedAt, sent, contract.OverloadPeriod, budget, n)
			return
		}
	}
	if len(s.toCold) < least {
		s.t.Errorf("got %d attempts at the cold endpoint, want at least %d", len(s.toCold), least)
	}
}

// coldBudget returns the number of requests of mean work that a cold endpoint with a capacity of n may get.
func coldBudget(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// slowStartRates are loads of all replicas together, in requests per second. At the lowest, a cold endpoint gets few
// requests.
var slowStartRates = []float64{4, 60, 900}

// The budget must hold for any number of replicas, including one and two.
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

// Replicas start and stop while an endpoint warms up, and the others learn it with a delay.
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

// A proxy that starts does not know the load. Clients that return all at once must not raise its estimate.
func TestSlowStartBudgetAcrossARestartOfTheProxy(t *testing.T) {
	for _, rate := range slowStartRates {
		for _, count := range []int{1, 2} {
			for _, waiting := range []time.Duration{0, 100 * ms, 500 * ms} { // the load of this time arrives at once
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

// During an upgrade two processes are one replica. Each learns of the other with a delay, the second starts from a
// snapshot of the first, and the clients move to it gradually.
func TestSlowStartBudgetOverAnUpgrade(t *testing.T) {
	for _, rate := range slowStartRates {
		for _, after := range []time.Duration{0, 30 * ms, 3 * time.Second} { // after the start of the first process
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

// Two processes of one replica, each with half of the clients, must not send a cold endpoint more than one process
// does.
func TestTwoProcessesShareOneSlowStartBudget(t *testing.T) {
	play := func(processes int) int {
		s := newSlowStart(t, 900, 5)
		first := s.start(0, 1)
		s.run(20 * time.Second)
		snapshot := first.Snapshot()
		for range processes - 1 {
			s.start(0, 1).Restore(snapshot)
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
		t.Errorf("got %d attempts from two processes and %d from one, want at most a tenth more", together, alone)
	}
}

// An endpoint that restarts repeatedly must not get new credit at each start.
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

// Rejected attempts and retries must count against the budget of a cold endpoint. If most attempts fail, failures add
// no penalty, so that only the budget limits attempts at an endpoint that fails quickly.
func TestSlowStartBudgetCountsRejectedWorkAndRetries(t *testing.T) {
	for _, rate := range slowStartRates {
		for _, outcome := range []Outcome{Rejected, Error, ConnectFailed, NotSent} {
			for _, count := range []int{1, 2} {
				for _, failing := range []float64{0, 0.25, 0.7} { // fraction of failing attempts at warm endpoints
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
