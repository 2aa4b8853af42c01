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

// withManagement opens the management endpoint, with the overrides persisted in a directory.
func withManagement(dir string) func(*config.Config) {
	return func(c *config.Config) { c.Admin, c.SharedDir = "127.0.0.1:0", dir }
}

// callManagement sends one request to the management endpoint and returns the status and the body.
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

// waitUntil looks again and again whether something has come true.
func waitUntil(t *testing.T, what string, come func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !come(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// The counters agree with what scripted endpoints and clients saw: served,
// shed, failed, retried, abandoned, torn and malformed requests.
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
	// What is rejected before it is a request counts by its class, and what breaks off or names no known class not at all.
	if status, _ := dial(t, p.Address()).ask("POST /read HTTP/1.1\r\nHost: x\r\nReq-Id: 1\r\nReq-Kind: read\r\nContent-Length: 0\r\n\r\n"); status != 405 {
		t.Error(status)
	}
	w := want["read"]
	w.Failed++
	want["read"] = w
	dial(t, p.Address()).ask("GET /none HTTP/1.1\r\nHost: x\r\nReq-Id: 2\r\n\r\n")
	torn := dial(t, p.Address())
	io.WriteString(torn, request("pay", 15000)[:60])
	torn.Close()
	if s := statsOf(t, p); s.InFlight != 0 {
		t.Errorf("%d in flight", s.InFlight)
	}
	waiting := dial(t, p.Address())
	io.WriteString(waiting, with("burn", "hold"))
	await(t, held, "the request that is held")
	mu.Lock()
	attempts := int64(0)
	for _, n := range tried {
		attempts += int64(n)
	}
	mu.Unlock()
	// An endpoint may see an attempt a moment before it is counted.
	waitUntil(t, "all attempts are counted", func() bool { return statsOf(t, p).Attempts == attempts })
	s := statsOf(t, p)
	if got := fmt.Sprint(s.Requests); got != fmt.Sprint(want) {
		t.Errorf("calls %s, want %v", got, want)
	}
	if s.Attempts != attempts || s.InFlight != 1 || s.EndpointsListed != 2 {
		t.Errorf("%+v, and endpoints saw %d attempts", s, attempts)
	}
	waiting.Close()
	waitUntil(t, "a request whose client left has ended", func() bool { return statsOf(t, p).InFlight == 0 })
	close(hold)
}

// An endpoint that is down gets nothing, whatever the list says in between, until it is
// restored; and not even a new process of the proxy sends to it.
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
		g.await(t, fmt.Sprintf("since=%d", i+2)) // it has been applied
		for range 10 {
			if status, _ := dial(t, p.Address()).ask(request("read", 15000)); status != 200 {
				t.Errorf("list %d: answered %d", i+2, status)
			}
		}
	}
	if s := statsOf(t, p); s.EndpointsListed != 2 || s.EndpointsDown != 1 {
		t.Errorf("%+v", s)
	}
	second := run(t, withManagement(dir), a.endpoint("a", 1), b.endpoint("b", 1))
	waitUntil(t, "the second process listens, though its directory is silent", func() bool { return second.Address() != "" })
	for range 10 {
		dial(t, second.Address()).ask(request("read", 15000))
	}
	if got := a.requests.Load() - before; got != 0 {
		t.Errorf("%d requests at an endpoint that is down", got)
	}
	// Restored at one process, it is restored at both, and counts as just started.
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
		t.Errorf("restored as %+v", t2.current)
	}
}

// A drain makes the proxy unready, closes idle connections, answers what was accepted, and can be stopped.
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
	await(t, held, "the request that is held")
	began := time.Now()
	for range 2 { // twice is once
		if status, _ := callManagement(t, p, "POST", "drain/start", ""); status != 200 {
			t.Fatal(status)
		}
	}
	if status, _ := callManagement(t, p, "GET", "readiness", ""); status != 503 || ready() != 503 {
		t.Errorf("while it drains: %d", status)
	}
	for _, c := range []*client{idle, silent} {
		if _, err := c.r.ReadByte(); err != io.EOF {
			t.Errorf("a connection without a request ends with %v", err)
		}
	}
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("idle connections went after %v", took)
	}
	close(hold)
	if resp := busy.send(""); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("what was accepted: %d, close %v", resp.StatusCode, resp.Close)
	}
	waitUntil(t, "late requests are rejected", func() bool {
		resp := dial(t, p.Address()).send(request("read", 15000))
		return resp.StatusCode == 503 && resp.Close
	})
	if status, _ := callManagement(t, p, "POST", "drain/stop", ""); status != 200 || ready() != 200 {
		t.Errorf("after the drain: %d", status)
	}
	again := dial(t, p.Address())
	for range 2 { // over one connection, which is kept again
		if status, _ := again.ask(request("read", 15000)); status != 200 {
			t.Errorf("after the drain: %d", status)
		}
	}
}

// An order succeeds only if it is persisted: where it can't be, nothing changes.
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

// Clients may use up all that they are allowed: the management endpoint still answers in time.
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
			t.Errorf("answered %d in %v", status, took)
		}
	}
	for _, c := range all {
		c.Close()
	}
}

// The counters go on over a reload, and pools that share a class count together.
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
			t.Errorf("%s: %d", path, status)
		}
	}
	if status, _ := callManagement(t, p, "POST", "backends/down", "a-1"); status != 200 {
		t.Error(status)
	}
	next := parseConfig(t, file(", zone: z, zones: [z]")) // another pool in its place
	if err := p.Reload(next); err != nil {
		t.Fatal(err)
	}
	before := a.requests.Load()
	if status, _ := dial(t, p.Address()).ask(get("x", "/read/a", "Req-Kind: read\r\n")); status != 503 || a.requests.Load() != before {
		t.Errorf("taken down, after a reload: %d", status)
	}
	if status, _ := callManagement(t, p, "POST", "backends/up", "a-1"); status != 200 {
		t.Error(status)
	}
	shed := int64(1)
	waitUntil(t, "requests at the restored endpoint, which warms up", func() bool {
		status, _ := dial(t, p.Address()).ask(get("x", "/read/a", "Req-Kind: read\r\n"))
		shed += int64(status-200) / 303
		return status == 200
	})
	next.Listeners = []config.Listener{{Name: "other", Address: p.AdminAddress()}} // in use already
	if err := p.Reload(next); err == nil {
		t.Error("a listener at the management endpoint's address was taken over")
	}
	s := statsOf(t, p)
	if c := s.Requests["read"]; c.Served != 3 || c.Shed != shed || c.Failed != 0 || s.Attempts != 3 || s.EndpointsListed != 2 ||
		s.ReloadsOK != 1 || s.ReloadsFailed != 1 {
		t.Errorf("%d shed, %+v", shed, s)
	}
}
