package realtime

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ryerill/lab/invariant"
	"ryerill/lab/load"
	"ryerill/lab/scenario"
	"ryerill/lab/servermodel"
)

// maxRequestBody is the most bytes of a request's body that a stand-in reads.
const maxRequestBody = 64 << 10

// provider is a stand-in for one provider: a listener for each zone that
// speaks the published protocol, before the model of its machine.
type provider struct {
	run       *run
	tier      int
	name      string
	zone      int
	group     int
	speed     float64
	addresses []string // by zone of those who call
	proxy     *instance

	mu        sync.Mutex
	process   *process // nil while none runs
	workDone  float64
	startedMS int64
}

// process is one life of a provider.
type process struct {
	p         *provider
	machine   *machine
	listeners []net.Listener
	draining  atomic.Bool
	silent    atomic.Bool
	spoil     atomic.Uint64 // part of the answers, in millionths
	errs      atomic.Uint64 // part of the requests, in millionths
	ended     chan struct{}
	conns     atomic.Int64
	tipped    atomic.Bool
	tasks     sync.WaitGroup
}

// start starts the process at its addresses, or at new ones the first time.
func (p *provider) start(warm bool) error {
	proc := &process{p: p, ended: make(chan struct{}), machine: newMachine(p.run.began, &p.spec().Node, p.speed, warm)}
	zones := len(p.run.w.Network.Zones)
	for zone := range zones {
		address := "127.0.0.1:0"
		if len(p.addresses) == zones {
			address = p.addresses[zone]
		}
		l, err := listen(address)
		if err != nil {
			for _, l := range proc.listeners {
				l.Close()
			}
			return fmt.Errorf("provider %s: %w", p.name, err)
		}
		proc.listeners = append(proc.listeners, l)
	}
	if len(p.addresses) == 0 {
		for _, l := range proc.listeners {
			p.addresses = append(p.addresses, l.Addr().String())
		}
	}
	p.mu.Lock()
	p.process = proc
	if !warm {
		p.startedMS = time.Now().UnixMilli()
	}
	p.mu.Unlock()
	for zone, l := range proc.listeners {
		proc.tasks.Add(1)
		go proc.accept(l, p.run.way(zone, p.zone))
	}
	return nil
}

