package experiment

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"ryerill/lab/metrics"
	"ryerill/lab/scenario"
	"ryerill/lab/sim"
	"ryerill/lab/statesyncsim"
)

// Host plays a variant in a scenario once.
type Host func(ctx context.Context, s *scenario.Scenario, variant Variant, seed uint64) (*metrics.Result, error)

// Virtual is the host that plays in virtual time.
func Virtual(ctx context.Context, s *scenario.Scenario, variant Variant, seed uint64) (*metrics.Result, error) {
	options := sim.Options{Seed: seed}
	if slices.Contains(sharingDeciders, variant.Decider) {
		options.New = statesyncsim.NewHubs(variant.Decider, seed, s).Decider
	} else {
		options.Decider = variant.Decider
	}
	return sim.Run(ctx, s, options)
}

// maxTries is how often a run is played whose result is void.
const maxTries = 3

// Play plays all variants with all seeds. Where ctx ends or a host fails, the results hold what was measured until
// then, and the error says why it is not all. step is called after each run, one at a time.
func (e *Experiment) Play(ctx context.Context, hosts map[string]Host, step func()) (*Results, error) {
	p := player{
		Experiment: e,
		hosts:      hosts,
		results:    make([]*metrics.Result, len(e.Variants)*e.Seeds),
		step:       step,
	}
	err := p.playAll(ctx)
	if err == nil {
		err = ctx.Err()
	}
	res := p.collect()
	if err != nil {
		res.CutOff = err.Error()
		if errors.Is(err, context.Canceled) {
			res.CutOff = fmt.Sprintf("stopped after %d of %d runs", len(res.Runs), len(p.results))
		}
	}
	return res, err
}

// slot is one run to be made.
type slot struct {
	variant int
	seed    int // from 0 on
}

// player plays an experiment once.
type player struct {
	*Experiment
	hosts   map[string]Host
	results []*metrics.Result // by index; nil is not measured; each is written by the run that has its slot

	stepMu sync.Mutex // calls of step are one at a time
	step   func()
}

func (p *player) index(s slot) int { return s.variant*p.Seeds + s.seed }

// playAll plays what runs in virtual time on all cores, and then the rest.
func (p *player) playAll(ctx context.Context) error {
	var virtual, real []slot
	for seed := range p.Seeds {
		for i, variant := range p.Variants {
			if variant.Host == Sim {
				virtual = append(virtual, slot{i, seed})
			} else {
				real = append(real, slot{i, seed})
			}
		}
	}
	group, groupContext := errgroup.WithContext(ctx)
	group.SetLimit(runtime.GOMAXPROCS(0))
	for _, s := range virtual {
		group.Go(func() error { return p.play(groupContext, s) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, s := range real { // one at a time: each wants the machine for itself
		if ctx.Err() != nil {
			break
		}
		if err := p.play(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// play plays one run, and again as long as its result is void, some times at most.
func (p *player) play(ctx context.Context, s slot) error {
	variant := p.Variants[s.variant]
	host := p.hosts[variant.Host]
	if host == nil {
		return fmt.Errorf("arm %s: there is no host %q here", variant.Name, variant.Host)
	}
	seed := uint64(s.seed + 1)
	for try := 1; ; try++ {
		result, err := host(ctx, p.Scenarios[s.variant], variant, seed)
		if err != nil {
			return fmt.Errorf("arm %s, seed %d: %w", variant.Name, seed, err)
		}
		if result.Void == "" || try == maxTries {
			p.results[p.index(s)] = result
			p.finishStep()
			return nil
		}
	}
}

func (p *player) finishStep() {
	p.stepMu.Lock()
	defer p.stepMu.Unlock()
	p.step()
}

// collect returns what was measured, by variant and seed.
func (p *player) collect() *Results {
	res := &Results{
		Name:   p.Name,
		About:  p.About,
		Tables: p.Tables,
		Seeds:  p.Seeds,
	}
	for i, variant := range p.Variants {
		res.Variants = append(res.Variants, variant.Name)
		if len(res.Faults) == 0 && variant.Host != Overhead { // those of the first variant that has any
			res.Faults = faultSpans(p.Scenarios[i])
		}
	}
	for i, variant := range p.Variants {
		for seed := range p.Seeds {
			if result := p.results[p.index(slot{i, seed})]; result != nil {
				res.Runs = append(res.Runs, Run{Variant: variant.Name, Seed: uint64(seed + 1), Result: result})
			}
		}
	}
	return res
}

// CostExperiment returns an experiment that compares what proxies cost.
func CostExperiment(rounds int, length time.Duration, connections []int) *Experiment {
	e := &Experiment{File: File{
		Name: "overhead",
		About: "CPU of one pinned, saturated proxy for each request of 512 bytes, " +
			"the proxies taking turns in each round.",
		Seeds:  rounds,
		Tables: []string{"cpu_us", "rps", "p50", "p99", "busy"},
	}}
	for _, n := range connections {
		for _, build := range []string{productDecider, "relay", "reverseproxy"} {
			e.Variants = append(e.Variants, Variant{
				Name:        fmt.Sprintf("%s_%d", build, n),
				Host:        Overhead,
				Build:       build,
				Connections: n,
			})
			e.Scenarios = append(e.Scenarios, &scenario.Scenario{Length: length})
		}
	}
	return e
}
