package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"ryerill/config"
	"ryerill/discovery"
)

// receivedRequest is one complete request that an endpoint received.
type receivedRequest struct {
	endpoint string
	at       time.Time
}

// stageTest runs a proxy with two endpoints in one group, one in another and one cold
// endpoint, and takes one request to a stage.
type stageTest struct {
	t                *testing.T
	p                *Proxy
	stop             func()
	c                *client
	class            string
	deadlineMS       int // deadline of the request
	arrived          chan string
	release          chan struct{} // closed to let hanging endpoints respond
	releaseEndpoints func()        // closes release
	stalled          net.Listener  // accepts no connection

	mu       sync.Mutex
	received map[string][]receivedRequest // by Req-Id
	down     map[string]time.Time         // by name: when an endpoint was taken down
	peers    []*backend
}

// behave returns the behaviour of an endpoint, which the "how" query of a request selects.
func (s *stageTest) behave(name string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		id := r.Header.Get("Req-Id")
		s.mu.Lock()
		s.received[id] = append(s.received[id], receivedRequest{name, time.Now()})
		first, release := len(s.received[id]) == 1, s.release
		s.mu.Unlock()
		const long = 1 << 20
		text := okay
		switch how := r.URL.Query().Get("how"); {
		case how == "" || how == "serve":
		case how == "again" && first:
			text = "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n"
		case how == "half":
			io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", long, strings.Repeat("x", long/4)))
			text = strings.Repeat("x", long-long/4)
			fallthrough
		default:
			s.arrived <- name
			<-release
		}
		io.WriteString(c, text)
	}
}

func newStageTest(t *testing.T, class string, change func(*config.Config)) *stageTest {
	s := &stageTest{t: t, class: class, deadlineMS: 15_000, arrived: make(chan string, 64), release: make(chan struct{}),
		received: map[string][]receivedRequest{}, down: map[string]time.Time{}}
	s.releaseEndpoints = sync.OnceFunc(func() { close(s.release) })
	var known []discovery.Endpoint
	for i, name := range []string{"s1", "s2", "t1", "cold"} {
		b := newBackend(t, s.behave(name))
		s.peers = append(s.peers, b)
		e := b.endpoint(name, []int{1, 1, 2, 1}[i])
		if name == "cold" {
			e.SinceMS = time.Now().UnixMilli()
		}
		known = append(known, e)
	}
	s.p, s.stop = runUntil(t, func(cfg *config.Config) {
		withManagement(t.TempDir())(cfg)
		b := &cfg.Pools[0].Settings.Balancer
		b.Limits.ConnectTimeout = 400 * time.Millisecond
		b.Classes = append(b.Classes, b.Classes[0])
		b.Classes[3].Name, b.Classes[3].OrderedByKey = "ordered", true
		if change != nil {
			change(cfg)
		}
	}, known...)
	waitUntil(t, "ready", func() bool { return s.p.Readiness() == nil })
	s.c = dial(t, s.p.Address())
	return s
}

// close stops the proxy, the endpoints and the stalled listener.
func (s *stageTest) close() {
	s.stop()
	for _, b := range s.peers {
		b.CloseAll()
	}
	if s.stalled != nil {
		s.stalled.Close()
	}
}

func (s *stageTest) core() *core {
	s.p.mu.Lock()
	defer s.p.mu.Unlock()
	return s.p.pools.active["main"]
}

// inFlight returns the number of attempts that the Balancer counts as in flight.
func (s *stageTest) inFlight() int {
	c := s.core()
	c.mu.Lock()
	defer c.mu.Unlock()
	_, n := c.decisions.balancer.Concurrency()
	return n
}

// requestText returns a request whose query selects how the endpoints respond.
func (s *stageTest) requestText(how, more string) string {
	text := request(s.class, s.deadlineMS)
	if s.class == "ordered" {
		text = strings.Replace(request("read", s.deadlineMS), "read", "ordered", 2)
	}
	return strings.Replace(text, "?q=%20x", "?how="+how+more, 1)
}

func (s *stageTest) write(text string) {
	s.t.Helper()
	if _, err := io.WriteString(s.c, text); err != nil {
		s.t.Fatal(err)
	}
}

// awaitArrival waits until an endpoint that delays its response has a request.
func (s *stageTest) awaitArrival() {
	s.t.Helper()
	select {
	case <-s.arrived:
	case <-time.After(testTimeout):
		s.t.Fatal("no endpoint received the request")
	}
}

