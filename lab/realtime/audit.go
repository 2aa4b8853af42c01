package realtime

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"ryerill/lab/invariant"
	"ryerill/lab/load"
	"ryerill/lab/metrics"
	"ryerill/lab/scenario"
)

// maxLateness is the generator's own lateness, 99th percentile, above which a run is void.
const maxLateness = 25 * time.Millisecond

// audit records what the parties of a run do, for its result, its oracle and those who watch. It is safe for
// concurrent use.
type audit struct {
	scenario *scenario.Scenario
	onReport func(Progress) // nil if nobody watches

	mu              sync.Mutex // guards the fields below; never held while anything blocks
	began           time.Time  // time 0 of the scenario
	recorder        *metrics.Recorder
	oracle          *invariant.Checker
	proxyNames      []string          // by the proxy's number
	proxyZones      []int             // by the proxy's number
	executedBy      map[uint64]string // the endpoint that executed a request, by the request's id
	lateness        []time.Duration   // of the generator
	progress        Progress
	recentLatencies []time.Duration // since the last periodic report
}

func newAudit(sc *scenario.Scenario, began time.Time, onReport func(Progress)) *audit {
	a := &audit{
		scenario:   sc,
		onReport:   onReport,
		began:      began,
		recorder:   metrics.New(sc),
		executedBy: map[uint64]string{},
	}
	a.oracle = invariant.New(invariant.Config{
		Slack:   sc.Rules.Slack + socketSlack,
		Grace:   sc.Rules.Drain + socketSlack,
		Classes: sc.Balancer(0, 0, 0).Classes,
		Name:    func(number int) string { return a.proxyNames[number] },
	})
	return a
}

// begin sets the time 0 of the scenario.
func (a *audit) begin(began time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.began = began
}

// addProxy adds a proxy and returns its number, which is never used twice.
func (a *audit) addProxy(name string, zone int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.proxyNames = append(a.proxyNames, name)
	a.proxyZones = append(a.proxyZones, zone)
	return len(a.proxyNames) - 1
}

// count adds to a counter of the result.
func (a *audit) count(name string, n float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recorder.Count(name, n)
}

// received records that a proxy receives a request, which must be answered within timeout.
func (a *audit) received(proxy int, id uint64, class int, at time.Time, timeout time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	when := at.Sub(a.began)
	a.oracle.Accepted(when, proxy, id, class, when+timeout)
}

// attempted records an attempt that reached an endpoint and returns its number among the request's attempts.
func (a *audit) attempted(proxy int, id uint64, e *endpoint, at time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	when := at.Sub(a.began)
	a.recorder.Count("attempts", 1)
	if proxy < a.scenario.Tiers[0].Proxies {
		a.recorder.Count("attempts_first", 1)
		a.recorder.Attempt(when)
	}
	// The number stands in the request's id, which the proxy under test may have garbled.
	if proxy < len(a.proxyZones) && a.proxyZones[proxy] != e.zone {
		a.recorder.Count("crossed", 1)
	}
	return a.oracle.Sent(when, proxy, id, invariant.Endpoint{
		ID: uint64(scenario.EndpointID(e.name)), Name: e.name, Zone: e.zone, Group: e.group,
	})
}

// rejected records that an endpoint rejected an attempt without executing it.
func (a *audit) rejected(proxy int, id uint64, attempt int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.oracle.Ended(time.Since(a.began), proxy, id, attempt, true)
}

// executed records which endpoint executed a request.
func (a *audit) executed(id uint64, endpoint string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.executedBy[id] = endpoint
}

// started records a first try and how late the generator was with it.
func (a *audit) started(lateness time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lateness = append(a.lateness, lateness)
	a.recorder.Count("first_tries", 1)
	a.progress.Sent++
}

