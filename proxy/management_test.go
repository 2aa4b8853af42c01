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
	"ryerill/balancer"
	"ryerill/config"
)

// door opens the operators' door, with the word kept in a directory.
func door(dir string) func(*config.Config) {
	return func(c *config.Config) { c.Admin, c.SharedDir = "127.0.0.1:0", dir }
}

// order makes one call at a door and returns the status and what it says.
func order(t *testing.T, p *Proxy, method, path, body string) (int, string) {
	t.Helper()
	return dial(t, p.AdminAddress()).ask(fmt.Sprintf("%s /ops/%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body))
}

func figuresOf(t *testing.T, p *Proxy) (s admin.Stats) {
	t.Helper()
	_, text := order(t, p, "GET", "stats", "")
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		t.Fatalf("%v in %s", err, text)
	}
	return s
}

// until looks again and again whether something has come true.
func until(t *testing.T, what string, come func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !come(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// The figures agree with what scripted providers and consumers saw: served,
// refused, failed, tried again, left, torn and malformed requests.
func TestFiguresAgreeWithALedger(t *testing.T) {
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
	p := run(t, door(""), a.endpoint("a", 1), b.endpoint("b", 1))
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
	// What is no invocation counts by its class, and what breaks off or names no class of ours not at all.
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
	if s := figuresOf(t, p); s.InFlight != 0 {
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
	// A provider may have an attempt a moment before it is counted.
	until(t, "all attempts are counted", func() bool { return figuresOf(t, p).Attempts == attempts })
	s := figuresOf(t, p)
	if got := fmt.Sprint(s.Requests); got != fmt.Sprint(want) {
		t.Errorf("calls %s, want %v", got, want)
	}
	if s.Attempts != attempts || s.InFlight != 1 || s.EndpointsListed != 2 {
		t.Errorf("%+v, and providers saw %d attempts", s, attempts)
	}
	waiting.Close()
	until(t, "a request whose consumer left has ended", func() bool { return figuresOf(t, p).InFlight == 0 })
	close(hold)
}

// Who is out gets nothing, whatever the list says in between, until one call
// back; and not even a new process of the proxy sends to it.
func TestOutByHandHoldsAgainstTheList(t *testing.T) {
	t.Parallel()
	a, b := newBackend(t, says(okay)), newBackend(t, says(okay))
	g, dir := newRegistry(t), t.TempDir()
	directed := func(c *config.Config) {
		door(dir)(c)
		c.Pools[0].Discovery = g.Listener.Addr().String()
	}
	p := run(t, directed, a.endpoint("a", 1), b.endpoint("b", 1))
	for range 2 {
		if status, text := order(t, p, "POST", "backends/down", "a"); status != 200 {
			t.Fatal(status, text)
		}
	}
	if status, text := order(t, p, "POST", "backends/down", "nobody"); status != 404 || !strings.Contains(text, "directory's list") {
		t.Error(status, text)
	}
	if status, _ := order(t, p, "POST", "backends/up", "nobody"); status != 404 {
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
		g.tell(t, list)
		g.await(t, fmt.Sprintf("since=%d", i+2)) // it has been taken in
		for range 10 {
			if status, _ := dial(t, p.Address()).ask(request("read", 15000)); status != 200 {
				t.Errorf("list %d: answered %d", i+2, status)
			}
		}
	}
	if s := figuresOf(t, p); s.EndpointsListed != 2 || s.EndpointsDown != 1 {
		t.Errorf("%+v", s)
	}
	second := run(t, door(dir), a.endpoint("a", 1), b.endpoint("b", 1))
	until(t, "the second process listens, though its directory is silent", func() bool { return second.Address() != "" })
	for range 10 {
		dial(t, second.Address()).ask(request("read", 15000))
	}
	if got := a.requests.Load() - before; got != 0 {
		t.Errorf("%d requests at a provider that is out", got)
	}
	// Called back at one process, it is back at both, and counts as just started.
	if status, _ := order(t, second, "POST", "backends/up", "a"); status != 200 {
		t.Error(status)
	}
	until(t, "work for who is back", func() bool {
		dial(t, p.Address()).ask(request("read", 15000))
		return a.requests.Load() > before
	})
	c := p.activePools()[0]
	c.mu.Lock()
	defer c.mu.Unlock()
	if t2 := c.endpoints.byID[endpointID("a")]; t2.current.StartedAt <= t2.listed.StartedAt || t2.current.State != 1 {
		t.Errorf("back as %+v", t2.current)
	}
}

// A drain says no, ends idle connections, answers what it has, and is undone.
func TestDrainByHand(t *testing.T) {
	t.Parallel()
	hold, held := make(chan struct{}), make(chan struct{}, 1)
	b := newBackend(t, func(c net.Conn, r *http.Request) {
		if r.Method == "POST" {
			held <- struct{}{}
			<-hold
		}
		io.WriteString(c, okay)
	})
	p := run(t, door(t.TempDir()), b.endpoint("b", 1))
	ready := func() int { return dial(t, p.Address()).send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").StatusCode }
	idle, busy, silent := dial(t, p.Address()), dial(t, p.Address()), dial(t, p.Address())
	idle.ask(request("read", 15000))
	io.WriteString(busy, request("burn", 15000))
	await(t, held, "the request that is held")
	began := time.Now()
	for range 2 { // twice is once
		if status, _ := order(t, p, "POST", "drain/start", ""); status != 200 {
			t.Fatal(status)
		}
	}
	if status, _ := order(t, p, "GET", "readiness", ""); status != 503 || ready() != 503 {
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
		t.Errorf("what was taken: %d, close %v", resp.StatusCode, resp.Close)
	}
	until(t, "what comes late is refused", func() bool {
		resp := dial(t, p.Address()).send(request("read", 15000))
		return resp.StatusCode == 503 && resp.Close
	})
	if status, _ := order(t, p, "POST", "drain/stop", ""); status != 200 || ready() != 200 {
		t.Errorf("after the drain: %d", status)
	}
	again := dial(t, p.Address())
	for range 2 { // over one connection, which is kept again
		if status, _ := again.ask(request("read", 15000)); status != 200 {
			t.Errorf("after the drain: %d", status)
		}
	}
}

// Yes is said only of what is kept: where it can't be, nothing changes.
func TestNoYesWithoutKeeping(t *testing.T) {
	t.Parallel()
	b := newBackend(t, says(okay))
	p := run(t, door(filepath.Join(t.TempDir(), "missing")), b.endpoint("b", 1))
	if status, text := order(t, p, "POST", "backends/down", "b"); status != 503 || !strings.Contains(text, "kept") {
		t.Error(status, text)
	}
	if status, _ := order(t, p, "GET", "readiness", ""); status != 200 {
		t.Error(status)
	}
	if s := figuresOf(t, p); s.EndpointsDown != 0 {
		t.Errorf("%+v", s)
	}
}

// Consumers may use up all that they are allowed: the door still answers in time.
func TestDoorWhileConsumersHoldAllTheyMay(t *testing.T) {
	t.Parallel()
	hold := make(chan struct{})
	defer close(hold)
	b := newBackend(t, func(c net.Conn, _ *http.Request) { <-hold; io.WriteString(c, okay) })
	p := run(t, func(c *config.Config) { door("")(c); c.Limits.Sockets = 128 }, b.endpoint("b", 1))
	var all []*client
	for range 200 {
		c := dial(t, p.Address())
		io.WriteString(c, request("read", 15000))
		all = append(all, c)
	}
	for range 20 {
		began := time.Now()
		status, _ := order(t, p, "GET", "readiness", "")
		if took := time.Since(began); status != 200 || took > time.Second {
			t.Errorf("answered %d in %v", status, took)
		}
	}
	for _, c := range all {
		c.Close()
	}
}

// The figures go on over a reload, and pools that share a class count together.
func TestFiguresOverAReload(t *testing.T) {
	t.Parallel()
	a, b := newBackend(t, says(okay)), newBackend(t, says(okay))
	file := func(drain string) string {
		return "mgmt: 127.0.0.1:0\nlisteners: [{name: main, address: '127.0.0.1:0'}]\n" + classes +
			"routes:\n  - {name: a, path: /read/a, pool: a, class: read}\n  - {name: b, path: /read/b, pool: b, class: read}\npools:\n" +
			poolOf("a", a, drain) + poolOf("b", b, "")
	}
	p, _ := pooled(t, file(""))
	for _, path := range []string{"/read/a", "/read/b"} {
		if status, _ := dial(t, p.Address()).ask(get("x", path, "Req-Kind: read\r\n")); status != 200 {
			t.Errorf("%s: %d", path, status)
		}
	}
	if status, _ := order(t, p, "POST", "backends/down", "a-1"); status != 200 {
		t.Error(status)
	}
	next := parsed(t, file(", zone: z, zones: [z]")) // another pool in its place
	if err := p.Reload(next); err != nil {
		t.Fatal(err)
	}
	before := a.requests.Load()
	if status, _ := dial(t, p.Address()).ask(get("x", "/read/a", "Req-Kind: read\r\n")); status != 503 || a.requests.Load() != before {
		t.Errorf("out by hand, after a reload: %d", status)
	}
	if status, _ := order(t, p, "POST", "backends/up", "a-1"); status != 200 {
		t.Error(status)
	}
	refused := int64(1)
	until(t, "work for who is back, which counts as cold", func() bool {
		status, _ := dial(t, p.Address()).ask(get("x", "/read/a", "Req-Kind: read\r\n"))
		refused += int64(status-200) / 303
		return status == 200
	})
	next.Listeners = []config.Listener{{Name: "other", Address: p.AdminAddress()}} // is taken
	if err := p.Reload(next); err == nil {
		t.Error("a listener at the door's address was taken over")
	}
	s := figuresOf(t, p)
	if c := s.Requests["read"]; c.Served != 3 || c.Shed != refused || c.Failed != 0 || s.Attempts != 3 || s.EndpointsListed != 2 ||
		s.ReloadsOK != 1 || s.ReloadsFailed != 1 {
		t.Errorf("%d refused, %+v", refused, s)
	}
}

// Names beyond the bound are forgotten all at once. That is work for all that are
// listed, so it must be rare however many these are: each entry of a list of 7,000
// once cost it.
func TestManyNamesAreSeldomForgotten(t *testing.T) {
	endpoints := newEndpointTable()
	forgotten := 0
	const listed = 7000
	for i := range 3 * listed {
		name := fmt.Sprint("s", i)
		endpoints.byID[balancer.EndpointID(i)] = &listedEndpoint{name: name}
		delete(endpoints.byID, balancer.EndpointID(i-listed))
		endpoints.names["mark"] = struct{}{}
		endpoints.addName(name)
		if _, there := endpoints.names["mark"]; !there {
			forgotten++
		}
		if len(endpoints.names) > maxNames+2*listed+2 {
			t.Fatalf("%d names are remembered", len(endpoints.names))
		}
	}
	if forgotten > 3 {
		t.Errorf("forgotten %d times in %d names", forgotten, 3*listed)
	}
	if _, there := endpoints.names[fmt.Sprint("s", 3*listed-1)]; !there {
		t.Error("the newest is forgotten")
	}
}
