package proxy

import (
	"context"
	"encoding/json"
	"time"

	"ryerill/balancer"
	"ryerill/drain"
	"ryerill/internal/handover"
)

const (
	newsWithin  = 4 * time.Second        // a second process waits so long for the directory: it is due to be ready in 6 s
	learnWithin = 300 * time.Millisecond // and so long for what the first one has learnt
)

// known is what a process makes known of a pool to the others of its proxy.
type known struct {
	InFlight int               `json:"in_flight"`
	Learnt   balancer.Snapshot `json:"learnt"`
}

// await waits until each pool has heard the directory: what the configuration
// lists may be as old as the process before this one. Then it takes over what
// that process has learnt.
func (p *Proxy) await(ctx context.Context) {
	limit := time.NewTimer(newsWithin)
	defer limit.Stop()
	for _, c := range p.cores() {
		select {
		case <-c.heard:
		case <-ctx.Done():
			return
		case <-limit.C:
			p.log.Warn("no word from a directory, going on with the list known before", "pool", c.cfg.Name)
			limit.Reset(0)
		}
	}
	select {
	case <-p.taught:
	case <-ctx.Done():
	case <-time.After(learnWithin):
		p.log.Warn("the process before this one does not tell what it has learnt")
	}
}

// say makes known what this process is at.
func (p *Proxy) say(now handover.State) {
	p.mu.Lock()
	p.state = now
	p.mu.Unlock()
	p.publish()
}

// publish makes known what this process is at, what it has in flight, and what it
// has learnt.
func (p *Proxy) publish() {
	p.mu.Lock()
	state, pools := p.state, make(map[string]known, len(p.pools))
	for name, c := range p.pools {
		pools[name] = c.known()
	}
	p.mu.Unlock()
	text, err := json.Marshal(pools)
	if err != nil {
		p.log.Warn("what was learnt can't be made known", "error", err)
	}
	p.siblings.Publish(state, text)
}

// divide takes in what other processes of this proxy are at: what is allowed,
// is allowed them all together.
func (p *Proxy) divide(others []handover.Process) {
	together, inFlight := 0, map[string]int{}
	var heir map[string]known // of who serves now
	for _, o := range others {
		var pools map[string]known
		if json.Unmarshal([]byte(o.Text), &pools) != nil {
			pools = nil // torn, or of another version: the next look may find more
		}
		if o.State == handover.Starting {
			continue
		}
		together++
		for name, k := range pools {
			inFlight[name] += max(k.InFlight, 0)
		}
		if o.State == handover.Serving && len(pools) > 0 {
			heir = pools
		}
	}
	p.mu.Lock()
	if lives := 1 + len(others); lives != p.lives {
		p.lives = lives
		p.machine.divide(lives)
		p.onShare(1 / float64(lives))
		for _, l := range p.fronts {
			l.front.SetMaxConnections(p.connections(len(p.fronts)))
		}
	}
	for name, c := range p.pools {
		c.beside(together, inFlight[name])
	}
	for c := range p.parting {
		c.beside(together, 0)
	}
	if p.state == handover.Starting && p.pools != nil && heir != nil {
		for name, c := range p.pools {
			if k, told := heir[name]; told {
				c.adopt(k.Learnt)
			}
		}
		p.teach.Do(func() { close(p.taught) })
	}
	p.mu.Unlock()
	if len(others) > 0 {
		p.publish()
	}
}

// known is what other processes should know of the pool.
func (c *core) known() known {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, inFlight := c.balancer.Concurrency()
	return known{inFlight, c.balancer.Snapshot()}
}

// beside tells the Balancer of others at its place.
func (c *core) beside(others, inFlight int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.SetSiblings(others, inFlight)
}

// adopt has the Balancer begin with what another one has learnt.
func (c *core) adopt(l balancer.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancer.Restore(l)
}

// ends tells whether the whole process does.
func (p *Proxy) ends() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life.Err() != nil
}

// ShutdownPlan is the plan by which a front ends: its consumers are led over to a
// process that serves beside this one, if there is one.
func (p *Proxy) ShutdownPlan(killed time.Duration) drain.Plan {
	for _, other := range p.siblings.Others() {
		if other.State == handover.Serving {
			p.log.Info("handing over to the process that serves beside this one")
			return drain.Handover()
		}
	}
	plan := drain.Shutdown(killed)
	plan.KeepsProcess = !p.ends()
	return plan
}
