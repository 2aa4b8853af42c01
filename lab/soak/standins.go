package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ryerill/discovery"
)

// How endpoints behave.
const (
	serviceTime  = 4 * time.Millisecond
	hangShare    = 8  // one in so many requests hangs at the endpoint that hangs
	resetShare   = 12 // one in so many is reset at the one that resets
	slowShare    = 10 // one in so many takes long, anywhere
	slowTime     = 300 * time.Millisecond
	longBody     = 150 << 10 // bytes of a long response
	longShare    = 40        // one in so many responses is long
	pollInterval = 50 * time.Millisecond
	listVersion  = 100 // beyond that of the list of a configuration
)

// endpoint is a stand-in for an endpoint: it answers a request with its id, as often as that fits.
type endpoint struct {
	index    int
	account  *account
	hangs    bool
	resets   bool
	ended    chan struct{}
	address  string
	server   *http.Server
	listener net.Listener
}

func startEndpoint(index int, schedule *Schedule, account *account) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		index:    index,
		account:  account,
		hangs:    index == schedule.Hanging,
		resets:   index == schedule.Resetter,
		ended:    make(chan struct{}),
		address:  listener.Addr().String(),
		listener: listener,
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: longestDeadline}
	serving := listener
	if schedule.LateFrom == allEndpoints || schedule.LateFrom == index {
		serving = schedule.Late.Listen(listener)
	}
	go func() { _ = e.server.Serve(serving) }() // ends when the server is closed
	return e, nil
}

// ServeHTTP implements [http.Handler].
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Req-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // not received whole: it does not run
	}
	e.account.arrived(id, e.index)
	time.Sleep(serviceTime)
	switch {
	case e.hangs && rand.IntN(hangShare) == 0:
		select {
		case <-r.Context().Done():
		case <-e.ended:
		}
		return
	case e.resets && rand.IntN(resetShare) == 0:
		panic(http.ErrAbortHandler) // which closes the connection
	case rand.IntN(slowShare) == 0:
		time.Sleep(slowTime)
	}
	body := []byte(id)
	if rand.IntN(longShare) == 0 {
		for len(body) < longBody {
			body = append(body, id...)
		}
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // a proxy that has given up does not want it
}

func (e *endpoint) close() {
	close(e.ended)
	_ = e.server.Close()
}

// directory is a stand-in for a discovery service with a list that stays.
type directory struct {
	list     discovery.EndpointList
	down     atomic.Bool
	silent   bool
	address  string
	server   *http.Server
	ended    chan struct{}
	endOnce  sync.Once
	listener net.Listener
}

func startDirectory(addresses []string, silent bool) (*directory, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &directory{silent: silent, address: listener.Addr().String(), ended: make(chan struct{}), listener: listener}
	d.list = discovery.EndpointList{Index: listVersion, Snapshot: true}
	for i, address := range addresses {
		d.list.Endpoints = append(d.list.Endpoints, discovery.Endpoint{
			Name: fmt.Sprint("e", i), Address: address, Zone: "a", Type: "machine", Status: discovery.Ready, Weight: 1,
		})
	}
	d.server = &http.Server{Handler: d, ReadHeaderTimeout: longestDeadline}
	go func() { _ = d.server.Serve(listener) }() // ends when the server is closed
	return d, nil
}

// ServeHTTP implements [http.Handler].
func (d *directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	list := d.list
	if since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64); err == nil && since >= list.Index {
		list = discovery.EndpointList{Index: list.Index, Endpoints: []discovery.Endpoint{}}
		milliseconds, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms")) // 0 if it isn't a number
		d.wait(r, time.Duration(milliseconds)*time.Millisecond)
	}
	for d.down.Load() && d.silent && r.Context().Err() == nil && !d.isClosed() {
		time.Sleep(pollInterval)
	}
	if d.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(list) // a proxy that has left calls again
}

func (d *directory) wait(r *http.Request, timeout time.Duration) {
	select {
	case <-time.After(timeout):
	case <-r.Context().Done():
	case <-d.ended:
	}
}

func (d *directory) isClosed() bool {
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

func (d *directory) close() {
	d.endOnce.Do(func() { close(d.ended) })
	_ = d.server.Close()
}
