package realtime

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ryerill/lab/scenario"
	"ryerill/lab/servermodel"
)

// endpoint is a stand-in for one endpoint: a listener for each zone that speaks the published protocol, before the
// model of its machine.
type endpoint struct {
	run       *run
	tier      int
	name      string
	zone      int
	group     int
	speed     float64
	addresses []string // by the zone of the proxies that connect

	mu        sync.Mutex // guards the fields below
	proxy     *instance  // to the next tier; nil if there is none
	process   *process   // nil while none runs
	workDone  float64    // by earlier processes, in seconds of one core
	startedMS int64      // Unix time; 0 if it has run since long ago
}

// process is an endpoint from one start to its stop.
type process struct {
	endpoint    *endpoint
	machine     *machine
	listeners   []net.Listener
	draining    atomic.Bool
	silent      atomic.Bool   // receives requests and answers nothing
	corruptPart atomic.Uint64 // part of the responses that are corrupted, in millionths
	errorPart   atomic.Uint64 // part of the requests that get an error at once, in millionths
	ended       chan struct{} // closed at its stop
	conns       atomic.Int64
	overloaded  atomic.Bool    // was overloaded while cold
	tasks       sync.WaitGroup // its goroutines; stop waits for them
}

// millionths is the unit of parts in an atomic integer.
const millionths = 1e6

// start starts a process at the endpoint's addresses, or at new ones the first time.
func (e *endpoint) start(warm bool) error {
	proc := &process{endpoint: e, ended: make(chan struct{})}
	proc.machine = newMachine(e.run.began, &e.spec().Machine, e.speed, warm)
	if err := proc.listen(); err != nil {
		return err
	}
	if len(e.addresses) == 0 {
		for _, l := range proc.listeners {
			e.addresses = append(e.addresses, l.Addr().String())
		}
	}
	e.mu.Lock()
	e.process = proc
	if !warm {
		e.startedMS = time.Now().UnixMilli()
	}
	e.mu.Unlock()
	for zone, l := range proc.listeners {
		delay := e.run.delay(zone, e.zone)
		proc.tasks.Go(func() { proc.accept(l, delay) })
	}
	return nil
}

// listen opens a listener for each zone.
func (proc *process) listen() error {
	e := proc.endpoint
	zones := len(e.run.scenario.Network.Zones)
	for zone := range zones {
		address := "127.0.0.1:0"
		if len(e.addresses) == zones {
			address = e.addresses[zone]
		}
		l, err := listen(address)
		if err != nil {
			for _, opened := range proc.listeners {
				opened.Close()
			}
			return fmt.Errorf("provider %s: %w", e.name, err)
		}
		proc.listeners = append(proc.listeners, l)
	}
	return nil
}

const (
	listenAttempts = 40
	listenWait     = 5 * time.Millisecond // between attempts
)

// listen listens at an address that another process of this run may just have left.
func listen(address string) (net.Listener, error) {
	var err error
	for range listenAttempts {
		var l net.Listener
		l, err = net.Listen("tcp", address)
		if err == nil {
			return l, nil
		}
		time.Sleep(listenWait)
	}
	return nil, fmt.Errorf("a port is taken: %w; end what holds it, or run again", err)
}

func (e *endpoint) spec() *scenario.Tier { return &e.run.scenario.Tiers[e.tier] }

// current returns the process that runs, or nil.
func (e *endpoint) current() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process
}

// startTime returns when the process started, as Unix time in milliseconds; 0 if it has run since long ago.
func (e *endpoint) startTime() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startedMS
}

// nextProxy returns the endpoint's own proxy to the next tier, or nil.
func (e *endpoint) nextProxy() *instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.proxy
}

func (e *endpoint) setProxy(proxy *instance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.proxy = proxy
}

// killProxy ends the proxy that belongs to the endpoint's process.
func (e *endpoint) killProxy() {
	e.mu.Lock()
	proxy := e.proxy
	e.proxy = nil
	e.mu.Unlock()
	if proxy != nil {
		proxy.kill()
		e.run.audit.died(proxy.number)
	}
}

// stop ends the process: its connections are reset and new ones refused.
func (e *endpoint) stop() {
	e.mu.Lock()
	proc := e.process
	e.process = nil
	e.mu.Unlock()
	if proc == nil {
		return
	}
	close(proc.ended)
	for _, l := range proc.listeners {
		l.Close()
	}
	workDone := proc.machine.stop()
	proc.tasks.Wait()
	e.mu.Lock()
	e.workDone += workDone
	e.mu.Unlock()
}

// totalWork returns the work done until now by all the endpoint's processes, in seconds of one core.
func (e *endpoint) totalWork() float64 {
	total := 0.0
	if proc := e.current(); proc != nil {
		proc.machine.update(func(model *servermodel.Server, now time.Duration) {
			model.Advance(now)
			total += model.Done()
		})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return total + e.workDone
}

// detectOverload makes the process silent once its machine was overloaded while cold.
func (proc *process) detectOverload() {
	var overloaded bool
	var received, budget float64
	proc.machine.update(func(model *servermodel.Server, now time.Duration) {
		overloaded = model.Overloaded()
		received = model.Received
		cold := &proc.endpoint.spec().Machine.Cold
		budget = cold.Tips * model.Capacity(now) * model.Rate() * cold.Within.Seconds()
	})
	if overloaded && proc.overloaded.CompareAndSwap(false, true) {
		proc.silent.Store(true)
		proc.endpoint.run.audit.overloaded(proc.endpoint.name, received, budget)
	}
}
