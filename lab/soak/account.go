package soak

import (
	"fmt"
	"sync"
	"time"
)

// Tolerances of a busy machine and of calls that are held up on purpose.
const (
	answerTolerance    = 500 * time.Millisecond // beyond the client's time
	departureTolerance = 400 * time.Millisecond // 0.1 s for each of two proxies, and the machine's part
)

// A request may cross the end of an idle connection, which its client sees at once. That is rare.
const (
	excuseCrossed   = "crossed the end of an idle connection"
	crossingTime    = 5 * time.Millisecond
	maxCrossedShare = 100 // at most one in so many requests
	fewCrossed      = 3
)

// execution is one arrival of a request at an endpoint.
type execution struct {
	at       time.Time
	endpoint int
}

// request is a request in the accounts of clients and endpoints.
type request struct {
	id    string
	class string
	proxy *proxy
	// connectedAt is when its connection was made: only the process of then can answer.
	connectedAt time.Time
	sentAt      time.Time // its last byte; zero if it was not sent whole
	timeout     time.Duration
	leftAt      time.Time // its client closed the connection, not having got a response
	beganAt     time.Time // the head of its response came; a long one may take longer than its client's time
	endedAt     time.Time
	status      int    // 0 without a whole response
	problem     string // what the client got in place of a whole response
	excuse      string // why it needs none
	crowded     bool   // it was the first of a connection in a crowd
	wasIdle     bool   // its connection was used before, and ended in an orderly way in place of a response
	arrivals    []execution
}

// account holds all requests. It is safe for concurrent use.
type account struct {
	mu       sync.Mutex
	requests map[string]*request
	backs    []*proxy // of the tier behind the one that clients ask
}

func newAccount() *account { return &account{requests: make(map[string]*request)} }

// sent records a request whose last byte goes out now.
func (a *account) sent(r request) *request {
	a.mu.Lock()
	defer a.mu.Unlock()
	recorded := &r
	a.requests[r.id] = recorded
	return recorded
}

// update changes a request.
func (a *account) update(r *request, change func(r *request)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(r)
}

// arrived records that a request came to an endpoint.
func (a *account) arrived(id string, endpoint int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.requests[id]; r != nil {
		r.arrivals = append(r.arrivals, execution{time.Now(), endpoint})
	}
}

// Result is what the accounts of a run come to.
type Result struct {
	Seed     uint64         `json:"seed"`
	Requests int            `json:"requests"`
	Statuses map[int]int    `json:"statuses"`
	Excuses  map[string]int `json:"excuses"`
	Injected int            `json:"injected"`
	Breaks   []Break        `json:"breaks"`
}

// Break is one request for which the accounts don't agree, or a process that kept what it should not.
type Break struct {
	Rule     string   `json:"rule"`
	Timeline []string `json:"timeline"`

	from, until time.Time // of the request
}

// settle compares the accounts. Times are told since began.
func (a *account) settle(began time.Time) (result Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	result = Result{Requests: len(a.requests), Statuses: map[int]int{}, Excuses: map[string]int{}}
	for _, r := range a.requests {
		r.excuseFailure(a.backs)
		switch {
		case r.excuse != "":
			result.Excuses[r.excuse]++
		case r.status != 0:
			result.Statuses[r.status]++
		}
		if rule := r.broken(); rule != "" {
			found := Break{Rule: rule, Timeline: r.timeline(began), from: r.sentAt, until: r.endedAt}
			result.Breaks = append(result.Breaks, found)
		}
	}
	if crossed := result.Excuses[excuseCrossed]; crossed > max(result.Requests/maxCrossedShare, fewCrossed) {
		rule := fmt.Sprintf("%d of %d requests crossed the end of idle connections", crossed, result.Requests)
		result.Breaks = append(result.Breaks, Break{Rule: rule})
	}
	return result
}

// excuseFailure states why a request without a whole response needs none, by the rules.
func (r *request) excuseFailure(backs []*proxy) {
	if r.excuse != "" || r.status != 0 || r.endedAt.IsZero() {
		return
	}
	l := r.proxy.lifeAt(r.connectedAt)
	reached := len(r.arrivals) > 0
	switch {
	case !l.killed.IsZero() && !l.owes(r):
		r.excuse = "its process was killed"
	case r.leftAt.IsZero() && r.crowded && !reached:
		r.excuse = "a new connection in a crowd"
	case r.leftAt.IsZero() && !l.terminated.IsZero() && !reached:
		r.excuse = "crossed the end of a connection of a process that ends"
	case r.wasIdle && !reached && r.endedAt.Sub(r.sentAt) < crossingTime:
		r.excuse = excuseCrossed
	case !r.beganAt.IsZero() && killedMeanwhile(backs, r):
		r.excuse = "the proxy behind was killed in the middle of its response"
	}
}

// killedMeanwhile reports whether one of some proxies was killed while a request was out. A response that has begun can
// come from nobody else.
func killedMeanwhile(proxies []*proxy, r *request) bool {
	for _, p := range proxies {
		killed := p.lifeAt(r.sentAt).killed
		if !killed.IsZero() && killed.Before(r.endedAt) {
			return true
		}
	}
	return false
}

// owes reports whether a process that was killed had to answer a request before: not if it was not told to end, or if
// the request came shortly before the kill.
func (l life) owes(r *request) bool {
	return !l.terminated.IsZero() && r.sentAt.Before(l.killed.Add(-killMargin-signalSpacing))
}

// broken returns the rule that is broken for a request, or "".
func (r *request) broken() string {
	if r.class == unsafeClass && len(r.arrivals) > 1 {
		return "an unsafe request was executed more than once"
	}
	if !r.leftAt.IsZero() {
		for _, arrival := range r.arrivals {
			if late := arrival.at.Sub(r.leftAt); late > departureTolerance {
				return fmt.Sprintf("sent %v after its client had left", late.Round(time.Millisecond))
			}
		}
	}
	switch {
	case r.excuse != "":
		return ""
	case r.status == 0:
		return "no whole final response: " + r.problem
	case r.beganAt.Sub(r.sentAt) > r.timeout+answerTolerance:
		return "final response too late"
	}
	return ""
}

// timeline tells of a request across client and endpoints.
func (r *request) timeline(began time.Time) []string {
	at := func(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(began).Seconds()) }
	lines := []string{fmt.Sprintf("%s client sends %s %s to proxy %d, waits %v",
		at(r.sentAt), r.class, r.id, r.proxy.index, r.timeout)}
	for _, arrival := range r.arrivals {
		lines = append(lines, fmt.Sprintf("%s arrives at endpoint %d", at(arrival.at), arrival.endpoint))
	}
	if !r.beganAt.IsZero() {
		lines = append(lines, at(r.beganAt)+" response begins")
	}
	if !r.leftAt.IsZero() {
		lines = append(lines, at(r.leftAt)+" client leaves")
	}
	if !r.endedAt.IsZero() {
		lines = append(lines, fmt.Sprintf("%s client has status %d %s", at(r.endedAt), r.status, r.problem))
	}
	return lines
}
