package proxy

import (
	"maps"
	"slices"

	"ryerill/balancer"
	"ryerill/config"
	"ryerill/discovery"
)

// This file implements the handover of state to a new pool after a reload: the endpoint list in force and the discovery
// client that watches it.

// succession states which active pools a new pool takes its endpoint list from. The zero value means none.
type succession struct {
	predecessor *core // its list in force is the new pool's first list; nil if there is none
	replaces    bool  // the new pool is the only one that replaces the predecessor

	others []*core // all active pools if there is no predecessor; their lists may contain the new pool's endpoints
}

// successionLocked returns the succession of a new pool. Its predecessor is the active pool with the same name,
// otherwise one with the same discovery service, preferably one that is removed. Callers must hold the proxy's mutex.
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
		if r.isRemovedUnreplaced(c) {
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

// current returns a configured list, which may be as old as the configuration file, updated from the lists of the other
// pools: it omits endpoints that are gone and takes over the status of endpoints that are not ready. updated reports
// whether the list has changed.
func (s *succession) current(list discovery.EndpointList) (current discovery.EndpointList, updated bool) {
	for _, pool := range s.others {
		if entries, changed := pool.currentEntries(list.Endpoints); changed {
			list.Endpoints = entries
			updated = true
		}
	}
	return list, updated
}

// currentEntries returns the entries that are not gone, with the status that the pool received from discovery. changed
// reports whether the result differs from entries.
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

// isRemovedUnreplaced reports whether a pool is missing from the new configuration and no new pool replaces it yet.
func (r *reload) isRemovedUnreplaced(c *core) bool {
	configured := slices.ContainsFunc(r.cfg.Pools, func(pool config.Pool) bool { return pool.Name == c.name })
	return !configured && !slices.Contains(r.replaced, c)
}

// sharesDiscovery reports whether a pool can use the discovery client of the pool that it replaces. Two pools that both
// remain need separate clients, because their discovery services may differ after a later reload.
func (c *core) sharesDiscovery(from succession) bool {
	return from.replaces &&
		from.predecessor.discovery.client != nil && c.cfg.Discovery != "" &&
		from.predecessor.settings.PushedDiscovery == c.settings.PushedDiscovery
}

// joinDiscovery joins the predecessor's discovery client, so that no change is missed, and applies the predecessor's
// list. The client keeps using the predecessor's service until the reload is committed. If discovery has not answered
// the predecessor yet, the pool starts with its configured list and waits for the same answer. It reports false and
// changes nothing if that answer could contain changes not based on the configured list, or if the client has ended.
func (c *core) joinDiscovery(predecessor *core) bool {
	client := predecessor.discovery.client
	applies := false
	joined := client.Join(c, func() {
		list, discovered := predecessor.discoveredList()
		if !discovered {
			list = c.cfg.KnownEndpoints
		}
		applies = discovered || predecessor.firstAnswerAppliesTo(list)
		if !applies {
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
	if joined && !applies {
		client.Leave(c)
	}
	return joined && applies
}

// firstAnswerAppliesTo reports whether the first answer of discovery to the pool can be applied to another list. The
// answer may contain only the changes since the version of the list that the pool started with.
func (c *core) firstAnswerAppliesTo(list discovery.EndpointList) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	began := c.cfg.KnownEndpoints
	return !began.Snapshot || list.Snapshot && list.Index >= began.Index
}

// discoveredList returns the list in force. ok is false if the list comes only from the configuration or the pool is
// nil.
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
