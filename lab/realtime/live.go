// Package realtime plays a world on sockets: stand-ins for providers, directory,
// network delay and consumers on loopback, round real proxies in processes of
// their own or embedded. Stand-ins speak the published protocol; the model of
// a provider's machine is that of virtual time.
package realtime

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sort"
	"sync"
	"time"

	"ryerill/balancer"
	"ryerill/discovery"
	"ryerill/lab/invariant"
	"ryerill/lab/load"
	"ryerill/lab/metrics"
	"ryerill/lab/scenario"
	"ryerill/lab/servermodel"
)

// Options says what proxies are played with.
type Options struct {
	Seed  uint64
	Build string // a ryerill binary, or Embedded

	// Command starts a proxy in a process of its own, if Build names none.
	Command []string

	// Tell is told what happens, for those who watch; it may be nil.
	Tell func(Moment)
}

// Moment is how a run stands.
type Moment struct {
	At       time.Duration
	Said     string // something has happened, in words; empty is a plain tick
	Asked    int    // first tries until now
	Served   int
	Refused  int
	Failed   int
	P50, P95 time.Duration // of what was served in the last second
	Broken   int
}

func (o *Options) command() []string {
	if o.Build != "" {
		return []string{o.Build, "serve"}
	}
	return o.Command
}

const (
	frontShift  = 44                    // an id holds its proxy's number above this bit
	onSockets   = 50 * time.Millisecond // every time limit is this much longer on sockets
	mostLate    = 25 * time.Millisecond // the generator's own lateness, 99th percentile: a later one makes a run void
	settleFirst = 400 * time.Millisecond
)

// run is one run.
type run struct {
	w        *scenario.Scenario
	opt      Options
	seed     uint64
	dir      string
	began    time.Time
	launcher *launcher

	registries []*registry
	tiers      [][]*provider

	mu      sync.Mutex // guards what follows; never held while anything blocks
	rec     *metrics.Recorder
	oracle  *invariant.Checker
	work    *rand.Rand
	jitter  *rand.Rand
	who     *rand.Rand
	zones   map[int]int // by proxy
	names   []string
	serial  uint64
	makers  map[uint64]string // who made the answer of a request
	live    []*instance
	slots   []*instance // the front's view
	slotOf  []int       // zones of the slots
	turn    []int
	late    []time.Duration
	moment  Moment
	recent  []time.Duration
	crashed error
	extra   []*provider // started in the place of others
}

