package realtime

import (
	"context"
	"fmt"
	"sync"
	"time"

	"ryerill/discovery"
	"ryerill/lab/load"
	"ryerill/lab/scenario"
)

// faultInjector injects the faults of a scenario, each at its time.
type faultInjector struct {
	run   *run
	tasks sync.WaitGroup // all goroutines that it started
}

// injectFaults injects the scenario's faults; it returns when all are over or ctx ends.
func (r *run) injectFaults(ctx context.Context) {
	injector := &faultInjector{run: r}
	defer injector.tasks.Wait()
	rng := load.Stream(r.seed, faultStream)
	for i := range r.scenario.Faults {
		fault := &r.scenario.Faults[i]
		var targets []*endpoint
		if affectsEndpoints(fault.Kind) {
			for _, target := range r.scenario.FaultTargets(fault, rng) {
				targets = append(targets, r.tiers[target.Tier][target.Index])
			}
		}
		injector.schedule(ctx, fault.At, func() { r.audit.report(describe(fault, len(targets))) })
		if len(targets) > 0 {
			injector.injectIntoEndpoints(ctx, fault, targets)
			continue
		}
		switch fault.Kind {
		case scenario.Restart:
			for _, slot := range r.scenario.FaultProxies(fault, rng) {
				injector.schedule(ctx, fault.At, func() { r.restartProxy(ctx, slot, fault) })
			}
		case scenario.Reload:
			for variant := range fault.Count {
				injector.schedule(ctx, fault.StepTime(variant, fault.Count), func() { r.reloadProxies(variant) })
			}
		case scenario.DiscoverySilent:
			service := r.discovery[max(r.scenario.TierIndex(fault.Tier), 0)]
			injector.schedule(ctx, fault.At, func() { service.setSilent(true) })
			injector.schedule(ctx, fault.At+fault.For, func() {
				service.setSilent(false)
				r.audit.report("the directory answers again")
			})
		case scenario.Burst: // the generator's schedule holds it
			injector.schedule(ctx, fault.At+fault.For, func() { r.audit.report("the burst is over") })
		}
	}
}

// affectsEndpoints reports whether a fault of a kind has endpoints as its targets.
func affectsEndpoints(kind string) bool {
	switch kind {
	case scenario.Slow, scenario.Hang, scenario.Corrupt, scenario.Err, scenario.Silent, scenario.ZoneLoss,
		scenario.Release, scenario.Replace:
		return true
	}
	return false
}

// schedule starts a goroutine that calls action at a time of the run, unless ctx ends before.
func (f *faultInjector) schedule(ctx context.Context, at time.Duration, action func()) {
	f.tasks.Go(func() {
		if f.run.waitUntil(ctx, at) {
			action()
		}
	})
}

// injectIntoEndpoints schedules a fault at its targets.
func (f *faultInjector) injectIntoEndpoints(ctx context.Context, fault *scenario.Fault, targets []*endpoint) {
	for i, target := range targets {
		switch fault.Kind {
		case scenario.Release:
			f.schedule(ctx, fault.StepTime(i, len(targets)), func() { f.run.release(ctx, target, fault) })
		case scenario.Replace:
			f.schedule(ctx, fault.At, func() { f.replace(ctx, target, fault) })
		default:
			f.schedule(ctx, fault.At, func() { f.run.impair(ctx, target, fault) })
		}
	}
}

// describe returns what a fault does to a number of endpoints, for those who watch the run.
func describe(fault *scenario.Fault, endpoints int) string {
	switch fault.Kind {
	case scenario.Burst:
		return fmt.Sprintf("a burst to %g times the load", fault.Factor)
	case scenario.Slow:
		return fmt.Sprintf("%d providers run %g times slower", endpoints, fault.Factor)
	case scenario.Release:
		return fmt.Sprintf("a release: %d providers drain and restart in turn", endpoints)
	case scenario.Restart:
		return "proxies restart"
	case scenario.DiscoverySilent:
		return "the directory falls silent"
	case scenario.Reload:
		return fmt.Sprintf("%d new configurations", fault.Count)
	case scenario.ZoneLoss:
		return fmt.Sprintf("zone %s is lost: %d providers go silent", fault.Zone, endpoints)
	}
	return fmt.Sprintf("%s: %d providers", fault.Kind, endpoints)
}

