package realtime

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"ryerill/discovery"
	"ryerill/lab/load"
	"ryerill/lab/metrics"
	"ryerill/lab/scenario"
)

const (
	proxyNumberShift = 44                     // a request's id holds its proxy's number above this bit
	socketSlack      = 50 * time.Millisecond  // every time limit is this much longer on sockets
	clientSlack      = 20 * time.Millisecond  // a client waits this much longer than the oracle allows
	startWait        = 400 * time.Millisecond // before the first request, so that proxies have their endpoint lists
	watchInterval    = 500 * time.Millisecond
)

// run is one run of a scenario.
type run struct {
	scenario *scenario.Scenario
	options  Options
	seed     uint64
	dir      string    // for the proxies' configurations
	began    time.Time // time 0 of the scenario; set anew before the first request
	launcher *launcher
	audit    *audit
	draws    *draws

	discovery []*discoveryService // by tier
	tiers     [][]*endpoint       // by tier, those that ran at the start

	mu           sync.Mutex   // guards the fields below; never held while anything blocks
	lastSerial   uint64       // in the ids of requests
	proxies      []*instance  // all that ever ran
	front        []*frontSlot // the clients' view of the first tier's proxies
	nextFront    []int        // round robin over front, by the client's zone
	failure      error        // that ended the run
	replacements []*endpoint  // started in the place of others
}

// frontSlot is the place of a proxy of the first tier. proxy is guarded by run.mu.
type frontSlot struct {
	zone  int
	proxy *instance // nil while none runs
}

// Run runs a scenario once on sockets. It ends early, with an error, if ctx ends or a proxy ends by itself. All that
// it started has ended when it returns.
func Run(ctx context.Context, sc *scenario.Scenario, opt Options) (*metrics.Result, error) {
	dir, err := os.MkdirTemp("", "ryerill-lab-")
	if err != nil {
		return nil, fmt.Errorf("sockets: %w", err)
	}
	defer func() {
		_ = os.RemoveAll(dir) // what is left lies in the system's temporary folder
	}()
	r := newRun(sc, opt, dir)
	defer r.launcher.close()
	defer r.close()
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	return r.play(ctx)
}

func newRun(sc *scenario.Scenario, opt Options, dir string) *run {
	began := time.Now()
	return &run{
		scenario:  sc,
		options:   opt,
		seed:      opt.Seed,
		dir:       dir,
		began:     began,
		launcher:  newLauncher(),
		audit:     newAudit(sc, began, opt.OnProgress),
		draws:     newDraws(opt.Seed),
		nextFront: make([]int, len(sc.Network.Zones)),
	}
}

// start starts stand-ins and proxies.
func (r *run) start(ctx context.Context) error {
	speeds := load.Stream(r.seed, speedStream)
	for tier := range r.scenario.Tiers {
		if err := r.startTier(tier, speeds); err != nil {
			return err
		}
	}
	for i := range r.scenario.Tiers[0].Proxies {
		zone := r.scenario.EndpointZone(i)
		proxy, err := r.startProxy(ctx, 0, i, zone, fmt.Sprintf("front-%d", i))
		if err != nil {
			return err
		}
		r.front = append(r.front, &frontSlot{zone: zone, proxy: proxy})
	}
	for tier := 0; r.scenario.NextTier(tier) >= 0; tier++ {
		for i, e := range r.tiers[tier] {
			if err := r.startEndpointProxy(ctx, e, i); err != nil {
				return err
			}
		}
	}
	return nil
}

// startTier starts the endpoints of a tier with their discovery service.
func (r *run) startTier(tier int, speeds *rand.Rand) error {
	spec := &r.scenario.Tiers[tier]
	r.discovery = append(r.discovery, newDiscoveryService(r, tier))
	r.tiers = append(r.tiers, nil)
	for i := range spec.Endpoints {
		e := &endpoint{
			run:   r,
			tier:  tier,
			name:  fmt.Sprintf("%s-%d", spec.Name, i),
			zone:  r.scenario.EndpointZone(i),
			group: i / spec.Group,
			speed: load.Speed(speeds, &spec.Machine),
		}
		if err := e.start(true); err != nil {
			return err
		}
		r.tiers[tier] = append(r.tiers[tier], e)
		r.discovery[tier].publish(e, discovery.Ready)
	}
	return nil
}

// startProxy starts a proxy that sends to a tier; index is its index among that tier's proxies.
func (r *run) startProxy(ctx context.Context, tier, index, zone int, name string) (*instance, error) {
	number := r.audit.addProxy(name, zone)
	proxy := &instance{run: r, name: name, number: number, tier: tier, index: index, zone: zone}
	if err := proxy.start(ctx); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.proxies = append(r.proxies, proxy)
	r.mu.Unlock()
	return proxy, nil
}

