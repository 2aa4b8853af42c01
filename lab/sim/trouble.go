package sim

import (
	"fmt"
	"math"
	"time"

	"ryerill/balancer"
	"ryerill/lab/scenario"
)

// troubles puts what goes wrong on the agenda. Bursts are in the load already.
func (s *Sim) troubles() {
	for i := range s.w.Faults {
		t := &s.w.Faults[i]
		switch t.Kind {
		case scenario.Slow:
			s.during(t, func(p *provider, on bool) {
				factor := 1.0
				if on {
					factor = t.Factor
				}
				p.node.Slow(s.now, factor)
				p.wakeAt = 0
				p.wake()
			})
		case scenario.Hang:
			s.during(t, func(p *provider, on bool) {
				p.node.Hang(s.now, on)
				p.wakeAt = 0
				p.wake()
			})
		case scenario.Spoil:
			s.during(t, func(p *provider, on bool) {
				p.spoil = 0
				if on {
					p.spoil = t.Factor
				}
			})
		case scenario.Err:
			s.during(t, func(p *provider, on bool) {
				p.errs = 0
				if on {
					p.errs = t.Factor
				}
			})
		case scenario.Silent, scenario.ZoneLoss:
			s.during(t, func(p *provider, on bool) {
				if on {
					s.silence(p, t.For)
				}
			})
		case scenario.Release:
			chosen := s.choice(t)
			for k, p := range chosen {
				s.at(t.At+time.Duration(float64(t.For)*float64(k)/float64(len(chosen))), func() { s.release(p, t) })
			}
		case scenario.Replace:
			for _, p := range s.choice(t) {
				s.at(t.At, func() { s.replace(p, t) })
			}
		case scenario.Restart:
			n := max(1, int(math.Round(t.Fraction*float64(len(s.slots)))))
			for _, k := range s.part.Perm(len(s.slots))[:n] {
				s.at(t.At, func() { s.restart(k, t) })
			}
		case scenario.DiscoverySilent:
			d := s.tiers[max(s.w.TierIndex(t.Tier), 0)].directory
			s.at(t.At, func() { d.silent(true) })
			s.at(t.At+t.For, func() { d.silent(false) })
		}
	}
}

// choice draws the machines that a trouble meets.
func (s *Sim) choice(t *scenario.Fault) (chosen []*provider) {
	if t.Kind == scenario.ZoneLoss {
		for _, tier := range s.tiers {
			for _, p := range tier.providers {
				if s.w.Network.Zones[p.zone] == t.Zone {
					chosen = append(chosen, p)
				}
			}
		}
		return chosen
	}
	for _, tier := range s.tiers {
		if t.Tier != "all" && t.Tier != tier.spec.Name {
			continue
		}
		n := max(1, int(math.Round(t.Fraction*float64(len(tier.providers)))))
		for _, k := range s.part.Perm(len(tier.providers))[:n] {
			chosen = append(chosen, tier.providers[k])
		}
	}
	return chosen
}

// during turns something on and off at the machines of a trouble. What a
// process starts anew meanwhile is free of it.
func (s *Sim) during(t *scenario.Fault, turn func(p *provider, on bool)) {
	for _, p := range s.choice(t) {
		s.at(t.At, func() {
			if !p.up {
				return
			}
			turn(p, true)
			process := p.process
			s.at(t.At+t.For, func() {
				if process == p.process {
					turn(p, false)
				}
			})
		})
	}
}

// silence makes a machine unreachable for a time; it comes back cold.
func (s *Sim) silence(p *provider, length time.Duration) {
	p.stop(true)
	process, d := p.process, p.tier.directory
	s.after(s.w.Discovery.Silent, func() {
		if process == p.process {
			d.know(p, balancer.Gone)
		}
	})
	s.after(length, func() {
		if process == p.process {
			p.back()
			s.after(s.w.Discovery.Add, func() { d.know(p, balancer.Ready) })
		}
	})
}

// release drains a process, ends it and starts the next one under the same name.
func (s *Sim) release(p *provider, t *scenario.Fault) {
	if !p.up {
		return
	}
	d := p.tier.directory
	p.draining = true
	process := p.process
	s.after(s.w.Discovery.Lag, func() {
		if process == p.process {
			d.know(p, balancer.Draining)
		}
	})
	s.after(t.Drain, func() {
		if process != p.process || !p.up {
			return
		}
		p.stop(false)
		s.after(t.Pause, func() {
			p.back()
			s.after(s.w.Discovery.Add, func() { d.know(p, balancer.Ready) })
		})
	})
}

// replace ends a process without warning and starts one of another name in its place.
func (s *Sim) replace(p *provider, t *scenario.Fault) {
	if !p.up {
		return
	}
	d := p.tier.directory
	p.stop(false)
	s.after(s.w.Discovery.Lag, func() { d.know(p, balancer.Gone) })
	s.after(t.Pause, func() {
		n := s.newProvider(p.tier, fmt.Sprintf("%s-next", p.name), p.zone, p.group, p.speed)
		n.start(false)
		n.startProxy()
		s.after(s.w.Discovery.Add, func() { d.know(n, balancer.Ready) })
	})
}

// restart takes a proxy before the first tier out of use; what it has taken it
// still answers, and a new process takes its place.
func (s *Sim) restart(k int, t *scenario.Fault) {
	sl := s.slots[k]
	old := sl.proxy
	if old == nil {
		return
	}
	sl.proxy = nil
	name := fmt.Sprintf("front-%d", k)
	s.after(t.Pause, func() { sl.proxy = s.newProxy(s.tiers[0], k, sl.zone, name) })
	longest := time.Duration(0)
	for _, c := range s.w.Classes {
		longest = max(longest, c.Deadline)
	}
	s.after(longest+700*time.Millisecond, old.die)
}
