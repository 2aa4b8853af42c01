package sim

import (
	"slices"
	"time"

	"ryerill/balancer"
	"ryerill/lab/invariant"
	"ryerill/lab/load"
	"ryerill/lab/servermodel"
)

// provider is one machine with its process.
type provider struct {
	s           *Sim
	tier        *tier
	id          balancer.EndpointID
	name        string
	zone, group int
	speed       float64

	node     *servermodel.Server
	before   float64 // work done by earlier processes
	up       bool    // the process runs
	silent   bool    // the machine can't be reached
	draining bool
	spoil    float64 // part of the answers that are spoilt
	errs     float64 // part of the requests that get an error at once
	process  int     // counts starts: what belongs to an earlier one is void
	started  time.Duration
	proxy    *proxy // for the next tier
	jobs     []*job
	lost     []*attempt // waits for a machine that went silent
	wakeAt   time.Duration
	tipped   bool
}

// job is an attempt's work at a provider.
type job struct {
	servermodel.Job
	p      *provider
	a      *attempt
	place  int     // in p.jobs
	pieces int     // calls still to be made
	piece  float64 // work before, between and after calls
	child  *request
}

func (s *Sim) newProvider(t *tier, name string, zone, group int, speed float64) *provider {
	p := &provider{s: s, tier: t, name: name, id: serverID(name), zone: zone, group: group, speed: speed}
	t.providers = append(t.providers, p)
	t.byID[p.id] = p
	return p
}

// start starts the process, cold unless it has run since long ago.
func (p *provider) start(warm bool) {
	if p.node != nil {
		p.before += p.node.Done()
	}
	p.process++
	p.up, p.silent, p.draining, p.tipped, p.wakeAt = true, false, false, false, 0
	p.spoil, p.errs = 0, 0
	p.node = servermodel.New(&p.tier.spec.Node, p.speed, p.s.now, warm)
	if !warm {
		p.started = p.s.now
	}
}

// startProxy starts the process's proxy for the next tier.
func (p *provider) startProxy() {
	if next := p.tier.index + 1; next < len(p.s.tiers) {
		index := slices.Index(p.tier.providers, p) % p.tier.spec.Endpoints
		p.proxy = p.s.newProxy(p.s.tiers[next], index, p.zone, p.name+"-proxy")
	}
}

// stop ends the process at once, by a kill or because its machine went silent.
func (p *provider) stop(silent bool) {
	p.up, p.silent = false, silent
	if p.proxy != nil {
		p.proxy.die()
		p.proxy = nil
	}
	for len(p.jobs) > 0 {
		j := p.jobs[len(p.jobs)-1]
		p.remove(j)
		if silent {
			p.lost = append(p.lost, j.a)
		} else {
			j.a.later(balancer.Reset)
		}
	}
}

// back starts the process again: what still waits for the silent machine is reset.
func (p *provider) back() {
	p.start(false)
	p.startProxy()
	for _, a := range p.lost {
		a.later(balancer.Reset)
	}
	p.lost = nil
}

// arrive takes an attempt's request in.
func (p *provider) arrive(a *attempt, process int) {
	switch {
	case a.ended: // its proxy has given it up meanwhile: the connection breaks before the last byte
		return
	case p.silent:
		p.lost = append(p.lost, a)
		return
	case !p.up || process != p.process:
		a.later(balancer.Reset)
		return
	case p.draining:
		a.later(balancer.Rejected)
		return
	case p.errs > 0 && p.s.work.Float64() < p.errs:
		a.later(balancer.Error)
		return
	}
	j := &job{p: p, a: a}
	if spec := p.tier.spec; p.tier.index+1 < len(p.s.tiers) {
		j.pieces = load.Calls(p.s.work, spec.Calls)
	}
	j.piece = a.r.work * p.tier.spec.Work / float64(j.pieces+1)
	j.Left, j.Tag = j.piece, j
	verdict := p.node.Offer(p.s.now, &j.Job)
	p.check()
	if verdict == servermodel.Rejected {
		a.later(balancer.Rejected)
	} else {
		a.job, j.place = j, len(p.jobs)
		p.jobs = append(p.jobs, j)
	}
	p.wake()
}

// check notices that the machine has been pushed over.
func (p *provider) check() {
	if p.node.Tipped() && !p.tipped {
		p.tipped = true
		p.s.oracle.Tipped(p.s.now, p.name, p.node.Received,
			p.tier.spec.Node.Cold.Tips*p.node.Capacity(p.s.now)*p.node.Rate()*p.tier.spec.Node.Cold.Within.Seconds())
		p.stop(true)
	}
}

// wake sees to it that done phases are noticed in time.
func (p *provider) wake() {
	at, ok := p.node.Next()
	if !ok || p.wakeAt > p.s.now && p.wakeAt <= at {
		return
	}
	process := p.process
	p.wakeAt = at
	p.s.at(at, func() {
		if process != p.process || at != p.wakeAt || !p.up {
			return
		}
		p.wakeAt = 0
		for {
			n := p.node.Pop(p.s.now)
			if n == nil {
				break
			}
			if j, ok := n.Tag.(*job); ok {
				p.phase(j)
			}
		}
		p.wake()
	})
}

// phase is called when a job's work on the cores is done: the next call, or the answer.
func (p *provider) phase(j *job) {
	j.a.work += j.piece
	if j.pieces > 0 && p.proxy != nil {
		j.pieces--
		p.call(j)
		return
	}
	p.remove(j)
	outcome := balancer.OK
	switch u := p.s.work.Float64(); {
	case u < p.tier.spec.Node.Errors:
		outcome = balancer.Error
	case u < p.tier.spec.Node.Errors+p.spoil:
		outcome = balancer.Reset
		p.s.rec.Count("spoilt", 1)
	}
	j.a.later(outcome)
}

// call makes a job's next call to the next tier, through the provider's own proxy.
func (p *provider) call(j *job) {
	r := j.a.r
	left := p.s.w.Classes[r.class].Deadline
	if p.s.w.Rules.PassDeadline {
		left = max(r.until-p.s.now, 0)
	}
	process := p.process
	j.child = p.proxy.take(&request{class: r.class, tenant: r.tenant, key: p.s.childKey(r), work: r.work, until: p.s.now + left,
		reply: func(c *request, v invariant.Result, _ time.Duration) {
			if process != p.process || j.child != c {
				return
			}
			j.child = nil
			if v != invariant.Served {
				p.remove(j)
				j.a.later(balancer.Error)
				p.wake()
				return
			}
			j.a.work += c.useful
			j.Left = j.piece
			p.node.Resume(p.s.now, &j.Job)
			p.wake()
		}})
}

// childKey gives each call of the next tier a key of its own.
func (s *Sim) childKey(r *request) uint64 {
	s.ids++
	return r.key ^ s.ids<<20 | 1
}

// remove takes a job off the machine, with the call that it has out.
func (p *provider) remove(j *job) {
	p.node.End(p.s.now, &j.Job)
	last := len(p.jobs) - 1
	p.jobs[j.place] = p.jobs[last]
	p.jobs[j.place].place = j.place
	p.jobs[last] = nil
	p.jobs = p.jobs[:last]
	j.a.job = nil
	if c := j.child; c != nil {
		j.child = nil
		c.leave()
	}
}

// abandon is word that the proxy no longer waits: what a cancel stops is dropped.
func (p *provider) abandon(a *attempt, process int) {
	j := a.job
	if j == nil || process != p.process || !p.up {
		return
	}
	if j.Queued() || p.tier.spec.Node.Cancel == "all" {
		p.remove(j)
		p.wake()
	}
}
