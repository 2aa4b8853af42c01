package proxy

import (
	"maps"
	"slices"

	"ryerill/balancer"
	"ryerill/config"
	"ryerill/discovery"
)

// This file holds what a pool takes over of the one that it replaces after a reload: the list of endpoints in force,
// and the watch that tells what changes.

// succession is how a new pool follows one that is active. Its zero value follows none.
type succession struct {
	predecessor *core // whose list in force the new pool begins with
	replaces    bool  // the predecessor goes, and no other pool takes its place

	others []*core // the active pools where there is no predecessor: they may know of the new pool's endpoints
}

// successionLocked returns how a new pool follows an active one: that of its name, else one that asks the same
// discovery service, preferably one that goes. The proxy's mutex is held.
func (r *reload) successionLocked(next config.Pool) (found succession) {
	active := r.proxy.pools.active
	if c := active[next.Name]; c != nil {
		return succession{predecessor: c, replaces: true}
	}
	for _, pool := range r.old.Pools {
		c := active[pool.Name]
		if c == nil || next.Discovery == "" || pool.Discovery != next.Discovery {
			continue
		}
		if r.goesUnreplaced(c) {
			r.replaced = append(r.replaced, c)
			return succession{predecessor: c, replaces: true}
		}
		if found.predecessor == nil {
			found.predecessor = c
		}
	}
	if found.predecessor == nil {
		found.others = slices.Collect(maps.Values(active))
	}
	return found
}

// current returns a configuration's list as far as the active pools know better: without the endpoints that are gone
// there, and with the status of those that are not ready. The configuration may be as old as its file. better reports
// whether they do.
func (s *succession) current(list discovery.EndpointList) (current discovery.EndpointList, better bool) {
	for _, pool := range s.others {
		if entries, changed := pool.currentEntries(list.Endpoints); changed {
			list.Endpoints = entries
			better = true
		}
	}
	return list, better
}

// currentEntries returns the entries of a list that are not gone, with the status that discovery has told the pool.
// changed reports whether that is not the list as it was.
func (c *core) currentEntries(entries []discovery.Endpoint) (current []discovery.Endpoint, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.endpoints.discovered {
		return entries, false
	}
	for _, entry := range entries {
		status := c.endpoints.currentStatus(&entry)
		changed = changed || status != entry.Status
		entry.Status = status
		if status != discovery.Gone {
			current = append(current, entry)
		}
	}
	return current, changed
}

// goesUnreplaced reports whether a pool is not in the new configuration, and no new pool takes its place so far.
func (r *reload) goesUnreplaced(c *core) bool {
	stays := slices.ContainsFunc(r.cfg.Pools, func(pool config.Pool) bool { return pool.Name == c.name })
	return !stays && !slices.Contains(r.replaced, c)
}

// sharesDiscovery reports whether a pool may go on with the discovery client of one that it replaces. Pools that both
// stay may ask different services later, and so have a client each.
func (c *core) sharesDiscovery(from succession) bool {
	return from.replaces &&
		from.predecessor.discovery.client != nil && c.cfg.Discovery != "" &&
		from.predecessor.settings.PushedDiscovery == c.settings.PushedDiscovery
}

// joinDiscovery joins the predecessor's discovery client, so that no change is missed in between, and begins with the
// list in force there. Its service stays the predecessor's until the reload is committed. Where discovery has not
// answered the predecessor, the pool begins with its configuration's list and waits for the same answer. It reports
// false, and does nothing, where that could be of changes which do not follow that list, or the client has ended.
func (c *core) joinDiscovery(predecessor *core) bool {
	client := predecessor.discovery.client
	follows := false
	joined := client.Join(c, func() {
		list, discovered := predecessor.discoveredList()
		if !discovered {
			list = c.cfg.KnownEndpoints
		}
		follows = discovered || predecessor.changesFollow(list)
		if !follows {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.discovery.client = client
		c.applyListLocked(balancer.ListCached, list)
		c.endpoints.discovered = discovered
		if predecessor.discovery.hasListed() {
			c.discovery.markListed()
		}
	})
	if joined && !follows {
		client.Leave(c)
	}
	return joined && follows
}

// changesFollow reports whether the first answer of discovery to the pool fits another list than that with which the
// pool began: it may be of changes alone, since that one's version.
func (c *core) changesFollow(list discovery.EndpointList) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	began := c.cfg.KnownEndpoints
	return !began.Snapshot || list.Snapshot && list.Index >= began.Index
}

// discoveredList returns the list in force; ok is false while it is only the configuration's. A nil pool has none.
func (c *core) discoveredList() (list discovery.EndpointList, ok bool) {
	if c == nil {
		return discovery.EndpointList{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.endpoints.discovered {
		return discovery.EndpointList{}, false
	}
	return c.endpoints.list(), true
}
