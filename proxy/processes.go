package proxy

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"ryerill/balancer"
	"ryerill/drain"
	"ryerill/internal/handover"
)

const (
	// listTimeout bounds how long a second process waits for discovery: it is due to be ready in 6 s.
	listTimeout = 4 * time.Second
	// snapshotTimeout bounds how long it then waits for what the first one has learnt.
	snapshotTimeout = 300 * time.Millisecond
)

// processes are the processes of this proxy, as this one sees them. At an upgrade there are two.
type processes struct {
	registry *handover.Registry
	second   bool // another one was there before this one
	// onShare is called with this process's part of the machine's memory.
	onShare func(part float64)
	// restored is closed once what another process has learnt is taken over.
	restored     chan struct{}
	markRestored func() // closes it, once

	// The fields below are guarded by the proxy's mutex.
	count int // this one among them
	state handover.State
}

func newProcesses() processes {
	restored := make(chan struct{})
	return processes{
		onShare:      func(float64) {},
		restored:     restored,
		markRestored: sync.OnceFunc(func() { close(restored) }),
		count:        1,
		state:        handover.Starting,
	}
}

// successor reports whether another process of this proxy serves.
func (s *processes) successor() bool {
	return slices.ContainsFunc(s.registry.Others(), func(other handover.Process) bool {
		return other.State == handover.Serving
	})
}

// poolState is what a process publishes of a pool for the others of its proxy.
type poolState struct {
	InFlight int               `json:"in_flight"`
	Learnt   balancer.Snapshot `json:"learnt"`
}

// awaitHandover waits until discovery has answered each pool: the list in the configuration
// may be as old as the process before this one. Then it waits until what that process has
// learnt is taken over. Either wait is bounded.
func (p *Proxy) awaitHandover(ctx context.Context) {
	timeout := time.NewTimer(listTimeout)
	defer timeout.Stop()
	for _, c := range p.activePools() {
		select {
		case <-c.discovery.listed:
		case <-ctx.Done():
			return
		case <-timeout.C:
			p.log.Warn("discovery did not answer in time, using the endpoint list known before", "pool", c.name)
			timeout.Reset(0) // the other pools have had their time as well
		}
	}
	select {
	case <-p.processes.restored:
	case <-ctx.Done():
	case <-time.After(snapshotTimeout):
		p.log.Warn("previous process did not publish what it has learnt")
	}
}

// setState changes and publishes the state of this process.
func (p *Proxy) setState(state handover.State) {
	p.mu.Lock()
	p.processes.state = state
	p.mu.Unlock()
	p.publish()
}

// publish publishes the state of this process, what it has in flight, and what it has learnt.
func (p *Proxy) publish() {
	p.mu.Lock()
	state := p.processes.state
	pools := make(map[string]poolState, len(p.pools.active))
	for name, c := range p.pools.active {
		pools[name] = c.state()
	}
	p.mu.Unlock()
	text, err := json.Marshal(pools)
	if err != nil {
		p.log.Warn("pool state not published", "err", err)
	}
	p.processes.registry.Publish(state, text)
}

// parsePools reads what another process published of its pools. Where that is torn, or of
// another version, there are none: the next report may have more.
func parsePools(process handover.Process) map[string]poolState {
	var pools map[string]poolState
	if json.Unmarshal([]byte(process.Text), &pools) != nil {
		return nil
	}
	return pools
}

// setProcesses takes over what the other processes of this proxy publish. What is
// allowed is allowed them all together.
func (p *Proxy) setProcesses(others []handover.Process) {
	siblings := 0                     // that have requests, or may have
	inFlight := map[string]int{}      // theirs, by pool
	var previous map[string]poolState // pools of the one that serves
	for _, other := range others {
		if other.State == handover.Starting {
			continue
		}
		siblings++
		pools := parsePools(other)
		for name, state := range pools {
			inFlight[name] += max(state.InFlight, 0)
		}
		if other.State == handover.Serving && len(pools) > 0 {
			previous = pools
		}
	}
	p.mu.Lock()
	p.setProcessCountLocked(1 + len(others))
	for name, c := range p.pools.active {
		c.setSiblings(siblings, inFlight[name])
	}
	for c := range p.pools.draining {
		c.setSiblings(siblings, 0)
	}
	if p.processes.state == handover.Starting && p.pools.active != nil && previous != nil {
		for name, c := range p.pools.active {
			if state, published := previous[name]; published {
				c.restore(state.Learnt)
			}
		}
		p.processes.markRestored()
	}
	p.mu.Unlock()
	if len(others) > 0 {
		p.publish()
	}
}

// setProcessCountLocked divides the machine among so many processes of this proxy.
func (p *Proxy) setProcessCountLocked(count int) {
	if count == p.processes.count {
		return
	}
	p.processes.count = count
	p.resources.setProcesses(count)
	p.processes.onShare(1 / float64(count))
	for _, l := range p.listeners {
		l.server.SetMaxConnections(p.maxConnectionsLocked(len(p.listeners)))
	}
}

// state is what other processes should know of the pool.
func (c *core) state() poolState {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, inFlight := c.decisions.balancer.Concurrency()
	return poolState{InFlight: inFlight, Learnt: c.decisions.balancer.Snapshot()}
}

// setSiblings sets how many other processes serve as this replica, and how many attempts they have in flight.
func (c *core) setSiblings(siblings, inFlight int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decisions.balancer.SetSiblings(siblings, inFlight)
}

// restore has the Balancer begin with what another process has learnt.
func (c *core) restore(snapshot balancer.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decisions.balancer.Restore(snapshot)
}

// ShutdownPlan implements [downstream.Router]. Where another process of this proxy serves, clients
// are led over to it.
func (p *Proxy) ShutdownPlan(killedAfter time.Duration) drain.Plan {
	if p.processes.successor() {
		p.log.Info("handing over to the next process")
		return drain.Handover()
	}
	plan := drain.Shutdown(killedAfter)
	plan.KeepsProcess = !p.isEnding()
	return plan
}

// isEnding reports whether the whole process ends, and not a listener alone.
func (p *Proxy) isEnding() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life.Err() != nil
}
