// Package baseline holds what somebody would pick instead of ryerill: textbook
// ways to choose a provider and to bound what is in flight, behind the seam
// that a Balancer has. They are here to be compared with, never in the product.
//
// All keep the rules on drains and repeats as well as a careful team would:
// nothing goes to a provider that the list doesn't call ready, and nothing goes
// out again against its class. None of them spares cold providers.
package baseline

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"ryerill/balancer"
)

// Decider decides for one proxy, as a ryerill.Balancer does.
type Decider interface {
	Handle(now time.Duration, ev balancer.Event, out []balancer.Action) []balancer.Action
}

// ConcurrencyReporter is what a decider can tell about its limit; 0 is no limit.
type ConcurrencyReporter interface {
	Concurrency() (limit float64, inFlight int)
}

var _ ConcurrencyReporter = (*textbook)(nil)

// Pickers are the ways to choose a provider.
var Pickers = []string{"random", "roundrobin", "least", "p2c"}

// Limits are the ways to bound what is in flight; fixed takes a number for each
// provider, shared evenly by the proxies, as in fixed:20.
var Limits = []string{"none", "fixed:N", "gradient"}

// New returns a decider by name: "ryerill", or a picker and, after a slash, a
// limit, as in "p2c/gradient". No limit is "none".
func New(name string, cfg balancer.Config, seed uint64) (Decider, error) {
	if name == "" || name == "ryerill" {
		return balancer.New(cfg, seed), nil
	}
	picker, limit, _ := strings.Cut(name, "/")
	if !slices.Contains(Pickers, picker) {
		return nil, fmt.Errorf("decider %q: unknown way to pick %q, want ryerill or one of %s", name, picker, strings.Join(Pickers, ", "))
	}
	t := &textbook{cfg: cfg, picker: picker, rng: rand.New(rand.NewPCG(seed, 1)), byID: map[balancer.EndpointID]*server{},
		requests: map[balancer.RequestID]*request{}}
	switch kind, number, _ := strings.Cut(limit, ":"); kind {
	case "", "none":
		t.limit = unlimited{}
	case "fixed":
		n, err := strconv.ParseFloat(number, 64)
		if err != nil || !(n > 0) {
			return nil, fmt.Errorf("decider %q: unexpected limit %q, want fixed:N with N above 0", name, limit)
		}
		t.limit = &fixed{each: n, share: 1 / float64(max(cfg.ReplicaCount, 1))}
	case "gradient":
		t.limit = newGradient()
	default:
		return nil, fmt.Errorf("decider %q: unknown limit %q, want one of %s", name, limit, strings.Join(Limits, ", "))
	}
	return t, nil
}

type server struct {
	balancer.Endpoint
	out int
}

type request struct {
	class    int
	until    time.Duration
	tried    []*server
	ran      *server
	ranAt    time.Duration
	sent     time.Duration
	open     bool
	answered bool
}

// textbook is one picker with one limit and plain retries: at once, at another
// provider, as often as allowed.
type textbook struct {
	cfg      balancer.Config
	picker   string
	limit    limiter
	rng      *rand.Rand
	servers  []*server
	byID     map[balancer.EndpointID]*server
	requests map[balancer.RequestID]*request
	ifr      int
	turn     int
	asking   bool
}

// mostAttempts is how often a textbook proxy sends a request: its default of one retry, as in the
// field's proxies.
const mostAttempts = 2

// Concurrency implements ConcurrencyReporter.
func (t *textbook) Concurrency() (limit float64, inFlight int) { return t.limit.limit(), t.ifr }

