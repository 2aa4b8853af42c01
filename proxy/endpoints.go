package proxy

import (
	"cmp"
	"slices"
	"time"

	"ryerill/balancer"
	"ryerill/discovery"
	"ryerill/override"
)

// maxNames bounds the names of formerly listed endpoints that a pool keeps. They let operators take down an endpoint
// that is currently not listed.
const maxNames = 4096

// listedEndpoint is an endpoint of the endpoint list.
type listedEndpoint struct {
	id      balancer.EndpointID
	name    string
	address string             // constant: a changed address means another endpoint
	entry   discovery.Endpoint // entry of the list
	listed  balancer.Endpoint  // entry in the form used by the Balancer
	current balancer.Endpoint  // listed with overrides applied, as passed to the Balancer

	// guard reports whether the list and the overrides allow requests. Attempts read it without the pool's mutex.
	guard sendGuard
}

// override applies overrides to the listed state; version is the version of the list.
func (e *listedEndpoint) override(overrides override.Set, version uint64) {
	e.current = overrides.Apply(e.name, e.listed)
	e.guard.set(e.current.State == balancer.Ready, version)
}

// isWithdrawnAfter reports whether the endpoint is terminating while the entry of an older list still has it as ready.
func (e *listedEndpoint) isWithdrawnAfter(older *discovery.Endpoint) bool {
	return e.entry.Status == discovery.Terminating && older.Status == discovery.Ready &&
		older.SinceMS <= e.entry.SinceMS
}

// endpointTable holds the endpoints of a pool. It is guarded by its owner's mutex.
type endpointTable struct {
	byID          map[balancer.EndpointID]*listedEndpoint
	listVersion   uint64              // version of the last list applied completely
	newestVersion uint64              // newest version applied, possibly only its withdrawals
	discovered    bool                // the list comes from discovery, of this pool or of the pool it replaces
	knownNames    map[string]struct{} // of current and former endpoints
}

func newEndpointTable() endpointTable {
	return endpointTable{byID: make(map[balancer.EndpointID]*listedEndpoint), knownNames: make(map[string]struct{})}
}

// addName records a listed name. At the bound it removes all names that are no longer listed. That scans all endpoints,
// so the bound grows with their number to keep scans rare.
func (t *endpointTable) addName(name string) {
	if len(t.knownNames) >= maxNames+2*len(t.byID) {
		clear(t.knownNames)
		for _, e := range t.byID {
			t.knownNames[e.name] = struct{}{}
		}
	}
	t.knownNames[name] = struct{}{}
}

// get returns the endpoint with a name and an address, and creates it if needed. An empty address matches any. If the
// address of the name has changed, attempts not yet sent to the former address are prevented, because another endpoint
// may use that address now.
func (t *endpointTable) get(name, address string) *listedEndpoint {
	id := endpointID(name)
	e := t.byID[id]
	if e != nil && address != "" && e.address != address {
		e.guard.set(false, t.newestVersion)
		e = nil
	}
	if e == nil {
		e = &listedEndpoint{id: id, name: name, address: address}
		t.byID[id] = e
	}
	return e
}

// isReady reports whether the endpoint of an entry is listed as ready and did not start after the entry. An entry that
// is gone matches any start time.
func (t *endpointTable) isReady(entry *discovery.Endpoint) bool {
	e := t.byID[endpointID(entry.Name)]
	if e == nil || e.entry.Status != discovery.Ready {
		return false
	}
	return entry.Status == discovery.Gone || entry.SinceMS >= e.entry.SinceMS
}

// remove deletes endpoints that are gone, adds them to counts and returns their ids. Without it the table would grow,
// because new endpoints get new ids. listed contains the endpoints of the list, with false for those stated as gone;
// unless the list has changes only, all other endpoints are gone too.
func (t *endpointTable) remove(
	listed map[balancer.EndpointID]bool, changes bool, counts *listChanges,
) (gone []uint64) {
	removeIfGone := func(id balancer.EndpointID) {
		if e := t.byID[id]; !listed[id] && e != nil {
			e.guard.set(false, t.newestVersion)
			counts.remove(e.name)
			delete(t.byID, id)
			gone = append(gone, uint64(id))
		}
	}
	if changes { // avoid a scan of all endpoints
		for id := range listed {
			removeIfGone(id)
		}
		return gone
	}
	for id := range t.byID {
		removeIfGone(id)
	}
	return gone
}

