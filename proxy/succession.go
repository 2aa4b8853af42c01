package proxy

import (
	"ryerill/balancer"
	"ryerill/discovery"
)

// This file holds what a pool takes over of the one that it replaces after a reload: the list of endpoints in force,
// and the watch that tells what changes.

// sharesDiscovery reports whether a pool may go on with the discovery client of the one that it replaces. Pools of
// different names may both go on, and ask different services later.
func (c *core) sharesDiscovery(predecessor *core) bool {
	return predecessor != nil && predecessor.name == c.name &&
		predecessor.discovery.client != nil && c.cfg.Discovery != "" &&
		predecessor.settings.PushedDiscovery == c.settings.PushedDiscovery
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
