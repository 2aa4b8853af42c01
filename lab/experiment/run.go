package experiment

import (
	"context"
	"errors"
	"fmt"
	"math"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"ryerill/lab/metrics"
	"ryerill/lab/scenario"
	"ryerill/lab/sim"
	"ryerill/lab/statesyncsim"
)

// Host plays an arm in a world once.
type Host func(ctx context.Context, w *scenario.Scenario, arm Variant, seed uint64) (*metrics.Result, error)

// Run is one run of one arm.
type Run struct {
	Variant string          `json:"arm"`
	Seed    uint64          `json:"seed"`
	Result  *metrics.Result `json:"result"`
}

// Results are all runs of an experiment, by arm and seed.
type Results struct {
	Name     string    `json:"name"`
	About    string    `json:"about,omitempty"`
	Variants []string  `json:"arms"`
	Tables   []string  `json:"tables,omitempty"`
	Runs     []Run     `json:"runs"`
	Spans    []Span    `json:"spans,omitempty"` // troubles
	CutOff   string    `json:"cut_off,omitempty"`
	Expects  []Outcome `json:"expectations,omitempty"`
	Short    bool      `json:"short,omitempty"`
	Seeds    int       `json:"seeds"`
}

// Span is a trouble's time, in seconds.
type Span struct {
	Kind string  `json:"kind"`
	From float64 `json:"from"`
	To   float64 `json:"to"`
}

// Virtual plays in virtual time.
func Virtual(ctx context.Context, w *scenario.Scenario, arm Variant, seed uint64) (*metrics.Result, error) {
	if slices.Contains(statesyncsim.Variants[1:], arm.Decider) {
		return sim.Run(ctx, w, sim.Options{Seed: seed, New: statesyncsim.NewHubs(arm.Decider, seed, w).Decider})
	}
	return sim.Run(ctx, w, sim.Options{Decider: arm.Decider, Seed: seed})
}

// voidTries is how often a run that must not be used is played again.
const voidTries = 3

// Play plays all arms at all seeds. Where ctx ends or a host fails, the results
// hold what was measured until then, and the error says why it is not all.
// Step is called after each run, one at a time.
func (e *Experiment) Play(ctx context.Context, hosts map[string]Host, step func()) (*Results, error) {
	res := &Results{Name: e.Name, About: e.About, Tables: e.Tables, Seeds: e.Seeds}
	for _, a := range e.Variants {
		res.Variants = append(res.Variants, a.Name)
	}
	for i, w := range e.Worlds { // those of the first arm that has any
		if len(res.Spans) == 0 && e.Variants[i].Host != Overhead {
			res.Spans = spans(w)
		}
	}
	type slot struct{ arm, seed int }
	var virtual, real []slot
	for seed := range e.Seeds {
		for arm, a := range e.Variants {
			if a.Host == Sim {
				virtual = append(virtual, slot{arm, seed})
			} else {
				real = append(real, slot{arm, seed})
			}
		}
	}
	runs := make([]*metrics.Result, len(e.Variants)*e.Seeds)
	done := make(chan struct{})
	counted := make(chan struct{})
	go func() {
		defer close(counted)
		for range done {
			step()
		}
	}()
	play := func(ctx context.Context, s slot) error {
		a := e.Variants[s.arm]
		host := hosts[a.Host]
		if host == nil {
			return fmt.Errorf("arm %s: there is no host %q here", a.Name, a.Host)
		}
		for try := 1; ; try++ {
			r, err := host(ctx, e.Worlds[s.arm], a, uint64(s.seed+1))
			if err != nil {
				return fmt.Errorf("arm %s, seed %d: %w", a.Name, s.seed+1, err)
			}
			if r.Void == "" || try == voidTries {
				runs[s.arm*e.Seeds+s.seed] = r
				done <- struct{}{}
				return nil
			}
		}
	}
	g, inner := errgroup.WithContext(ctx)
	g.SetLimit(runtime.GOMAXPROCS(0))
	for _, s := range virtual {
		g.Go(func() error { return play(inner, s) })
	}
	err := g.Wait()
	for _, s := range real { // one at a time: each wants the machine for itself
		if err != nil || ctx.Err() != nil {
			break
		}
		err = play(ctx, s)
	}
	close(done)
	<-counted
	for arm, a := range e.Variants {
		for seed := range e.Seeds {
			if r := runs[arm*e.Seeds+seed]; r != nil {
				res.Runs = append(res.Runs, Run{a.Name, uint64(seed + 1), r})
			}
		}
	}
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		res.CutOff = err.Error()
		if errors.Is(err, context.Canceled) {
			res.CutOff = fmt.Sprintf("stopped after %d of %d runs", len(res.Runs), len(runs))
		}
	}
	return res, err
}

func spans(w *scenario.Scenario) (out []Span) {
	for _, t := range w.Faults {
		one := *w
		one.Faults = []scenario.Fault{t}
		from, to := metrics.Faulted(&one)
		out = append(out, Span{t.Kind, from.Seconds(), min(to, w.Length).Seconds()})
	}
	return out
}

// Of returns the runs of an arm in order of seed.
func (r *Results) Of(arm string) (runs []Run) {
	for _, run := range r.Runs {
		if run.Variant == arm {
			runs = append(runs, run)
		}
	}
	return runs
}

// Values returns a metric of an arm in order of seed; void runs and those that
// lack it are left out.
func (r *Results) Values(arm, metric string) (values []float64) {
	for _, run := range r.Of(arm) {
		if v, ok := run.Result.Metrics[metric]; ok && run.Result.Void == "" {
			values = append(values, v)
		}
	}
	return values
}

// Paired returns the difference of a metric between two arms, paired by seed.
func (r *Results) Paired(metric, a, b string) Difference {
	bySeed := func(arm string) map[uint64]float64 {
		m := map[uint64]float64{}
		for _, run := range r.Of(arm) {
			if v, ok := run.Result.Metrics[metric]; ok && run.Result.Void == "" {
				m[run.Seed] = v
			}
		}
		return m
	}
	x, y := bySeed(a), bySeed(b)
	var seeds []uint64
	for s := range x {
		seeds = append(seeds, s)
	}
	slices.Sort(seeds)
	var p, q []float64
	for _, s := range seeds {
		v, ok := y[s]
		if !ok {
			v = math.NaN()
		}
		p, q = append(p, x[s]), append(q, v)
	}
	return Differ(p, q)
}

// Single is one run as results, to be reported.
func Single(w *scenario.Scenario, arm string, r *metrics.Result) *Results {
	return &Results{Name: w.Name, About: w.About, Variants: []string{arm}, Seeds: 1, Spans: spans(w), Runs: []Run{{arm, 1, r}}}
}

// CostExperiment compares what proxies cost.
func CostExperiment(rounds int, length time.Duration, connections []int) *Experiment {
	e := &Experiment{File: File{Name: "overhead", Seeds: rounds, Tables: []string{"cpu_us", "rps", "p50", "p99", "busy"},
		About: "CPU of one pinned, saturated proxy for each request of 512 bytes, the proxies taking turns in each round."}}
	for _, n := range connections {
		for _, build := range []string{"ryerill", "relay", "reverseproxy"} {
			e.Variants = append(e.Variants, Variant{Name: fmt.Sprintf("%s_%d", build, n), Host: Overhead, Build: build, Connections: n})
			e.Worlds = append(e.Worlds, &scenario.Scenario{Length: length})
		}
	}
	return e
}