// Handle takes one event, as ryerill.Balancer.Handle does.
func (t *textbook) Handle(now time.Duration, ev balancer.Event, out []balancer.Action) []balancer.Action {
	switch ev.Kind {
	case balancer.EndpointListUpdated:
		return t.list(&ev, out)
	case balancer.RequestArrived:
		r := &request{class: min(max(ev.Class, 0), len(t.cfg.Classes)-1), until: now + ev.Remaining}
		t.requests[ev.Request] = r
		if float64(t.ifr) >= t.limit.limit() && t.limit.limit() > 0 {
			return t.answer(ev.Request, r, out)
		}
		return t.send(now, ev.Request, r, out)
	case balancer.AttemptEnded:
		return t.ended(now, &ev, out)
	case balancer.ClientLeft:
		if r := t.requests[ev.Request]; r != nil {
			r.answered = true
			if r.open && t.cfg.Limits.AllowCancel {
				out = append(out, balancer.Action{Kind: balancer.Cancel, Request: ev.Request, Attempt: len(r.tried) - 1})
			}
			t.release(ev.Request, r)
		}
	case balancer.TimerFired:
		if t.asking {
			t.asking = false
			out = append(out, balancer.Action{Kind: balancer.Subscribe, Enabled: true})
		}
	}
	return out
}

func (t *textbook) list(ev *balancer.Event, out []balancer.Action) []balancer.Action {
	if ev.ListKind != balancer.ListFull && ev.ListKind != balancer.ListChanges && !t.asking {
		t.asking = true
		out = append(out, balancer.Action{Kind: balancer.SetTimer, Delay: time.Duration((0.2 + t.rng.Float64()) * float64(200*time.Millisecond))})
	}
	if ev.ListKind == balancer.ListFailed {
		return out
	}
	if ev.ListKind != balancer.ListChanges {
		for _, s := range t.servers {
			s.State = balancer.Gone
		}
	}
	for _, e := range ev.Endpoints {
		s := t.byID[e.ID]
		if s == nil {
			s = &server{}
			t.byID[e.ID] = s
			t.servers = append(t.servers, s)
		}
		if e.State == balancer.Gone {
			e.Zone, e.Cell = s.Zone, s.Cell
		}
		s.Endpoint = e
	}
	t.servers = slices.DeleteFunc(t.servers, func(s *server) bool {
		if s.State == balancer.Gone && s.out == 0 {
			delete(t.byID, s.ID)
			return true
		}
		return false
	})
	if f, ok := t.limit.(*fixed); ok {
		ready := 0
		for _, s := range t.servers {
			if s.State == balancer.Ready {
				ready++
			}
		}
		f.servers = ready
	}
	return out
}

func (t *textbook) mayUse(now time.Duration, r *request, s *server) bool {
	if s.State != balancer.Ready || slices.Contains(r.tried, s) {
		return false
	}
	c := &t.cfg.Classes[r.class]
	if r.ran == nil || c.Effect == balancer.Safe {
		return true
	}
	if c.Effect == balancer.Unsafe || now-r.ranAt >= c.IdempotencyWindow*9/10 {
		return false
	}
	return c.Group == balancer.GroupAll || c.Group == balancer.GroupZone && s.Zone == r.ran.Zone ||
		c.Group == balancer.GroupCell && s.Cell == r.ran.Cell
}

func (t *textbook) pick(now time.Duration, r *request) *server {
	var able []*server
	for _, s := range t.servers {
		if t.mayUse(now, r, s) {
			able = append(able, s)
		}
	}
	if len(able) == 0 {
		return nil
	}
	switch t.picker {
	case "roundrobin":
		t.turn++
		return able[t.turn%len(able)]
	case "least":
		from, best := t.rng.IntN(len(able)), (*server)(nil)
		for i := range able {
			if s := able[(from+i)%len(able)]; best == nil || s.out < best.out {
				best = s
			}
		}
		return best
	case "p2c":
		a, b := able[t.rng.IntN(len(able))], able[t.rng.IntN(len(able))]
		if b.out < a.out {
			return b
		}
		return a
	}
	return able[t.rng.IntN(len(able))]
}

func (t *textbook) send(now time.Duration, id balancer.RequestID, r *request, out []balancer.Action) []balancer.Action {
	s := t.pick(now, r)
	if s == nil || now >= r.until {
		return t.answer(id, r, out)
	}
	r.tried, r.open, r.sent = append(r.tried, s), true, now
	s.out++
	t.ifr++
	return append(out, balancer.Action{Kind: balancer.Send, Request: id, Endpoint: s.ID, Timeout: r.until - now})
}

