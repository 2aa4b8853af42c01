package sim

import (
	"time"

	"ryerill/lab/invariant"
	"ryerill/lab/load"
	"ryerill/lab/metrics"
	"ryerill/lab/scenario"
)

// leaveSlack is how long beyond the slack a client's leaving takes: it comes after the response that the proxy still
// owes.
const leaveSlack = 2 * time.Millisecond

// frontSlot is the place of a front proxy, as clients know it.
type frontSlot struct {
	zone  int
	proxy *proxy // nil while none runs
}

// clientRequest is a scheduled request with all its retries.
type clientRequest struct {
	simulation *simulation
	scheduled  *load.Request
	deadline   time.Duration // the client gives up
	tries      int
	outcome    metrics.Outcome // of the latest try
}

// send sends the scheduled request of an index and schedules the next.
func (s *simulation) send(index int) {
	scheduled := &s.schedule[index]
	if next := index + 1; next < len(s.schedule) {
		s.at(s.schedule[next].At, func() { s.send(next) })
	}
	s.recorder.Count("first_tries", 1)
	c := &clientRequest{
		simulation: s,
		scheduled:  scheduled,
		deadline:   scheduled.At + s.scenario.Classes[scheduled.Class].Deadline,
		outcome:    metrics.TimedOut,
	}
	c.try()
}

// frontProxy returns the next front proxy for a client of a zone: one of its zone, or any if there is none there. A
// tenant may roam from proxy to proxy, and the first proxy may receive more than the others.
func (s *simulation) frontProxy(zone, tenant int) *proxy {
	count := len(s.front)
	if period := s.scenario.Tenants[tenant].Roams; period > 0 {
		for i := range count {
			if p := s.front[(int(s.now/period)+i)%count].proxy; p != nil {
				return p
			}
		}
	}
	if s.drawsFirstProxy() {
		return s.front[0].proxy
	}
	for _, anyZone := range []bool{false, true} {
		for range s.front {
			s.nextFront[zone]++
			slot := s.front[s.nextFront[zone]%count]
			if slot.proxy != nil && (anyZone || slot.zone == zone) {
				return slot.proxy
			}
		}
	}
	return nil
}

// drawsFirstProxy draws whether a request of an uneven load goes to the first proxy, if that runs.
func (s *simulation) drawsFirstProxy() bool {
	ratio := s.scenario.Load.Uneven
	if ratio <= 1 || s.front[0].proxy == nil {
		return false
	}
	return s.draws.client.Float64() < ratio/(ratio+float64(len(s.front)-1))
}

func (c *clientRequest) class() *scenario.Class {
	return &c.simulation.scenario.Classes[c.scheduled.Class]
}

// repeatable reports whether a client may repeat a request that may have been executed.
func (c *clientRequest) repeatable() bool {
	class := c.class()
	return class.Effect == "safe" || class.Effect == "keyed" && class.Group == "all"
}

// try sends the request once more.
func (c *clientRequest) try() {
	s := c.simulation
	c.tries++
	s.recorder.Count("tries", 1)
	timeout := min(time.Duration(s.scenario.Clients.Try*float64(c.class().Deadline)), c.deadline-s.now)
	delay := s.delay(noZone, 0)
	p := s.frontProxy(c.scheduled.Zone, c.scheduled.Tenant)
	if p == nil {
		c.outcome = metrics.Failed
		s.after(2*delay, func() { c.retry(true, 0) })
		return
	}
	giveUpAt := s.now + timeout
	over := false // answered or given up
	var sent *request
	s.after(delay, func() {
		if !p.alive {
			return
		}
		sent = p.accept(&request{
			class:       c.scheduled.Class,
			tenant:      c.scheduled.Tenant,
			key:         c.scheduled.Key,
			work:        c.scheduled.Work,
			clientRetry: c.tries > 1,
			deadline:    giveUpAt + delay,
			reply: func(r *request, result invariant.Result, retryAfter time.Duration) {
				s.after(delay, func() {
					if over {
						return
					}
					over = true
					c.answered(r, result, retryAfter)
				})
			},
		})
	})
	s.at(giveUpAt, func() {
		if over {
			return
		}
		over = true
		c.outcome = metrics.TimedOut
		s.after(delay+s.scenario.Rules.Slack+leaveSlack, func() {
			if sent != nil {
				sent.clientLeft()
			}
		})
		c.retry(c.repeatable(), 0)
	})
}

// answered handles the response to a try.
func (c *clientRequest) answered(r *request, result invariant.Result, retryAfter time.Duration) {
	s := c.simulation
	switch result {
	case invariant.Served:
		latency := s.now - c.scheduled.At
		outcome := metrics.OnTime
		if latency > c.class().LatencyObjective {
			outcome = metrics.Late
		}
		s.recorder.Count("work_useful", r.usefulWork)
		s.recorder.Final(c.scheduled, outcome, latency)
	case invariant.Shed:
		c.outcome = metrics.Shed
		s.recorder.Count("refusals", 1)
		c.retry(true, retryAfter)
	case invariant.Failed:
		c.outcome = metrics.Failed
		c.retry(c.repeatable(), 0)
	}
}

// retry tries once more if that is harmless and there is time, or records the outcome.
func (c *clientRequest) retry(harmless bool, retryAfter time.Duration) {
	s := c.simulation
	wait := s.scenario.Clients.Wait
	if retryAfter > 0 && s.draws.client.Float64() < s.scenario.Clients.Honour {
		wait = min(retryAfter, s.scenario.Rules.MaxRetryAfter)
	}
	if !harmless || c.tries > s.scenario.Clients.Retries || s.now+wait >= c.deadline {
		s.recorder.Final(c.scheduled, c.outcome, s.now-c.scheduled.At)
		return
	}
	s.after(wait, c.try)
}
