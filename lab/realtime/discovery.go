package realtime

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"ryerill/discovery"
)

const (
	headerTimeout = 5 * time.Second // in which a stand-in's HTTP server must receive a request's header
	maxPollWaitMS = 60_000          // the longest wait that a poll may ask for
)

// discoveryService is a stand-in for the discovery service of one tier. Each proxy has an address of its own there,
// by which its zone and what it has received are known.
type discoveryService struct {
	run  *run
	tier int

	mu        sync.Mutex // guards the fields below
	entries   []discoveryEntry
	index     map[string]int // of entries, by the endpoint's name
	version   uint64
	changed   chan struct{} // closed at the next change
	silence   chan struct{} // not nil while the service is silent; closed at the end of the silence
	busyUntil time.Time     // when the calls that wait have had their turn
	servers   []*http.Server
	serving   sync.WaitGroup // the goroutines of the servers
}

// discoveryEntry is an endpoint as the service lists it.
type discoveryEntry struct {
	endpoint *endpoint
	status   string
	sinceMS  int64
	version  uint64 // of its latest change
}

func newDiscoveryService(r *run, tier int) *discoveryService {
	return &discoveryService{run: r, tier: tier, index: map[string]int{}, changed: make(chan struct{})}
}

// publish lists an endpoint with a status.
func (d *discoveryService) publish(e *endpoint, status string) {
	sinceMS := e.startTime()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	i, ok := d.index[e.name]
	if !ok {
		i = len(d.entries)
		d.index[e.name] = i
		d.entries = append(d.entries, discoveryEntry{})
	}
	d.entries[i] = discoveryEntry{endpoint: e, status: status, sinceMS: sinceMS, version: d.version}
	d.notifyPolls()
}

// notifyPolls wakes the polls that wait for a change; mu is held.
func (d *discoveryService) notifyPolls() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// setSilent makes the service answer nothing, or lets it answer again.
func (d *discoveryService) setSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case silent && d.silence == nil:
		d.silence = make(chan struct{})
		d.notifyPolls() // so that they notice the silence
	case !silent && d.silence != nil:
		close(d.silence)
		d.silence = nil
	}
}

// snapshot returns the whole list as a zone sees it.
func (d *discoveryService) snapshot(zone int) discovery.EndpointList {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list(zone, 0, true)
}

// list returns what has changed since a version, or the whole list, as a zone sees it; mu is held.
func (d *discoveryService) list(zone int, since uint64, whole bool) discovery.EndpointList {
	list := discovery.EndpointList{Index: d.version, Snapshot: whole, Endpoints: []discovery.Endpoint{}}
	for _, entry := range d.entries {
		if whole && entry.status == discovery.Gone || !whole && entry.version <= since {
			continue
		}
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{
			Name:    entry.endpoint.name,
			Address: entry.endpoint.addresses[zone],
			Zone:    d.run.scenario.Network.Zones[entry.endpoint.zone],
			Type:    "machine",
			Group:   entry.endpoint.group,
			Status:  entry.status,
			Weight:  1,
			SinceMS: entry.sinceMS,
		})
	}
	return list
}

// listen returns an address at which a proxy can poll.
func (d *discoveryService) listen(proxy, zone int) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("directory: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, req *http.Request) {
		d.handlePoll(w, req, proxy, zone)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	d.mu.Lock()
	d.servers = append(d.servers, server)
	d.mu.Unlock()
	d.serving.Go(func() {
		_ = server.Serve(l) // ends when the server is closed
	})
	return l.Addr().String(), nil
}

// close ends the service and the connections to it.
func (d *discoveryService) close() {
	d.setSilent(false)
	d.mu.Lock()
	servers := d.servers
	d.mu.Unlock()
	for _, server := range servers {
		_ = server.Close() // its listener's error doesn't matter any more
	}
	d.serving.Wait()
}

// handlePoll answers one call: in turn, late, or never while the service is silent.
func (d *discoveryService) handlePoll(w http.ResponseWriter, req *http.Request, proxy, zone int) {
	poll := parsePoll(req)
	end := time.NewTimer(poll.timeout)
	defer end.Stop()
	if !d.awaitTurn(req) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for {
		d.mu.Lock()
		silence := d.silence
		changed := d.changed
		if silence == nil && (!poll.watch || d.version > poll.since) {
			d.writeList(w, proxy, zone, poll.since, !poll.watch || poll.since == 0 || poll.since > d.version)
			return
		}
		d.mu.Unlock()
		if silence != nil {
			select {
			case <-silence:
			case <-req.Context().Done():
				return
			}
			continue
		}
		select {
		case <-changed:
		case <-end.C:
			d.mu.Lock()
			if d.silence != nil {
				d.mu.Unlock()
				continue
			}
			d.writeList(w, proxy, zone, poll.since, false)
			return
		case <-req.Context().Done():
			return
		}
	}
}

// pollRequest is what a call asks for.
type pollRequest struct {
	watch   bool   // changes since a version are wanted, else the whole list
	since   uint64 // version
	timeout time.Duration
}

func parsePoll(req *http.Request) pollRequest {
	since, err := strconv.ParseUint(req.URL.Query().Get("since"), 10, 64)
	waitMS, _ := strconv.Atoi(req.URL.Query().Get("timeout_ms")) // 0 if it isn't a number
	timeout := time.Duration(min(max(waitMS, 0), maxPollWaitMS)) * time.Millisecond
	return pollRequest{watch: err == nil, since: since, timeout: timeout}
}

// awaitTurn waits until the calls before this one have been answered; it returns false if that takes too long.
func (d *discoveryService) awaitTurn(req *http.Request) bool {
	d.run.audit.count("directory_calls", 1)
	limits := &d.run.scenario.Discovery
	d.mu.Lock()
	start := time.Now()
	if d.busyUntil.After(start) {
		start = d.busyUntil
	}
	wait := time.Until(start)
	timedOut := wait > limits.Timeout
	if !timedOut {
		d.busyUntil = start.Add(time.Duration(float64(time.Second) / limits.Capacity))
	}
	d.mu.Unlock()
	timer := time.NewTimer(min(max(wait, 0), limits.Timeout))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-req.Context().Done():
		return false
	}
	if timedOut {
		d.run.audit.count("directory_failed", 1)
	}
	return !timedOut
}

// writeList writes a list. It is called with mu held and releases it. What is written counts as received by the proxy.
func (d *discoveryService) writeList(w http.ResponseWriter, proxy, zone int, since uint64, whole bool) {
	list := d.list(zone, since, whole)
	var received []discoveryEntry
	for _, entry := range d.entries {
		if whole || entry.version > since {
			received = append(received, entry)
		}
	}
	d.mu.Unlock()
	text, err := json.Marshal(list)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	for _, entry := range received {
		d.run.audit.listed(proxy, entry.endpoint.name, entry.status == discovery.Ready)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text) // a proxy that has left polls again
}
