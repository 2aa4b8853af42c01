package baseline

import (
	"math/rand/v2"
	"slices"
	"time"

	"ryerill/balancer"
)

const (
	// maxAttempts is how often a textbook proxy sends a request: with one retry, the default of the field's proxies.
	maxAttempts = 2

	// retryAfter is what a textbook proxy asks clients to wait for, at most.
	retryAfter = time.Second

	// The time until discovery is subscribed to again is drawn from 0.2 to 1.2 times resubscribeDelay.
	resubscribeDelay  = 200 * time.Millisecond
	minResubscribe    = 0.2
	idempotencyMargin = 10 // a tenth of a class's idempotency window is left for the way to the endpoint
)

// request is a request that was not answered, or that has an attempt in flight.
type request struct {
	class      int
	until      time.Duration
	tried      []*endpoint // by attempt
	executedOn *endpoint   // where it may have run first; nil if nowhere
	executedAt time.Duration
	sentAt     time.Duration // of the latest attempt
	inFlight   bool          // the latest attempt has not ended
	answered   bool
}

// textbook is one picker with one limit and plain retries: at once, at another endpoint, as often as allowed.
type textbook struct {
	config        balancer.Config
	limiter       limiter
	rng           *rand.Rand
	picker        string
	next          int // of the round robin
	endpoints     endpointList
	requests      map[balancer.RequestID]*request
	inFlight      int
	resubscribing bool // a timer to subscribe again is set
}

var _ ConcurrencyReporter = (*textbook)(nil)

// Concurrency implements ConcurrencyReporter.
func (t *textbook) Concurrency() (limit float64, inFlight int) { return t.limiter.limit(), t.inFlight }

// Handle takes one event and appends what is to be done, as a balancer.Balancer does.
func (t *textbook) Handle(now time.Duration, event balancer.Event, out []balancer.Action) []balancer.Action {
	switch event.Kind {
	case balancer.EndpointListUpdated:
		return t.updateEndpoints(&event, out)
	case balancer.RequestArrived:
		return t.arrive(now, &event, out)
	case balancer.AttemptEnded:
		return t.endAttempt(now, &event, out)
	case balancer.ClientLeft:
		return t.leave(event.Request, out)
	case balancer.TimerFired:
		if t.resubscribing {
			t.resubscribing = false
			return append(out, balancer.Action{Kind: balancer.Subscribe, Enabled: true})
		}
	}
	return out
}

// updateEndpoints takes a list. A list that failed, or came without changes to follow, is subscribed to again soon.
func (t *textbook) updateEndpoints(event *balancer.Event, out []balancer.Action) []balancer.Action {
	isFollowed := event.ListKind == balancer.ListFull || event.ListKind == balancer.ListChanges
	if !isFollowed && !t.resubscribing {
		t.resubscribing = true
		delay := time.Duration((minResubscribe + t.rng.Float64()) * float64(resubscribeDelay))
		out = append(out, balancer.Action{Kind: balancer.SetTimer, Delay: delay})
	}
	if event.ListKind == balancer.ListFailed {
		return out
	}
	t.endpoints.apply(event.Endpoints, event.ListKind != balancer.ListChanges)
	t.limiter.setReady(t.endpoints.ready())
	return out
}

func (t *textbook) arrive(now time.Duration, event *balancer.Event, out []balancer.Action) []balancer.Action {
	r := &request{
		class: min(max(event.Class, 0), len(t.config.Classes)-1),
		until: now + event.Remaining,
	}
	t.requests[event.Request] = r
	limit := t.limiter.limit()
	if limit > 0 && float64(t.inFlight) >= limit {
		return t.reject(event.Request, r, out)
	}
	return t.send(now, event.Request, r, out)
}

// leave takes that the client of a request has left.
func (t *textbook) leave(id balancer.RequestID, out []balancer.Action) []balancer.Action {
	r := t.requests[id]
	if r == nil {
		return out
	}
	r.answered = true
	if r.inFlight && t.config.Limits.AllowCancel {
		out = append(out, balancer.Action{Kind: balancer.Cancel, Request: id, Attempt: len(r.tried) - 1})
	}
	t.release(id, r)
	return out
}

// send sends an attempt, or rejects the request if no endpoint may have it or its time is over.
func (t *textbook) send(
	now time.Duration, id balancer.RequestID, r *request, out []balancer.Action,
) []balancer.Action {
	chosen := t.pick(now, r)
	if chosen == nil || now >= r.until {
		return t.reject(id, r, out)
	}
	r.tried = append(r.tried, chosen)
	r.inFlight = true
	r.sentAt = now
	chosen.inFlight++
	t.inFlight++
	return append(out, balancer.Action{
		Kind:     balancer.Send,
		Request:  id,
		Endpoint: chosen.ID,
		Timeout:  r.until - now,
	})
}