// stage is a point in the processing of a request at which a fault is applied.
type stage struct {
	name              string
	classes           []string
	reach             func(*stageTest)
	sendRest          func(*stageTest) // sends the remainder of the request; nil if there is none
	accepted          bool             // the proxy has accepted the request and owes a result
	failsWithoutFault bool             // the request fails even without a fault
	responseStarted   bool             // the client has received part of the response
}

const uploadSize = 256 << 10

var stages = []stage{
	{name: "head half read", classes: []string{"read", "pay"},
		reach: func(s *stageTest) { s.write(s.requestText("serve", "")[:40]) },
		sendRest: func(s *stageTest) {
			s.write(s.requestText("serve", "")[40:])
		}},
	{name: "body half read", classes: []string{"pay"},
		reach: func(s *stageTest) {
			text := s.requestText("serve", "")
			s.write(text[:len(text)-2])
		},
		sendRest: func(s *stageTest) { s.write("lo") }},
	{name: "queued by key", classes: []string{"ordered"}, accepted: true,
		reach: func(s *stageTest) {
			first, ms := dial(s.t, s.p.Address()), s.deadlineMS
			s.deadlineMS = 15_000
			if _, err := io.WriteString(first, s.requestText("hang", "&k=1")); err != nil {
				s.t.Fatal(err)
			}
			s.awaitArrival()
			s.deadlineMS = ms
			s.write(s.requestText("serve", "&k=1"))
			waitUntil(s.t, "two requests accepted", func() bool { // or the second is shed because its wait would be too long
				return s.p.counters.inFlight.Load() == 2 || s.p.Stats().Requests["ordered"].Shed > 0
			})
		}},
	{name: "connecting", classes: []string{"read", "burn"}, accepted: true, failsWithoutFault: true,
		reach: func(s *stageTest) {
			s.stallDials()
			s.write(s.requestText("serve", ""))
			waitUntil(s.t, "an attempt in flight", func() bool { return s.inFlight() == 1 })
		}},
	{name: "request half written", classes: []string{"burn"}, accepted: false,
		reach: func(s *stageTest) {
			text := strings.Replace(s.requestText("serve", ""), "Content-Length: 5\r\n\r\nhello", fmt.Sprintf("Content-Length: %d\r\n\r\n", uploadSize), 1)
			s.write(text + strings.Repeat("y", uploadSize/2))
			waitUntil(s.t, "the start of the request at the endpoint", func() bool {
				c := s.core()
				c.mu.Lock()
				defer c.mu.Unlock()
				for _, e := range c.requests.open {
					return e.Outgoing.Stream != nil && e.Outgoing.Stream.Consumed()
				}
				return false
			})
		},
		sendRest: func(s *stageTest) { s.write(strings.Repeat("y", uploadSize/2)) }},
	{name: "sent and waiting", classes: []string{"read", "pay", "burn"}, accepted: true,
		reach: func(s *stageTest) { s.write(s.requestText("hang", "")); s.awaitArrival() }},
	{name: "retried", classes: []string{"read", "pay"}, accepted: true,
		reach: func(s *stageTest) { s.write(s.requestText("again", "")); s.awaitArrival() }},
	{name: "response half passed on", classes: []string{"read", "burn"}, accepted: true, responseStarted: true,
		reach: func(s *stageTest) {
			s.write(s.requestText("half", ""))
			s.awaitArrival()
			if _, err := s.c.r.Peek(1); err != nil {
				s.t.Fatal(err)
			}
		}},
}

// stallDials gives all endpoints the address of a listener that establishes no connection:
// its queue is full and it does not accept.
func (s *stageTest) stallDials() {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "stalled")
	if s.stalled, err = net.FileListener(f); err != nil {
		s.t.Fatal(err)
	}
	f.Close()
	s.t.Cleanup(func() { s.stalled.Close() })
	for range 2 { // fill the queue
		if c, err := net.DialTimeout("tcp", s.stalled.Addr().String(), 50*time.Millisecond); err == nil {
			s.t.Cleanup(func() { c.Close() })
		}
	}
	c := s.core()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.endpoints.byID {
		t.address = s.stalled.Addr().String()
	}
}

// fault is applied to a request at a stage. wantStatuses returns the acceptable results at
// the client: HTTP statuses, 0 for no response, -1 for a response that is visibly truncated.
type fault struct {
	name         string
	apply        func(*stageTest, *stage)
	wantStatuses func(*stage, string) []int
}

