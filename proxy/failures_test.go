package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ryerill/config"
	"ryerill/discovery"
)

// promptBound limits the time of a response that needs no wait, on a busy machine.
const promptBound = time.Second

// response is the result at a client. status is 0 for no response, -1 for a truncated one.
type response struct {
	status int
	took   time.Duration
}

// sendOnce sends a request on a new connection and returns the result.
func sendOnce(address, text string) response {
	began := time.Now()
	c, err := net.Dial("tcp", address)
	if err != nil {
		return response{0, time.Since(began)}
	}
	defer c.Close()
	c.SetDeadline(began.Add(testTimeout))
	go io.WriteString(c, text) // the proxy may not read all of a long request
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return response{0, time.Since(began)}
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return response{-1, time.Since(began)}
	}
	return response{resp.StatusCode, time.Since(began)}
}

// newResettingBackend returns an endpoint that resets each connection on accept.
func newResettingBackend(t *testing.T) *backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	return &backend{Listener: l}
}

// newRefusingBackend returns an endpoint whose address refuses connections.
func newRefusingBackend(t *testing.T) *backend {
	t.Helper()
	b := newBackend(t, responds(okay))
	b.Close()
	return b
}

// firstAttempts are behaviours of the first endpoint. neverRan is true if the request certainly was not executed.
var firstAttempts = map[string]struct {
	behave   func(net.Conn, *http.Request)
	neverRan bool
}{
	"declines": {responds("HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"), true},
	"fails":    {responds("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"), false},
	"closes":   {func(c net.Conn, _ *http.Request) { c.Close() }, false},
	"resets":   {func(c net.Conn, _ *http.Request) { c.(*net.TCPConn).SetLinger(0); c.Close() }, false},
}

// If the first attempt fails and each retry fails at once, a request gets one prompt response and is not executed more
// often than its class allows. Requests are served as soon as an endpoint works again.
func TestRetriesThatFailAtOnce(t *testing.T) {
	t.Parallel()
	for first, answer := range firstAttempts {
		for retry, others := range map[string]func(*testing.T) *backend{"refused": newRefusingBackend, "reset": newResettingBackend} {
			for _, class := range []string{"read", "pay", "burn"} {
				t.Run(fmt.Sprintf("%s, retry %s, %s", first, retry, class), func(t *testing.T) {
					t.Parallel()
					x, y, z := newBackend(t, answer.behave), others(t), others(t)
					p := run(t, withManagement(""), x.endpoint("x", 1), y.endpoint("y", 1), z.endpoint("z", 1))
					const requests = 20
					for range requests {
						got := sendOnce(p.Address(), request(class, 2000))
						if !slices.Contains(failures, got.status) || got.took > promptBound {
							t.Fatalf("got status %d after %v, want one of 502, 503, 504 at once", got.status, got.took)
						}
					}
					if n := x.requests.Load(); n > requests {
						t.Errorf("got %d requests at the first endpoint, want at most %d", n, requests)
					}
					checkAllEnded(t, p, class, requests)
					p.activePools()[0].EndpointsListed(discovery.EndpointList{Index: 2, Snapshot: true,
						Endpoints: []discovery.Endpoint{newBackend(t, responds(okay)).endpoint("w", 1)}})
					if got := sendOnce(p.Address(), request(class, 10_000)); got.status != http.StatusOK {
						t.Errorf("with a working endpoint: got status %d, want 200", got.status)
					}
				})
			}
		}
	}
}

// checkAllEnded waits until no request is in flight and checks that want requests of a class are recorded as ended.
func checkAllEnded(t *testing.T, p *Proxy, class string, want int64) {
	t.Helper()
	waitUntil(t, "all requests to end", func() bool { return statsOf(t, p).InFlight == 0 })
	counted := p.Stats().Requests[class]
	if total := counted.Served + counted.Shed + counted.Failed; total != want {
		t.Errorf("got %d requests recorded as ended, want %d: %+v", total, want, counted)
	}
}

