package soak

import (
	"fmt"
	"math"
	"net"
	"sync"
	"time"

	"ryerill/discovery"
)

const endpointsOfGroup = 8

// endpointRegistry is what discovery services tell of: endpoints, each with the history of its changes. It is safe for
// concurrent use.
type endpointRegistry struct {
	mu        sync.Mutex
	version   uint64
	endpoints []registeredEndpoint
}

// registeredEndpoint is an endpoint with its changes, the present one last.
type registeredEndpoint struct {
	name    string
	address string
	changes []endpointChange
}

// endpointChange is a status that an endpoint was given.
type endpointChange struct {
	status  string
	version uint64
	at      time.Time
	sinceMS int64 // the endpoint's last start in Unix milliseconds
}

// isWithdrawal reports whether nothing new may be sent to the endpoint any more.
func (c endpointChange) isWithdrawal() bool { return c.status != discovery.Ready }

func newEndpointRegistry(listeners []net.Listener) *endpointRegistry {
	r := &endpointRegistry{version: 1}
	for i, listener := range listeners {
		r.endpoints = append(r.endpoints, registeredEndpoint{
			name:    fmt.Sprintf("endpoint-%05d", i),
			address: listener.Addr().String(),
			changes: []endpointChange{{status: discovery.Ready, version: 1}},
		})
	}
	return r
}

// change gives some endpoints another status, in one version of the list. One that becomes ready has started again.
func (r *endpointRegistry) change(status string, endpoints ...int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	now := time.Now()
	for _, i := range endpoints {
		e := &r.endpoints[i]
		change := endpointChange{status: status, version: r.version, at: now, sinceMS: e.current().sinceMS}
		if status == discovery.Ready {
			change.sinceMS = now.UnixMilli()
		}
		e.changes = append(e.changes, change)
	}
}

// withdrawn returns the endpoints that are not ready now.
func (r *endpointRegistry) withdrawn() (endpoints []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.endpoints {
		if r.endpoints[i].current().isWithdrawal() {
			endpoints = append(endpoints, i)
		}
	}
	return endpoints
}

func (r *endpointRegistry) currentVersion() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// whole returns the whole list as it was at a version, or now if that is later. omitDraining leaves out what is not
// ready, as some services do.
func (r *endpointRegistry) whole(version uint64, omitDraining bool) discovery.EndpointList {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := discovery.EndpointList{Index: min(version, r.version), Snapshot: true, Endpoints: []discovery.Endpoint{}}
	for i := range r.endpoints {
		entry := r.entryLocked(i, version)
		if entry.Status == discovery.Gone || omitDraining && entry.Status != discovery.Ready {
			continue
		}
		list.Endpoints = append(list.Endpoints, entry)
	}
	return list
}

// changesSince returns the entries that are newer than a version.
func (r *endpointRegistry) changesSince(version uint64) discovery.EndpointList {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := discovery.EndpointList{Index: r.version, Endpoints: []discovery.Endpoint{}}
	for i := range r.endpoints {
		if r.endpoints[i].current().version > version {
			list.Endpoints = append(list.Endpoints, r.entryLocked(i, math.MaxUint64))
		}
	}
	return list
}

// changeAt returns the change of an endpoint that was the present one at a time.
func (r *endpointRegistry) changeAt(endpoint int, at time.Time) endpointChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes := r.endpoints[endpoint].changes
	for i := len(changes) - 1; i > 0; i-- {
		if !changes[i].at.After(at) {
			return changes[i]
		}
	}
	return changes[0]
}

// entryLocked is an endpoint as a list of a version states it. r.mu is held.
func (r *endpointRegistry) entryLocked(endpoint int, version uint64) discovery.Endpoint {
	e := &r.endpoints[endpoint]
	change := e.at(version)
	return discovery.Endpoint{
		Name:    e.name,
		Address: e.address,
		Zone:    "a",
		Type:    "machine",
		Group:   endpoint / endpointsOfGroup,
		Status:  change.status,
		Weight:  1,
		SinceMS: change.sinceMS,
	}
}

func (e *registeredEndpoint) current() endpointChange { return e.changes[len(e.changes)-1] }

// at returns the change that is in force at a version.
func (e *registeredEndpoint) at(version uint64) endpointChange {
	for i := len(e.changes) - 1; i > 0; i-- {
		if e.changes[i].version <= version {
			return e.changes[i]
		}
	}
	return e.changes[0]
}