var (
	failures = []int{http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout}
	// unaffected returns the result of a request that the fault does not affect.
	unaffected = func(st *stage, _ string) []int {
		if st.failsWithoutFault {
			return failures
		}
		return []int{http.StatusOK}
	}
)

var faults = []fault{
	{"nothing", func(*stageTest, *stage) {}, unaffected},
	{"client leaves",
		func(s *stageTest, st *stage) {
			before := s.p.counters.inFlight.Load()
			s.c.Close()
			if st.accepted && !st.responseStarted { // the end of the request is recorded while its attempt is still in flight
				waitUntil(s.t, "the end of the request to be recorded", func() bool { return s.p.counters.inFlight.Load() < before })
			}
		},
		func(*stage, string) []int { return []int{0, -1} }},
	{"time is over", nil, // the request itself carries the deadline, see testFaultAtStage
		func(st *stage, _ string) []int {
			switch {
			case st.responseStarted: // a response that has begun continues
				return []int{http.StatusOK}
			case !st.accepted: // the read times out: the proxy has only part of the request
				return []int{http.StatusRequestTimeout, http.StatusServiceUnavailable}
			}
			return failures
		}},
	{"endpoint breaks off",
		func(s *stageTest, _ *stage) {
			for _, b := range s.peers {
				b.CloseAll()
			}
		},
		func(st *stage, _ string) []int {
			if st.responseStarted {
				return []int{-1}
			}
			return failures
		}},
	{"endpoint taken down",
		func(s *stageTest, _ *stage) {
			for _, name := range []string{"s1", "s2", "t1", "cold"} {
				if err := s.p.TakeDown(name); err != nil {
					s.t.Error(err)
				}
				s.down[name] = time.Now()
			}
		},
		func(st *stage, class string) []int {
			if !st.accepted && st.name != "request half written" || st.name == "queued by key" {
				return failures // no endpoint is left
			}
			return unaffected(st, class)
		}},
	{"drain",
		func(s *stageTest, _ *stage) {
			if err := s.p.StartDrain(); err != nil {
				s.t.Error(err)
			}
		}, unaffected},
	{"reload with another pool",
		func(s *stageTest, _ *stage) {
			s.p.mu.Lock()
			cfg := s.p.cfg
			s.p.mu.Unlock()
			cfg.Pools = slices.Clone(cfg.Pools)
			b := &cfg.Pools[0].Settings.Balancer
			b.Classes = slices.Clone(b.Classes)
			b.Classes[0].PriorityWeight++
			before := s.core()
			if err := s.p.Reload(cfg); err != nil || s.core() == before {
				s.t.Error("reload did not replace the pool:", err)
			}
		}, unaffected},
	{"SIGTERM",
		func(s *stageTest, _ *stage) {
			go s.stop()
			waitUntil(s.t, "shutdown to begin", func() bool { return s.p.Readiness() != nil })
		},
		unaffected},
}

// readStatus reads the response and returns its status, 0 for no response, -1 for a truncated one.
func (s *stageTest) readStatus() int {
	resp, err := http.ReadResponse(s.c.r, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return -1
	}
	if s.c.r.Buffered() > 0 {
		s.t.Error("data follows the response")
	}
	return resp.StatusCode
}

// checkRules checks the requests at the endpoints against the rules on retries, drains
// and warm-up.
func (s *stageTest) checkRules() {
	s.mu.Lock()
	defer s.mu.Unlock()
	cold := 0
	for id, all := range s.received {
		cells := map[string]bool{}
		for _, one := range all {
			cells[one.endpoint[:1]] = true
			if one.endpoint == "cold" {
				cold++
				cells["s"], cells["c"] = true, false
			}
			if at, is := s.down[one.endpoint]; is && one.at.Sub(at) > time.Second {
				s.t.Errorf("request %s was sent to %s %v after the endpoint was taken down, want at most 1s", id, one.endpoint, one.at.Sub(at))
			}
		}
		if s.class == "burn" && len(all) > 1 || len(all) > 3 || s.class == "pay" && cells["s"] && cells["t"] {
			s.t.Errorf("request %s of class %s was sent to %v, against the retry rules", id, s.class, all)
		}
	}
	if cold > 1 {
		s.t.Errorf("got %d requests at the cold endpoint, want at most 1", cold)
	}
}

