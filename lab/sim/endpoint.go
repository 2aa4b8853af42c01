package sim

import (
	"slices"
	"time"

	"ryerill/balancer"
	"ryerill/lab/scenario"
	"ryerill/lab/servermodel"
)

// endpoint is one machine with its process.
type endpoint struct {
	simulation *simulation
	tier       *tier
	id         balancer.EndpointID
	name       string
	zone       int
	group      int
	speed      float64

	machine      *servermodel.Server
	earlierWork  float64       // done by earlier processes
	process      int           // counts starts: what belongs to an earlier process is void
	running      bool          // the process runs
	startedAt    time.Duration // 0 if it has run since long ago
	wakeAt       time.Duration // when the machine's next job is due; 0 if no event is scheduled
	proxy        *proxy        // to the next tier; nil if there is none
	executions   []*execution
	lostAttempts []*attempt // that wait for a machine that went silent

	draining    bool
	silent      bool    // the machine can't be reached
	overloaded  bool    // was overloaded while cold
	corruptPart float64 // part of the responses that are corrupted
	errorPart   float64 // part of the requests that get an error at once
}

func (s *simulation) newEndpoint(t *tier, name string, zone, group int, speed float64) *endpoint {
	e := &endpoint{
		simulation: s, tier: t, id: scenario.EndpointID(name), name: name, zone: zone, group: group, speed: speed,
	}
	t.endpoints = append(t.endpoints, e)
	t.byID[e.id] = e
	return e
}

// start starts the process, cold unless it has run since long ago.
func (e *endpoint) start(warm bool) {
	if e.machine != nil {
		e.earlierWork += e.machine.Done()
	}
	e.process++
	e.running = true
	e.silent = false
	e.draining = false
	e.overloaded = false
	e.wakeAt = 0
	e.corruptPart = 0
	e.errorPart = 0
	e.machine = servermodel.New(&e.tier.spec.Machine, e.speed, e.simulation.now, warm)
	if !warm {
		e.startedAt = e.simulation.now
	}
}

// startProxy starts the process's proxy to the next tier, if there is one.
func (e *endpoint) startProxy() {
	next := e.tier.index + 1
	if next >= len(e.simulation.tiers) {
		return
	}
	index := slices.Index(e.tier.endpoints, e) % e.tier.spec.Endpoints
	e.proxy = e.simulation.newProxy(e.simulation.tiers[next], index, e.zone, e.name+"-proxy")
}

// stop ends the process at once, by a kill or because its machine went silent.
func (e *endpoint) stop(silent bool) {
	e.running = false
	e.silent = silent
	if e.proxy != nil {
		e.proxy.kill()
		e.proxy = nil
	}
	for len(e.executions) > 0 {
		ex := e.executions[len(e.executions)-1]
		e.remove(ex)
		if silent {
			e.lostAttempts = append(e.lostAttempts, ex.attempt)
		} else {
			ex.attempt.endLater(balancer.Reset)
		}
	}
}

// startAgain starts the next process, cold: what still waits for the silent machine is reset.
func (e *endpoint) startAgain() {
	e.start(false)
	e.startProxy()
	for _, a := range e.lostAttempts {
		a.endLater(balancer.Reset)
	}
	e.lostAttempts = nil
}

// receive receives an attempt's request on a connection to a process.
func (e *endpoint) receive(a *attempt, process int) {
	switch {
	case a.ended: // its proxy has given it up meanwhile: the connection breaks before the last byte
		return
	case e.silent:
		e.lostAttempts = append(e.lostAttempts, a)
		return
	case !e.running || process != e.process:
		a.endLater(balancer.Reset)
		return
	case e.draining:
		a.endLater(balancer.Rejected)
		return
	case e.errorPart > 0 && e.simulation.draws.work.Float64() < e.errorPart:
		a.endLater(balancer.Error)
		return
	}
	ex := e.newExecution(a)
	verdict := e.machine.Offer(e.simulation.now, &ex.Job)
	e.detectOverload()
	if verdict == servermodel.Rejected {
		a.endLater(balancer.Rejected)
	} else {
		a.execution = ex
		ex.position = len(e.executions)
		e.executions = append(e.executions, ex)
	}
	e.scheduleWake()
}

// detectOverload makes the endpoint silent once its machine was overloaded while cold.
func (e *endpoint) detectOverload() {
	if !e.machine.Overloaded() || e.overloaded {
		return
	}
	e.overloaded = true
	now := e.simulation.now
	cold := &e.tier.spec.Machine.Cold
	budget := cold.Tips * e.machine.Capacity(now) * e.machine.Rate() * cold.Within.Seconds()
	e.simulation.oracle.EndpointOverloaded(now, e.name, e.machine.Received, budget)
	e.stop(true)
}

// scheduleWake schedules an event for the machine's next job that is due.
func (e *endpoint) scheduleWake() {
	s := e.simulation
	at, ok := e.machine.Next()
	if !ok || e.wakeAt > s.now && e.wakeAt <= at {
		return
	}
	process := e.process
	e.wakeAt = at
	s.at(at, func() {
		if process != e.process || at != e.wakeAt || !e.running {
			return
		}
		e.wakeAt = 0
		for job := e.machine.Pop(s.now); job != nil; job = e.machine.Pop(s.now) {
			if ex, ok := job.Tag.(*execution); ok {
				e.completePhase(ex)
			}
		}
		e.scheduleWake()
	})
}

// reschedule discards the scheduled event, after a change of the machine's speed.
func (e *endpoint) reschedule() {
	e.wakeAt = 0
	e.scheduleWake()
}
