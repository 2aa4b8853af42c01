package proxy

import (
	"hash/fnv"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"ryerill/balancer"
	"ryerill/discovery"
	"ryerill/upstream"
)

// target is a provider as calls find it.
type target struct {
	id      balancer.EndpointID
	address string            // as long as it is this target
	ready   atomic.Bool       // neither terminating nor gone nor out by hand
	listed  listing           // what the directory told last
	told    balancer.Endpoint // what the Balancer was told last: the same under the operators' word
}

// listing is an entry of the directory's list.
type listing struct {
	name   string
	server balancer.Endpoint
}

// call is an invoker call with what booking it needs.
type call struct {
	upstream.Attempt
	entry   *entry
	attempt int
	server  balancer.EndpointID
	began   time.Duration

	timeout time.Duration // how long it may take from its last byte on
}

// route starts the invoker call that an action asks for.
func (c *core) route(a *balancer.Action) {
	e, t := c.open[a.Request], c.providers[a.Endpoint]
	if e == nil {
		return
	}
	k := &call{entry: e, attempt: len(e.calls), server: a.Endpoint, began: c.clock.now()}
	e.calls = append(e.calls, k)
	e.out++
	if e.done || t == nil {
		c.book(k, balancer.NotSent, nil)
		return
	}
	until := e.until
	if a.Timeout > 0 {
		if end := time.Now().Add(a.Timeout); end.Before(until) {
			until = end
		}
	}
	if k.timeout = time.Until(until); e.inv.Outgoing.Stream != nil {
		until = e.until // its time counts from its last byte
	}
	k.Attempt = upstream.Attempt{Request: e.inv.Outgoing, Endpoint: uint64(t.id), Address: t.address, Deadline: until, WriteDeadline: time.Now().Add(a.WriteTimeout), MaySend: t.ready.Load,
		OnWritten: func() time.Time { return c.wrote(k) }}
	go c.send(k)
}

// serverID is a stable hash of a provider's name: the same in every proxy,
// since the decisions of several proxies rank providers by it.
func serverID(name string) balancer.EndpointID {
	h := fnv.New64a()
	io.WriteString(h, name)
	return balancer.EndpointID(h.Sum64())
}

// index returns the place of a name in names. Names that are not there get
// numbers of their own beyond it, so that no two of them count as one.
func index(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	h := fnv.New32a()
	io.WriteString(h, name)
	return len(names) + int(h.Sum32()>>1)
}

// EndpointsListed takes in what the directory answered.
func (c *core) EndpointsListed(list discovery.EndpointList) {
	kind := balancer.ListChanges
	if list.Snapshot {
		kind = balancer.ListFull
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list(kind, list)
	select {
	case <-c.heard:
	default:
		close(c.heard)
	}
}

// ListingFailed takes in that the directory did not answer.
func (c *core) ListingFailed(err error) {
	c.log.Warn("list of providers not told", "error", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.happen(balancer.Event{Kind: balancer.EndpointListUpdated, ListKind: balancer.ListFailed})
}

// list takes in what is known of the providers. Those that are gone are
// forgotten with their idle connections: new ones come under new ids all day,
// and an address may pass from one to another.
func (c *core) list(kind balancer.ListKind, list discovery.EndpointList) {
	if kind != balancer.ListChanges {
		for _, t := range c.providers {
			t.ready.Store(false)
		}
	}
	servers := make([]balancer.Endpoint, 0, len(list.Endpoints))
	states := map[string]balancer.EndpointState{discovery.Ready: balancer.Ready,
		discovery.Terminating: balancer.Draining, discovery.Gone: balancer.Gone}
	listed := make(map[balancer.EndpointID]bool, len(list.Endpoints))
	for i := range list.Endpoints {
		e := &list.Endpoints[i]
		t := c.providers[serverID(e.Name)]
		if t != nil && e.Address != "" && t.address != e.Address { // a call on its way to the old one would meet whoever has that now
			t.ready.Store(false)
			t = nil
		}
		if t == nil {
			t = &target{id: serverID(e.Name), address: e.Address}
			c.providers[t.id] = t
		}
		listed[t.id] = e.Status != discovery.Gone
		t.listed = listing{e.Name, balancer.Endpoint{ID: t.id, State: states[e.Status], Cell: e.Group, Weight: e.Weight,
			Zone: index(c.settings.Zones, e.Zone), Kind: index(c.settings.Kinds, e.Type),
			StartedAt: time.Duration(e.SinceMS) * time.Millisecond}}
		c.see(e.Name)
		c.overlay(t)
		servers = append(servers, t.told)
	}
	c.version = list.Index
	c.happen(balancer.Event{Kind: balancer.EndpointListUpdated, ListKind: kind, Version: list.Index, Endpoints: servers})
	var gone []uint64
	for id := range c.providers {
		if there, named := listed[id]; !there && (named || kind != balancer.ListChanges) {
			delete(c.providers, id)
			gone = append(gone, uint64(id))
		}
	}
	if len(gone) > 0 {
		go c.pool.CloseIdle(gone...)
	}
}
