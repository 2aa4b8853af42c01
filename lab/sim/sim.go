// Package sim plays a world in virtual time: a discrete-event simulation that
// drives deciders in memory. The same world, decider and seed give the same
// result to the byte, on any number of cores: a run is one goroutine, draws
// from streams of its own, and never ranges over a map where order shows.
package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"ryerill/balancer"
	"ryerill/lab/baseline"
	"ryerill/lab/invariant"
	"ryerill/lab/load"
	"ryerill/lab/metrics"
	"ryerill/lab/scenario"
)

// epoch is what deciders see as the time of the start: a provider's start at 0
// means long ago to them.
const epoch = time.Hour

// Options says what plays in a world.
type Options struct {
	Decider string // see baseline.New
	Seed    uint64

	// New makes the deciders in place of Decider, if it is set.
	New func(cfg balancer.Config, seed uint64) baseline.Decider
}

// event is something that happens at a time; equal times keep the order of their making.
type event struct {
	at  time.Duration
	seq uint64
	fn  func()
}

// agenda is a binary heap of events. It is written out because container/heap
// boxes each event, which doubles the cost of a run.
type agenda []event

func (a agenda) less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}

func (a *agenda) push(e event) {
	h := append(*a, e)
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 2
		if !h.less(i, up) {
			break
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
	*a = h
}

func (a *agenda) pop() event {
	h := *a
	first, last := h[0], len(h)-1
	h[0] = h[last]
	h[last] = event{}
	h = h[:last]
	for i := 0; ; {
		least := 2*i + 1
		if least >= last {
			break
		}
		if least+1 < last && h.less(least+1, least) {
			least++
		}
		if !h.less(least, i) {
			break
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
	*a = h
	return first
}

// Sim is one run.
type Sim struct {
	w    *scenario.Scenario
	opt  Options
	now  time.Duration
	seq  uint64
	todo agenda

	net, work, who, seeds, part *rand.Rand

	tiers    []*tier
	slots    []*slot // the front's view of the first tier's proxies
	turns    []int   // by zone: round robin of the front
	proxies  []string
	schedule []load.Request
	rec      *metrics.Recorder
	oracle   *invariant.Checker
	ids      uint64
	actions  [][]balancer.Action // spare action lists, one for each depth of Handle
}

// tier is the providers of a tier with the directory that lists them.
type tier struct {
	index     int
	spec      *scenario.Tier
	providers []*provider
	byID      map[balancer.EndpointID]*provider
	directory *directory
	proxies   []*proxy // that send to it and live
}

// Run plays a world once. It ends early, with ctx's error, if ctx ends.
func Run(ctx context.Context, w *scenario.Scenario, opt Options) (*metrics.Result, error) {
	s, err := newSim(w, opt)
	if err != nil {
		return nil, err
	}
	end := w.Length
	for _, c := range w.Classes {
		end = max(end, w.Length+c.Deadline+time.Second)
	}
	for n := 0; len(s.todo) > 0; n++ {
		e := s.todo.pop()
		if e.at > end {
			break
		}
		s.now = e.at
		e.fn()
		if n%65536 == 0 && ctx.Err() != nil {
			return nil, fmt.Errorf("world %s, seed %d, at %v: %w", w.Name, opt.Seed, s.now, context.Cause(ctx))
		}
	}
	done := 0.0
	for _, t := range s.tiers {
		for _, p := range t.providers {
			done += p.before + p.node.Done()
		}
	}
	s.rec.Count("work_done", done)
	broken, counts := s.oracle.Finish(end)
	return s.rec.Result(broken, counts), nil
}

func newSim(w *scenario.Scenario, opt Options) (*Sim, error) {
	if w.Parallel {
		return nil, fmt.Errorf("world %s: parallel tiers are played on sockets only", w.Name)
	}
	s := &Sim{w: w, opt: opt, net: load.Stream(opt.Seed, 2), work: load.Stream(opt.Seed, 3), who: load.Stream(opt.Seed, 4),
		seeds: load.Stream(opt.Seed, 5), part: load.Stream(opt.Seed, 6), rec: metrics.New(w), turns: make([]int, len(w.Network.Zones))}
	for _, t := range w.Faults {
		if t.Kind == scenario.Reload {
			return nil, fmt.Errorf("world %s: reloads are played on sockets only", w.Name)
		}
	}
	if opt.New == nil {
		if _, err := baseline.New(opt.Decider, w.Balancer(0, 0, 0), 0); err != nil {
			return nil, err
		}
	}
	s.oracle = invariant.New(invariant.Config{Slack: w.Rules.Slack, Grace: w.Rules.Drain, Classes: w.Balancer(0, 0, 0).Classes,
		Name: func(i int) string { return s.proxies[i] }})
	speeds := load.Stream(opt.Seed, 7)
	for i := range w.Tiers {
		spec := &w.Tiers[i]
		t := &tier{index: i, spec: spec, byID: map[balancer.EndpointID]*provider{}}
		t.directory = newDirectory(s, t)
		s.tiers = append(s.tiers, t)
		for j := range spec.Endpoints {
			p := s.newProvider(t, fmt.Sprintf("%s-%d", spec.Name, j), j%len(w.Network.Zones), j/spec.Group, load.Speed(speeds, &spec.Node))
			p.start(true)
			t.directory.know(p, balancer.Ready)
		}
	}
	for i := range w.Tiers[0].Proxies {
		sl := &slot{zone: i % len(w.Network.Zones)}
		sl.proxy = s.newProxy(s.tiers[0], i, sl.zone, fmt.Sprintf("front-%d", i))
		s.slots = append(s.slots, sl)
	}
	for _, t := range s.tiers[:len(s.tiers)-1] {
		for _, p := range t.providers {
			p.startProxy()
		}
	}
	s.schedule = load.Draw(w, opt.Seed)
	if len(s.schedule) > 0 {
		s.at(s.schedule[0].At, func() { s.ask(0) })
	}
	s.troubles()
	s.at(0, s.sample)
	return s, nil
}

func (s *Sim) at(t time.Duration, fn func()) {
	s.seq++
	s.todo.push(event{max(t, s.now), s.seq, fn})
}

func (s *Sim) after(d time.Duration, fn func()) { s.at(s.now+d, fn) }

// delay is the time one way between two zones; -1 is the consumers' place.
func (s *Sim) delay(from, to int) time.Duration {
	d := s.w.Network.Same
	if from < 0 {
		d = s.w.Network.Client
	} else if from != to {
		d = s.w.Network.Cross
	}
	return d + time.Duration(s.w.Network.Jitter*s.net.Float64()*float64(d))
}

// sample books the limits of the first tier's proxies ten times a second.
func (s *Sim) sample() {
	limit, flight := 0.0, 0.0
	for _, p := range s.tiers[0].proxies {
		if st, ok := p.decider.(baseline.ConcurrencyReporter); ok {
			l, f := st.Concurrency()
			limit, flight = limit+l, flight+float64(f)
		}
	}
	s.rec.Sample(s.now, limit, flight)
	if s.now < s.w.Length {
		s.after(100*time.Millisecond, s.sample)
	}
}
