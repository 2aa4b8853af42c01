package realtime

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"ryerill/balancer"
	"ryerill/lab/load"
	"ryerill/lab/metrics"
	"ryerill/lab/scenario"
)

// noZone is the zone of clients, which are in none.
const noZone = -1

// frontProxy returns the next front proxy for a client of a zone: one of its zone, or any if there is none there.
func (r *run) frontProxy(zone int) *instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, anyZone := range []bool{false, true} {
		for range r.front {
			r.nextFront[zone]++
			slot := r.front[r.nextFront[zone]%len(r.front)]
			if slot.proxy != nil && (anyZone || slot.zone == zone) {
				return slot.proxy
			}
		}
	}
	return nil
}

// tryResult is how one try of a client ended.
type tryResult struct {
	outcome    metrics.Outcome
	retryable  bool          // another try is harmless
	wait       time.Duration // before the next try
	usefulWork float64       // work that went into the response
}

// send sends a scheduled request with all its retries, as its client does.
func (r *run) send(ctx context.Context, scheduled *load.Request) {
	class := &r.scenario.Classes[scheduled.Class]
	r.audit.started(time.Since(r.began) - scheduled.At)
	deadline := r.began.Add(scheduled.At + class.Deadline)
	for number := 1; ; number++ {
		result := r.try(ctx, scheduled, deadline, number)
		if result.outcome <= metrics.Late {
			r.audit.finished(scheduled, result.outcome, result.usefulWork)
			return
		}
		if !result.retryable || number > r.scenario.Clients.Retries ||
			time.Now().Add(result.wait).After(deadline) || ctx.Err() != nil {
			r.audit.finished(scheduled, result.outcome, 0)
			return
		}
		time.Sleep(result.wait)
	}
}

// try sends a request once.
func (r *run) try(ctx context.Context, scheduled *load.Request, deadline time.Time, number int) tryResult {
	class := &r.scenario.Classes[scheduled.Class]
	wait := r.scenario.Clients.Wait
	began := time.Now()
	timeout := min(time.Duration(r.scenario.Clients.Try*float64(class.Deadline)), deadline.Sub(began))
	r.audit.count("tries", 1)
	if timeout <= 0 {
		return tryResult{outcome: metrics.TimedOut, wait: wait}
	}
	proxy := r.frontProxy(scheduled.Zone)
	if proxy == nil {
		return tryResult{outcome: metrics.Failed, retryable: true, wait: wait}
	}
	delay := r.delay(noZone, 0)
	time.Sleep(delay())
	id := r.newID(proxy.number)
	sent := time.Now()
	r.audit.received(proxy.number, id, scheduled.Class, sent, timeout)
	request := formatRequest(&requestHeader{
		class: class.Name, effect: class.EffectKind(), id: id, tenant: r.scenario.Tenants[scheduled.Tenant].Name,
		timeout: timeout, key: scheduled.Key, work: scheduled.Work, retry: number > 1,
	})
	answer, err := proxy.transport.roundTrip(ctx, proxy.address, request, sent.Add(timeout+r.responseSlack()))
	r.audit.answered(proxy.number, id, answer, err, ctx.Err() != nil)
	if err != nil {
		return failedTry(err, repeatable(class), wait)
	}
	time.Sleep(delay())
	if time.Since(began) > timeout { // by its own clock the client has given this try up
		return tryResult{outcome: metrics.TimedOut, retryable: repeatable(class), wait: wait}
	}
	return r.answeredTry(scheduled, &answer)
}

// failedTry is the result of a try without a response.
func failedTry(err error, repeatable bool, wait time.Duration) tryResult {
	switch {
	case errors.Is(err, errUnreachable):
		return tryResult{outcome: metrics.Failed, retryable: true, wait: wait}
	case isTimeout(err):
		return tryResult{outcome: metrics.TimedOut, retryable: repeatable, wait: wait}
	}
	return tryResult{outcome: metrics.Failed, retryable: repeatable, wait: wait}
}

// answeredTry is the result of a try that was answered.
func (r *run) answeredTry(scheduled *load.Request, answer *response) tryResult {
	class := &r.scenario.Classes[scheduled.Class]
	wait := r.scenario.Clients.Wait
	switch answer.status {
	case http.StatusOK:
		outcome := metrics.Late
		if time.Since(r.began)-scheduled.At <= class.LatencyObjective {
			outcome = metrics.OnTime
		}
		return tryResult{outcome: outcome, usefulWork: parseWork(answer.body)}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return tryResult{outcome: metrics.Shed, retryable: true, wait: r.shedWait(answer.retryAfter)}
	}
	return tryResult{outcome: metrics.Failed, retryable: repeatable(class), wait: wait}
}

// shedWait counts a shed try and returns the wait before the next: as Retry-After asks, if the client honours it.
func (r *run) shedWait(retryAfter time.Duration) time.Duration {
	r.audit.count("refusals", 1)
	if retryAfter > 0 && r.draws.client() < r.scenario.Clients.Honour {
		return min(retryAfter, r.scenario.Rules.MaxRetryAfter)
	}
	return r.scenario.Clients.Wait
}

// repeatable reports whether a client may repeat a request of a class that may have been executed.
func repeatable(class *scenario.Class) bool {
	return class.Effect == "safe" || class.Effect == "keyed" && class.Group == "all"
}

// requestHeader is what a request states in its line and headers.
type requestHeader struct {
	class   string
	effect  balancer.Effect
	id      uint64
	tenant  string
	timeout time.Duration
	key     uint64
	work    float64 // of the request, over all tiers; seconds of one core
	retry   bool
}

// formatRequest writes a request as the published protocol does.
func formatRequest(h *requestHeader) string {
	method := "GET"
	rest := "\r\n"
	if h.effect != balancer.Safe {
		method = "POST"
		rest = fmt.Sprintf("Idempotency-Key: %016x\r\nContent-Length: 2\r\n\r\nok", h.key)
	}
	retry := ""
	if h.retry {
		retry = "Req-Retry: 1\r\n"
	}
	return fmt.Sprintf("%s /%s/%x?w=%.9f HTTP/1.1\r\nHost: lab.svc\r\n"+
		"Req-Id: %016x\r\nReq-Kind: %s\r\nReq-Owner: %s\r\nReq-Deadline-Ms: %d\r\n%s%s",
		method, h.class, h.id, h.work, h.id, h.class, h.tenant, max(h.timeout.Milliseconds(), 1), retry, rest)
}
