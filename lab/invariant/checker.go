package invariant

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"ryerill/balancer"
)

const (
	maxKept     = 100     // violations kept with their evidence; the rest are counted
	maxFinished = 1 << 17 // finished requests that are kept, to notice a second answer
)

// Checker is the oracle of one run. It is not safe for concurrent use.
type Checker struct {
	config      Config
	requests    map[key]*request
	unavailable map[key]time.Duration // by proxy and endpoint: since when the proxy knows that it drains or is gone
	finished    finishedRequests
	kept        []Violation
	counts      map[string]int // by rule
}

// key names something of a proxy: a request, or an endpoint as the proxy knows it.
type key struct {
	proxy int
	id    uint64
}

// request is what a proxy has to answer.
type request struct {
	class    int
	until    time.Duration // its client waits until then
	attempts []attempt
	over     bool // it was answered, or its client has left
	left     bool // its client has left
}

type attempt struct {
	endpoint Endpoint
	at       time.Duration
	ended    bool
	neverRan bool
}

// New returns an oracle.
func New(config Config) *Checker {
	if config.Name == nil {
		config.Name = numberedProxy
	}
	return &Checker{
		config:      config,
		requests:    map[key]*request{},
		unavailable: map[key]time.Duration{},
		counts:      map[string]int{},
	}
}

// violated records a violation.
func (c *Checker) violated(rule string, at time.Duration, evidence string) {
	c.counts[rule]++
	if len(c.kept) < maxKept {
		c.kept = append(c.kept, Violation{Rule: rule, At: at, Evidence: evidence})
	}
}

// violatedBy records a violation by a proxy; format goes on after the proxy's name.
func (c *Checker) violatedBy(proxy int, rule string, at time.Duration, format string, args ...any) {
	c.violated(rule, at, c.config.Name(proxy)+" "+fmt.Sprintf(format, args...))
}

// Accepted records that a proxy accepted a request whose client waits until a time.
func (c *Checker) Accepted(at time.Duration, proxy int, id uint64, class int, until time.Duration) {
	c.requests[key{proxy, id}] = &request{class: class, until: until}
}

// Sent records a new attempt. Attempts of a request count from 0 in the order of their Sent; the number is returned, or
// -1 for an unknown request.
func (c *Checker) Sent(at time.Duration, proxy int, id uint64, endpoint Endpoint) int {
	r := c.requests[key{proxy, id}]
	if r == nil {
		c.violatedBy(proxy, OneAnswer, at, "sent request %d to %s, which it had not taken or which was over",
			id, endpoint.Name)
		return -1
	}
	if r.over && !r.left {
		c.violatedBy(proxy, OneAnswer, at, "sent request %d to %s after its final answer", id, endpoint.Name)
	}
	since, unavailable := c.unavailable[key{proxy, endpoint.ID}]
	if unavailable && at > since+c.config.Grace {
		c.violatedBy(proxy, Drained, at, "sent request %d to %s, told %v ago that it drains or is gone",
			id, endpoint.Name, at-since)
	}
	c.checkRepeat(at, proxy, id, r, endpoint)
	r.attempts = append(r.attempts, attempt{endpoint: endpoint, at: at})
	return len(r.attempts) - 1
}

// checkRepeat reports a new attempt that the class doesn't allow after one that may have run.
func (c *Checker) checkRepeat(at time.Duration, proxy int, id uint64, r *request, endpoint Endpoint) {
	class := &c.config.Classes[r.class]
	for i := range r.attempts {
		previous := &r.attempts[i]
		if previous.neverRan || mayRepeat(class, previous, at, endpoint) {
			continue
		}
		c.violatedBy(proxy, NoRepeat, at, "sent request %d of class %s to %s although attempt %d at %s may have run",
			id, class.Name, endpoint.Name, i, previous.endpoint.Name)
		return
	}
}

// mayRepeat reports whether a class allows an attempt at an endpoint after one that may have run.
func mayRepeat(class *balancer.Class, previous *attempt, at time.Duration, endpoint Endpoint) bool {
	switch class.Effect {
	case balancer.Unsafe:
		return false
	case balancer.Keyed:
		return at-previous.at <= class.IdempotencyWindow && dropsRepeats(class.Group, previous.endpoint, endpoint)
	}
	return true
}

// dropsRepeats reports whether an endpoint drops the repeat of what another one executed.
func dropsRepeats(group balancer.Group, first, second Endpoint) bool {
	switch group {
	case balancer.GroupAll:
		return true
	case balancer.GroupZone:
		return first.Zone == second.Zone
	case balancer.GroupCell:
		return first.Group == second.Group
	}
	return false
}

// Ended records how an attempt ended, as far as its proxy can know.
func (c *Checker) Ended(at time.Duration, proxy int, id uint64, number int, neverRan bool) {
	k := key{proxy, id}
	r := c.requests[k]
	if r == nil || number < 0 || number >= len(r.attempts) {
		return
	}
	r.attempts[number].ended = true
	r.attempts[number].neverRan = neverRan
	c.release(k, r)
}

