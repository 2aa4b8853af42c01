package proxy

import (
	"sync"
	"sync/atomic"

	"ryerill/admin"
	"ryerill/message"
)

// mostClasses bounds the classes that are counted apart over all reloads; what
// comes beyond counts together.
const (
	mostClasses = 4096
	otherClass  = "(other)"
)

// figures count what the proxy has done since its start. They are counted where
// it happens and read at any time.
type figures struct {
	inflight, calls       atomic.Int64 // invocations not ended; invoker calls written whole
	reloaded, notReloaded atomic.Int64

	mu      sync.Mutex
	classes map[string]*tally
}

// tally counts the invocations of one class by how they ended, each once.
type tally struct{ success, busy, failure atomic.Int64 }

// class returns the tally of a class that a configuration names.
func (f *figures) class(name string) *tally {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.classes[name] == nil {
		if len(f.classes) >= mostClasses {
			name = otherClass
		}
		if f.classes == nil {
			f.classes = make(map[string]*tally)
		}
		if f.classes[name] == nil {
			f.classes[name] = new(tally)
		}
	}
	return f.classes[name]
}

// ended books the one end of an invocation.
func (t *tally) ended(v message.ResultKind) {
	switch v {
	case message.Served:
		t.success.Add(1)
	case message.Shed:
		t.busy.Add(1)
	default:
		t.failure.Add(1)
	}
}

// CountRejected books a request that did not become an invocation, if its class is one
// that there is: anybody can state any.
func (p *Proxy) CountRejected(class string, refused bool) {
	p.figures.mu.Lock()
	t := p.figures.classes[class]
	p.figures.mu.Unlock()
	switch {
	case t == nil:
	case refused:
		t.ended(message.Shed)
	default:
		t.ended(message.Failed)
	}
}

// Stats are the figures as they stand.
func (p *Proxy) Stats() admin.Stats {
	f := &p.figures
	s := admin.Stats{Requests: map[string]admin.RequestCounts{}, Attempts: f.calls.Load(), InFlight: f.inflight.Load(),
		ReloadsOK: f.reloaded.Load(), ReloadsFailed: f.notReloaded.Load()}
	f.mu.Lock()
	for name, t := range f.classes {
		s.Requests[name] = admin.RequestCounts{Served: t.success.Load(), Shed: t.busy.Load(), Failed: t.failure.Load()}
	}
	f.mu.Unlock()
	listed := map[string]bool{} // by name, and whether one pool at least avoids it
	for _, c := range p.cores() {
		c.standing(listed)
	}
	s.EndpointsListed = len(listed)
	for _, down := range listed {
		if down {
			s.EndpointsDown++
		}
	}
	return s
}

// CountFailedReload books a reload whose configuration could not even be read.
func (p *Proxy) CountFailedReload() { p.figures.notReloaded.Add(1) }
