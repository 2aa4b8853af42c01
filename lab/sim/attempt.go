package sim

import (
	"time"

	"ryerill/balancer"
	"ryerill/lab/invariant"
)

// request is one request at one proxy.
type request struct {
	proxy       *proxy
	id          balancer.RequestID
	class       int
	tenant      int
	key         uint64
	work        float64 // over all tiers, in seconds of one core
	clientRetry bool
	deadline    time.Duration
	attempts    []*attempt
	inFlight    int     // attempts
	done        bool    // answered, or nobody waits any more
	usefulWork  float64 // work that went into the response
	reply       func(r *request, result invariant.Result, retryAfter time.Duration)
}

// attempt is one sending of a request to an endpoint.
type attempt struct {
	request    *request
	number     int       // among the request's attempts
	to         *endpoint // nil if the decider named an unknown one
	endpointID balancer.EndpointID
	process    int // of the endpoint, that the connection is to
	sentAt     time.Duration
	delay      time.Duration // one way
	connected  bool          // holds a connection
	ended      bool
	execution  *execution // nil while none is in work
	work       float64    // done for it
}

// finish marks a request as answered and has its reply called, never from within a decision.
func (r *request) finish(result invariant.Result, retryAfter time.Duration) {
	r.done = true
	reply := r.reply
	r.proxy.simulation.after(0, func() { reply(r, result, retryAfter) })
}

// clientLeft is called when nobody waits for a request any more.
func (r *request) clientLeft() {
	p := r.proxy
	if r.done || !p.alive {
		return
	}
	r.done = true
	p.simulation.oracle.ClientLeft(p.simulation.now, p.number, uint64(r.id))
	p.dispatch(balancer.Event{Kind: balancer.ClientLeft, Request: r.id})
	r.release()
}

// release drops a request that is done and has no attempt in flight.
func (r *request) release() {
	if r.done && r.inFlight == 0 {
		delete(r.proxy.requests, r.id)
	}
}

// send starts the attempt that the decider asks for.
func (p *proxy) send(action *balancer.Action) {
	s := p.simulation
	r := p.requests[action.Request]
	to := p.tier.byID[action.Endpoint]
	if to != nil {
		s.oracle.Sent(s.now, p.number, uint64(action.Request), invariant.Endpoint{
			ID: uint64(to.id), Name: to.name, Zone: to.zone, Group: to.group,
		})
	}
	if r == nil {
		return
	}
	a := &attempt{request: r, number: len(r.attempts), to: to, endpointID: action.Endpoint, sentAt: s.now}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if r.done || to == nil {
		s.after(0, func() { a.end(balancer.NotSent) })
		return
	}
	p.countAttempt(to)
	deadline := r.deadline
	if action.Timeout > 0 {
		deadline = min(deadline, s.now+action.Timeout)
	}
	s.at(deadline, func() {
		if !a.ended {
			a.cancel()
			a.end(balancer.Timeout)
		}
	})
	a.delay = s.delay(p.zone, to.zone)
	if process, ok := p.takeIdle(to); ok {
		a.process = process
		a.connected = true
		s.after(a.delay, func() { to.receive(a, process) })
		return
	}
	a.connect()
}

// countAttempt counts an attempt to an endpoint.
func (p *proxy) countAttempt(to *endpoint) {
	s := p.simulation
	s.recorder.Count("attempts", 1)
	if p.tier.index == len(s.tiers)-1 {
		s.recorder.Count("attempts_last", 1)
	}
	if p.tier.index == 0 {
		s.recorder.Count("attempts_first", 1)
		s.recorder.Attempt(s.now)
	}
	if to.zone != p.zone {
		s.recorder.Count("crossed", 1)
	}
}

// connect opens a connection for the attempt and sends its request.
func (a *attempt) connect() {
	s := a.request.proxy.simulation
	to := a.to
	spec := &to.tier.spec.Machine.Connect
	a.process = to.process
	s.recorder.Count("opened", 1)
	switch {
	case to.silent:
		s.after(spec.Timeout, func() { a.end(balancer.ConnectFailed) })
	case !to.running || to.machine.OpenConnections >= spec.Most:
		s.after(2*a.delay, func() { a.end(balancer.ConnectFailed) })
	default:
		process := to.process
		machine := to.machine
		machine.OpenConnections++
		a.connected = true
		s.after(a.delay, func() {
			if process == to.process && to.running {
				machine.Extra(s.now, spec.Work.Seconds())
				to.detectOverload()
				to.scheduleWake()
			}
		})
		setUp := time.Duration(2 * spec.Trips * float64(a.delay))
		s.after(a.delay+setUp, func() { to.receive(a, process) })
	}
}

// endLater ends the attempt once the endpoint's response has travelled.
func (a *attempt) endLater(outcome balancer.Outcome) {
	a.request.proxy.simulation.after(a.delay, func() { a.end(outcome) })
}

// cancel notifies the endpoint that nobody waits for the attempt.
func (a *attempt) cancel() {
	process := a.process
	a.request.proxy.simulation.after(a.delay, func() { a.to.cancel(a, process) })
}

// abandon ends an attempt whose proxy has been killed.
func (a *attempt) abandon() {
	if a.ended {
		return
	}
	a.ended = true
	if a.connected {
		a.releaseConnection(false)
	}
	if a.to != nil {
		a.cancel()
	}
}

// end records how an attempt ended. The first response that served the request is passed on at once.
func (a *attempt) end(outcome balancer.Outcome) {
	r := a.request
	p := r.proxy
	s := p.simulation
	if a.ended || !p.alive {
		return
	}
	a.ended = true
	r.inFlight--
	if a.connected {
		a.releaseConnection(outcome == balancer.OK || outcome == balancer.Error || outcome == balancer.Rejected)
	}
	s.oracle.Ended(s.now, p.number, uint64(r.id), a.number, outcome.NeverRan())
	if outcome == balancer.OK && !r.done {
		r.usefulWork = a.work
		s.oracle.Answered(s.now, p.number, uint64(r.id), invariant.Served, uint64(a.endpointID))
		r.finish(invariant.Served, 0)
	}
	p.dispatch(balancer.Event{
		Kind: balancer.AttemptEnded, Request: r.id, Attempt: a.number, Endpoint: a.endpointID, Outcome: outcome,
		RequestClosed: r.done, Elapsed: s.now - a.sentAt,
	})
	r.release()
}
