package proxy

import (
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
	return found
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

// joinDiscovery takes over the list in force at the predecessor and joins its discovery client, so that no change is
// missed in between. Its service stays the predecessor's until the reload is committed. It reports false, and does
// nothing, where discovery has not listed the predecessor's endpoints, or the client has ended.
func (c *core) joinDiscovery(predecessor *core) bool {
	client := predecessor.discovery.client
	discovered := false
	joined := client.Join(c, func() {
		var list discovery.EndpointList
		if list, discovered = predecessor.discoveredList(); !discovered {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.discovery.client = client
		c.applyListLocked(balancer.ListCached, list)
		c.endpoints.discovered = true
		c.discovery.markListed()
	})
	if joined && !discovered {
		client.Leave(c)
	}
	return joined && discovered
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