// list returns the list in force, sorted by name.
func (t *endpointTable) list() discovery.EndpointList {
	list := discovery.EndpointList{
		Index:     t.listVersion,
		Snapshot:  true,
		Endpoints: make([]discovery.Endpoint, 0, len(t.byID)),
	}
	for _, e := range t.byID {
		list.Endpoints = append(list.Endpoints, e.entry)
	}
	slices.SortFunc(list.Endpoints, func(a, b discovery.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// currentStatus returns the current status of an entry of another list. The entry's own status applies unless the
// endpoint is listed here as not ready, or was listed here and is gone.
func (t *endpointTable) currentStatus(entry *discovery.Endpoint) string {
	e := t.byID[endpointID(entry.Name)]
	if e == nil {
		if _, wasListed := t.knownNames[entry.Name]; wasListed {
			return discovery.Gone
		}
		return entry.Status
	}
	if e.address != entry.Address || e.entry.Status == discovery.Ready {
		return entry.Status
	}
	return e.entry.Status
}

// endpointID returns a stable hash of an endpoint's name. It must be the same in every proxy, because several proxies
// rank endpoints by it.
func endpointID(name string) balancer.EndpointID { return balancer.EndpointID(hash64(name)) }

// indexOf returns the index of a name in names. An unknown name gets a number beyond the indices, derived from its hash
// so that different unknown names are not treated as one.
func indexOf(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names) + int(hash32(name)>>1)
}

var endpointStates = map[string]balancer.EndpointState{
	discovery.Ready:       balancer.Ready,
	discovery.Terminating: balancer.Draining,
	discovery.Gone:        balancer.Gone,
}

// applyListLocked applies an endpoint list. Endpoints that are gone are removed and their idle connections closed.
func (c *core) applyListLocked(kind balancer.ListKind, list discovery.EndpointList) {
	c.endpoints.listVersion = list.Index
	c.applyEntriesLocked(kind, list.Index, list.Endpoints)
}

// applyEntriesLocked applies entries of a list with the given version.
func (c *core) applyEntriesLocked(kind balancer.ListKind, version uint64, entries []discovery.Endpoint) {
	began := time.Now()
	changes := kind == balancer.ListChanges || kind == balancer.ListWithdrawn
	isOlder := version < c.endpoints.newestVersion
	c.endpoints.newestVersion = version
	update := make([]balancer.Endpoint, 0, len(entries))
	listed := make(map[balancer.EndpointID]bool, len(entries))
	for i := range entries {
		entry := &entries[i]
		e := c.endpoints.get(entry.Name, entry.Address)
		if isOlder && e.isWithdrawnAfter(entry) {
			entry = &e.entry
		}
		listed[e.id] = entry.Status != discovery.Gone
		c.listObserver.pending.count(entry.Name, e.entry.Status, entry.Status)
		e.entry = *entry
		e.listed = balancer.Endpoint{
			ID:        e.id,
			State:     endpointStates[entry.Status],
			Cell:      entry.Group,
			Weight:    entry.Weight,
			Zone:      indexOf(c.settings.Zones, entry.Zone),
			Kind:      indexOf(c.settings.Kinds, entry.Type),
			StartedAt: time.Duration(entry.SinceMS) * time.Millisecond,
		}
		c.endpoints.addName(entry.Name)
		e.override(c.overrides, version)
		update = append(update, e.current)
	}
	c.dispatchLocked(balancer.Event{
		Kind:      balancer.EndpointListUpdated,
		ListKind:  kind,
		Version:   version,
		Endpoints: update,
	})
	if gone := c.endpoints.remove(listed, changes, &c.listObserver.pending); len(gone) > 0 {
		go c.connections.CloseIdle(gone...)
	}
	c.listAppliedLocked(began)
}

// setOverrides applies new overrides to the list. Afterwards MaySend, the last check before the first byte, rejects
// attempts to endpoints that are administratively down.
func (c *core) setOverrides(overrides override.Set) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overrides = overrides
	var update []balancer.Endpoint
	for _, e := range c.endpoints.byID {
		previous := e.current
		e.override(overrides, c.endpoints.newestVersion)
		if e.current == previous {
			continue
		}
		update = append(update, e.current)
		if e.current.State != balancer.Ready {
			go c.connections.CloseIdle(uint64(e.id)) // the endpoint may be restarted while it is down
		}
	}
	if len(update) == 0 {
		return
	}
	slices.SortFunc(update, func(a, b balancer.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	c.dispatchLocked(balancer.Event{
		Kind:      balancer.EndpointListUpdated,
		ListKind:  balancer.ListChanges,
		Version:   c.endpoints.listVersion,
		Endpoints: update,
	})
}

// hasListed reports whether the pool's list contains a name, or contained it before and the name is still kept.
func (c *core) hasListed(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, listed := c.endpoints.knownNames[name]
	return listed
}

// addAvoided adds the names of the listed endpoints to avoided, with true if the pool currently sends them no requests.
func (c *core) addAvoided(avoided map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, e := range c.endpoints.byID {
		avoided[e.name] = avoided[e.name] || c.decisions.balancer.Avoids(id)
	}
}