// waitUntil waits for a time of the run; it returns false if ctx ends before.
func (r *run) waitUntil(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(at - time.Since(r.began))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// impair impairs an endpoint's process for the length of a fault. What starts meanwhile is free of it.
func (r *run) impair(ctx context.Context, e *endpoint, fault *scenario.Fault) {
	proc := e.current()
	if proc == nil {
		return
	}
	end := fault.At + fault.For
	switch fault.Kind {
	case scenario.Slow:
		proc.machine.setSlowdown(fault.Factor)
		if r.waitUntil(ctx, end) {
			proc.machine.setSlowdown(1)
		}
	case scenario.Hang:
		proc.machine.setHung(true)
		if r.waitUntil(ctx, end) {
			proc.machine.setHung(false)
		}
	case scenario.Err:
		proc.errorPart.Store(uint64(fault.Factor * millionths))
		if r.waitUntil(ctx, end) {
			proc.errorPart.Store(0)
		}
	case scenario.Corrupt:
		proc.corruptPart.Store(uint64(fault.Factor * millionths))
		if r.waitUntil(ctx, end) {
			proc.corruptPart.Store(0)
		}
	case scenario.Silent, scenario.ZoneLoss:
		proc.silent.Store(true)
		proc.machine.setHung(true)
		r.silence(ctx, e, fault)
	}
}

// silence keeps an endpoint unreachable until the end of a fault, and starts it again, cold.
func (r *run) silence(ctx context.Context, e *endpoint, fault *scenario.Fault) {
	e.killProxy()
	end := fault.At + fault.For
	if noticed := fault.At + r.scenario.Discovery.Silent; noticed < end {
		if !r.waitUntil(ctx, noticed) {
			return
		}
		r.discovery[e.tier].publish(e, discovery.Gone)
	}
	if r.waitUntil(ctx, end) {
		e.stop()
		r.startAgain(ctx, e)
	}
}

// startAgain starts an endpoint's next process, cold, and publishes it after the delay of discovery.
func (r *run) startAgain(ctx context.Context, e *endpoint) {
	if err := e.start(false); err != nil {
		r.fail(err)
		return
	}
	if r.scenario.NextTier(e.tier) >= 0 {
		index := 0 // of an endpoint that replaces another
		for i, other := range r.tiers[e.tier] {
			if other == e {
				index = i
			}
		}
		if err := r.startEndpointProxy(ctx, e, index); err != nil {
			if ctx.Err() == nil {
				r.fail(err)
			}
			return
		}
	}
	if r.waitUntil(ctx, time.Since(r.began)+r.scenario.Discovery.Add) {
		r.discovery[e.tier].publish(e, discovery.Ready)
	}
}

// release drains a process, ends it and starts the next one under the same name.
func (r *run) release(ctx context.Context, e *endpoint, fault *scenario.Fault) {
	proc := e.current()
	if proc == nil {
		return
	}
	start := time.Since(r.began)
	proc.draining.Store(true)
	if lag := r.scenario.Discovery.Lag; lag < fault.Drain {
		if !r.waitUntil(ctx, start+lag) {
			return
		}
		r.discovery[e.tier].publish(e, discovery.Terminating)
	}
	if !r.waitUntil(ctx, start+fault.Drain) {
		return
	}
	e.killProxy()
	e.stop()
	if r.waitUntil(ctx, start+fault.Drain+fault.Pause) {
		r.startAgain(ctx, e)
	}
}

// replace ends a process and starts one of another name at its address.
func (f *faultInjector) replace(ctx context.Context, e *endpoint, fault *scenario.Fault) {
	r := f.run
	start := time.Since(r.began)
	e.killProxy()
	e.stop()
	f.schedule(ctx, start+r.scenario.Discovery.Lag, func() { r.discovery[e.tier].publish(e, discovery.Gone) })
	if !r.waitUntil(ctx, start+fault.Pause) {
		return
	}
	next := &endpoint{
		run: r, tier: e.tier, name: e.name + "-next", zone: e.zone, group: e.group, speed: e.speed,
		addresses: e.addresses,
	}
	r.mu.Lock()
	r.replacements = append(r.replacements, next)
	r.mu.Unlock()
	r.startAgain(ctx, next)
}

// restartProxy ends a front proxy by SIGTERM and starts the next one in its place.
func (r *run) restartProxy(ctx context.Context, index int, fault *scenario.Fault) {
	r.mu.Lock()
	slot := r.front[index]
	old := slot.proxy
	slot.proxy = nil
	r.mu.Unlock()
	if old == nil {
		return
	}
	old.terminate()
	if !r.waitUntil(ctx, time.Since(r.began)+fault.Pause) {
		return
	}
	next, err := r.startProxy(ctx, 0, index, slot.zone, fmt.Sprintf("front-%d", index))
	if err != nil {
		if ctx.Err() == nil {
			r.fail(err)
		}
		return
	}
	r.mu.Lock()
	slot.proxy = next
	r.mu.Unlock()
}

// reloadProxies gives each front proxy a variant of its configuration.
func (r *run) reloadProxies(variant int) {
	for _, proxy := range r.frontProxies() {
		if err := proxy.reload(variant); err != nil {
			r.fail(err)
			return
		}
		r.audit.count("reloads_asked", 1)
	}
}