// endAttempt takes the end of an attempt, and retries the request if it failed and its class allows that.
func (t *textbook) endAttempt(now time.Duration, event *balancer.Event, out []balancer.Action) []balancer.Action {
	r := t.requests[event.Request]
	if r == nil || !r.inFlight || event.Attempt != len(r.tried)-1 {
		return out
	}
	served := event.Outcome == balancer.OK
	used := r.tried[event.Attempt]
	t.limiter.ended(event.Elapsed, t.inFlight, served)
	used.inFlight--
	t.inFlight--
	r.inFlight = false
	if !event.Outcome.NeverRan() && r.executedOn == nil {
		r.executedOn = used
		r.executedAt = r.sentAt
	}
	if event.RequestClosed || r.answered || served {
		r.answered = true
		t.release(event.Request, r)
		return out
	}
	mayRepeat := r.executedOn == nil || t.config.Classes[r.class].Effect != balancer.Unsafe
	if mayRepeat && len(r.tried) < min(maxAttempts, max(t.config.Limits.MaxAttempts, 1)) {
		return t.send(now, event.Request, r, out)
	}
	return t.reject(event.Request, r, out)
}

// reject answers a request that is not sent (again): it is shed if its client may retry, and failed otherwise.
func (t *textbook) reject(id balancer.RequestID, r *request, out []balancer.Action) []balancer.Action {
	answer := balancer.Action{Kind: balancer.Fail, Request: id}
	class := &t.config.Classes[r.class]
	clientMayRetry := r.executedOn == nil || class.Effect == balancer.Safe ||
		class.Effect == balancer.Keyed && class.Group == balancer.GroupAll
	if clientMayRetry {
		answer.Kind = balancer.Shed
		if t.config.Tier == 0 && t.config.Limits.SendRetryAfter {
			answer.RetryAfter = min(retryAfter, t.config.Limits.MaxRetryAfter)
		}
	}
	r.answered = true
	t.release(id, r)
	return append(out, answer)
}

// release drops a request that was answered and has no attempt in flight.
func (t *textbook) release(id balancer.RequestID, r *request) {
	if r.answered && !r.inFlight {
		delete(t.requests, id)
	}
}

// pick chooses one of the endpoints that may have a request; nil if there is none.
func (t *textbook) pick(now time.Duration, r *request) *endpoint {
	candidates := slices.DeleteFunc(slices.Clone(t.endpoints.all), func(e *endpoint) bool {
		return !t.mayUse(now, r, e)
	})
	if len(candidates) == 0 {
		return nil
	}
	switch t.picker {
	case roundRobin:
		t.next++
		return candidates[t.next%len(candidates)]
	case leastInFlight:
		return t.pickLeast(candidates)
	case powerOfTwoChoice:
		first := candidates[t.rng.IntN(len(candidates))]
		second := candidates[t.rng.IntN(len(candidates))]
		if second.inFlight < first.inFlight {
			return second
		}
		return first
	}
	return candidates[t.rng.IntN(len(candidates))]
}

// pickLeast chooses an endpoint with the fewest attempts in flight: of several the first one from a random place on.
func (t *textbook) pickLeast(candidates []*endpoint) *endpoint {
	start := t.rng.IntN(len(candidates))
	best := candidates[start]
	for i := range candidates {
		candidate := candidates[(start+i)%len(candidates)]
		if candidate.inFlight < best.inFlight {
			best = candidate
		}
	}
	return best
}

// mayUse reports whether an endpoint may have a request: it is ready, it has not had the request before, and the class
// allows it after an attempt that may have run.
func (t *textbook) mayUse(now time.Duration, r *request, e *endpoint) bool {
	if e.State != balancer.Ready || slices.Contains(r.tried, e) {
		return false
	}
	class := &t.config.Classes[r.class]
	if r.executedOn == nil || class.Effect == balancer.Safe {
		return true
	}
	window := class.IdempotencyWindow * (idempotencyMargin - 1) / idempotencyMargin
	if class.Effect == balancer.Unsafe || now-r.executedAt >= window {
		return false
	}
	switch class.Group {
	case balancer.GroupAll:
		return true
	case balancer.GroupZone:
		return e.Zone == r.executedOn.Zone
	case balancer.GroupCell:
		return e.Cell == r.executedOn.Cell
	}
	return false
}
