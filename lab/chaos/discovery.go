package chaos

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"ryerill/config"
	"ryerill/discovery"
)

const (
	discoveryHeaderTimeout = 5 * time.Second // in which the stand-in must receive a request's header
	maxPollWait            = time.Minute     // the longest wait that a poll may ask for
	listIndex              = 1               // of the one list that there is
)

// discoveryService is a stand-in for the discovery service of all replicas. It lists the same endpoints all the time,
// but late, or not at all.
type discoveryService struct {
	listener net.Listener
	server   *http.Server
	serving  sync.WaitGroup

	mu        sync.Mutex // guards what follows
	endpoints []discovery.Endpoint
	delay     time.Duration // of each answer
	silent    int           // faults that silence it now
	silence   chan struct{} // closed when the last of them ends
}

// startDiscovery starts a stand-in that lists nothing yet.
func startDiscovery() (*discoveryService, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discoveryService{listener: listener}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/endpoints", d.handlePoll)
	d.server = &http.Server{Handler: mux, ReadHeaderTimeout: discoveryHeaderTimeout}
	d.serving.Go(func() {
		_ = d.server.Serve(listener) // it always returns an error, after close
	})
	return d, nil
}

func (d *discoveryService) close() {
	_ = d.server.Close() // nobody is left to use it
	d.serving.Wait()
}

// configure has a pool ask the service for the endpoints that its configuration names.
func (d *discoveryService) configure(pool *config.PoolFile) {
	d.mu.Lock()
	defer d.mu.Unlock()
	pool.Discovery = d.listener.Addr().String()
	d.endpoints = nil
	for _, endpoint := range pool.Endpoints {
		d.endpoints = append(d.endpoints, discovery.Endpoint{
			Name:    endpoint.Name,
			Address: endpoint.Address,
			Zone:    endpoint.Zone,
			Type:    "machine",
			Status:  discovery.Ready,
			Weight:  1,
		})
	}
}

// setSilent begins or ends a fault that silences the service.
func (d *discoveryService) setSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case silent:
		if d.silent == 0 {
			d.silence = make(chan struct{})
		}
		d.silent++
	case d.silent > 0:
		d.silent--
		if d.silent == 0 {
			close(d.silence)
		}
	}
}

// setDelay sets by how much answers are late.
func (d *discoveryService) setDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// heal ends all faults of the service.
func (d *discoveryService) heal() {
	d.setDelay(0)
	for d.isSilent() {
		d.setSilent(false)
	}
}

func (d *discoveryService) isSilent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silent > 0
}

// awaitVoice waits as long as the service is late, and until it isn't silent; false if the call ends before.
func (d *discoveryService) awaitVoice(request *http.Request) bool {
	d.mu.Lock()
	delay := d.delay
	d.mu.Unlock()
	if !pause(request.Context(), delay) {
		return false
	}
	for {
		d.mu.Lock()
		silent, silence := d.silent > 0, d.silence
		d.mu.Unlock()
		if !silent {
			return true
		}
		select {
		case <-silence:
		case <-request.Context().Done():
			return false
		}
	}
}

// handlePoll answers a call with the whole list, or a watch, once its time is over, with the news that there are none.
func (d *discoveryService) handlePoll(w http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	if err == nil && since == listIndex {
		waitMS, _ := strconv.Atoi(query.Get("timeout_ms")) // 0 if it isn't a number
		if !pause(request.Context(), min(time.Duration(waitMS)*time.Millisecond, maxPollWait)) {
			return
		}
	}
	if !d.awaitVoice(request) {
		return
	}
	list := discovery.EndpointList{Index: listIndex, Snapshot: true, Endpoints: []discovery.Endpoint{}}
	if err == nil && since == listIndex {
		list.Snapshot = false
	} else {
		d.mu.Lock()
		list.Endpoints = append(list.Endpoints, d.endpoints...)
		d.mu.Unlock()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // a proxy that has left polls again
}
