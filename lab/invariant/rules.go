// Package invariant watches what proxies take in, send and answer, and names each
// breach of the rules that every proxy must keep. It is an oracle for both
// hosts of the laboratory, knows neither of them, and is pure: times come in as
// arguments. It is not safe for concurrent use.
package invariant

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"ryerill/balancer"
)

// The rules by name.
const (
	OneAnswer = "one-answer"     // one final answer for each request, before the consumer gives up
	NoRepeat  = "no-repeat"      // nothing goes out again, or is called harmless, against its class
	Drained   = "drained"        // nothing new to a provider some time after word of its drain
	Pushed    = "pushed-over"    // no cold provider is pushed over
	Foreign   = "foreign-answer" // an answer is one that a provider made for that request
)

// All lists the rules.
var All = []string{OneAnswer, NoRepeat, Drained, Pushed, Foreign}

const (
	mostKept     = 100     // violations kept with their evidence; the rest are counted
	mostFinished = 1 << 17 // finished requests remembered, to notice a second answer
)

// Violation is one breach with its evidence.
type Violation struct {
	Rule     string        `json:"rule"`
	At       time.Duration `json:"at"`
	Evidence string        `json:"evidence"`
}

// Result is what a final answer says.
type Result uint8

// The verdicts.
const (
	Served Result = iota
	Shed
	Failed
)

func (v Result) String() string { return [...]string{"served", "refused", "failed"}[v] }

// Endpoint is what the rules need to know of one.
type Endpoint struct {
	ID    uint64
	Name  string
	Zone  int
	Group int
}

// Config holds the figures of the rules.
type Config struct {
	Slack   time.Duration // an answer counts this long after the deadline
	Grace   time.Duration // after word of a drain
	Classes []balancer.Class
	Name    func(proxy int) string
}

// Checker is the oracle of one run.
type Checker struct {
	cfg      Config
	open     map[key]*request
	told     map[key]time.Duration // by proxy and provider: since when it is known to drain or be gone
	finished []key
	next     int // in finished, once it is full
	kept     []Violation
	counts   map[string]int
}

type key struct {
	proxy int
	id    uint64
}

type request struct {
	class    int
	until    time.Duration
	attempts []attempt
	over     bool // answered, or nobody waits for it
	left     bool
}

type attempt struct {
	provider Endpoint
	at       time.Duration
	ended    bool
	neverRan bool
}

// New returns an oracle.
func New(cfg Config) *Checker {
	if cfg.Name == nil {
		cfg.Name = func(proxy int) string { return fmt.Sprintf("proxy %d", proxy) }
	}
	return &Checker{cfg: cfg, open: map[key]*request{}, told: map[key]time.Duration{}, counts: map[string]int{}}
}

func (w *Checker) broken(rule string, at time.Duration, format string, args ...any) {
	w.counts[rule]++
	if len(w.kept) < mostKept {
		w.kept = append(w.kept, Violation{rule, at, fmt.Sprintf(format, args...)})
	}
}

// Took notes that a proxy took a request whose consumer waits until a time.
func (w *Checker) Took(at time.Duration, proxy int, id uint64, class int, until time.Duration) {
	w.open[key{proxy, id}] = &request{class: class, until: until}
}

// Sent notes a new attempt. Attempts of a request count from 0 in the order of
// their Sent; the number is returned.
func (w *Checker) Sent(at time.Duration, proxy int, id uint64, p Endpoint) int {
	r := w.open[key{proxy, id}]
	if r == nil {
		w.broken(OneAnswer, at, "%s sent request %d to %s, which it had not taken or which was over", w.cfg.Name(proxy), id, p.Name)
		return -1
	}
	if r.over && !r.left {
		w.broken(OneAnswer, at, "%s sent request %d to %s after its final answer", w.cfg.Name(proxy), id, p.Name)
	}
	if since, ok := w.told[key{proxy, p.ID}]; ok && at > since+w.cfg.Grace {
		w.broken(Drained, at, "%s sent request %d to %s, told %v ago that it drains or is gone", w.cfg.Name(proxy), id, p.Name, at-since)
	}
	c := &w.cfg.Classes[r.class]
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.neverRan {
			continue
		}
		within := at-a.at <= c.IdempotencyWindow && (c.Group == balancer.GroupAll ||
			c.Group == balancer.GroupZone && a.provider.Zone == p.Zone ||
			c.Group == balancer.GroupCell && a.provider.Group == p.Group)
		if c.Effect == balancer.Unsafe || c.Effect == balancer.Keyed && !within {
			w.broken(NoRepeat, at, "%s sent request %d of class %s to %s although attempt %d at %s may have run",
				w.cfg.Name(proxy), id, c.Name, p.Name, i, a.provider.Name)
			break
		}
	}
	r.attempts = append(r.attempts, attempt{provider: p, at: at})
	return len(r.attempts) - 1
}

