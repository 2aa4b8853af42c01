package proxy

import (
	"context"
	"sync"
	"time"

	"ryerill/balancer"
	"ryerill/config"
	"ryerill/discovery"
)

// discoveryWatch watches the endpoint list of a pool. It has no client if the configuration lists the endpoints.
type discoveryWatch struct {
	client *discovery.Client

	// listed is closed once discovery has answered, or if the pool has no discovery.
	listed     chan struct{}
	markListed func() // closes it, once

	failingSince time.Time // first of consecutive failures, or zero; guarded by the pool's mutex
}

func newDiscoveryWatch() discoveryWatch {
	listed := make(chan struct{})
	return discoveryWatch{
		listed:     listed,
		markListed: sync.OnceFunc(func() { close(listed) }),
	}
}

// hasListed reports whether discovery has answered or the pool has no discovery.
func (w *discoveryWatch) hasListed() bool {
	select {
	case <-w.listed:
		return true
	default:
		return false
	}
}

// start creates the discovery client if the configuration names a discovery service. The client watches the list until
// stop.
func (w *discoveryWatch) start(cfg *config.Pool, known discovery.EndpointList, deps coreConfig, c *core) {
	if cfg.Discovery == "" {
		w.markListed()
		return
	}
	ctx := context.Background() // the watch ends with stop, after the pool's last response
	if cfg.Settings.PushedDiscovery {
		w.client = discovery.NewAgentClient(ctx, cfg.Discovery, known, deps.buffers, c)
	} else {
		w.client = discovery.NewClient(ctx, cfg.Discovery, known, deps.buffers, c)
	}
	w.client.RecordFaults(deps.faults)
}

// stop ends the watch for a pool. The client keeps running for other pools that share it.
func (w *discoveryWatch) stop(c *core) {
	if w.client != nil {
		w.client.Leave(c)
	}
}

// beginOutage records a failed call and reports whether it is the first of consecutive failures.
func (w *discoveryWatch) beginOutage() bool {
	first := w.failingSince.IsZero()
	if first {
		w.failingSince = time.Now()
	}
	return first
}

// endOutage records that a list was received and returns the duration of the preceding outage, or 0.
func (w *discoveryWatch) endOutage() time.Duration {
	if w.failingSince.IsZero() {
		return 0
	}
	outage := time.Since(w.failingSince)
	w.failingSince = time.Time{}
	return outage
}

func (w *discoveryWatch) subscribe(enabled bool) {
	if w.client != nil {
		w.client.Subscribe(enabled)
	}
}

func (w *discoveryWatch) fetch() {
	if w.client != nil {
		w.client.Fetch()
	}
}

func (w *discoveryWatch) setAddress(address string) {
	if w.client != nil {
		w.client.SetAddress(address)
	}
}

// EndpointsListed implements [discovery.Listener].
func (c *core) EndpointsListed(list discovery.EndpointList) {
	kind := balancer.ListChanges
	if list.Snapshot {
		kind = balancer.ListFull
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyListLocked(kind, list)
	c.endpoints.discovered = true
	c.discovery.markListed()
	if outage := c.discovery.endOutage(); outage > 0 {
		c.log.Info("endpoint list received again", "duration", outage.Round(time.Millisecond))
	}
}

// EndpointsWithdrawn implements [discovery.Listener]. It keeps the version of the list in force, because the other
// changes of the list that is still being read are not known yet.
func (c *core) EndpointsWithdrawn(withdrawals discovery.Withdrawals) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var known []discovery.Endpoint // a copy: other listeners share the entries
	for i := range withdrawals.Endpoints {
		if c.endpoints.isReady(&withdrawals.Endpoints[i]) {
			known = append(known, withdrawals.Endpoints[i])
		}
	}
	if len(known) == 0 {
		return
	}
	version := max(withdrawals.Version, c.endpoints.listVersion)
	c.applyEntriesLocked(balancer.ListWithdrawn, version, known)
}

// ListingFailed implements [discovery.Listener]. It logs only the first of consecutive failures.
func (c *core) ListingFailed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.discovery.beginOutage() {
		c.log.Warn("endpoint list not received", "err", err)
	}
	c.dispatchLocked(balancer.Event{Kind: balancer.EndpointListUpdated, ListKind: balancer.ListFailed})
}
