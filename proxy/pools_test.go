package proxy

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"go.uber.org/goleak"

	"ryerill/config"
)

// runConfig runs a proxy with a YAML configuration.
func runConfig(t *testing.T, text string) (p *Proxy, end func()) {
	t.Helper()
	p, err := New(parseConfig(t, text), WithLogger(slog.New(slog.DiscardHandler)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan error)
	go func() { over <- p.Run(ctx) }()
	// Wait for the first response: a reload needs a running proxy.
	if resp := dial(t, p.Address()).send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"); resp.StatusCode != 200 {
		t.Fatal(resp.Status)
	}
	var once sync.Once
	end = func() {
		once.Do(func() {
			stop()
			if err := <-over; err != nil {
				t.Error(err)
			}
		})
	}
	t.Cleanup(end)
	return p, end
}

func parseConfig(t *testing.T, text string) config.Config {
	t.Helper()
	cfg, _, err := config.ParseFile("test.yaml", []byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

const classesYAML = `
classes:
  - {name: read, deadline: 20s, effect: safe}
  - {name: pay, deadline: 20s, effect: keyed, memory: 10s}
`

// poolYAML returns the YAML of a pool with one endpoint.
func poolYAML(name string, b *backend, more string) string {
	return fmt.Sprintf("  - {name: %s, limits: {connect_timeout: 5s}, providers: [{name: %s-1, address: %q}]%s}\n", name, name, b.Addr().String(), more)
}

// respondsWithTarget responds with a name and the received request target.
func respondsWithTarget(name string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		text := name + " " + r.RequestURI
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

var serial atomic.Uint64

func get(host, target, class string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nReq-Id: p%d\r\nReq-Deadline-Ms: 15000\r\n%s\r\n", target, host, serial.Add(1), class)
}

func TestRoutesSelectPools(t *testing.T) {
	t.Parallel()
	a, b := newBackend(t, respondsWithTarget("a")), newBackend(t, respondsWithTarget("b"))
	p, _ := runConfig(t, "listeners: [{name: main, address: '127.0.0.1:0'}]\n"+classesYAML+`
routes:
  - {name: shops, host: app.svc, path: /shops/*, pool: a, rewrite: /v2, class: read}
  - {name: stated, host: app.svc, classes: [read], pool: a}
  - {name: other, host: "*.svc", path: /read/*, pool: b}
pools:
`+poolYAML("a", a, "")+poolYAML("b", b, ""))
	for _, tc := range []struct {
		text   string
		status int
		body   string
	}{
		{get("app.svc", "/shops/7?x=1", ""), 200, "a /v2/7?x=1"},
		{get("app.svc", "/any", "Req-Kind: read\r\n"), 200, "a /any"},
		{get("app.svc", "/read/7", ""), 200, "a /read/7"},
		{get("x.svc", "/read/7", ""), 200, "b /read/7"},
		{get("x.svc", "/shops/7", ""), 404, ""},
		{get("elsewhere", "/read/7", ""), 404, ""},
		{get("app.svc", "/shops/../read/7", ""), 400, ""},
		{get("app.svc", "/shops/7", "Req-Kind: unheard\r\n"), 404, ""},
	} {
		if status, body := dial(t, p.Address()).ask(tc.text); status != tc.status || status == 200 && body != tc.body {
			t.Errorf("%q: got %d %q, want %d %q", tc.text, status, body, tc.status, tc.body)
		}
	}
}

// A request stays in the pool in which it started. A pool that a reload removes finishes its
// requests; a pool that keeps its classes continues with its learnt state.
func TestReloadOfPools(t *testing.T) {
	t.Parallel()
	arrived, release := make(chan struct{}, 8), make(chan struct{})
	slow := newBackend(t, func(c net.Conn, r *http.Request) {
		arrived <- struct{}{}
		<-release
		respondsWithTarget("slow")(c, r)
	})
	b := newBackend(t, respondsWithTarget("b"))
	head := "listeners: [{name: main, address: '127.0.0.1:0'}]\n" + classesYAML
	with := head + "routes: [{path: /read/a, pool: a, name: ra}, {path: /read/b, pool: b, name: rb}]\npools:\n" + poolYAML("a", slow, "") + poolYAML("b", b, "")
	p, _ := runConfig(t, with)
	c := dial(t, p.Address())
	if _, err := io.WriteString(c, get("x", "/read/a", "")); err != nil {
		t.Fatal(err)
	}
	await(t, arrived, "the request at the endpoint")
	core := func(name string) *core {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.pools.active[name]
	}
	before, going := core("b"), core("a")
	without := head + "routes: [{path: /read/b, pool: b, name: rb}]\npools:\n" + poolYAML("b", b, ", limits: {attempts: 5}")
	without = strings.Replace(without, "limits: {connect_timeout: 5s}, ", "", 1)
	if err := p.Reload(parseConfig(t, without)); err != nil {
		t.Fatal(err)
	}
	if status, _ := dial(t, p.Address()).ask(get("x", "/read/a", "")); status != 404 {
		t.Errorf("route of the removed pool: got status %d, want 404", status)
	}
	if status, body := dial(t, p.Address()).ask(get("x", "/read/b", "")); status != 200 || body != "b /read/b" {
		t.Errorf("remaining pool: got %d %q, want 200 with its target", status, body)
	}
	if core("b") != before {
		t.Error("pool was replaced although only its limits changed")
	}
	select {
	case <-going.requests.drained:
		t.Error("removed pool drained with a request open")
	default:
	}
	close(release)
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("request open during the reload: got response %v, error %v; want 200", resp, err)
	}
	await(t, going.requests.drained, "the removed pool to drain")
	// A change of classes replaces the pool.
	if err := p.Reload(parseConfig(t, strings.Replace(without, "deadline: 20s, effect: safe", "deadline: 19s, effect: safe", 1))); err != nil {
		t.Fatal(err)
	}
	if core("b") == before {
		t.Error("pool was not replaced although its classes changed")
	}
	if status, _ := dial(t, p.Address()).ask(get("x", "/read/b", "")); status != 200 {
		t.Errorf("after the pool was replaced: got status %d, want 200", status)
	}
}

// A reload that fails after it has created pools and claimed their resources is rolled back:
// the old pools continue to serve and keep their claims.
func TestFailedReloadIsRolledBack(t *testing.T) {
	t.Parallel()
	a, b := newBackend(t, respondsWithTarget("a")), newBackend(t, respondsWithTarget("b"))
	head := "listeners: [{name: main, address: '127.0.0.1:0'}]\n" + classesYAML
	p, _ := runConfig(t, head+"routes: [{path: /read/*, pool: a, name: ra}]\npools:\n"+poolYAML("a", a, ", guarantee: {sockets: 4}"))
	p.resources.mu.Lock()
	before := p.resources.claims
	p.resources.mu.Unlock()
	old := p.activePools()[0]
	next := parseConfig(t, head+"routes: [{path: /read/*, pool: b, name: rb}]\npools:\n"+poolYAML("b", b, ", guarantee: {sockets: 4}"))
	next.Listeners = append(next.Listeners, config.Listener{Name: "more", Address: "127.0.0.1:0"})
	next.Routes = append(next.Routes, next.Routes[0]) // duplicate routes are invalid
	if err := p.Reload(next); err == nil {
		t.Fatal("Reload accepted duplicate routes")
	}
	if now := p.activePools(); len(now) != 1 || now[0] != old || p.AddressOf("more") != "" {
		t.Errorf("after the failed reload: got %d pools and additional listener at %q, want the old pool and no listener", len(now), p.AddressOf("more"))
	}
	if status, body := dial(t, p.Address()).ask(get("x", "/read/7", "")); status != 200 || body != "a /read/7" {
		t.Errorf("after the failed reload: got %d %q, want 200 with the target", status, body)
	}
	p.resources.rebalance()
	p.resources.mu.Lock()
	defer p.resources.mu.Unlock()
	r := p.resources
	if len(r.claims) != len(before) || r.claims[0].Name != "a" || len(r.draining) != 0 || !r.singlePool {
		t.Errorf("got claims of %d pools, %d draining, singlePool %v; want the claims of pool a alone", len(r.claims), len(r.draining), r.singlePool)
	}
}

func TestReloadOfListeners(t *testing.T) {
	t.Parallel()
	b := newBackend(t, respondsWithTarget("b"))
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	file := func(listeners string) string {
		return "listeners: [" + listeners + "]\n" + classesYAML + "routes: [{pool: b}]\npools:\n" + poolYAML("b", b, "")
	}
	p, _ := runConfig(t, file("{name: one, address: '127.0.0.1:0'}"))
	if err := p.Reload(parseConfig(t, file("{name: one, address: '127.0.0.1:0'}, {name: two, address: '"+taken.Addr().String()+"'}"))); err == nil || !strings.Contains(err.Error(), "listener two") {
		t.Errorf("address in use: got error %v, want one that names listener two", err)
	}
	if status, _ := dial(t, p.Address()).ask(get("x", "/read/1", "")); status != 200 {
		t.Errorf("after a failed reload: got status %d, want 200", status)
	}
	kept := dial(t, p.Address())
	if status, _ := kept.ask(get("x", "/read/1", "")); status != 200 {
		t.Fatal(status)
	}
	old := p.Address()
	if err := p.Reload(parseConfig(t, file("{name: two, address: '127.0.0.1:0'}"))); err != nil {
		t.Fatal(err)
	}
	if p.Address() == old || p.AddressOf("two") != p.Address() || p.AddressOf("one") != "" {
		t.Fatalf("proxy listens at %s, previously %s; want only listener two", p.Address(), old)
	}
	// A client connection of the removed listener is still served.
	if status, _ := kept.ask(get("x", "/read/1", "")); status != 200 {
		t.Errorf("kept connection: got status %d, want 200", status)
	}
	if status, _ := dial(t, p.Address()).ask(get("x", "/read/1", "")); status != 200 {
		t.Errorf("new listener: got status %d, want 200", status)
	}
}

// A hundred reloads under load lose no request and leak no resource.
func TestReloadStorm(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	a, b := newBackend(t, respondsWithTarget("a")), newBackend(t, respondsWithTarget("b"))
	defer a.Close()
	defer b.Close()
	head := "listeners: [{name: main, address: '127.0.0.1:0'}]\n" + classesYAML
	forms := []config.Config{}
	for _, text := range []string{
		head + "routes: [{path: /read/a, pool: a, name: ra}, {path: /read/b, pool: b, name: rb}]\npools:\n" + poolYAML("a", a, "") + poolYAML("b", b, ""),
		head + "routes: [{path: /read/*, pool: b, name: rb}]\npools:\n" + poolYAML("b", b, ""),
		head + "routes: [{path: /read/a, pool: b, name: ra}, {path: /read/b, pool: a, name: rb}]\npools:\n" + poolYAML("b", a, "") + poolYAML("a", b, ", weight: 3"),
		strings.Replace(head, "20s", "18s", 1) + "routes: [{path: /read/*, pool: c, name: rc}]\npools:\n" + poolYAML("c", a, ""),
	} {
		forms = append(forms, parseConfig(t, text))
	}
	p, end := runConfig(t, head+"routes: [{path: /read/*, pool: b, name: rb}]\npools:\n"+poolYAML("b", b, ""))
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served, shed atomic.Int64
	for n := range 4 {
		c := dial(t, p.Address())
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				if _, err := io.WriteString(c, get("x", []string{"/read/a", "/read/b"}[n%2], "")); err != nil {
					t.Error(err)
					return
				}
				resp, err := http.ReadResponse(c.r, nil)
				if err != nil {
					t.Errorf("no response: %v", err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				switch resp.StatusCode {
				case 200:
					served.Add(1)
				case 503:
					shed.Add(1)
				default:
					t.Errorf("got status %s, want 200 or 503", resp.Status)
				}
			}
		}()
	}
	for i := range 100 {
		if err := p.Reload(forms[i%len(forms)]); err != nil {
			t.Error(err)
		}
	}
	close(stop)
	clients.Wait()
	if served.Load() == 0 || shed.Load() > served.Load()/2 {
		t.Errorf("got %d requests served, %d shed; want some served and at most half as many shed", served.Load(), shed.Load())
	}
	end()
	a.CloseAll()
	b.CloseAll()
	for name, r := range p.resources.pools {
		for k := range resourceKinds {
			if n := resourceKinds[k].budget(r).used.Load(); n != 0 {
				t.Errorf("pool %s uses %d of resource kind %d after the end, want 0", name, n, k)
			}
		}
	}
}

// A pool whose endpoints hang does not use the resources that another pool is guaranteed.
func TestHangingPoolLeavesOthersTheirGuarantee(t *testing.T) {
	t.Parallel()
	hold := make(chan struct{})
	hangs := newBackend(t, func(net.Conn, *http.Request) { <-hold })
	t.Cleanup(func() { close(hold) })
	calm := newBackend(t, respondsWithTarget("calm"))
	p, _ := runConfig(t, "machine: {sockets: 96}\nlisteners: [{name: main, address: '127.0.0.1:0'}]\n"+classesYAML+`
routes: [{name: h, path: /read/hang, pool: hangs}, {name: c, path: /read/calm, pool: calm}]
pools:
`+strings.Replace(poolYAML("hangs", hangs, ", copies: 1, guarantee: {sockets: 4}"), "[{", "["+manyEndpoints(hangs, 40)+"{", 1)+
		poolYAML("calm", calm, ", guarantee: {sockets: 4}"))
	for range 24 { // nearly all client connections
		c := dial(t, p.Address())
		if _, err := io.WriteString(c, get("x", "/read/hang", "")); err != nil {
			t.Fatal(err)
		}
	}
	for range 20 {
		if status, body := dial(t, p.Address()).ask(get("x", "/read/calm", "")); status != 200 || body != "calm /read/calm" {
			t.Fatalf("calm pool: got %d %q, want 200 with its target", status, body)
		}
	}
	p.mu.Lock()
	r := p.pools.active["hangs"].resources
	p.mu.Unlock()
	if total := p.resources.total.Sockets; r.sockets.used.Load() > int64(total-4) {
		t.Errorf("hanging pool holds %d of %d sockets, want at least 4 left for the other pool", r.sockets.used.Load(), total)
	}
}

func manyEndpoints(b *backend, n int) string {
	var s strings.Builder
	for i := range n {
		fmt.Fprintf(&s, "{name: more-%d, address: %q}, ", i, b.Addr().String())
	}
	return s.String()
}

// A pool with silent discovery and a pool whose endpoints send 60 KiB responses as fast as they
// can do not disturb another pool.
func TestPoolsAreIsolated(t *testing.T) {
	t.Parallel()
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	big := "HTTP/1.1 200 OK\r\nContent-Length: 61440\r\n\r\n" + strings.Repeat("x", 60<<10)
	large, calm, lost := newBackend(t, responds(big)), newBackend(t, respondsWithTarget("calm")), newBackend(t, respondsWithTarget("lost"))
	p, _ := runConfig(t, "listeners: [{name: main, address: '127.0.0.1:0'}]\n"+classesYAML+`
routes: [{name: l, path: /read/large, pool: large}, {name: c, path: /read/calm, pool: calm}, {name: s, path: /read/lost, pool: lost}]
pools:
`+poolYAML("large", large, "")+poolYAML("calm", calm, "")+poolYAML("lost", lost, fmt.Sprintf(", directory: %q", mute.Addr())))
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range 4 {
		c := dial(t, p.Address())
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				default:
					if status, body := c.ask(get("x", "/read/large", "")); status == 200 && len(body) != 60<<10 {
						t.Errorf("got body of %d bytes, want 61440", len(body))
					}
				}
			}
		}()
	}
	c := dial(t, p.Address())
	for range 200 {
		for _, name := range []string{"calm", "lost"} { // a pool with silent discovery keeps its known endpoints
			if status, body := c.ask(get("x", "/read/"+name, "")); status != 200 || body != name+" /read/"+name {
				t.Fatalf("pool %s: got %d %q, want 200 with its target", name, status, body)
			}
		}
	}
	close(stop)
	clients.Wait()
}

