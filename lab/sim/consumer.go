package sim

import (
	"time"

	"ryerill/lab/invariant"
	"ryerill/lab/load"
	"ryerill/lab/metrics"
)

// slot is a place of a proxy before the first tier, as the front knows it.
type slot struct {
	zone  int
	proxy *proxy // nil while none runs
}

// first is a first try with all its retries.
type first struct {
	s     *Sim
	q     *load.Request
	until time.Duration // the consumer gives up
	tries int
	last  metrics.Outcome
}

// ask sends the first try of a number and schedules the next.
func (s *Sim) ask(n int) {
	q := &s.schedule[n]
	if n+1 < len(s.schedule) {
		s.at(s.schedule[n+1].At, func() { s.ask(n + 1) })
	}
	s.rec.Count("first_tries", 1)
	f := &first{s: s, q: q, until: q.At + s.w.Classes[q.Class].Deadline, last: metrics.TimedOut}
	f.try()
}

// choose picks the front's next proxy for a zone: its own, or any if there is none. A
// tenant may roam from proxy to proxy, and the first may be asked more than others.
func (s *Sim) choose(zone, tenant int) *proxy {
	n := len(s.slots)
	if roams := s.w.Tenants[tenant].Roams; roams > 0 {
		for i := range n {
			if p := s.slots[(int(s.now/roams)+i)%n].proxy; p != nil {
				return p
			}
		}
	}
	if more := s.w.Load.Uneven; more > 1 && s.slots[0].proxy != nil && s.who.Float64() < more/(more+float64(n-1)) {
		return s.slots[0].proxy
	}
	for _, any := range []bool{false, true} {
		for range s.slots {
			s.turns[zone]++
			sl := s.slots[s.turns[zone]%len(s.slots)]
			if sl.proxy != nil && (any || sl.zone == zone) {
				return sl.proxy
			}
		}
	}
	return nil
}

// try sends the next try.
func (f *first) try() {
	s := f.s
	c := &s.w.Classes[f.q.Class]
	f.tries++
	s.rec.Count("tries", 1)
	patience := min(time.Duration(s.w.Clients.Try*float64(c.Deadline)), f.until-s.now)
	way := s.delay(-1, 0)
	p := s.choose(f.q.Zone, f.q.Tenant)
	if p == nil {
		f.last = metrics.Failed
		s.after(2*way, func() { f.again(true, 0) })
		return
	}
	giveUp, over := s.now+patience, false
	var r *request
	s.after(way, func() {
		if !p.alive {
			return
		}
		r = p.take(&request{class: f.q.Class, tenant: f.q.Tenant, key: f.q.Key, work: f.q.Work, repeat: f.tries > 1,
			until: giveUp + way,
			reply: func(r *request, v invariant.Result, wait time.Duration) {
				s.after(way, func() {
					if over {
						return
					}
					over = true
					f.answered(r, v, wait)
				})
			}})
	})
	s.at(giveUp, func() {
		if over {
			return
		}
		over = true
		f.last = metrics.TimedOut
		// Word of it comes after the answer that the proxy still owes at this time.
		s.after(way+s.w.Rules.Slack+2*time.Millisecond, func() {
			if r != nil {
				r.leave()
			}
		})
		f.again(c.Effect == "safe" || c.Effect == "keyed" && c.Group == "all", 0)
	})
}

func (f *first) answered(r *request, v invariant.Result, wait time.Duration) {
	s := f.s
	c := &s.w.Classes[f.q.Class]
	switch v {
	case invariant.Served:
		took := s.now - f.q.At
		verdict := metrics.OnTime
		if took > c.LatencyObjective {
			verdict = metrics.Late
		}
		s.rec.Count("work_useful", r.useful)
		s.rec.Final(f.q, verdict, took)
	case invariant.Shed:
		f.last = metrics.Shed
		s.rec.Count("refusals", 1)
		f.again(true, wait)
	case invariant.Failed:
		f.last = metrics.Failed
		f.again(c.Effect == "safe" || c.Effect == "keyed" && c.Group == "all", 0)
	}
}

// again tries once more, if that is harmless and there is time, or books the end.
func (f *first) again(harmless bool, retryAfter time.Duration) {
	s := f.s
	wait := s.w.Clients.Wait
	if retryAfter > 0 && s.who.Float64() < s.w.Clients.Honour {
		wait = min(retryAfter, s.w.Rules.MaxRetryAfter)
	}
	if !harmless || f.tries > s.w.Clients.Retries || s.now+wait >= f.until {
		s.rec.Final(f.q, f.last, s.now-f.q.At)
		return
	}
	s.after(wait, f.try)
}
