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

// registry is a stand-in for the directory of one tier. Each proxy has an
// address of its own, by which its zone and what it was told are known.
type registry struct {
	run  *run
	tier int

	mu      sync.Mutex
	entries []entry
	index   map[string]int
	version uint64
	changed chan struct{} // closed at the next change
	down    chan struct{} // not nil while the directory is silent; closed at its end
	busy    time.Time
	servers []*http.Server
}

type entry struct {
	p       *provider
	status  string
	sinceMS int64
	version uint64
}

func newRegistry(r *run, tier int) *registry {
	return &registry{run: r, tier: tier, index: map[string]int{}, changed: make(chan struct{})}
}

// know takes in what has become of a provider.
func (g *registry) know(p *provider, status string) {
	p.mu.Lock()
	since := p.startedMS
	p.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.version++
	i, ok := g.index[p.name]
	if !ok {
		i = len(g.entries)
		g.index[p.name] = i
		g.entries = append(g.entries, entry{})
	}
	g.entries[i] = entry{p, status, since, g.version}
	close(g.changed)
	g.changed = make(chan struct{})
}

// silent makes the directory answer nothing, or lets it answer again.
func (g *registry) silent(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if on && g.down == nil {
		g.down = make(chan struct{})
		close(g.changed) // watches look and find it silent
		g.changed = make(chan struct{})
	} else if !on && g.down != nil {
		close(g.down)
		g.down = nil
	}
}

// list is what has changed since a version, or the whole list, as a zone sees it.
func (g *registry) list(zone int, since uint64, whole bool) discovery.EndpointList {
	list := discovery.EndpointList{Index: g.version, Snapshot: whole, Endpoints: []discovery.Endpoint{}}
	for _, e := range g.entries {
		if whole && e.status == discovery.Gone || !whole && e.version <= since {
			continue
		}
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{Name: e.p.name, Address: e.p.addresses[zone],
			Zone: g.run.w.Network.Zones[e.p.zone], Type: "machine", Group: e.p.group, Status: e.status, Weight: 1, SinceMS: e.sinceMS})
	}
	return list
}

// open gives a proxy an address to ask at.
func (g *registry) open(proxy, zone int) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("directory: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", func(w http.ResponseWriter, r *http.Request) { g.answer(w, r, proxy, zone) })
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	g.mu.Lock()
	g.servers = append(g.servers, s)
	g.mu.Unlock()
	go s.Serve(l)
	return l.Addr().String(), nil
}

func (g *registry) close() {
	g.silent(false)
	g.mu.Lock()
	servers := g.servers
	g.mu.Unlock()
	for _, s := range servers {
		s.Close()
	}
}

// answer answers one call: in turn, late, or never while the directory is silent.
func (g *registry) answer(w http.ResponseWriter, r *http.Request, proxy, zone int) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	watch := err == nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	end := time.NewTimer(time.Duration(min(max(wait, 0), 60_000)) * time.Millisecond)
	defer end.Stop()
	if !g.turn(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	for {
		g.mu.Lock()
		down, changed := g.down, g.changed
		if down == nil && (!watch || g.version > since) {
			g.tell(w, proxy, zone, since, !watch || since == 0 || since > g.version)
			return
		}
		g.mu.Unlock()
		if down != nil {
			select {
			case <-down:
			case <-r.Context().Done():
				return
			}
			continue
		}
		select {
		case <-changed:
		case <-end.C:
			g.mu.Lock()
			if g.down != nil {
				g.mu.Unlock()
				continue
			}
			g.tell(w, proxy, zone, since, false)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// turn waits until it is this call's turn; false if that takes too long.
func (g *registry) turn(r *http.Request) bool {
	g.run.count("directory_calls", 1)
	g.mu.Lock()
	start := time.Now()
	if g.busy.After(start) {
		start = g.busy
	}
	wait := time.Until(start)
	late := wait > g.run.w.Discovery.Timeout
	if !late {
		g.busy = start.Add(time.Duration(float64(time.Second) / g.run.w.Discovery.Capacity))
	}
	g.mu.Unlock()
	t := time.NewTimer(min(max(wait, 0), g.run.w.Discovery.Timeout))
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
		return false
	}
	if late {
		g.run.count("directory_failed", 1)
	}
	return !late
}

// tell writes a list; g.mu is held and let go of. What is written counts as told.
func (g *registry) tell(w http.ResponseWriter, proxy, zone int, since uint64, whole bool) {
	list := g.list(zone, since, whole)
	type word struct {
		name  string
		ready bool
	}
	var words []word
	for _, e := range g.entries {
		if whole || e.version > since {
			words = append(words, word{e.p.name, e.status == discovery.Ready})
		}
	}
	g.mu.Unlock()
	text, err := json.Marshal(list)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	for _, t := range words {
		g.run.told(proxy, t.name, t.ready)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}
