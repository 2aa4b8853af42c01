package sim

import (
	"fmt"
	"time"

	"ryerill/balancer"
	"ryerill/lab/scenario"
)

// drainSlack is how long beyond the longest deadline a front proxy that restarts goes on to answer.
const drainSlack = 700 * time.Millisecond

// scheduleFaults schedules the faults of the scenario. Bursts are in the load already.
func (s *simulation) scheduleFaults() {
	for i := range s.scenario.Faults {
		fault := &s.scenario.Faults[i]
		switch fault.Kind {
		case scenario.Release:
			targets := s.targets(fault)
			for i, e := range targets {
				s.at(fault.StepTime(i, len(targets)), func() { s.release(e, fault) })
			}
		case scenario.Replace:
			for _, e := range s.targets(fault) {
				s.at(fault.At, func() { s.replace(e, fault) })
			}
		case scenario.Restart:
			for _, index := range s.scenario.FaultProxies(fault, s.draws.fault) {
				s.at(fault.At, func() { s.restartProxy(index, fault) })
			}
		case scenario.DiscoverySilent:
			service := s.tiers[max(s.scenario.TierIndex(fault.Tier), 0)].discovery
			s.at(fault.At, func() { service.setSilent(true) })
			s.at(fault.At+fault.For, func() { service.setSilent(false) })
		default:
			if impair := s.impairment(fault); impair != nil {
				s.scheduleImpairment(fault, impair)
			}
		}
	}
}

// targets draws the endpoints that a fault affects.
func (s *simulation) targets(fault *scenario.Fault) []*endpoint {
	var targets []*endpoint
	for _, target := range s.scenario.FaultTargets(fault, s.draws.fault) {
		targets = append(targets, s.tiers[target.Tier].endpoints[target.Index])
	}
	return targets
}

// impairment returns what turns a fault on and off at an endpoint whose process goes on; nil for other faults.
func (s *simulation) impairment(fault *scenario.Fault) func(e *endpoint, on bool) {
	switch fault.Kind {
	case scenario.Slow:
		return func(e *endpoint, on bool) {
			e.machine.Slow(s.now, valueIf(on, fault.Factor, 1))
			e.reschedule()
		}
	case scenario.Hang:
		return func(e *endpoint, on bool) {
			e.machine.Hang(s.now, on)
			e.reschedule()
		}
	case scenario.Corrupt:
		return func(e *endpoint, on bool) { e.corruptPart = valueIf(on, fault.Factor, 0) }
	case scenario.Err:
		return func(e *endpoint, on bool) { e.errorPart = valueIf(on, fault.Factor, 0) }
	case scenario.Silent, scenario.ZoneLoss:
		return func(e *endpoint, on bool) {
			if on {
				s.silence(e, fault.For)
			}
		}
	}
	return nil
}

// valueIf returns a value if a fault is on, and the normal one otherwise.
func valueIf(on bool, value, normal float64) float64 {
	if on {
		return value
	}
	return normal
}

// scheduleImpairment turns an impairment on and off at the targets of a fault. What starts meanwhile is free of it.
func (s *simulation) scheduleImpairment(fault *scenario.Fault, impair func(e *endpoint, on bool)) {
	for _, e := range s.targets(fault) {
		s.at(fault.At, func() {
			if !e.running {
				return
			}
			impair(e, true)
			process := e.process
			s.at(fault.At+fault.For, func() {
				if process == e.process {
					impair(e, false)
				}
			})
		})
	}
}

// silence makes a machine unreachable for a time; it comes back cold.
func (s *simulation) silence(e *endpoint, length time.Duration) {
	e.stop(true)
	process := e.process
	service := e.tier.discovery
	s.after(s.scenario.Discovery.Silent, func() {
		if process == e.process {
			service.publish(e, balancer.Gone)
		}
	})
	s.after(length, func() {
		if process == e.process {
			e.startAgain()
			s.after(s.scenario.Discovery.Add, func() { service.publish(e, balancer.Ready) })
		}
	})
}

// release drains a process, ends it and starts the next one under the same name.
func (s *simulation) release(e *endpoint, fault *scenario.Fault) {
	if !e.running {
		return
	}
	service := e.tier.discovery
	e.draining = true
	process := e.process
	s.after(s.scenario.Discovery.Lag, func() {
		if process == e.process {
			service.publish(e, balancer.Draining)
		}
	})
	s.after(fault.Drain, func() {
		if process != e.process || !e.running {
			return
		}
		e.stop(false)
		s.after(fault.Pause, func() {
			e.startAgain()
			s.after(s.scenario.Discovery.Add, func() { service.publish(e, balancer.Ready) })
		})
	})
}

// replace ends a process without warning and starts one of another name in its place.
func (s *simulation) replace(e *endpoint, fault *scenario.Fault) {
	if !e.running {
		return
	}
	service := e.tier.discovery
	e.stop(false)
	s.after(s.scenario.Discovery.Lag, func() { service.publish(e, balancer.Gone) })
	s.after(fault.Pause, func() {
		next := s.newEndpoint(e.tier, e.name+"-next", e.zone, e.group, e.speed)
		next.start(false)
		next.startProxy()
		s.after(s.scenario.Discovery.Add, func() { service.publish(next, balancer.Ready) })
	})
}

// restartProxy takes a front proxy out of use, and a new one takes its place after a pause. What the old one has
// accepted it still answers.
func (s *simulation) restartProxy(index int, fault *scenario.Fault) {
	slot := s.front[index]
	old := slot.proxy
	if old == nil {
		return
	}
	slot.proxy = nil
	s.after(fault.Pause, func() {
		slot.proxy = s.newProxy(s.tiers[0], index, slot.zone, fmt.Sprintf("front-%d", index))
	})
	longest := time.Duration(0)
	for i := range s.scenario.Classes {
		longest = max(longest, s.scenario.Classes[i].Deadline)
	}
	s.after(longest+drainSlack, old.kill)
}
