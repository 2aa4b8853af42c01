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
	// listTimeout bounds how long a second process waits for discovery. The process must be ready within 6 s.
	listTimeout = 4 * time.Second
	// snapshotTimeout bounds how long it then waits for the learnt state of the first process.
	snapshotTimeout = 300 * time.Millisecond
)

// processes is the state of this proxy's processes as known to this one. During an upgrade there are two.
type processes struct {
	registry *handover.Registry
	second   bool // another process was running when this one started
	// onMemoryShare is called with this process's fraction of the machine's memory.
	onMemoryShare func(part float64)
	// restored is closed once the learnt state of another process has been restored.
	restored     chan struct{}
	markRestored func() // closes it, once

	// The fields below are guarded by the proxy's mutex.
	count int // including this one
	state handover.State
}

func newProcesses() processes {
	restored := make(chan struct{})
	return processes{
		onMemoryShare: func(float64) {},
		restored:      restored,
		markRestored:  sync.OnceFunc(func() { close(restored) }),
		count:         1,
		state:         handover.Starting,
	}
}

// hasSuccessor reports whether another process of this proxy is serving.
func (s *processes) hasSuccessor() bool {
	return slices.ContainsFunc(s.registry.Others(), func(other handover.Process) bool {
		return other.State == handover.Serving
	})
}

// poolState is the state of a pool that a process publishes to the other processes of its proxy.
type poolState struct {
	InFlight int               `json:"in_flight"`
	Learnt   balancer.Snapshot `json:"learnt"`
}

// awaitHandover waits until discovery has answered each pool, because the configured list may be as old as the previous
// process. It then waits until the learnt state of the previous process has been restored. Both waits are bounded.
func (p *Proxy) awaitHandover(ctx context.Context) {
	timeout := time.NewTimer(listTimeout)
	defer timeout.Stop()
	for _, c := range p.activePools() {
		select {
		case <-c.discovery.listed:
		case <-ctx.Done():
			return
		case <-timeout.C:
			p.log.Warn("discovery did not answer in time, using the last known endpoint list", "pool", c.name)
			timeout.Reset(0) // the timeout is shared by all pools
		}
	}
	select {
	case <-p.processes.restored:
	case <-ctx.Done():
	case <-time.After(snapshotTimeout):
		p.log.Warn("previous process did not publish its learnt state in time")
	}
}

// setState changes and publishes the state of this process.
func (p *Proxy) setState(state handover.State) {
	p.mu.Lock()
	p.processes.state = state
	p.mu.Unlock()
	p.publish()
}

// publish publishes the state of this process, its attempts in flight and its learnt state.
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

// parsePools parses the pool states that another process published. It returns nil if the text is truncated or of an
// incompatible version; a later publication may be readable.
func parsePools(process handover.Process) map[string]poolState {
	var pools map[string]poolState
	if json.Unmarshal([]byte(process.Text), &pools) != nil {
		return nil
	}
	return pools
}

// setProcesses applies the published states of the other processes of this proxy. Limits hold for all processes
// together.
func (p *Proxy) setProcesses(others []handover.Process) {
	siblings := 0                     // processes that may have requests
	inFlight := map[string]int{}      // attempts of the siblings, by pool
	var previous map[string]poolState // pools of the serving process
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

// setProcessCountLocked divides the machine's resources among count processes of this proxy.
func (p *Proxy) setProcessCountLocked(count int) {
	if count == p.processes.count {
		return
	}
	p.processes.count = count
	p.resources.setProcesses(count)
	p.processes.onMemoryShare(1 / float64(count))
	for _, l := range p.listeners {
		l.server.SetMaxConnections(p.maxConnectionsLocked(len(p.listeners)))
	}
}

// state returns the pool state to publish to other processes.
func (c *core) state() poolState {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, inFlight := c.decisions.balancer.Concurrency()
	return poolState{InFlight: inFlight, Learnt: c.decisions.balancer.Snapshot()}
}

// setSiblings sets the number of other processes of this replica and their attempts in flight.
func (c *core) setSiblings(siblings, inFlight int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decisions.balancer.SetSiblings(siblings, inFlight)
}

// restore restores the Balancer's learnt state from another process's snapshot.
func (c *core) restore(snapshot balancer.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decisions.balancer.Restore(snapshot)
}

// ShutdownPlan implements [downstream.Router]. If another process of this proxy is serving, clients are handed over to
// it.
func (p *Proxy) ShutdownPlan(killedAfter time.Duration) drain.Plan {
	if p.processes.hasSuccessor() {
		p.log.Info("handing over to the next process")
		return drain.Handover()
	}
	if !p.isShuttingDown() {
		return drain.ListenerRemoved(killedAfter)
	}
	return drain.Shutdown(killedAfter)
}

// isShuttingDown reports whether the whole process is shutting down, not only a listener.
func (p *Proxy) isShuttingDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runCtx.Err() != nil
}
