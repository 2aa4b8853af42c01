package proxy

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"ryerill/config"
)

// settle is how long a reload waits for new pools' guarantees to come back from
// those who have borrowed. Later they come as they are given back.
const settle = time.Second

// Reload takes a whole configuration over while the proxy runs: listeners,
// routes, pools and their limits. What can fail is done first, and then nothing
// has changed. Invocations end in the pool that they met at their start; a pool
// that goes finishes them, and one of which only limits change keeps what it has
// learnt. What the machine allows, the proxy's name and its seed hold from the
// next start on.
func (p *Proxy) Reload(cfg config.Config) (err error) {
	defer func() {
		if err != nil {
			p.figures.notReloaded.Add(1)
		} else {
			p.figures.reloaded.Add(1)
		}
	}()
	p.reloading.Lock()
	defer p.reloading.Unlock()
	p.mu.Lock()
	running := p.ready && !p.ending
	old := p.cfg
	p.mu.Unlock()
	if !running {
		return fmt.Errorf("proxy %s: not running", old.Name)
	}
	cfg.Name, cfg.Seed = old.Name, old.Seed
	later := cfg.Limits != old.Limits
	later = later || cfg.Admin != old.Admin
	cfg.Limits, cfg.Admin, cfg.SharedDir = old.Limits, old.Admin, old.SharedDir

	// What may fail: addresses and guarantees.
	var fronts, opened []*listener
	for _, l := range cfg.Listeners {
		if i := slices.IndexFunc(p.fronts, func(f *listener) bool {
			return f.Listener.Address == l.Address && (f.Name == l.Name || !strings.HasSuffix(l.Address, ":0")) && !slices.Contains(fronts, f)
		}); i >= 0 {
			fronts = append(fronts, p.fronts[i])
			continue
		}
		f, err := p.listen(l, len(cfg.Listeners))
		if err != nil {
			for _, f := range opened {
				f.front.Close()
			}
			return fmt.Errorf("proxy %s: %w", cfg.Name, err)
		}
		fronts, opened = append(fronts, f), append(opened, f)
	}
	if !p.machine.claim(cfg.Pools) {
		for _, f := range opened {
			f.front.Close()
		}
		return fmt.Errorf("proxy %s: the pools' guarantees exceed what the machine has", cfg.Name)
	}
	for end := time.Now().Add(settle); !p.machine.settled(cfg.Pools) && time.Now().Before(end); time.Sleep(rebalance / 4) {
		p.machine.step()
	}

	p.mu.Lock()
	defer p.mu.Unlock()
	pools := map[string]*core{}
	var gone []*core
	kept, made := 0, 0
	for i, pool := range cfg.Pools {
		if c := p.pools[pool.Name]; c != nil && c.follows(pool) {
			pools[pool.Name] = c
			kept++
			continue
		}
		pools[pool.Name] = newCore(pool, cfg.Seed+uint64(i), p.machine.rooms(pool.Name), p.buffers, p.log, p.clock, &p.figures, p.word, false, p.shares())
		made++
	}
	now, problems := newServices(cfg.Routes, pools)
	if now == nil || p.ending {
		for name, c := range pools {
			if p.pools[name] != c {
				c.close()
			}
		}
		for _, f := range opened {
			f.front.Close()
		}
		p.machine.claim(old.Pools)
		for name := range pools {
			if p.pools[name] == nil {
				p.machine.left(name)
			}
		}
		if p.ending {
			return fmt.Errorf("proxy %s: not running", cfg.Name)
		}
		return fmt.Errorf("proxy %s: %w", cfg.Name, fatal(problems))
	}

	// From here on nothing fails.
	for _, pool := range cfg.Pools {
		if pools[pool.Name] == p.pools[pool.Name] {
			pools[pool.Name].adjust(pool)
		}
	}
	for name, c := range p.pools {
		if pools[name] != c {
			gone = append(gone, c)
		}
	}
	p.present.Store(now)
	p.pools, p.cfg = pools, cfg
	for _, l := range p.fronts {
		if !slices.Contains(fronts, l) {
			l.stop() // it serves what it has and ends
		}
	}
	p.fronts = fronts
	for _, l := range fronts {
		if slices.Contains(opened, l) {
			p.serve(l)
			l.front.Drain(p.drainsSince())
		} else {
			l.front.SetMaxConnections(p.connections(len(fronts)))
		}
	}
	for _, c := range gone {
		p.leaving.Add(1)
		p.parting[c] = struct{}{}
		go func() {
			defer p.leaving.Done()
			c.drain(c.cfg.Drain)
			p.mu.Lock()
			delete(p.parting, c)
			p.mu.Unlock()
			if name := c.cfg.Name; !p.has(name) { // another of its name shares its room
				p.machine.left(name)
			}
		}()
	}
	if p.refleet(old, cfg) {
		later = true
	}
	if p.side != nil {
		go func() { p.sayPhase(); p.place() }()
	}
	p.log.Info("configuration reloaded", "listeners", len(fronts), "routes", len(cfg.Routes), "pools kept", kept, "pools new", made,
		"pools gone", len(gone), "restart needed for the rest", later)
	return nil
}

// has tells whether routes lead to a pool of a name.
func (p *Proxy) has(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pools[name] != nil
}
