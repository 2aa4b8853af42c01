package sim

import (
	"time"

	"ryerill/balancer"
	"ryerill/lab/invariant"
	"ryerill/lab/load"
	"ryerill/lab/servermodel"
)

// execution is an attempt's request in work at an endpoint: phases on the machine's cores, with calls to the next
// tier between them.
type execution struct {
	servermodel.Job
	attempt   *attempt
	position  int      // in the endpoint's executions
	phaseWork float64  // of each phase
	callsLeft int      // to the next tier
	call      *request // in flight to the next tier, or nil
}

// newExecution draws the calls of an execution and splits its work into phases.
func (e *endpoint) newExecution(a *attempt) *execution {
	spec := e.tier.spec
	ex := &execution{attempt: a}
	if e.tier.index+1 < len(e.simulation.tiers) {
		ex.callsLeft = load.Calls(e.simulation.draws.work, spec.Calls)
	}
	ex.phaseWork = a.request.work * spec.Work / float64(ex.callsLeft+1)
	ex.Left = ex.phaseWork
	ex.Tag = ex
	return ex
}

// completePhase goes on once an execution's work on the cores is done: with the next call, or the response.
func (e *endpoint) completePhase(ex *execution) {
	ex.attempt.work += ex.phaseWork
	if ex.callsLeft > 0 && e.proxy != nil {
		ex.callsLeft--
		e.callNextTier(ex)
		return
	}
	e.remove(ex)
	ex.attempt.endLater(e.drawOutcome())
}

// drawOutcome draws how an executed request is answered.
func (e *endpoint) drawOutcome() balancer.Outcome {
	draw := e.simulation.draws.work.Float64()
	errorPart := e.tier.spec.Machine.Errors
	switch {
	case draw < errorPart:
		return balancer.Error
	case draw < errorPart+e.corruptPart:
		e.simulation.recorder.Count("spoilt", 1)
		return balancer.Reset
	}
	return balancer.OK
}

// callNextTier makes an execution's next call, through the endpoint's own proxy.
func (e *endpoint) callNextTier(ex *execution) {
	s := e.simulation
	caller := ex.attempt.request
	timeout := s.scenario.Classes[caller.class].Deadline
	if s.scenario.Rules.PassDeadline {
		timeout = max(caller.deadline-s.now, 0)
	}
	process := e.process
	ex.call = e.proxy.accept(&request{
		class:    caller.class,
		tenant:   caller.tenant,
		key:      s.newCallKey(caller),
		work:     caller.work,
		deadline: s.now + timeout,
		reply: func(call *request, result invariant.Result, _ time.Duration) {
			if process != e.process || ex.call != call {
				return
			}
			ex.call = nil
			if result != invariant.Served {
				e.remove(ex)
				ex.attempt.endLater(balancer.Error)
				e.scheduleWake()
				return
			}
			ex.attempt.work += call.usefulWork
			ex.Left = ex.phaseWork
			e.machine.Resume(s.now, &ex.Job)
			e.scheduleWake()
		},
	})
}

// newCallKey gives each call to the next tier an idempotency key of its own.
func (s *simulation) newCallKey(caller *request) uint64 {
	s.lastCallKey++
	return caller.key ^ s.lastCallKey<<20 | 1
}

// remove takes an execution off the machine, with the call that it has in flight.
func (e *endpoint) remove(ex *execution) {
	e.machine.End(e.simulation.now, &ex.Job)
	last := len(e.executions) - 1
	e.executions[ex.position] = e.executions[last]
	e.executions[ex.position].position = ex.position
	e.executions[last] = nil
	e.executions = e.executions[:last]
	ex.attempt.execution = nil
	if call := ex.call; call != nil {
		ex.call = nil
		call.clientLeft()
	}
}

// cancel is called when the proxy no longer waits for an attempt: what a cancel stops is removed.
func (e *endpoint) cancel(a *attempt, process int) {
	ex := a.execution
	if ex == nil || process != e.process || !e.running {
		return
	}
	if ex.Queued() || e.tier.spec.Machine.Cancel == "all" {
		e.remove(ex)
		e.scheduleWake()
	}
}