func (t *textbook) ended(now time.Duration, ev *balancer.Event, out []balancer.Action) []balancer.Action {
	r := t.requests[ev.Request]
	if r == nil || !r.open || ev.Attempt != len(r.tried)-1 {
		return out
	}
	s := r.tried[ev.Attempt]
	s.out--
	t.ifr--
	r.open = false
	dropped := ev.Outcome == balancer.Timeout || ev.Outcome == balancer.Rejected
	t.limit.ended(ev.Elapsed, t.ifr+1, dropped, ev.Outcome == balancer.OK)
	if !ev.Outcome.NeverRan() && r.ran == nil {
		r.ran, r.ranAt = s, r.sent
	}
	if ev.RequestClosed || r.answered || ev.Outcome == balancer.OK {
		r.answered = true
		t.release(ev.Request, r)
		return out
	}
	if (r.ran == nil || t.cfg.Classes[r.class].Effect != balancer.Unsafe) && len(r.tried) < min(mostAttempts, max(t.cfg.Limits.MaxAttempts, 1)) {
		return t.send(now, ev.Request, r, out)
	}
	return t.answer(ev.Request, r, out)
}

func (t *textbook) answer(id balancer.RequestID, r *request, out []balancer.Action) []balancer.Action {
	c := &t.cfg.Classes[r.class]
	a := balancer.Action{Kind: balancer.Fail, Request: id}
	if r.ran == nil || c.Effect == balancer.Safe || c.Effect == balancer.Keyed && c.Group == balancer.GroupAll {
		a.Kind = balancer.Shed
		if t.cfg.Tier == 0 && t.cfg.Limits.SendRetryAfter {
			a.RetryAfter = min(time.Second, t.cfg.Limits.MaxRetryAfter)
		}
	}
	r.answered = true
	t.release(id, r)
	return append(out, a)
}

func (t *textbook) release(id balancer.RequestID, r *request) {
	if r.answered && !r.open {
		delete(t.requests, id)
	}
}

// limiter bounds the calls in flight; 0 is no bound.
type limiter interface {
	limit() float64
	ended(took time.Duration, inFlight int, dropped, served bool)
}

type unlimited struct{}

func (unlimited) limit() float64                       { return 0 }
func (unlimited) ended(time.Duration, int, bool, bool) {}

// fixed is so many calls for each ready provider, an equal part for each proxy.
type fixed struct {
	each, share float64
	servers     int
}

func (f *fixed) limit() float64                       { return max(1, f.each*float64(f.servers)*f.share) }
func (f *fixed) ended(time.Duration, int, bool, bool) {}

// gradient is the Gradient2 limit of Netflix's concurrency-limits library with
// its defaults: the ratio of a long average of latency to the latest one moves
// the limit, a queue of 4 is allowed for, and what changes is smoothed by 0.2.
type gradient struct {
	est, long float64
	warm      int
}

const (
	gradientStart     = 20.0
	gradientLeast     = 20.0
	gradientMost      = 200.0
	gradientQueue     = 4.0
	gradientSmoothing = 0.2
	gradientTolerance = 1.5
	gradientLong      = 600.0 // calls that the long average spans
	gradientWarm      = 10
)

func newGradient() *gradient { return &gradient{est: gradientStart} }

func (g *gradient) limit() float64 { return math.Floor(g.est) }

func (g *gradient) ended(took time.Duration, inFlight int, _, served bool) {
	if !served || took <= 0 {
		return
	}
	short := took.Seconds()
	if g.warm < gradientWarm {
		g.long = (g.long*float64(g.warm) + short) / float64(g.warm+1)
		g.warm++
	} else {
		g.long += (short - g.long) * 2 / (gradientLong + 1)
	}
	if g.long/short > 2 { // the load has gone: let the long average follow faster
		g.long *= 0.95
	}
	if float64(inFlight) < g.est/2 { // not what bounds the traffic
		return
	}
	ratio := math.Max(0.5, math.Min(1, gradientTolerance*g.long/short))
	next := g.est*ratio + gradientQueue
	g.est = math.Max(gradientLeast, math.Min(gradientMost, g.est*(1-gradientSmoothing)+next*gradientSmoothing))
}