// awaitReleased waits until requests hold no slots, ids, budgets or sockets, and checks how many have ended.
func (s *stageTest) awaitReleased(c *core, ended int64) {
	s.t.Helper()
	now := s.core()
	held := func() string {
		now.connections.TrimIdle(1 << 20) // the idle connections of the active pool; those of a replaced pool follow
		c.mu.Lock()
		defer c.mu.Unlock()
		_, inFlight := c.decisions.balancer.Concurrency()
		r := c.resources
		c.connections.TrimIdle(1 << 20)
		return fmt.Sprint("open ", len(c.requests.open), ", in flight ", inFlight, ", inflight figure ", s.p.counters.inFlight.Load(),
			", bodies ", r.bodies.used.Load(), ", open budget ", r.openRequests.used.Load(), ", sockets ", r.sockets.used.Load(), ", queue ", len(c.decisions.queue))
	}
	const none = "open 0, in flight 0, inflight figure 0, bodies 0, open budget 0, sockets 0, queue 0"
	end, left := time.Now().Add(testTimeout), held()
	for ; left != none && time.Now().Before(end); left = held() {
		time.Sleep(time.Millisecond)
	}
	if left != none {
		s.t.Errorf("not released: %s", left)
	}
	total := int64(0)
	for _, calls := range s.p.Stats().Requests {
		total += calls.Served + calls.Shed + calls.Failed
	}
	if total != ended {
		s.t.Errorf("got %d requests recorded as ended, want %d", total, ended)
	}
}

func descriptors(t *testing.T) int {
	t.Helper()
	all, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(all)
}

// Each fault at each stage yields one final result in time, no retry that the class forbids,
// no request to an endpoint that is down, and no leaked resource.
func TestFaultsAtStages(t *testing.T) {
	for i := range stages {
		for j := range faults {
			for _, class := range stages[i].classes {
				t.Run(stages[i].name+"/"+faults[j].name+"/"+class, func(t *testing.T) { testFaultAtStage(t, &stages[i], &faults[j], class) })
			}
		}
	}
}

func testFaultAtStage(t *testing.T, st *stage, f *fault, class string) {
	before := descriptors(t)
	leaks := goleak.IgnoreCurrent()
	s := newStageTest(t, class, nil)
	began := time.Now()
	if f.apply == nil && st.accepted {
		s.deadlineMS = 1000 // a shorter deadline would be shed at once
	}
	st.reach(s)
	pool := s.core()
	var got int
	if f.apply != nil {
		f.apply(s, st)
		if st.sendRest != nil && f.name != "client leaves" {
			st.sendRest(s)
		}
		if f.name != "endpoint breaks off" {
			s.releaseEndpoints()
		}
	} else if st.responseStarted {
		waitUntil(t, "the deadline to pass", func() bool { return time.Since(began) > 1200*time.Millisecond })
		s.releaseEndpoints()
	}
	got = s.readStatus()
	if took := time.Since(began); f.apply == nil && took > 8*time.Second {
		t.Errorf("response took %v", took)
	}
	s.releaseEndpoints()
	if wants := f.wantStatuses(st, class); !slices.Contains(wants, got) {
		t.Errorf("got status %d, want one of %v", got, wants)
	}
	s.c.Close()
	ended := int64(1)
	if st.name == "queued by key" {
		ended++
	}
	if !st.accepted && f.name == "client leaves" && st.name != "request half written" {
		ended = 0 // the proxy has not accepted a request
	} else if st.name == "head half read" && got == http.StatusRequestTimeout {
		ended = 0 // the class is unknown
	}
	s.awaitReleased(pool, ended)
	s.checkRules()
	if f.name == "drain" {
		if err := s.p.StopDrain(); err != nil {
			t.Error(err)
		}
	}
	s.close()
	if err := goleak.Find(leaks); err != nil {
		t.Error(err)
	}
	waitUntil(t, "descriptors to be closed", func() bool { return descriptors(t) <= before+3 }) // 3 for the stalled listener's queue
}