// Requests whose first attempts fail at once are all served during a series of reloads while discovery hangs.
func TestRetriesThatFailAtOnceDuringReloads(t *testing.T) {
	t.Parallel()
	slow := newDiscoveryServer(t) // never sends a list
	decline := firstAttempts["declines"].behave
	x, y, z := newBackend(t, decline), newRefusingBackend(t), newBackend(t, responds(okay))
	p := run(t, func(cfg *config.Config) {
		withManagement(t.TempDir())(cfg)
		cfg.Pools[0].Discovery = slow.Listener.Addr().String()
	}, x.endpoint("x", 1), y.endpoint("y", 1), z.endpoint("z", 1))
	waitUntil(t, "ready", func() bool { return p.Readiness() == nil })
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var answered atomic.Int64
	for range 4 {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				got := sendOnce(p.Address(), request("burn", 10_000))
				if got.status != http.StatusOK {
					t.Errorf("got status %d after %v, want 200", got.status, got.took)
					return
				}
				answered.Add(1)
			}
		})
	}
	for i := range 10 {
		p.mu.Lock()
		cfg := p.cfg
		p.mu.Unlock()
		cfg.Pools = slices.Clone(cfg.Pools)
		b := &cfg.Pools[0].Settings.Balancer
		b.Classes = slices.Clone(b.Classes)
		b.Classes[0].PriorityWeight = float64(2 + i)
		if err := p.Reload(cfg); err != nil {
			t.Error(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	close(stop)
	clients.Wait()
	if answered.Load() < 10 {
		t.Errorf("got %d served requests, want at least 10", answered.Load())
	}
}

// A burst after an idle period is served although meanwhile one endpoint has stopped, another has closed and a third has
// reset its idle connections, and discovery has not responded.
func TestBurstAfterIdlePeriod(t *testing.T) {
	t.Parallel()
	const together = 12 // concurrent requests, enough to leave idle connections at each endpoint
	slowly := func(c net.Conn, _ *http.Request) { time.Sleep(50 * time.Millisecond); io.WriteString(c, okay) }
	gone, closing, reset := newBackend(t, slowly), newBackend(t, slowly), newBackend(t, slowly)
	slow := newDiscoveryServer(t)
	p := run(t, func(cfg *config.Config) {
		withManagement("")(cfg)
		cfg.Pools[0].Discovery = slow.Listener.Addr().String()
	}, gone.endpoint("gone", 1), closing.endpoint("closing", 1), reset.endpoint("reset", 1))
	burst := func(when string) {
		var all sync.WaitGroup
		for i := range together {
			class := []string{"read", "pay", "burn"}[i%3]
			all.Go(func() {
				if got := sendOnce(p.Address(), request(class, 10_000)); got.status != http.StatusOK {
					t.Errorf("%s: class %s got status %d after %v, want 200", when, class, got.status, got.took)
				}
			})
		}
		all.Wait()
	}
	burst("before")
	if gone.conns.Load() == 0 || closing.conns.Load() == 0 || reset.conns.Load() == 0 {
		t.Fatal("an endpoint has no idle connections")
	}
	gone.CloseAll()
	closing.closeIdle(false)
	reset.closeIdle(true)
	time.Sleep(600 * time.Millisecond)
	burst("after")
	burst("second burst after")
}

// closeIdle closes or resets all connections of the endpoint.
func (b *backend) closeIdle(reset bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.all {
		if reset {
			c.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
	}
	b.all = nil
}

// If endpoints hang during a shutdown, each client gets a response before the process would be killed, including one
// that sends its request during the shutdown, and the process ends by itself.
func TestShutdownWithHangingEndpoints(t *testing.T) {
	t.Parallel()
	const killed = 3700 * time.Millisecond // the longest deadline that applies plus the grace
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	hang := newRawBackend(t, func(net.Conn, *bufio.Reader, *http.Request) { <-release }) // does not read the body
	p, stop := runUntil(t, nil, hang.endpoint("hang", 1))
	waitUntil(t, "ready", func() bool { return p.Readiness() == nil })
	body := strings.Repeat("y", 48<<20) // more than the sockets on the way hold
	head, _, _ := strings.Cut(request("burn", 15_000), "Content-Length")
	upload := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	var clients sync.WaitGroup
	var stopped atomic.Int64
	ask := func(what, text string) {
		clients.Go(func() {
			got := sendOnce(p.Address(), text)
			ended := time.Duration(time.Now().UnixNano() - stopped.Load())
			if !slices.Contains(failures, got.status) || ended > killed {
				t.Errorf("%s: got status %d %v after the signal, want one of 502, 503, 504 in time", what, got.status, ended)
			}
		})
	}
	for _, class := range []string{"read", "pay", "burn"} {
		ask(class, request(class, 15_000))
	}
	ask("upload that the endpoint does not read", upload)
	waitUntil(t, "all requests at the endpoint", func() bool { return hang.requests.Load() == 4 })
	stopped.Store(time.Now().UnixNano())
	over := make(chan struct{})
	go func() { stop(); close(over) }()
	time.Sleep(300 * time.Millisecond)
	ask("request during shutdown", request("read", 15_000))
	await(t, over, "the end of the shutdown")
	if took := time.Duration(time.Now().UnixNano() - stopped.Load()); took > killed {
		t.Errorf("shutdown took %v, want at most %v", took, killed)
	}
	clients.Wait()
}