// Answered records a final answer. by is the endpoint whose answer was served; 0 if it is not known.
func (c *Checker) Answered(at time.Duration, proxy int, id uint64, result Result, by uint64) {
	k := key{proxy, id}
	r := c.requests[k]
	if r == nil || r.over && !r.left {
		c.violatedBy(proxy, OneAnswer, at, "answered request %d (%v), which it had not taken or had answered",
			id, result)
		return
	}
	if r.left {
		return // nobody received it
	}
	if at > r.until+c.config.Slack {
		c.violatedBy(proxy, OneAnswer, at, "answered request %d (%v) %v after its consumer gave up",
			id, result, at-r.until)
	}
	switch result {
	case Shed:
		c.checkShed(at, proxy, id, r)
	case Served:
		if by != 0 && !r.mayHaveRunAt(by) {
			c.violatedBy(proxy, Foreign, at, "served request %d with an answer that no provider made for it", id)
		}
	}
	r.over = true
	c.release(k, r)
}

// checkShed reports an answer that allows the client a retry which the class does not.
func (c *Checker) checkShed(at time.Duration, proxy int, id uint64, r *request) {
	class := &c.config.Classes[r.class]
	retryable := class.Effect == balancer.Safe || class.Effect == balancer.Keyed && class.Group == balancer.GroupAll
	if retryable {
		return
	}
	for i, attempt := range r.attempts {
		if attempt.neverRan {
			continue
		}
		c.violatedBy(proxy, NoRepeat, at,
			"called a retry of request %d of class %s harmless although attempt %d at %s may have run",
			id, class.Name, i, attempt.endpoint.Name)
		return
	}
}

func (r *request) mayHaveRunAt(endpoint uint64) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint.ID == endpoint && !a.neverRan })
}

// ClientLeft records that the client of a request has left, so that no answer is owed.
func (c *Checker) ClientLeft(at time.Duration, proxy int, id uint64) {
	k := key{proxy, id}
	r := c.requests[k]
	if r == nil || r.over {
		return
	}
	if at > r.until+c.config.Slack {
		c.violatedBy(proxy, OneAnswer, at, "had not answered request %d when its consumer left, %v after its time",
			id, at-r.until)
	}
	r.over = true
	r.left = true
	c.release(k, r)
}

// Forget drops a request that no proxy accepted, or whose proxy ended: no answer is owed.
func (c *Checker) Forget(proxy int, id uint64) { delete(c.requests, key{proxy, id}) }

// ViolationCount returns how many violations there were until now.
func (c *Checker) ViolationCount() int {
	total := 0
	for _, count := range c.counts {
		total += count
	}
	return total
}

// ServedCorrupt records that a client was served with what no endpoint made for its request.
func (c *Checker) ServedCorrupt(at time.Duration, proxy int, id uint64, what string) {
	c.violatedBy(proxy, Foreign, at, "served request %d with %s", id, what)
}

// EndpointUpdated records what a proxy has learnt of an endpoint: that it is ready, or that it drains or is gone.
func (c *Checker) EndpointUpdated(at time.Duration, proxy int, endpoint uint64, ready bool) {
	k := key{proxy, endpoint}
	if ready {
		delete(c.unavailable, k)
		return
	}
	if _, known := c.unavailable[k]; !known {
		c.unavailable[k] = at
	}
}

// EndpointOverloaded records that an endpoint was overloaded while it warmed up. sent and budget are seconds of work.
func (c *Checker) EndpointOverloaded(at time.Duration, endpoint string, sent, budget float64) {
	c.violated(Overloaded, at, fmt.Sprintf("%s fell over: sent %.2f s of work within its span, its budget was %.2f s",
		endpoint, sent, budget))
}

// ProxyKilled drops the requests of a proxy that was killed: no answer is owed.
func (c *Checker) ProxyKilled(proxy int) {
	maps.DeleteFunc(c.requests, func(k key, _ *request) bool { return k.proxy == proxy })
	maps.DeleteFunc(c.unavailable, func(k key, _ time.Duration) bool { return k.proxy == proxy })
}

// release drops a request that is over and whose attempts have ended. It stays for a while: a second answer is then
// reported, and not taken for one to an unknown request.
func (c *Checker) release(k key, r *request) {
	inProgress := slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.ended })
	if !r.over || inProgress {
		return
	}
	if oldest, full := c.finished.add(k); full {
		delete(c.requests, oldest)
	}
}

// finishedRequests is a ring of the requests that finished last.
type finishedRequests struct {
	keys []key
	next int // to be replaced, once the ring is full
}

// add adds a request. Once the ring is full it returns the oldest one, which is replaced.
func (f *finishedRequests) add(k key) (oldest key, full bool) {
	if len(f.keys) < maxFinished {
		f.keys = append(f.keys, k)
		return key{}, false
	}
	oldest = f.keys[f.next]
	f.keys[f.next] = k
	f.next = (f.next + 1) % maxFinished
	return oldest, true
}

// Finish reports the requests that were never answered. It returns the violations that were kept and the count by rule.
func (c *Checker) Finish(at time.Duration) ([]Violation, map[string]int) {
	var overdue []key
	for k, r := range c.requests {
		if !r.over && at > r.until+c.config.Slack {
			overdue = append(overdue, k)
		}
	}
	slices.SortFunc(overdue, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.proxy, b.proxy), cmp.Compare(a.id, b.id))
	})
	for _, k := range overdue {
		c.violatedBy(k.proxy, OneAnswer, at, "never answered request %d, due %v ago",
			k.id, at-c.requests[k].until)
	}
	return c.kept, c.counts
}