// The end of each attempt is recorded once, even if two events end it at the same moment.
func TestRacesAtAttemptEnd(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	const rounds, warm = 25, 100
	for _, tc := range []struct {
		name  string
		ms    int
		how   string
		other func(s *stageTest) // runs concurrently with the response
	}{
		{"cancel against answer", 15_000, "hang", func(s *stageTest) { s.c.Close() }},
		{"time-out against answer", 100, "hang", nil},
		{"cancel against time-out", 100, "hang", func(s *stageTest) { s.c.Close() }},
		{"time-out against connect", 1, "serve", func(*stageTest) {}},
		{"endpoint down against answer", 15_000, "hang", func(s *stageTest) { s.p.TakeDown("s1"); s.p.Restore("s1") }},
	} {
		s := newStageTest(t, "read", nil)
		pool := s.core()
		for range warm { // without warm-up requests short deadlines would be shed at once
			s.write(s.requestText("serve", ""))
			s.readStatus()
		}
		s.deadlineMS = tc.ms
		for range rounds {
			s.c = dial(t, s.p.Address())
			began := time.Now()
			s.mu.Lock()
			s.release = make(chan struct{})
			release := s.release
			s.mu.Unlock()
			s.write(s.requestText(tc.how, ""))
			if tc.how == "hang" {
				select {
				case <-s.arrived:
				case <-time.After(time.Duration(tc.ms) * time.Millisecond): // shed, or timed out before it was sent
				}
			}
			if tc.ms == 100 { // both events coincide with the deadline
				time.Sleep(time.Until(began.Add(100 * time.Millisecond)))
			}
			var both sync.WaitGroup
			both.Go(func() { close(release) })
			if tc.other != nil {
				both.Go(func() { tc.other(s) })
			}
			both.Wait()
			s.readStatus()
			s.c.Close()
		}
		s.awaitReleased(pool, rounds+warm)
		s.checkRules()
		s.close()
	}
	if err := goleak.Find(leaks); err != nil {
		t.Error(err)
	}
}

// Request bodies use at most their memory budget. A request beyond it is shed at once with
// Retry-After, requests without a body are served, and freed memory is usable again.
func TestBodyMemoryExhaustedAndFreed(t *testing.T) {
	leaks := goleak.IgnoreCurrent()
	s := newStageTest(t, "pay", func(cfg *config.Config) { cfg.Limits.Memory = 1 << 20 }) // a quarter of it for bodies
	const size, fit = 60 << 10, 4
	body := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, strings.Repeat("z", size))
	large := func(how string) string {
		return strings.Replace(s.requestText(how, ""), "Content-Length: 5\r\n\r\nhello", body, 1)
	}
	ended := int64(0)
	for range 3 {
		var held []*client
		for range fit {
			c := dial(t, s.p.Address())
			if _, err := io.WriteString(c, large("hang")); err != nil {
				t.Fatal(err)
			}
			s.awaitArrival()
			held = append(held, c)
		}
		began := time.Now()
		resp := dial(t, s.p.Address()).send(large("serve"))
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Errorf("over the memory budget: got status %s, Retry-After %q; want 503 with Retry-After", resp.Status, resp.Header.Get("Retry-After"))
		}
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("response took %v", took)
		}
		if code, _ := dial(t, s.p.Address()).ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"); code != http.StatusOK {
			t.Errorf("/ready: got status %d, want 200", code)
		}
		s.class = "read"
		if code, _ := dial(t, s.p.Address()).ask(s.requestText("serve", "")); code != http.StatusOK {
			t.Errorf("request without a body: got status %d, want 200", code)
		}
		s.class = "pay"
		close(s.release)
		for _, c := range held {
			if resp, err := http.ReadResponse(c.r, nil); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("accepted request: got response %v, error %v; want 200", resp, err)
			}
			c.Close()
		}
		s.mu.Lock()
		s.release = make(chan struct{})
		s.mu.Unlock()
		ended += fit + 2
		waitUntil(t, "body memory to be freed", func() bool { return s.core().resources.bodies.used.Load() == 0 })
		if code, _ := dial(t, s.p.Address()).ask(large("serve")); code != http.StatusOK {
			t.Errorf("after memory was freed: got status %d, want 200", code)
		}
		ended++
	}
	s.awaitReleased(s.core(), ended)
	s.checkRules()
	s.close()
	if err := goleak.Find(leaks); err != nil {
		t.Error(err)
	}
}

// A client that leaves while its attempt is connecting cancels the dial as well as the
// attempt: slot and descriptor are released long before the dial would time out.
func TestCancelEndsDial(t *testing.T) {
	s := newStageTest(t, "read", func(cfg *config.Config) { cfg.Pools[0].Settings.Balancer.Limits.ConnectTimeout = testTimeout })
	defer s.close()
	s.stallDials()
	s.write(s.requestText("serve", ""))
	waitUntil(t, "an attempt in flight", func() bool { return s.inFlight() == 1 })
	began := time.Now()
	s.c.Close()
	waitUntil(t, "the end of the attempt", func() bool { return s.inFlight() == 0 })
	if took := time.Since(began); took > testTimeout/2 {
		t.Errorf("dial ended %v after the client left", took)
	}
	s.awaitReleased(s.core(), 1)
}
