package proxy

import (
	"sync"
	"sync/atomic"

	"ryerill/admin"
	"ryerill/message"
)

// maxClasses bounds the classes that are counted apart over all reloads; further
// ones count together as otherClass.
const (
	maxClasses = 4096
	otherClass = "(other)"
)

// counters count what the proxy has done since its start. They are written by
// requests and read at any time.
type counters struct {
	inFlight      atomic.Int64 // requests without a final result
	attempts      atomic.Int64 // written whole
	reloadsOK     atomic.Int64
	reloadsFailed atomic.Int64

	mu      sync.Mutex
	classes map[string]*classCounters // guarded by mu, but for the counters themselves
}

// classCounters count the requests of one class by how they ended, each once.
type classCounters struct{ served, shed, failed atomic.Int64 }

// class returns the counters of a class that a configuration names.
func (c *counters) class(name string) *classCounters {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.classes[name]; known != nil {
		return known
	}
	if len(c.classes) >= maxClasses {
		name = otherClass
	}
	if c.classes == nil {
		c.classes = make(map[string]*classCounters)
	}
	if c.classes[name] == nil {
		c.classes[name] = new(classCounters)
	}
	return c.classes[name]
}

// known returns the counters of a class if a configuration has named it, else nil.
func (c *counters) known(name string) *classCounters {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.classes[name]
}

// requests returns the counts of all classes.
func (c *counters) requests() map[string]admin.RequestCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]admin.RequestCounts, len(c.classes))
	for name, class := range c.classes {
		counts[name] = admin.RequestCounts{
			Served: class.served.Load(),
			Shed:   class.shed.Load(),
			Failed: class.failed.Load(),
		}
	}
	return counts
}

// ended counts the one end of a request.
func (c *classCounters) ended(kind message.ResultKind) {
	switch kind {
	case message.Served:
		c.served.Add(1)
	case message.Shed:
		c.shed.Add(1)
	default:
		c.failed.Add(1)
	}
}

// CloseSpareConnections implements [downstream.Router]. Clients must not wait for a reload: while one goes on nothing
// is closed.
func (p *Proxy) CloseSpareConnections() {
	if !p.mu.TryLock() {
		return
	}
	defer p.mu.Unlock()
	for _, c := range p.pools.active {
		c.connections.CloseSpare()
	}
}

// CountRejected implements [downstream.Router]. A class that no configuration names is not counted:
// clients may state any.
func (p *Proxy) CountRejected(class string, shed bool) {
	counts := p.counters.known(class)
	switch {
	case counts == nil:
	case shed:
		counts.ended(message.Shed)
	default:
		counts.ended(message.Failed)
	}
}

// CountFailedReload counts a reload whose configuration could not even be read.
func (p *Proxy) CountFailedReload() { p.counters.reloadsFailed.Add(1) }

// Stats implements [admin.Controller].
func (p *Proxy) Stats() admin.Stats {
	stats := admin.Stats{
		Requests:      p.counters.requests(),
		Attempts:      p.counters.attempts.Load(),
		InFlight:      p.counters.inFlight.Load(),
		ReloadsOK:     p.counters.reloadsOK.Load(),
		ReloadsFailed: p.counters.reloadsFailed.Load(),
	}
	avoided := map[string]bool{} // by name of each listed endpoint: whether one pool at least avoids it
	for _, c := range p.activePools() {
		c.addAvoided(avoided)
	}
	stats.EndpointsListed = len(avoided)
	for _, down := range avoided {
		if down {
			stats.EndpointsDown++
		}
	}
	return stats
}
