package proxy

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"ryerill/admin"
	"ryerill/config"
)

// withManagement enables the management endpoint and persists overrides in dir.
func withManagement(dir string) func(*config.Config) {
	return func(c *config.Config) { c.Admin, c.SharedDir = "127.0.0.1:0", dir }
}

// callManagement sends one request to the management endpoint and returns status and body.
func callManagement(t *testing.T, p *Proxy, method, path, body string) (int, string) {
	t.Helper()
	return dial(t, p.AdminAddress()).ask(fmt.Sprintf("%s /ops/%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body))
}

func statsOf(t *testing.T, p *Proxy) (s admin.Stats) {
	t.Helper()
	_, text := callManagement(t, p, "GET", "stats", "")
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		t.Fatalf("%v in %s", err, text)
	}
	return s
}

// waitUntil polls until a condition holds.
func waitUntil(t *testing.T, what string, come func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !come(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

// The counters match the requests that scripted endpoints and clients observed:
// served, shed, failed, retried, abandoned, truncated and malformed ones.
func TestCountersMatchObservedRequests(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	tried := map[string]int{}
	hold, held := make(chan struct{}), make(chan struct{}, 1)
	behave := func(c net.Conn, r *http.Request) {
		mu.Lock()
		tried[r.Header.Get("Req-Id")]++
		first := tried[r.Header.Get("Req-Id")] == 1
		mu.Unlock()
		switch mode := r.Header.Get("X-Mode"); {
		case mode == "full", mode == "again" && first:
			io.WriteString(c, "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
		case mode == "error":
			io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
		case mode == "hold":
			held <- struct{}{}
			<-hold
			io.WriteString(c, okay)
		default:
			io.WriteString(c, okay)
		}
	}
	a, b := newBackend(t, behave), newBackend(t, behave)
	p := run(t, withManagement(""), a.endpoint("a", 1), b.endpoint("b", 1))
	with := func(class, mode string) string {
		return strings.Replace(request(class, 15000), "Req-Owner: nobody", "X-Mode: "+mode, 1)
	}
	want := map[string]admin.RequestCounts{"read": {}, "pay": {}, "burn": {}}
	for _, step := range []struct {
		class, mode string
		add         admin.RequestCounts
	}{{"read", "", admin.RequestCounts{Served: 1}}, {"read", "again", admin.RequestCounts{Served: 1}}, {"pay", "", admin.RequestCounts{Served: 1}},
		{"burn", "full", admin.RequestCounts{Shed: 1}}, {"burn", "error", admin.RequestCounts{Failed: 1}}, {"pay", "error", admin.RequestCounts{Failed: 1}}} {
		for range 3 {
			dial(t, p.Address()).ask(with(step.class, step.mode))
			w := want[step.class]
			want[step.class] = admin.RequestCounts{Served: w.Served + step.add.Served, Shed: w.Shed + step.add.Shed, Failed: w.Failed + step.add.Failed}
		}
	}
	// Invalid requests count by class. Truncated requests and those of unknown classes do not count.
	if status, _ := dial(t, p.Address()).ask("POST /read HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\nReq-Kind: read\r\nContent-Length: 0\r\n\r\n"); status != 405 {
		t.Error(status)
	}
	w := want["read"]
	w.Failed++
	want["read"] = w
	dial(t, p.Address()).ask("GET /none HTTP/1.1\r\nHost: x\r\nReq-Id: 2\r\n\r\n")
	truncated := dial(t, p.Address())
	io.WriteString(truncated, request("pay", 15000)[:60])
	truncated.Close()
	if s := statsOf(t, p); s.InFlight != 0 {
		t.Errorf("got %d requests in flight, want 0", s.InFlight)
	}
	waiting := dial(t, p.Address())
	io.WriteString(waiting, with("burn", "hold"))
	await(t, held, "the held request at the endpoint")
	mu.Lock()
	attempts := int64(0)
	for _, n := range tried {
		attempts += int64(n)
	}
	mu.Unlock()
	// An attempt may reach an endpoint shortly before it is counted.
	waitUntil(t, "all attempts to be counted", func() bool { return statsOf(t, p).Attempts == attempts })
	s := statsOf(t, p)
	if got := fmt.Sprint(s.Requests); got != fmt.Sprint(want) {
		t.Errorf("got request counts %s, want %v", got, want)
	}
	if s.Attempts != attempts || s.InFlight != 1 || s.EndpointsListed != 2 {
		t.Errorf("got stats %+v, want %d attempts, 1 in flight and 2 endpoints listed", s, attempts)
	}
	waiting.Close()
	waitUntil(t, "the end of the request whose client left", func() bool { return statsOf(t, p).InFlight == 0 })
	close(hold)
}

// An endpoint that an operator has taken down gets no requests until it is restored, whatever
// lists arrive, not even from a new process of the proxy.
func TestTakenDownOverridesList(t *testing.T) {
	t.Parallel()
	a, b := newBackend(t, responds(okay)), newBackend(t, responds(okay))
	g, dir := newDiscoveryServer(t), t.TempDir()
	directed := func(c *config.Config) {
		withManagement(dir)(c)
		c.Pools[0].Discovery = g.Listener.Addr().String()
	}
	p := run(t, directed, a.endpoint("a", 1), b.endpoint("b", 1))
	for range 2 {
		if status, text := callManagement(t, p, "POST", "backends/down", "a"); status != 200 {
			t.Fatal(status, text)
		}
	}
	if status, text := callManagement(t, p, "POST", "backends/down", "nobody"); status != 404 || !strings.Contains(text, "directory's list") {
		t.Error(status, text)
	}
	if status, _ := callManagement(t, p, "POST", "backends/up", "nobody"); status != 404 {
		t.Error(status)
	}
	back, terminating, restarted := a.endpoint("a", 1), a.endpoint("a", 1), a.endpoint("a", 1)
	terminating.Status = "Terminating"
	gone := back
	gone.Status = "Gone"
	restarted.SinceMS = time.Now().UnixMilli()
	before := a.requests.Load()
	for i, list := range []string{encode(t, 2, false, back), encode(t, 3, false, terminating), encode(t, 4, false, back),
		encode(t, 5, false, gone), encode(t, 6, false, restarted), encode(t, 7, true, b.endpoint("b", 1)), encode(t, 8, true, back, b.endpoint("b", 1))} {
		g.publish(t, list)
		g.await(t, fmt.Sprintf("since=%d", i+2)) // the list has been applied
		for range 10 {
			if status, _ := dial(t, p.Address()).ask(request("read", 15000)); status != 200 {
				t.Errorf("list %d: got status %d, want 200", i+2, status)
			}
		}
	}
	if s := statsOf(t, p); s.EndpointsListed != 2 || s.EndpointsDown != 1 {
		t.Errorf("%+v", s)
	}
	second := run(t, withManagement(dir), a.endpoint("a", 1), b.endpoint("b", 1))
	waitUntil(t, "the second process to listen although its discovery is silent", func() bool { return second.Address() != "" })
	for range 10 {
		dial(t, second.Address()).ask(request("read", 15000))
	}
	if got := a.requests.Load() - before; got != 0 {
		t.Errorf("got %d requests at an endpoint that is down, want 0", got)
	}
	// A restore at one process applies to both, and the endpoint counts as just started.
	if status, _ := callManagement(t, second, "POST", "backends/up", "a"); status != 200 {
		t.Error(status)
	}
	waitUntil(t, "requests at the restored endpoint", func() bool {
		dial(t, p.Address()).ask(request("read", 15000))
		return a.requests.Load() > before
	})
	c := p.activePools()[0]
	c.mu.Lock()
	defer c.mu.Unlock()
	if t2 := c.endpoints.byID[endpointID("a")]; t2.current.StartedAt <= t2.listed.StartedAt || t2.current.State != 1 {
		t.Errorf("got restored endpoint %+v, want it just started and ready", t2.current)
	}
}

// A drain makes the proxy unready, closes idle connections, responds to accepted requests and can be stopped.
func TestOperatorDrain(t *testing.T) {
	t.Parallel()
	hold, held := make(chan struct{}), make(chan struct{}, 1)
	b := newBackend(t, func(c net.Conn, r *http.Request) {
		if r.Method == "POST" {
			held <- struct{}{}
			<-hold
		}
		io.WriteString(c, okay)
	})
	p := run(t, withManagement(t.TempDir()), b.endpoint("b", 1))
	ready := func() int { return dial(t, p.Address()).send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").StatusCode }
	idle, busy, silent := dial(t, p.Address()), dial(t, p.Address()), dial(t, p.Address())
	idle.ask(request("read", 15000))
	io.WriteString(busy, request("burn", 15000))
	await(t, held, "the held request at the endpoint")
	began := time.Now()
	for range 2 { // the repeated order has no effect
		if status, _ := callManagement(t, p, "POST", "drain/start", ""); status != 200 {
			t.Fatal(status)
		}
	}
	if status, _ := callManagement(t, p, "GET", "readiness", ""); status != 503 || ready() != 503 {
		t.Errorf("during the drain: got readiness status %d, want 503", status)
	}
	for _, c := range []*client{idle, silent} {
		if _, err := c.r.ReadByte(); err != io.EOF {
			t.Errorf("connection without a request: got %v, want EOF", err)
		}
	}
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("idle connections were closed after %v, want at most 4s", took)
	}
	close(hold)
	if resp := busy.send(""); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("accepted request: got status %d, close %v; want 200 and close", resp.StatusCode, resp.Close)
	}
	waitUntil(t, "late requests to be rejected", func() bool {
		resp := dial(t, p.Address()).send(request("read", 15000))
		return resp.StatusCode == 503 && resp.Close
	})
	if status, _ := callManagement(t, p, "POST", "drain/stop", ""); status != 200 || ready() != 200 {
		t.Errorf("after the drain: got status %d, want 200", status)
	}
	again := dial(t, p.Address())
	for range 2 { // over one connection, which is kept open
		if status, _ := again.ask(request("read", 15000)); status != 200 {
			t.Errorf("after the drain: got status %d, want 200", status)
		}
	}
}

// An order that cannot be persisted fails and changes nothing.
func TestUnpersistedOrdersFail(t *testing.T) {
	t.Parallel()
	b := newBackend(t, responds(okay))
	p := run(t, withManagement(filepath.Join(t.TempDir(), "missing")), b.endpoint("b", 1))
	if status, text := callManagement(t, p, "POST", "backends/down", "b"); status != 503 || !strings.Contains(text, "kept") {
		t.Error(status, text)
	}
	if status, _ := callManagement(t, p, "GET", "readiness", ""); status != 200 {
		t.Error(status)
	}
	if s := statsOf(t, p); s.EndpointsDown != 0 {
		t.Errorf("%+v", s)
	}
}

// The management endpoint responds in time while clients use all connections that they are allowed.
func TestManagementEndpointWhileClientsHoldAllConnections(t *testing.T) {
	t.Parallel()
	hold := make(chan struct{})
	defer close(hold)
	b := newBackend(t, func(c net.Conn, _ *http.Request) { <-hold; io.WriteString(c, okay) })
	p := run(t, func(c *config.Config) { withManagement("")(c); c.Limits.Sockets = 128 }, b.endpoint("b", 1))
	var all []*client
	for range 200 {
		c := dial(t, p.Address())
		io.WriteString(c, request("read", 15000))
		all = append(all, c)
	}
	for range 20 {
		began := time.Now()
		status, _ := callManagement(t, p, "GET", "readiness", "")
		if took := time.Since(began); status != 200 || took > time.Second {
			t.Errorf("got status %d in %v, want 200 within 1s", status, took)
		}
	}
	for _, c := range all {
		c.Close()
	}
}

// The counters continue across a reload, and pools that share a class are counted together.
func TestCountersOverAReload(t *testing.T) {
	t.Parallel()
	a, b := newBackend(t, responds(okay)), newBackend(t, responds(okay))
	file := func(drain string) string {
		return "mgmt: 127.0.0.1:0\nlisteners: [{name: main, address: '127.0.0.1:0'}]\n" + classesYAML +
			"routes:\n  - {name: a, path: /read/a, pool: a, class: read}\n  - {name: b, path: /read/b, pool: b, class: read}\npools:\n" +
			poolYAML("a", a, drain) + poolYAML("b", b, "")
	}
	p, _ := runConfig(t, file(""))
	for _, path := range []string{"/read/a", "/read/b"} {
		if status, _ := dial(t, p.Address()).ask(get("x", path, "Req-Kind: read\r\n")); status != 200 {
			t.Errorf("%s: got status %d, want 200", path, status)
		}
	}
	if status, _ := callManagement(t, p, "POST", "backends/down", "a-1"); status != 200 {
		t.Error(status)
	}
	next := parseConfig(t, file(", zone: z, zones: [z]")) // replaces the pool
	if err := p.Reload(next); err != nil {
		t.Fatal(err)
	}
	before := a.requests.Load()
	if status, _ := dial(t, p.Address()).ask(get("x", "/read/a", "Req-Kind: read\r\n")); status != 503 || a.requests.Load() != before {
		t.Errorf("endpoint down, after a reload: got status %d, want 503 and no request sent", status)
	}
	if status, _ := callManagement(t, p, "POST", "backends/up", "a-1"); status != 200 {
		t.Error(status)
	}
	shed := int64(1)
	waitUntil(t, "requests at the restored endpoint during its warm-up", func() bool {
		status, _ := dial(t, p.Address()).ask(get("x", "/read/a", "Req-Kind: read\r\n"))
		shed += int64(status-200) / 303
		return status == 200
	})
	next.Listeners = []config.Listener{{Name: "other", Address: p.AdminAddress()}} // already in use
	if err := p.Reload(next); err == nil {
		t.Error("Reload accepted a listener at the address of the management endpoint")
	}
	s := statsOf(t, p)
	if c := s.Requests["read"]; c.Served != 3 || c.Shed != shed || c.Failed != 0 || s.Attempts != 3 || s.EndpointsListed != 2 ||
		s.ReloadsOK != 1 || s.ReloadsFailed != 1 {
		t.Errorf("got other counters than wanted with %d shed: %+v", shed, s)
	}
}