// finished records what has become of a request in the end.
func (a *audit) finished(scheduled *load.Request, outcome metrics.Outcome, usefulWork float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	latency := time.Since(a.began) - scheduled.At
	a.recorder.Final(scheduled, outcome, latency)
	switch outcome {
	case metrics.OnTime, metrics.Late:
		a.recorder.Count("work_useful", usefulWork)
		a.progress.Served++
		a.recentLatencies = append(a.recentLatencies, latency)
	case metrics.Shed:
		a.progress.Shed++
	default:
		a.progress.Failed++
	}
}

// listed records that discovery has notified a proxy of an endpoint.
func (a *audit) listed(proxy int, endpoint string, ready bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.oracle.EndpointUpdated(time.Since(a.began), proxy, uint64(scenario.EndpointID(endpoint)), ready)
}

// overloaded records that an endpoint was overloaded while cold.
func (a *audit) overloaded(endpoint string, received, budget float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.oracle.EndpointOverloaded(time.Since(a.began), endpoint, received, budget)
}

// died records that a proxy was killed: it owes no responses.
func (a *audit) died(proxy int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.oracle.ProxyKilled(proxy)
}

// answered records what came back for a request; left reports whether the client has left.
func (a *audit) answered(proxy int, id uint64, answer response, err error, left bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Since(a.began)
	defer delete(a.executedBy, id)
	if err != nil {
		// No response: if its time is over, that is a violation, which Left reports. A proxy that was ended or
		// never received the request owes nothing.
		if errors.Is(err, errUnreachable) || !left && !isTimeout(err) {
			a.oracle.Forget(proxy, id)
			return
		}
		a.oracle.ClientLeft(now, proxy, id)
		return
	}
	switch answer.status {
	case http.StatusOK:
		if !a.isGenuine(id, answer.body) {
			a.oracle.ServedCorrupt(now, proxy, id, fmt.Sprintf("%.60q, which no provider made for it", answer.body))
		}
		a.oracle.Answered(now, proxy, id, invariant.Served, 0)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		a.oracle.Answered(now, proxy, id, invariant.Shed, 0)
	default:
		a.oracle.Answered(now, proxy, id, invariant.Failed, 0)
	}
}

// isGenuine reports whether a body is what an endpoint made for the request; mu is held.
func (a *audit) isGenuine(id uint64, body string) bool {
	endpoint := a.executedBy[id]
	return endpoint != "" && strings.HasPrefix(body, fmt.Sprintf("%016x %s ", id, endpoint))
}

// report reports the progress to those who watch; event is what has happened, or empty for a periodic report.
func (a *audit) report(event string) {
	if a.onReport == nil {
		return
	}
	a.mu.Lock()
	progress := a.progress
	progress.At = time.Since(a.began)
	progress.Event = event
	slices.Sort(a.recentLatencies)
	if n := len(a.recentLatencies); n > 0 {
		progress.P50 = a.recentLatencies[(n-1)/2]
		progress.P95 = a.recentLatencies[(n-1)*95/100]
	}
	if event == "" {
		a.recentLatencies = a.recentLatencies[:0]
	}
	progress.Violations = a.oracle.ViolationCount()
	a.mu.Unlock()
	a.onReport(progress)
}

// result sums up a run that has ended.
func (a *audit) result(end time.Duration) *metrics.Result {
	a.mu.Lock()
	defer a.mu.Unlock()
	lateness := a.countLateness()
	violations, counts := a.oracle.Finish(end)
	result := a.recorder.Result(violations, counts)
	if lateness > maxLateness {
		result.Void = fmt.Sprintf("the generator was late itself: 99th percentile %v, at most %v wanted; "+
			"the machine is too busy", lateness.Round(time.Microsecond), maxLateness)
	}
	return result
}

// countLateness counts how late the generator was and returns the 99th percentile; mu is held.
func (a *audit) countLateness() time.Duration {
	n := len(a.lateness)
	if n == 0 {
		return 0
	}
	slices.Sort(a.lateness)
	p99 := a.lateness[(n-1)*99/100]
	a.recorder.Count("generator_late_p99_ms", p99.Seconds()*1e3)
	a.recorder.Count("generator_late_most_ms", a.lateness[n-1].Seconds()*1e3)
	return p99
}