// listen listens at an address that a process of ours may just have left.
func listen(address string) (l net.Listener, err error) {
	for try := 0; try < 40; try++ {
		if l, err = net.Listen("tcp", address); err == nil {
			return l, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil, fmt.Errorf("a port is taken: %w; end what holds it, or run again", err)
}

func (p *provider) spec() *scenario.Tier { return &p.run.w.Tiers[p.tier] }

func (p *provider) current() *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.process
}

// stop ends the process: connections are reset and new ones refused.
func (p *provider) stop() {
	p.mu.Lock()
	proc := p.process
	p.process = nil
	p.mu.Unlock()
	if proc == nil {
		return
	}
	close(proc.ended)
	for _, l := range proc.listeners {
		l.Close()
	}
	done := proc.machine.stop()
	proc.tasks.Wait()
	p.mu.Lock()
	p.workDone += done
	p.mu.Unlock()
}

// accept takes connections; way is the delay one way to those who come by this listener.
func (proc *process) accept(l net.Listener, way func() time.Duration) {
	defer proc.tasks.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		spec := &proc.p.spec().Node.Connect
		if proc.conns.Add(1) > int64(spec.Most) {
			proc.conns.Add(-1)
			reset(c)
			continue
		}
		proc.p.run.count("opened", 1)
		proc.machine.do(func(n *servermodel.Server, now time.Duration) { n.Extra(now, spec.Work.Seconds()) })
		proc.tasks.Add(1)
		go func() {
			defer proc.tasks.Done()
			defer proc.conns.Add(-1)
			proc.serve(c, way)
		}()
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// arrived is a request as it was read.
type arrived struct {
	req  *http.Request
	body []byte
	at   time.Time
}

// serve serves one connection until either side ends it. A reader of its own
// notices at once when the proxy closes.
func (proc *process) serve(c net.Conn, way func() time.Duration) {
	gone, requests, over := make(chan struct{}), make(chan arrived, 1), make(chan struct{})
	var reading sync.WaitGroup
	reading.Add(1)
	idle := proc.p.spec().Node.Connect.Idle
	go func() {
		defer reading.Done()
		defer close(gone)
		r := bufio.NewReaderSize(c, 2048)
		for {
			c.SetReadDeadline(time.Now().Add(time.Hour)) // the serving side closes idle connections
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, err := io.ReadAll(io.LimitReader(req.Body, maxRequestBody))
			if err != nil {
				return
			}
			select {
			case requests <- arrived{req, body, time.Now()}:
			case <-over:
				return
			}
		}
	}()
	defer reading.Wait()
	defer reset(c)
	defer close(over)
	first := time.Duration(2 * proc.p.spec().Node.Connect.Trips * float64(way()))
	quiet := time.NewTimer(idle)
	defer quiet.Stop()
	for {
		quiet.Reset(idle)
		select {
		case a := <-requests:
			if !proc.handle(c, &a, first, way, gone) {
				return
			}
			first = 0
		case <-quiet.C:
			if !proc.silent.Load() {
				return
			}
		case <-gone:
			return
		case <-proc.ended:
			return
		}
	}
}

// pause waits, unless the connection or the process ends first.
func (proc *process) pause(d time.Duration, gone <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-gone:
	case <-proc.ended:
	}
	return false
}

// handle serves one request and reports whether the connection goes on.
func (proc *process) handle(c net.Conn, a *arrived, first time.Duration, way func() time.Duration, gone <-chan struct{}) bool {
	p := proc.p
	id, err := strconv.ParseUint(a.req.Header.Get("Req-Id"), 16, 64)
	work, err2 := strconv.ParseFloat(a.req.URL.Query().Get("w"), 64)
	if err != nil || err2 != nil {
		io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return false
	}
	front := int(id >> frontShift)
	attempt := p.run.sent(front, id, p, a.at)
	if proc.silent.Load() { // its machine can't be reached: nothing ever comes of it
		select {
		case <-gone:
		case <-proc.ended:
		}
		return false
	}
	if !proc.pause(first+way(), gone) {
		return false
	}
	if proc.draining.Load() {
		return proc.decline(c, front, id, attempt, way, gone)
	}
	if rand.Float64() < float64(proc.errs.Load())/1e6 {
		return proc.finish(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", way, gone)
	}
	pieces := 0
	if p.run.w.NextTier(p.tier) >= 0 {
		pieces = p.run.calls(p.spec().Calls)
	}
	total := work * p.spec().Work
	piece := total / float64(pieces+1)
	t := &task{}
	t.Left = piece
	verdict := proc.machine.offer(t)
	proc.check()
	if verdict == servermodel.Rejected {
		return proc.decline(c, front, id, attempt, way, gone)
	}
	ended := false
	defer func() {
		if !ended {
			proc.machine.end(t)
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	deadline, _ := strconv.ParseFloat(a.req.Header.Get("Req-Deadline-Ms"), 64)
	until := a.at.Add(time.Duration(deadline * float64(time.Millisecond)))
	spent, left := 0.0, pieces
	orphan := false
	for {
		wait := gone
		if orphan {
			wait = nil
		}
		select {
		case <-t.done:
			spent += piece
		case <-wait:
			var queued bool
			proc.machine.do(func(*servermodel.Server, time.Duration) { queued = t.Queued() })
			if queued || p.spec().Node.Cancel == "all" {
				return false
			}
			orphan = true // what runs, runs on
			continue
		case <-proc.ended:
			return false
		}
		if left == 0 {
			break
		}
		left--
		var quit <-chan struct{} = gone
		if p.spec().Node.Cancel != "all" {
			quit = nil
		}
		useful, ok := p.call(ctx, a, work, until, quit, proc.ended)
		if !ok {
			proc.machine.end(t)
			ended = true
			return proc.finish(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", way, gone)
		}
		spent += useful
		proc.machine.resume(t, piece)
	}
	proc.machine.end(t)
	ended = true
	p.run.made(id, p.name)
	if u := rand.Float64(); u < p.spec().Node.Errors {
		return proc.finish(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", way, gone)
	} else if u < p.spec().Node.Errors+float64(proc.spoil.Load())/1e6 {
		p.run.count("spoilt", 1)
		proc.finish(c, spoilt(rand.IntN(len(spoils)), id), way, gone)
		proc.pause(time.Minute, gone) // the connection stays open and serves no further use
		return false
	}
	body := fmt.Sprintf("%016x %s %.9f", id, p.name, spent)
	return proc.finish(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), way, gone)
}

// check notices that the machine was pushed over while cold.
func (proc *process) check() {
	var tipped bool
	var received, budget float64
	proc.machine.do(func(n *servermodel.Server, now time.Duration) {
		tipped, received = n.Tipped(), n.Received
		cold := &proc.p.spec().Node.Cold
		budget = cold.Tips * n.Capacity(now) * n.Rate() * cold.Within.Seconds()
	})
	if tipped && proc.tipped.CompareAndSwap(false, true) {
		proc.silent.Store(true)
		proc.p.run.tipped(proc.p.name, received, budget)
	}
}

// decline turns a request away unseen. The oracle hears of it before the proxy.
func (proc *process) decline(c net.Conn, front int, id uint64, attempt int, way func() time.Duration, gone <-chan struct{}) bool {
	proc.p.run.declined(front, id, attempt)
	return proc.finish(c, "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", way, gone)
}

func (proc *process) finish(c net.Conn, text string, way func() time.Duration, gone <-chan struct{}) bool {
	if !proc.pause(way(), gone) {
		return false
	}
	c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := io.WriteString(c, text)
	return err == nil
}

// call makes a call to the next tier through the provider's own proxy. It
// reports the work that went into the answer.
func (p *provider) call(ctx context.Context, a *arrived, work float64, until time.Time, gone, ended <-chan struct{}) (useful float64, ok bool) {
	class := a.req.Header.Get("Req-Kind")
	i := p.run.classIndex(class)
	inst := p.proxyNow()
	if i < 0 || inst == nil {
		return 0, false
	}
	now := time.Now()
	left := p.run.w.Classes[i].Deadline
	if p.run.w.Rules.PassDeadline {
		left = until.Sub(now)
	}
	if left <= 0 {
		return 0, false
	}
	id := p.run.newID(inst.number)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	over := make(chan struct{})
	defer close(over)
	go func() {
		select {
		case <-gone:
			cancel()
		case <-ended:
			cancel()
		case <-over:
		}
	}()
	p.run.took(inst.number, id, i, now, left)
	ans, err := inst.caller.ask(ctx, inst.address, request(class, p.run.w.Classes[i].EffectKind(), id, a.req.Header.Get("Req-Owner"), left, rand.Uint64(), work, false),
		now.Add(left+p.run.patience()))
	p.run.answered(inst.number, id, i, ans, err, ctx.Err() != nil)
	if err != nil || ans.status != http.StatusOK {
		return 0, false
	}
	return usefulWork(ans.body), true
}

func (p *provider) proxyNow() *instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.proxy
}

// usefulWork reads the work that a stand-in says went into its answer.
func usefulWork(body string) float64 {
	parts := strings.Fields(body)
	if len(parts) != 3 {
		return 0
	}
	v, _ := strconv.ParseFloat(parts[2], 64)
	return v
}

// calls draws how many calls to the next tier are made.
func (r *run) calls(mean float64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return load.Calls(r.work, mean)
}

// sent notes an attempt that reached a provider.
func (r *run) sent(front int, id uint64, p *provider, at time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	when := at.Sub(r.began)
	r.rec.Count("attempts", 1)
	if front < r.w.Tiers[0].Proxies {
		r.rec.Count("attempts_first", 1)
		r.rec.Attempt(when)
	}
	if zone, ok := r.zones[front]; ok && zone != p.zone {
		r.rec.Count("crossed", 1)
	}
	return r.oracle.Sent(when, front, id, invariant.Endpoint{ID: uint64(scenario.EndpointID(p.name)), Name: p.name, Zone: p.zone, Group: p.group})
}