// startEndpointProxy starts an endpoint's own proxy to the next tier.
func (r *run) startEndpointProxy(ctx context.Context, e *endpoint, index int) error {
	proxy, err := r.startProxy(ctx, e.tier+1, index, e.zone, e.name+"-proxy")
	if err != nil {
		return err
	}
	e.setProxy(proxy)
	return nil
}

// close ends all that was started and waits for it.
func (r *run) close() {
	for _, service := range r.discovery {
		service.close()
	}
	proxies := r.allProxies()
	for _, proxy := range proxies {
		proxy.kill()
	}
	for _, e := range r.endpoints() {
		e.stop()
	}
	for _, proxy := range proxies { // embedded ones end once none of their connections is open
		proxy.awaitEnd()
	}
}

// play sends the scheduled requests and waits until all have been answered.
func (r *run) play(ctx context.Context) (*metrics.Result, error) {
	schedule := load.Draw(r.scenario, r.seed)
	time.Sleep(startWait)
	r.began = time.Now()
	r.audit.begin(r.began)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { r.injectFaults(ctx) })
	background.Go(func() { r.watch(ctx, stop) })
	complete := r.generate(ctx, schedule)
	end := time.Since(r.began)
	cause := ctx.Err()
	stop()
	background.Wait()
	if err := r.failed(); err != nil {
		return nil, err
	}
	if !complete {
		return nil, fmt.Errorf("sockets: stopped after %v: %w", end.Round(time.Millisecond), cause)
	}
	return r.result(end), nil
}

// generate sends each scheduled request at its time and waits for the clients. It returns false if ctx ended before
// all were sent.
func (r *run) generate(ctx context.Context, schedule []load.Request) (complete bool) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for i := range schedule {
		scheduled := &schedule[i]
		if scheduled.At > time.Since(r.began) {
			r.waitUntil(ctx, scheduled.At)
		}
		if ctx.Err() != nil {
			return false
		}
		clients.Go(func() { r.send(ctx, scheduled) })
	}
	return true
}

// watch measures the proxies and reports the progress twice a second. It stops the run if a proxy ended by itself.
func (r *run) watch(ctx context.Context, stop context.CancelFunc) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, proxy := range r.allProxies() {
			proxy.measure()
			if err := proxy.failed(); err != nil {
				r.mu.Lock()
				r.failure = err
				r.mu.Unlock()
				stop()
				return
			}
		}
		r.audit.report("")
	}
}

// fail notes the error that makes the run fail, if it is the first.
func (r *run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failure == nil {
		r.failure = err
	}
}

func (r *run) failed() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failure
}

// endpoints returns all that ever ran.
func (r *run) endpoints() []*endpoint {
	var all []*endpoint
	for _, tier := range r.tiers {
		all = append(all, tier...)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(all, r.replacements...)
}

// allProxies returns all that ever ran.
func (r *run) allProxies() []*instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.proxies
}

// frontProxies returns the proxies of the first tier that run.
func (r *run) frontProxies() []*instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var running []*instance
	for _, slot := range r.front {
		if slot.proxy != nil {
			running = append(running, slot.proxy)
		}
	}
	return running
}

// delay returns a function that draws the delay one way between two zones.
func (r *run) delay(from, to int) func() time.Duration {
	base := r.scenario.Network.Same
	if from == noZone {
		base = r.scenario.Network.Client
	} else if from != to {
		base = r.scenario.Network.Cross
	}
	return func() time.Duration {
		return base + time.Duration(r.scenario.Network.Jitter*r.draws.delay()*float64(base))
	}
}

// responseSlack is how long beyond its timeout a client waits for a response, so that the oracle sees a late one.
func (r *run) responseSlack() time.Duration {
	return r.scenario.Rules.Slack + socketSlack + clientSlack
}

// classIndex returns the index of a class, or -1.
func (r *run) classIndex(name string) int {
	for i := range r.scenario.Classes {
		if r.scenario.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// newID returns a request's id: its proxy's number and a serial number.
func (r *run) newID(proxy int) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSerial++
	return uint64(proxy)<<proxyNumberShift | r.lastSerial
}

// result sums the run up, with what the proxies and endpoints used.
func (r *run) result(end time.Duration) *metrics.Result {
	workDone := 0.0
	for _, e := range r.endpoints() {
		workDone += e.totalWork()
	}
	r.audit.count("work_done", workDone)
	r.countProxyUsage()
	return r.audit.result(end)
}

// countProxyUsage counts what all proxies used: the sum of processor times, and the most memory and sockets of one.
func (r *run) countProxyUsage() {
	var total time.Duration
	var most usage
	for _, proxy := range r.allProxies() {
		used := proxy.measure()
		total += used.CPU
		most = most.max(used)
		r.audit.count("reloads", float64(proxy.log.reloads.Load()))
		r.audit.count("proxy_sockets_end", float64(proxy.descriptors()))
	}
	r.audit.count("proxy_cpu_s", total.Seconds())
	r.audit.count("proxy_memory_mb", float64(most.Memory)/(1<<20))
	r.audit.count("proxy_sockets", float64(most.Sockets))
}
