package sim

import (
	"slices"
	"time"

	"ryerill/balancer"
)

const (
	maxPublishDelay = 200 * time.Millisecond  // a change takes up to this to a subscriber, beyond the network's delay
	silenceNoticed  = 3200 * time.Millisecond // a subscription must be silent this long until its proxy notices
)

// discoveryService lists the endpoints of a tier, late. It answers calls in turn and notifies subscribers of changes.
type discoveryService struct {
	simulation  *simulation
	tier        *tier
	entries     []balancer.Endpoint
	index       map[balancer.EndpointID]int // of entries
	changedIn   []uint64                    // by entry: the version of its latest change
	version     uint64
	busyUntil   time.Duration // when the calls that wait have had their turn
	silent      bool
	subscribers []*proxy
}

func newDiscoveryService(s *simulation, t *tier) *discoveryService {
	return &discoveryService{simulation: s, tier: t, index: map[balancer.EndpointID]int{}}
}

// publish lists an endpoint with a state and notifies the subscribers.
func (d *discoveryService) publish(e *endpoint, state balancer.EndpointState) {
	entry := balancer.Endpoint{ID: e.id, State: state, Zone: e.zone, Cell: e.group, Weight: 1}
	if e.startedAt > 0 {
		entry.StartedAt = epoch + e.startedAt
	}
	d.version++
	i, ok := d.index[e.id]
	if !ok {
		i = len(d.entries)
		d.index[e.id] = i
		d.entries = append(d.entries, entry)
		d.changedIn = append(d.changedIn, 0)
	}
	d.entries[i] = entry
	d.changedIn[i] = d.version
	if d.silent {
		return
	}
	for _, subscriber := range d.subscribers {
		d.notify(subscriber, time.Duration(d.simulation.draws.delay.Float64()*float64(maxPublishDelay)))
	}
}

// notify sends a subscriber what has changed since the version that it has, after a wait.
func (d *discoveryService) notify(subscriber *proxy, wait time.Duration) {
	d.simulation.after(d.simulation.delay(noZone, 0)+wait, func() {
		if !subscriber.alive || d.silent || !slices.Contains(d.subscribers, subscriber) ||
			subscriber.listVersion == d.version {
			return
		}
		var changes []balancer.Endpoint
		for i, version := range d.changedIn {
			if version > subscriber.listVersion {
				changes = append(changes, d.entries[i])
			}
		}
		subscriber.listVersion = d.version
		subscriber.updateEndpoints(balancer.ListChanges, changes)
	})
}

// all returns the whole list, with the endpoints that are gone.
func (d *discoveryService) all() []balancer.Endpoint { return slices.Clone(d.entries) }

// subscribe sends a proxy the whole list and the changes from then on.
func (d *discoveryService) subscribe(p *proxy) {
	d.unsubscribe(p)
	d.call(p, true)
}

func (d *discoveryService) unsubscribe(p *proxy) {
	d.subscribers = slices.DeleteFunc(d.subscribers, func(subscriber *proxy) bool { return subscriber == p })
}

// fetch sends a proxy the whole list.
func (d *discoveryService) fetch(p *proxy) { d.call(p, false) }

// call answers a proxy in turn; a call that would wait too long fails.
func (d *discoveryService) call(p *proxy, subscribe bool) {
	s := d.simulation
	limits := &s.scenario.Discovery
	s.recorder.Count("directory_calls", 1)
	start := max(s.now, d.busyUntil)
	if d.silent || start-s.now > limits.Timeout {
		s.after(limits.Timeout, func() { d.fail(p) })
		return
	}
	d.busyUntil = start + time.Duration(float64(time.Second)/limits.Capacity)
	s.at(d.busyUntil+s.delay(noZone, 0), func() {
		if !p.alive {
			return
		}
		if d.silent {
			d.fail(p)
			return
		}
		p.listVersion = d.version
		if subscribe && !slices.Contains(d.subscribers, p) {
			d.subscribers = append(d.subscribers, p)
		}
		p.updateEndpoints(balancer.ListFull, d.all())
	})
}

// fail notifies a proxy that its call has failed.
func (d *discoveryService) fail(p *proxy) {
	d.simulation.recorder.Count("directory_failed", 1)
	p.dispatch(balancer.Event{Kind: balancer.EndpointListUpdated, ListKind: balancer.ListFailed})
}

// setSilent makes the service answer nothing, or lets it answer again.
func (d *discoveryService) setSilent(silent bool) {
	d.silent = silent
	if !silent {
		return
	}
	subscribers := d.subscribers
	d.subscribers = nil
	for _, subscriber := range subscribers {
		d.simulation.after(silenceNoticed, func() { d.fail(subscriber) })
	}
}