// Five hundred pools of ten endpoints start and serve within 192 MB and 1,024 descriptors.
// The configuration rejects 600 pools.
func TestManyPools(t *testing.T) {
	t.Parallel()
	b := newBackend(t, respondsWithTarget("b"))
	write := func(n int) string {
		var s strings.Builder
		s.WriteString("machine: {memory_mb: 192, sockets: 1024}\nlisteners: [{name: main, address: '127.0.0.1:0'}]\n" + classesYAML + "routes:\n")
		for i := range n {
			fmt.Fprintf(&s, "  - {name: r%d, path: /read/%d, pool: p%d}\n", i, i, i)
		}
		s.WriteString("pools:\n")
		for i := range n {
			fmt.Fprintf(&s, "  - {name: p%d, providers: [%s]}\n", i, strings.TrimSuffix(manyEndpoints(b, 10), ", "))
		}
		return s.String()
	}
	p, _ := runConfig(t, write(500))
	c := dial(t, p.Address())
	for i := 0; i < 500; i += 7 {
		if status, body := c.ask(get("x", fmt.Sprintf("/read/%d", i), "")); status != 200 {
			t.Fatalf("pool %d: got %d %q, want status 200", i, status, body)
		}
	}
	if _, _, err := config.ParseFile("many.yaml", []byte(write(600)), func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "machine.sockets") {
		t.Errorf("600 pools in 1,024 descriptors: got error %v, want one that names machine.sockets", err)
	}
}

