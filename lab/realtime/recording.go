package realtime

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"ryerill/lab/invariant"
	"ryerill/lab/metrics"
	"ryerill/lab/scenario"
)

// maxLateness is the generator's own lateness, 99th percentile, above which a run is void.
const maxLateness = 25 * time.Millisecond

// count adds to a counter of the result.
func (r *run) count(name string, n float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorder.Count(name, n)
}

// recordReceived records that a proxy receives a request, which must be answered within timeout.
func (r *run) recordReceived(proxy int, id uint64, class int, at time.Time, timeout time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	when := at.Sub(r.began)
	r.oracle.Took(when, proxy, id, class, when+timeout)
}

// recordAttempt records an attempt that reached an endpoint and returns its number among the request's attempts.
func (r *run) recordAttempt(proxy int, id uint64, e *endpoint, at time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	when := at.Sub(r.began)
	r.recorder.Count("attempts", 1)
	if proxy < r.scenario.Tiers[0].Proxies {
		r.recorder.Count("attempts_first", 1)
		r.recorder.Attempt(when)
	}
	// The number stands in the request's id, which the proxy under test may have garbled.
	if proxy < len(r.proxyZones) && r.proxyZones[proxy] != e.zone {
		r.recorder.Count("crossed", 1)
	}
	return r.oracle.Sent(when, proxy, id, invariant.Endpoint{
		ID: uint64(scenario.EndpointID(e.name)), Name: e.name, Zone: e.zone, Group: e.group,
	})
}

// recordRejected records that an endpoint rejected an attempt without executing it.
func (r *run) recordRejected(proxy int, id uint64, attempt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.oracle.Ended(time.Since(r.began), proxy, id, attempt, true)
}

// recordExecuted records which endpoint executed a request.
func (r *run) recordExecuted(id uint64, endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executedBy[id] = endpoint
}

// recordListed records that discovery has notified a proxy of an endpoint.
func (r *run) recordListed(proxy int, endpoint string, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.oracle.Told(time.Since(r.began), proxy, uint64(scenario.EndpointID(endpoint)), ready)
}

// recordOverload records that an endpoint was overloaded while cold.
func (r *run) recordOverload(endpoint string, received, budget float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.oracle.Tipped(time.Since(r.began), endpoint, received, budget)
}

// recordDied records that a proxy was killed: it owes no responses.
func (r *run) recordDied(proxy int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.oracle.Died(proxy)
}

// recordAnswered records what came back for a request; left reports whether the client has left.
func (r *run) recordAnswered(proxy int, id uint64, answer response, err error, left bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Since(r.began)
	defer delete(r.executedBy, id)
	if err != nil {
		// No response: if its time is over, that is a violation, which Left reports. A proxy that was ended or
		// never received the request owes nothing.
		if errors.Is(err, errUnreachable) || !left && !isTimeout(err) {
			r.oracle.Forget(proxy, id)
			return
		}
		r.oracle.Left(now, proxy, id)
		return
	}
	switch answer.status {
	case http.StatusOK:
		if !r.isGenuine(id, answer.body) {
			r.oracle.Spoilt(now, proxy, id, fmt.Sprintf("%.60q, which no provider made for it", answer.body))
		}
		r.oracle.Answered(now, proxy, id, invariant.Served, 0)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		r.oracle.Answered(now, proxy, id, invariant.Shed, 0)
	default:
		r.oracle.Answered(now, proxy, id, invariant.Failed, 0)
	}
}

// isGenuine reports whether a body is what an endpoint made for the request; mu is held.
func (r *run) isGenuine(id uint64, body string) bool {
	endpoint := r.executedBy[id]
	return endpoint != "" && strings.HasPrefix(body, fmt.Sprintf("%016x %s ", id, endpoint))
}

// report reports the progress to those who watch; event is what has happened, or empty for a periodic report.
func (r *run) report(event string) {
	if r.options.Tell == nil {
		return
	}
	r.mu.Lock()
	progress := r.progress
	progress.At = time.Since(r.began)
	progress.Said = event
	slices.Sort(r.recentLatencies)
	if n := len(r.recentLatencies); n > 0 {
		progress.P50 = r.recentLatencies[(n-1)/2]
		progress.P95 = r.recentLatencies[(n-1)*95/100]
	}
	if event == "" {
		r.recentLatencies = r.recentLatencies[:0]
	}
	progress.Broken = r.oracle.Broken()
	r.mu.Unlock()
	r.options.Tell(progress)
}

// result sums the run up, with what the proxies and endpoints used.
func (r *run) result(end time.Duration) *metrics.Result {
	workDone := 0.0
	for _, e := range r.endpoints() {
		workDone += e.totalWork()
	}
	r.countProxyUsage()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorder.Count("work_done", workDone)
	lateness := r.countLateness()
	violations, counts := r.oracle.Finish(end)
	result := r.recorder.Result(violations, counts)
	if lateness > maxLateness {
		result.Void = fmt.Sprintf("the generator was late itself: 99th percentile %v, at most %v wanted; "+
			"the machine is too busy", lateness.Round(time.Microsecond), maxLateness)
	}
	return result
}

// countProxyUsage counts what all proxies used: the sum of processor times, and the most memory and sockets of one.
func (r *run) countProxyUsage() {
	var cpu time.Duration
	var memory int64
	var sockets int
	for _, proxy := range r.allProxies() {
		used := proxy.measure()
		cpu += used.CPU
		memory = max(memory, used.Memory)
		sockets = max(sockets, used.Sockets)
		r.count("reloads", float64(proxy.log.reloads.Load()))
		r.count("proxy_sockets_end", float64(proxy.descriptors()))
	}
	r.count("proxy_cpu_s", cpu.Seconds())
	r.count("proxy_memory_mb", float64(memory)/(1<<20))
	r.count("proxy_sockets", float64(sockets))
}

// countLateness counts how late the generator was and returns the 99th percentile; mu is held.
func (r *run) countLateness() time.Duration {
	n := len(r.lateness)
	if n == 0 {
		return 0
	}
	slices.Sort(r.lateness)
	p99 := r.lateness[(n-1)*99/100]
	r.recorder.Count("generator_late_p99_ms", p99.Seconds()*1e3)
	r.recorder.Count("generator_late_most_ms", r.lateness[n-1].Seconds()*1e3)
	return p99
}