// providers are all that ever ran.
func (r *run) providers() (all []*provider) {
	for _, tier := range r.tiers {
		all = append(all, tier...)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(all, r.extra...)
}

// Run plays a world once on sockets.
func Run(ctx context.Context, w *scenario.Scenario, opt Options) (*metrics.Result, error) {
	dir, err := os.MkdirTemp("", "ryerill-lab-")
	if err != nil {
		return nil, fmt.Errorf("sockets: %w", err)
	}
	defer os.RemoveAll(dir)
	r := &run{w: w, opt: opt, seed: opt.Seed, dir: dir, began: time.Now(), launcher: newLauncher(), rec: metrics.New(w),
		work: load.Stream(opt.Seed, 3), jitter: load.Stream(opt.Seed, 2), who: load.Stream(opt.Seed, 4),
		zones: map[int]int{}, makers: map[uint64]string{}, turn: make([]int, len(w.Network.Zones))}
	defer r.launcher.close()
	r.oracle = invariant.New(invariant.Config{Slack: w.Rules.Slack + onSockets, Grace: w.Rules.Drain + onSockets,
		Classes: w.Balancer(0, 0, 0).Classes, Name: func(i int) string { return r.names[i] }})
	defer r.close()
	if err := r.build(ctx); err != nil {
		return nil, err
	}
	return r.play(ctx)
}

// build starts stand-ins and proxies.
func (r *run) build(ctx context.Context) error {
	speeds := load.Stream(r.seed, 7)
	for t := range r.w.Tiers {
		spec := &r.w.Tiers[t]
		r.registries = append(r.registries, newRegistry(r, t))
		r.tiers = append(r.tiers, nil)
		for j := range spec.Endpoints {
			p := &provider{run: r, tier: t, name: fmt.Sprintf("%s-%d", spec.Name, j), zone: j % len(r.w.Network.Zones), group: j / spec.Group,
				speed: load.Speed(speeds, &spec.Node)}
			if err := p.start(true); err != nil {
				return err
			}
			r.tiers[t] = append(r.tiers[t], p)
			r.registries[t].know(p, discovery.Ready)
		}
	}
	for i := range r.w.Tiers[0].Proxies {
		zone := i % len(r.w.Network.Zones)
		inst, err := r.newProxy(ctx, 0, i, zone, fmt.Sprintf("front-%d", i))
		if err != nil {
			return err
		}
		r.slots, r.slotOf = append(r.slots, inst), append(r.slotOf, zone)
	}
	for t := 0; r.w.NextTier(t) >= 0; t++ {
		for j, p := range r.tiers[t] {
			inst, err := r.newProxy(ctx, t+1, j, p.zone, p.name+"-proxy")
			if err != nil {
				return err
			}
			p.mu.Lock()
			p.proxy = inst
			p.mu.Unlock()
		}
	}
	return nil
}

func (r *run) newProxy(ctx context.Context, tier, self, zone int, name string) (*instance, error) {
	r.mu.Lock()
	inst := &instance{run: r, name: name, number: len(r.names), tier: tier, self: self, zone: zone}
	r.names = append(r.names, name)
	r.zones[inst.number] = zone
	r.mu.Unlock()
	if err := inst.start(ctx); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.live = append(r.live, inst)
	r.mu.Unlock()
	return inst, nil
}

// close ends all that was started; nothing is left behind.
func (r *run) close() {
	r.mu.Lock()
	live := r.live
	r.mu.Unlock()
	for _, g := range r.registries {
		g.close()
	}
	for _, i := range live {
		i.kill()
	}
	for _, p := range r.providers() {
		p.stop()
	}
	for _, i := range live { // embedded ones end once nothing is open
		select {
		case <-i.ended:
		case <-time.After(2 * killAfter):
		}
	}
}

// play asks, until all has been answered.
func (r *run) play(ctx context.Context) (*metrics.Result, error) {
	schedule := load.Draw(r.w, r.seed)
	time.Sleep(settleFirst) // the lists are in
	r.mu.Lock()
	r.began = time.Now()
	r.mu.Unlock()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var side sync.WaitGroup
	side.Add(2)
	go func() { defer side.Done(); r.troubles(ctx) }()
	go func() { defer side.Done(); r.watch(ctx, stop) }()
	var asking sync.WaitGroup
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	cut := false
	for i := range schedule {
		q := &schedule[i]
		if wait := q.At - time.Since(r.began); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			cut = true
			break
		}
		asking.Add(1)
		go func() { defer asking.Done(); r.first(ctx, q) }()
	}
	asking.Wait()
	end := time.Since(r.began)
	cause := ctx.Err()
	stop()
	side.Wait()
	r.mu.Lock()
	crashed := r.crashed
	r.mu.Unlock()
	if crashed != nil {
		return nil, crashed
	}
	if cut {
		return nil, fmt.Errorf("sockets: stopped after %v: %w", end.Round(time.Millisecond), cause)
	}
	return r.sum(end), nil
}

// sum reads what was used and sums the run up.
func (r *run) sum(end time.Duration) *metrics.Result {
	done, cpu, memory, sockets := 0.0, 0.0, 0.0, 0.0
	for _, p := range r.providers() {
		if proc := p.current(); proc != nil {
			proc.machine.do(func(n *servermodel.Server, now time.Duration) { n.Advance(now); done += n.Done() })
		}
		p.mu.Lock()
		done += p.workDone
		p.mu.Unlock()
	}
	r.mu.Lock()
	live := r.live
	r.mu.Unlock()
	for _, i := range live {
		i.measure()
		cpu += i.usage.CPU.Seconds()
		memory, sockets = max(memory, float64(i.usage.Memory)), max(sockets, float64(i.usage.Sockets))
		r.count("reloads", float64(i.log.counted.Load()))
		r.count("proxy_sockets_end", float64(i.descriptors()))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Count("work_done", done)
	r.rec.Count("proxy_cpu_s", cpu)
	r.rec.Count("proxy_memory_mb", memory/(1<<20))
	r.rec.Count("proxy_sockets", sockets)
	sort.Slice(r.late, func(i, j int) bool { return r.late[i] < r.late[j] })
	late := time.Duration(0)
	if n := len(r.late); n > 0 {
		late = r.late[(n-1)*99/100]
		r.rec.Count("generator_late_p99_ms", late.Seconds()*1e3)
		r.rec.Count("generator_late_most_ms", r.late[n-1].Seconds()*1e3)
	}
	broken, counts := r.oracle.Finish(end)
	res := r.rec.Result(broken, counts)
	if late > mostLate {
		res.Void = fmt.Sprintf("the generator was late itself: 99th percentile %v, at most %v wanted; the machine is too busy", late.Round(time.Microsecond), mostLate)
	}
	return res
}

// watch looks at the proxies twice a second and tells how the run stands.
func (r *run) watch(ctx context.Context, stop context.CancelFunc) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		r.mu.Lock()
		live := r.live
		r.mu.Unlock()
		for _, i := range live {
			i.measure()
			if err := i.failed(); err != nil {
				r.mu.Lock()
				r.crashed = err
				r.mu.Unlock()
				stop()
				return
			}
		}
		r.say("")
	}
}