// BenchmarkPools measures the cost of routing among many pools: compare 1 with 100.
func BenchmarkPools(b *testing.B) {
	for _, n := range []int{1, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "fine") }))
			var s strings.Builder
			s.WriteString("machine: {sockets: 4096}\nlisteners: [{name: main, address: '127.0.0.1:0'}]\n" + classesYAML + "routes:\n")
			for i := range n {
				fmt.Fprintf(&s, "  - {name: r%d, path: /read/%d, pool: p%d}\n", i, i, i)
			}
			s.WriteString("pools:\n")
			for i := range n {
				fmt.Fprintf(&s, "  - {name: p%d, providers: [{name: a, address: %q}]}\n", i, l.Addr().String())
			}
			cfg, _, err := config.ParseFile("bench.yaml", []byte(s.String()), func(string) string { return "" })
			if err != nil {
				b.Fatal(err)
			}
			p, err := New(cfg, WithLogger(slog.New(slog.DiscardHandler)))
			if err != nil {
				b.Fatal(err)
			}
			ctx, stop := context.WithCancel(context.Background())
			over := make(chan error)
			go func() { over <- p.Run(ctx) }()
			defer func() { stop(); <-over }()
			c, err := net.Dial("tcp", p.Address())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			buf := make([]byte, 4096)
			for i := range b.N {
				if _, err := io.WriteString(c, get("x", fmt.Sprintf("/read/%d", i%n), "")); err != nil {
					b.Fatal(err)
				}
				if got, err := c.Read(buf); err != nil || !strings.HasPrefix(string(buf[:got]), "HTTP/1.1 200") {
					b.Fatalf("%q, %v", buf[:got], err)
				}
			}
		})
	}
}
