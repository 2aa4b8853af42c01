package realtime

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// executionResult is how the execution of a request ended.
type executionResult int

const (
	executionDone    executionResult = iota
	executionFailed                  // a call to the next tier failed
	executionAborted                 // the proxy cancelled it, or the process ended
)

// execution is a request in work: phases on the machine's cores, with calls to the next tier between them.
type execution struct {
	connection *connection
	request    *receivedRequest
	task       task
	work       float64 // of the request, over all tiers
	phaseWork  float64 // of each phase
	callsLeft  int
	workDone   float64   // here and by the next tier
	deadline   time.Time // as the request states it
	orphaned   bool      // the proxy has left, and what runs, runs on
}

func (c *connection) newExecution(request *receivedRequest, work float64) *execution {
	e := c.process.endpoint
	calls := 0
	if e.run.scenario.NextTier(e.tier) >= 0 {
		calls = e.run.draws.calls(e.spec().Calls)
	}
	deadlineMS, _ := strconv.ParseFloat(request.Header.Get("Req-Deadline-Ms"), 64) // 0 if it states none
	ex := &execution{
		connection: c,
		request:    request,
		work:       work,
		phaseWork:  work * e.spec().Work / float64(calls+1),
		callsLeft:  calls,
		deadline:   request.at.Add(time.Duration(deadlineMS * float64(time.Millisecond))),
	}
	ex.task.Left = ex.phaseWork
	return ex
}

// run waits for the phases and makes the calls between them. The machine has accepted the task.
func (ex *execution) run() executionResult {
	proc := ex.connection.process
	defer proc.machine.end(&ex.task)
	for {
		if !ex.awaitPhase() {
			return executionAborted
		}
		ex.workDone += ex.phaseWork
		if ex.callsLeft == 0 {
			return executionDone
		}
		ex.callsLeft--
		usefulWork, ok := ex.callNextTier()
		if !ok {
			return executionFailed
		}
		ex.workDone += usefulWork
		proc.machine.resume(&ex.task, ex.phaseWork)
	}
}

// cancelsRunning reports whether a cancel stops running work too.
func (ex *execution) cancelsRunning() bool {
	return ex.connection.process.endpoint.spec().Machine.Cancel == "all"
}

// awaitPhase waits for the end of a phase and returns false if the execution is aborted.
func (ex *execution) awaitPhase() bool {
	proc := ex.connection.process
	for {
		peerClosed := ex.connection.peerClosed
		if ex.orphaned {
			peerClosed = nil
		}
		select {
		case <-ex.task.done:
			return true
		case <-peerClosed:
			if proc.machine.isQueued(&ex.task) || ex.cancelsRunning() {
				return false
			}
			ex.orphaned = true
		case <-proc.ended:
			return false
		}
	}
}

// callNextTier makes a call to the next tier through the endpoint's own proxy and returns the work that went into
// the response.
func (ex *execution) callNextTier() (usefulWork float64, ok bool) {
	e := ex.connection.process.endpoint
	run := e.run
	className := ex.request.Header.Get("Req-Kind")
	class := run.classIndex(className)
	proxy := e.nextProxy()
	if class < 0 || proxy == nil {
		return 0, false
	}
	now := time.Now()
	timeout := run.scenario.Classes[class].Deadline
	if run.scenario.Rules.PassDeadline {
		timeout = ex.deadline.Sub(now)
	}
	if timeout <= 0 {
		return 0, false
	}
	id := run.newID(proxy.number)
	ctx, stop := ex.callContext()
	defer stop()
	run.audit.received(proxy.number, id, class, now, timeout)
	request := formatRequest(&requestHeader{
		class: className, effect: run.scenario.Classes[class].EffectKind(), id: id,
		tenant: ex.request.Header.Get("Req-Owner"), timeout: timeout, key: rand.Uint64(), work: ex.work,
	})
	answer, err := proxy.transport.roundTrip(ctx, proxy.address, request, now.Add(timeout+run.responseSlack()))
	run.audit.answered(proxy.number, id, answer, err, ctx.Err() != nil)
	if err != nil || answer.status != http.StatusOK {
		return 0, false
	}
	return parseWork(answer.body), true
}

// callContext returns a context that ends with the process and, if a cancel stops running work, with the connection.
// stop ends it and waits for its goroutine.
func (ex *execution) callContext() (ctx context.Context, stop func()) {
	var peerClosed <-chan struct{}
	if ex.cancelsRunning() {
		peerClosed = ex.connection.peerClosed
	}
	ctx, cancel := context.WithCancel(context.Background())
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		select {
		case <-peerClosed:
			cancel()
		case <-ex.connection.process.ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		cancel()
		<-watcherDone
	}
}

// parseWork reads the work that a stand-in states in its response; 0 if it states none.
func parseWork(body string) float64 {
	fields := strings.Fields(body)
	if len(fields) != 3 {
		return 0
	}
	work, _ := strconv.ParseFloat(fields[2], 64) // 0 if it isn't a number
	return work
}
