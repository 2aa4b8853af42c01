package realtime

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"ryerill/discovery"
	"ryerill/lab/load"
	"ryerill/lab/scenario"
	"ryerill/lab/servermodel"
)

// troubles does what goes wrong, each in its time.
func (r *run) troubles(ctx context.Context) {
	rng := load.Stream(r.seed, 6)
	var all sync.WaitGroup
	defer all.Wait()
	begin := func(at time.Duration, f func()) {
		all.Add(1)
		go func() {
			defer all.Done()
			if r.until(ctx, at) {
				f()
			}
		}()
	}
	for i := range r.w.Faults {
		t := &r.w.Faults[i]
		var chosen []*provider
		switch t.Kind {
		case scenario.ZoneLoss:
			for _, tier := range r.tiers {
				for _, p := range tier {
					if r.w.Network.Zones[p.zone] == t.Zone {
						chosen = append(chosen, p)
					}
				}
			}
		case scenario.Slow, scenario.Hang, scenario.Spoil, scenario.Err, scenario.Silent, scenario.Release, scenario.Replace:
			for k, tier := range r.tiers {
				if t.Tier != "all" && t.Tier != r.w.Tiers[k].Name {
					continue
				}
				n := max(1, int(math.Round(t.Fraction*float64(len(tier)))))
				for _, j := range rng.Perm(len(tier))[:n] {
					chosen = append(chosen, tier[j])
				}
			}
		}
		begin(t.At, func() { r.say(describe(t, len(chosen))) })
		switch t.Kind {
		case scenario.Release:
			for k, p := range chosen {
				begin(t.At+time.Duration(float64(t.For)*float64(k)/float64(len(chosen))), func() { r.release(ctx, p, t) })
			}
			continue
		case scenario.Restart:
			n := max(1, int(math.Round(t.Fraction*float64(len(r.slots)))))
			for _, k := range rng.Perm(len(r.slots))[:n] {
				begin(t.At, func() { r.restart(ctx, k, t) })
			}
			continue
		case scenario.Reload:
			for k := range t.Count {
				begin(t.At+time.Duration(float64(t.For)*float64(k)/float64(t.Count)), func() { r.reload(k) })
			}
			continue
		case scenario.DiscoverySilent:
			g := r.registries[max(r.w.TierIndex(t.Tier), 0)]
			begin(t.At, func() { g.silent(true) })
			begin(t.At+t.For, func() { g.silent(false); r.say("the directory answers again") })
			continue
		case scenario.Replace:
			for _, p := range chosen {
				begin(t.At, func() { r.replace(ctx, p, t) })
			}
			continue
		case scenario.Burst:
			begin(t.At+t.For, func() { r.say("the burst is over") })
			continue
		}
		for _, p := range chosen {
			begin(t.At, func() { r.during(ctx, p, t) })
		}
	}
}

func describe(t *scenario.Fault, n int) string {
	switch t.Kind {
	case scenario.Burst:
		return fmt.Sprintf("a burst to %g times the load", t.Factor)
	case scenario.Slow:
		return fmt.Sprintf("%d providers run %g times slower", n, t.Factor)
	case scenario.Release:
		return fmt.Sprintf("a release: %d providers drain and restart in turn", n)
	case scenario.Restart:
		return "proxies restart"
	case scenario.DiscoverySilent:
		return "the directory falls silent"
	case scenario.Reload:
		return fmt.Sprintf("%d new configurations", t.Count)
	case scenario.ZoneLoss:
		return fmt.Sprintf("zone %s is lost: %d providers go silent", t.Zone, n)
	}
	return fmt.Sprintf("%s: %d providers", t.Kind, n)
}

