package proxy

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ryerill/balancer"
	"ryerill/config"
	"ryerill/discovery"
	"ryerill/route"
)

const testTimeout = 20 * time.Second // reached only by failing tests

// backend is an endpoint whose behaviour a test defines.
type backend struct {
	net.Listener
	mu              sync.Mutex
	all             []net.Conn
	requests, conns atomic.Int64
	ended           chan struct{} // receives when the proxy closes a connection
}

func newBackend(t *testing.T, behave func(net.Conn, *http.Request)) *backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{Listener: l, ended: make(chan struct{}, 64)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.conns.Add(1)
			b.mu.Lock()
			b.all = append(b.all, c)
			b.mu.Unlock()
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						select {
						case b.ended <- struct{}{}:
						default: // tests need no more than the buffer holds
						}
						return
					}
					body, _ := io.ReadAll(req.Body)
					req.Body = io.NopCloser(strings.NewReader(string(body)))
					b.requests.Add(1)
					behave(c, req)
				}
			}()
		}
	}()
	return b
}

// CloseAll closes the listener and all connections.
func (b *backend) CloseAll() {
	b.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.all {
		c.Close()
	}
}

func (b *backend) endpoint(name string, cell int) discovery.Endpoint {
	return discovery.Endpoint{Name: name, Address: b.Addr().String(), Zone: "a", Group: cell, Status: discovery.Ready}
}

func responds(text string) func(net.Conn, *http.Request) {
	return func(c net.Conn, _ *http.Request) { io.WriteString(c, text) }
}

func respondsAndCloses(text string) func(net.Conn, *http.Request) {
	return func(c net.Conn, _ *http.Request) { io.WriteString(c, text); c.Close() }
}

const okay = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine"

const typedResponse = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Hop: 1\r\nConnection: x-hop\r\nContent-Length: 0\r\n\r\n"

// discoveryServer is a discovery service whose test publishes each list.
type discoveryServer struct {
	*httptest.Server
	lists   chan string
	queries chan string // the query of each call
}

func newDiscoveryServer(t *testing.T) *discoveryServer {
	g := &discoveryServer{lists: make(chan string), queries: make(chan string, 64)}
	g.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.queries <- r.URL.RawQuery
		select {
		case text := <-g.lists:
			io.WriteString(w, text)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() { g.CloseClientConnections(); g.Close() })
	return g
}

func (g *discoveryServer) publish(t *testing.T, list string) {
	t.Helper()
	select {
	case g.lists <- list:
	case <-time.After(testTimeout):
		t.Fatal("no call to the discovery service")
	}
}

func (g *discoveryServer) await(t *testing.T, query string) {
	t.Helper()
	for {
		select {
		case q := <-g.queries:
			if strings.Contains(q, query) {
				return
			}
		case <-time.After(testTimeout):
			t.Fatalf("no call to the discovery service with query %q", query)
		}
	}
}

func encode(t *testing.T, index uint64, snapshot bool, list ...discovery.Endpoint) string {
	t.Helper()
	text, err := json.Marshal(discovery.EndpointList{Index: index, Snapshot: snapshot, Endpoints: append([]discovery.Endpoint{}, list...)})
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// start runs a proxy with known endpoints and returns its address.
func start(t *testing.T, change func(*config.Config), known ...discovery.Endpoint) string {
	t.Helper()
	return run(t, change, known...).Address()
}

// run runs a proxy with known endpoints until the end of the test.
// Classes: read is safe, pay is keyed within a cell, burn is unsafe.
func run(t *testing.T, change func(*config.Config), known ...discovery.Endpoint) *Proxy {
	t.Helper()
	p, stop := runUntil(t, change, known...)
	t.Cleanup(func() { stop() })
	return p
}

// runUntil runs a proxy with known endpoints until stop is called. stop returns
// after Run and may be called repeatedly.
func runUntil(t *testing.T, change func(*config.Config), known ...discovery.Endpoint) (p *Proxy, stop func()) {
	t.Helper()
	return runLogging(t, slog.New(slog.DiscardHandler), change, known...)
}

// runLogging is runUntil with a log.
func runLogging(t *testing.T, log *slog.Logger, change func(*config.Config), known ...discovery.Endpoint) (p *Proxy, stop func()) {
	t.Helper()
	class := func(name string, e balancer.Effect) balancer.Class {
		return balancer.Class{Name: name, LatencyObjective: 2 * time.Second, Deadline: 20 * time.Second, PriorityWeight: 1, LateWeight: 0.5,
			Effect: e, Group: balancer.GroupCell, IdempotencyWindow: time.Minute}
	}
	cfg := config.Config{Name: "n1", Limits: config.Limits{Cores: 1, Memory: 64 << 20, Sockets: 256},
		Listeners: []config.Listener{{Name: "main", Address: "127.0.0.1:0"}},
		Routes:    []config.Route{{Rule: route.Rule{Name: "main", Pool: "main"}}},
		Pools: []config.Pool{{Name: "main", Discovery: "127.0.0.1:1", KnownEndpoints: discovery.EndpointList{Index: 1, Snapshot: true, Endpoints: known},
			Settings: config.Settings{Zones: []string{"a"}, IdleClose: time.Minute, Balancer: balancer.Config{
				Classes: []balancer.Class{class("read", balancer.Safe), class("pay", balancer.Keyed), class("burn", balancer.Unsafe)},
				Tiers:   1, ReplicaCount: 1, Subscribe: true,
				Limits: balancer.Limits{MaxAttempts: 3, ConnectTimeout: 5 * time.Second, AllowCancel: true, SendRetryAfter: true,
					MaxRetryAfter: time.Second},
				Contract: balancer.Contract{AnswerSlack: 20 * time.Millisecond, MaxPollInterval: 50 * time.Millisecond,
					InitialCapacity: 0.01, WarmUpPeriod: time.Hour, OverloadMultiple: 2, OverloadPeriod: time.Second}}}}}}
	if change != nil {
		change(&cfg)
	}
	p, err := New(cfg, WithLogger(log))
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	over := make(chan error)
	go func() { over <- p.Run(ctx) }()
	return p, sync.OnceFunc(func() {
		if end(); <-over != nil {
			t.Error("Run returned an error")
		}
	})
}

// client is a client with one connection.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return &client{t, c, bufio.NewReader(c)}
}

// send sends text and returns the head of the response.
func (c *client) send(text string) *http.Response {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp
}

// ask sends text and returns the status and body of the response.
func (c *client) ask(text string) (int, string) {
	c.t.Helper()
	resp := c.send(text)
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

// request returns a valid request of a class: GET for read, POST with an idempotency key otherwise.
func request(class string, ms int) string {
	method, rest := "POST", "Idempotency-Key: k1\r\nContent-Length: 5\r\n\r\nhello"
	if class == "read" {
		method, rest = "GET", "\r\n"
	}
	return fmt.Sprintf("%s /%s/7?q=%%20x HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %016x\r\nReq-Kind: %s\r\nReq-Owner: nobody\r\n"+
		"Req-Deadline-Ms: %d\r\n%s", method, class, rand.Uint64(), class, ms, rest)
}

func await(t *testing.T, c <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for: " + what)
	}
}
