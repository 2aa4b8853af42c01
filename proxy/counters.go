package proxy

import (
	"sync"
	"sync/atomic"

	"ryerill/admin"
	"ryerill/message"
)

// maxClasses bounds the classes counted separately over all reloads. Further classes are counted together as
// otherClass.
const (
	maxClasses = 4096
	otherClass = "(other)"
)

// counters are the totals of the proxy since its start. They are safe for concurrent use.
type counters struct {
	inFlight      atomic.Int64 // requests without a final result
	attempts      atomic.Int64 // written completely
	reloadsOK     atomic.Int64
	reloadsFailed atomic.Int64

	mu      sync.Mutex
	classes map[string]*classCounters // the map is guarded by mu, the counters are atomic
}

// classCounters count the requests of one class by result. Each request is counted once.
type classCounters struct{ served, shed, failed atomic.Int64 }

// class returns the counters of a configured class, which it creates if needed.
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

// lookup returns the counters of a class, or nil if no configuration has named the class.
func (c *counters) lookup(name string) *classCounters {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.classes[name]
}

// requests returns the counts by class.
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

// ended counts the result of a request.
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

// CloseSpareConnections implements [downstream.Router]. It closes nothing while a reload holds the mutex, because
// clients must not wait for a reload.
func (p *Proxy) CloseSpareConnections() {
	if !p.mu.TryLock() {
		return
	}
	defer p.mu.Unlock()
	for _, c := range p.pools.active {
		c.connections.CloseSpare()
	}
}

// CountRejected implements [downstream.Router]. Classes that no configuration names are not counted, because clients
// can send arbitrary class names.
func (p *Proxy) CountRejected(class string, shed bool) {
	counts := p.counters.lookup(class)
	switch {
	case counts == nil:
	case shed:
		counts.ended(message.Shed)
	default:
		counts.ended(message.Failed)
	}
}

// CountFailedReload counts a reload that failed because its configuration could not be read.
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
	avoided := map[string]bool{} // by name of the listed endpoint: whether any pool avoids it
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