// Ended notes how an attempt ended, as far as its proxy can know.
func (w *Checker) Ended(at time.Duration, proxy int, id uint64, number int, neverRan bool) {
	if r := w.open[key{proxy, id}]; r != nil && number >= 0 && number < len(r.attempts) {
		a := &r.attempts[number]
		a.ended, a.neverRan = true, neverRan
		w.release(key{proxy, id}, r)
	}
}

// Answered notes a final answer; by is the provider whose answer was served, 0 is not known.
func (w *Checker) Answered(at time.Duration, proxy int, id uint64, v Result, by uint64) {
	k := key{proxy, id}
	r := w.open[k]
	if r == nil || r.over && !r.left {
		w.broken(OneAnswer, at, "%s answered request %d (%v), which it had not taken or had answered", w.cfg.Name(proxy), id, v)
		return
	}
	if r.left {
		return // nobody heard it
	}
	if at > r.until+w.cfg.Slack {
		w.broken(OneAnswer, at, "%s answered request %d (%v) %v after its consumer gave up", w.cfg.Name(proxy), id, v, at-r.until)
	}
	c := &w.cfg.Classes[r.class]
	switch v {
	case Shed:
		for i, a := range r.attempts {
			if !a.neverRan && (c.Effect == balancer.Unsafe || c.Effect == balancer.Keyed && c.Group != balancer.GroupAll) {
				w.broken(NoRepeat, at, "%s called a retry of request %d of class %s harmless although attempt %d at %s may have run",
					w.cfg.Name(proxy), id, c.Name, i, a.provider.Name)
				break
			}
		}
	case Served:
		if by != 0 && !slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.provider.ID == by && !a.neverRan }) {
			w.broken(Foreign, at, "%s served request %d with an answer that no provider made for it", w.cfg.Name(proxy), id)
		}
	}
	r.over = true
	w.release(k, r)
}

// Left notes that the consumer of a request has gone, so that no answer is owed.
func (w *Checker) Left(at time.Duration, proxy int, id uint64) {
	if r := w.open[key{proxy, id}]; r != nil && !r.over {
		if at > r.until+w.cfg.Slack {
			w.broken(OneAnswer, at, "%s had not answered request %d when its consumer left, %v after its time", w.cfg.Name(proxy), id, at-r.until)
		}
		r.over, r.left = true, true
		w.release(key{proxy, id}, r)
	}
}

// Forget drops a request that no proxy took, or whose proxy ended: nothing is owed.
func (w *Checker) Forget(proxy int, id uint64) { delete(w.open, key{proxy, id}) }

// Broken is how many breaches there were until now.
func (w *Checker) Broken() (n int) {
	for _, c := range w.counts {
		n += c
	}
	return n
}

// Spoilt notes that a consumer was served with what no provider made for its request.
func (w *Checker) Spoilt(at time.Duration, proxy int, id uint64, what string) {
	w.broken(Foreign, at, "%s served request %d with %s", w.cfg.Name(proxy), id, what)
}

// Told notes what a proxy has learnt of a provider: that it is ready, or that it drains or is gone.
func (w *Checker) Told(at time.Duration, proxy int, provider uint64, ready bool) {
	k := key{proxy, provider}
	if ready {
		delete(w.told, k)
	} else if _, ok := w.told[k]; !ok {
		w.told[k] = at
	}
}

// Tipped notes that a cold provider was pushed over.
func (w *Checker) Tipped(at time.Duration, provider string, sent, budget float64) {
	w.broken(Pushed, at, "%s fell over: sent %.2f s of work within its span, its budget was %.2f s", provider, sent, budget)
}

// Died forgets what a proxy had open: it was killed, and owes nothing.
func (w *Checker) Died(proxy int) {
	maps.DeleteFunc(w.open, func(k key, _ *request) bool { return k.proxy == proxy })
	maps.DeleteFunc(w.told, func(k key, _ time.Duration) bool { return k.proxy == proxy })
}

func (w *Checker) release(k key, r *request) {
	if !r.over || slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.ended }) {
		return
	}
	// A finished request stays for a while: a second answer is a breach, not a stranger's.
	if len(w.finished) < mostFinished {
		w.finished = append(w.finished, k)
		return
	}
	delete(w.open, w.finished[w.next])
	w.finished[w.next] = k
	w.next = (w.next + 1) % mostFinished
}

// Finish names the requests that were never answered and returns all breaches
// that were kept and the count by rule.
func (w *Checker) Finish(at time.Duration) ([]Violation, map[string]int) {
	keys := make([]key, 0)
	for k, r := range w.open {
		if !r.over && at > r.until+w.cfg.Slack {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b key) int {
		if a.proxy != b.proxy {
			return a.proxy - b.proxy
		}
		return int(int64(a.id - b.id))
	})
	for _, k := range keys {
		w.broken(OneAnswer, at, "%s never answered request %d, due %v ago", w.cfg.Name(k.proxy), k.id, at-w.open[k].until)
	}
	return w.kept, w.counts
}