// until waits for a time of the run; false if the run ends before.
func (r *run) until(ctx context.Context, at time.Duration) bool {
	t := time.NewTimer(at - time.Since(r.began))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) during(ctx context.Context, p *provider, t *scenario.Fault) {
	proc := p.current()
	if proc == nil {
		return
	}
	switch t.Kind {
	case scenario.Slow:
		proc.machine.do(func(n *servermodel.Server, now time.Duration) { n.Slow(now, t.Factor) })
		if r.until(ctx, t.At+t.For) {
			proc.machine.do(func(n *servermodel.Server, now time.Duration) { n.Slow(now, 1) })
		}
	case scenario.Hang:
		proc.machine.do(func(n *servermodel.Server, now time.Duration) { n.Hang(now, true) })
		if r.until(ctx, t.At+t.For) {
			proc.machine.do(func(n *servermodel.Server, now time.Duration) { n.Hang(now, false) })
		}
	case scenario.Err:
		proc.errs.Store(uint64(t.Factor * 1e6))
		if r.until(ctx, t.At+t.For) {
			proc.errs.Store(0)
		}
	case scenario.Spoil:
		proc.spoil.Store(uint64(t.Factor * 1e6))
		if r.until(ctx, t.At+t.For) {
			proc.spoil.Store(0)
		}
	case scenario.Silent, scenario.ZoneLoss:
		proc.silent.Store(true)
		proc.machine.do(func(n *servermodel.Server, now time.Duration) { n.Hang(now, true) })
		p.dropProxy()
		g := r.registries[p.tier]
		if noticed := t.At + r.w.Discovery.Silent; noticed < t.At+t.For {
			if !r.until(ctx, noticed) {
				return
			}
			g.know(p, discovery.Gone)
		}
		if r.until(ctx, t.At+t.For) {
			p.stop()
			r.again(ctx, p)
		}
	}
}

// again starts a provider's next process, cold, and lets the directory know late.
func (r *run) again(ctx context.Context, p *provider) {
	if err := p.start(false); err != nil {
		r.crash(err)
		return
	}
	if r.w.NextTier(p.tier) >= 0 {
		index := 0
		for j, q := range r.tiers[p.tier] {
			if q == p {
				index = j
			}
		}
		inst, err := r.newProxy(ctx, p.tier+1, index, p.zone, p.name+"-proxy")
		if err != nil {
			if ctx.Err() == nil {
				r.crash(err)
			}
			return
		}
		p.mu.Lock()
		p.proxy = inst
		p.mu.Unlock()
	}
	if r.until(ctx, time.Since(r.began)+r.w.Discovery.Add) {
		r.registries[p.tier].know(p, discovery.Ready)
	}
}

func (r *run) crash(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crashed == nil {
		r.crashed = err
	}
}

// dropProxy ends the proxy that belongs to a provider's process.
func (p *provider) dropProxy() {
	p.mu.Lock()
	inst := p.proxy
	p.proxy = nil
	p.mu.Unlock()
	if inst != nil {
		inst.kill()
		p.run.mu.Lock()
		p.run.oracle.Died(inst.number)
		p.run.mu.Unlock()
	}
}

func (r *run) release(ctx context.Context, p *provider, t *scenario.Fault) {
	proc := p.current()
	if proc == nil {
		return
	}
	start := time.Since(r.began)
	proc.draining.Store(true)
	if lag := r.w.Discovery.Lag; lag < t.Drain {
		if !r.until(ctx, start+lag) {
			return
		}
		r.registries[p.tier].know(p, discovery.Terminating)
	}
	if !r.until(ctx, start+t.Drain) {
		return
	}
	p.dropProxy()
	p.stop()
	if r.until(ctx, start+t.Drain+t.Pause) {
		r.again(ctx, p)
	}
}

// replace ends a process and starts one of another name at its address.
func (r *run) replace(ctx context.Context, p *provider, t *scenario.Fault) {
	start := time.Since(r.began)
	p.dropProxy()
	p.stop()
	go func() {
		if r.until(ctx, start+r.w.Discovery.Lag) {
			r.registries[p.tier].know(p, discovery.Gone)
		}
	}()
	if !r.until(ctx, start+t.Pause) {
		return
	}
	next := &provider{run: r, tier: p.tier, name: p.name + "-next", zone: p.zone, group: p.group, speed: p.speed, addresses: p.addresses}
	r.mu.Lock()
	r.extra = append(r.extra, next)
	r.mu.Unlock()
	r.again(ctx, next)
}

// restart ends a front proxy by SIGTERM and starts the next one in its place.
func (r *run) restart(ctx context.Context, k int, t *scenario.Fault) {
	r.mu.Lock()
	old := r.slots[k]
	r.slots[k] = nil
	zone := r.slotOf[k]
	r.mu.Unlock()
	if old == nil {
		return
	}
	old.leave()
	if !r.until(ctx, time.Since(r.began)+t.Pause) {
		return
	}
	inst, err := r.newProxy(ctx, 0, k, zone, fmt.Sprintf("front-%d", k))
	if err != nil {
		if ctx.Err() == nil {
			r.crash(err)
		}
		return
	}
	r.mu.Lock()
	r.slots[k] = inst
	r.mu.Unlock()
}
