package sim

import (
	"time"

	"ryerill/balancer"
)

// idleConnections are a proxy's idle connections to one process of an endpoint.
type idleConnections struct {
	process int
	usedAt  []time.Duration // when each was last used, oldest first
}

// takeIdle takes an idle connection to an endpoint and returns the process that it is to. Connections that stood idle
// for too long are closed; those to an earlier process were reset.
func (p *proxy) takeIdle(to *endpoint) (process int, ok bool) {
	idle := p.connections[to.id]
	if idle == nil {
		return 0, false
	}
	if idle.process != to.process && !to.silent {
		idle.usedAt = idle.usedAt[:0] // reset when the process ended or came back
		return 0, false
	}
	maxIdle := p.tier.spec.Machine.Connect.Idle
	for len(idle.usedAt) > 0 && p.simulation.now-idle.usedAt[0] >= maxIdle {
		idle.usedAt = idle.usedAt[1:]
		to.machine.OpenConnections--
	}
	if len(idle.usedAt) == 0 || !to.running && !to.silent {
		return 0, false
	}
	idle.usedAt = idle.usedAt[:len(idle.usedAt)-1]
	return idle.process, true
}

// closeIdle closes the idle connections to an endpoint.
func (p *proxy) closeIdle(id balancer.EndpointID) {
	idle := p.connections[id]
	to := p.tier.byID[id]
	if idle != nil && to != nil && idle.process == to.process {
		to.machine.OpenConnections -= len(idle.usedAt)
	}
	delete(p.connections, id)
}

// releaseConnection gives the attempt's connection back, or closes it if it can't be used again.
func (a *attempt) releaseConnection(reusable bool) {
	if a.process != a.to.process {
		return
	}
	if !reusable {
		a.to.machine.OpenConnections--
		return
	}
	p := a.request.proxy
	idle := p.connections[a.to.id]
	if idle == nil || idle.process != a.process {
		idle = &idleConnections{process: a.process}
		p.connections[a.to.id] = idle
	}
	idle.usedAt = append(idle.usedAt, p.simulation.now)
}