func (r *run) say(text string) {
	if r.opt.Tell == nil {
		return
	}
	r.mu.Lock()
	m := r.moment
	m.At, m.Said = time.Since(r.began), text
	sort.Slice(r.recent, func(i, j int) bool { return r.recent[i] < r.recent[j] })
	if n := len(r.recent); n > 0 {
		m.P50, m.P95 = r.recent[(n-1)/2], r.recent[(n-1)*95/100]
	}
	if text == "" {
		r.recent = r.recent[:0]
	}
	m.Broken = r.oracle.Broken()
	r.mu.Unlock()
	r.opt.Tell(m)
}

// way returns a draw of the delay one way between two zones.
func (r *run) way(from, to int) func() time.Duration {
	d := r.w.Network.Same
	if from < 0 {
		d = r.w.Network.Client
	} else if from != to {
		d = r.w.Network.Cross
	}
	return func() time.Duration {
		r.mu.Lock()
		defer r.mu.Unlock()
		return d + time.Duration(r.w.Network.Jitter*r.jitter.Float64()*float64(d))
	}
}

func (r *run) count(name string, n float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rec.Count(name, n)
}

func (r *run) patience() time.Duration { return r.w.Rules.Slack + onSockets + 20*time.Millisecond }

// known is the list of a tier's providers as its directory has it.
func (r *run) known(tier, zone int) discovery.EndpointList {
	g := r.registries[tier]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.list(zone, 0, true)
}

// reload gives each front proxy another configuration.
func (r *run) reload(variant int) {
	r.mu.Lock()
	slots := slices.Clone(r.slots)
	r.mu.Unlock()
	for _, inst := range slots {
		if inst == nil {
			continue
		}
		if err := inst.reload(variant); err != nil {
			r.crash(err)
			return
		}
		r.count("reloads_asked", 1)
	}
}

func (r *run) classIndex(name string) int {
	for i := range r.w.Classes {
		if r.w.Classes[i].Name == name {
			return i
		}
	}
	return -1
}

// newID is a request's id: its proxy's number and a serial number.
func (r *run) newID(proxy int) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serial++
	return uint64(proxy)<<frontShift | r.serial
}

func (r *run) took(proxy int, id uint64, class int, at time.Time, left time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	when := at.Sub(r.began)
	r.oracle.Took(when, proxy, id, class, when+left)
}

func (r *run) declined(proxy int, id uint64, attempt int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.oracle.Ended(time.Since(r.began), proxy, id, attempt, true)
}

func (r *run) made(id uint64, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.makers[id] = name
}

func (r *run) told(proxy int, name string, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.oracle.Told(time.Since(r.began), proxy, uint64(scenario.EndpointID(name)), ready)
}

func (r *run) tipped(name string, sent, budget float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.oracle.Tipped(time.Since(r.began), name, sent, budget)
}

// answered tells the oracle what came back for a request.
func (r *run) answered(proxy int, id uint64, class int, a answer, err error, left bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Since(r.began)
	defer delete(r.makers, id)
	if err != nil {
		// No answer: with its time over that is a breach, which Left names; a proxy that was ended or
		// never took the request owes nothing.
		if errors.Is(err, errUnreachable) || !left && !isTimeout(err) {
			r.oracle.Forget(proxy, id)
			return
		}
		r.oracle.Left(now, proxy, id)
		return
	}
	switch a.status {
	case 200:
		maker := r.makers[id]
		if want := fmt.Sprintf("%016x %s ", id, maker); maker == "" || len(a.body) < len(want) || a.body[:len(want)] != want {
			r.oracle.Spoilt(now, proxy, id, fmt.Sprintf("%.60q, which no provider made for it", a.body))
		}
		r.oracle.Answered(now, proxy, id, invariant.Served, 0)
	case 429, 503:
		r.oracle.Answered(now, proxy, id, invariant.Shed, 0)
	default:
		r.oracle.Answered(now, proxy, id, invariant.Failed, 0)
	}
}

// request is an invocation as the protocol writes it.
func request(class string, e balancer.Effect, id uint64, tenant string, left time.Duration, key uint64, work float64, repeat bool) string {
	method, rest := "GET", "\r\n"
	if e != balancer.Safe {
		method, rest = "POST", fmt.Sprintf("Idempotency-Key: %016x\r\nContent-Length: 2\r\n\r\nok", key)
	}
	again := ""
	if repeat {
		again = "Req-Retry: 1\r\n"
	}
	return fmt.Sprintf("%s /%s/%x?w=%.9f HTTP/1.1\r\nHost: lab.svc\r\nReq-Id: %016x\r\nReq-Kind: %s\r\nReq-Owner: %s\r\nReq-Deadline-Ms: %d\r\n%s%s",
		method, class, id, work, id, class, tenant, max(left.Milliseconds(), 1), again, rest)
}
