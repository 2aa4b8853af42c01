package realtime

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"ryerill/balancer"
	"ryerill/config"
	"ryerill/lab/scenario"
	"ryerill/proxy"
)

// Embedded is the build that runs the proxy within the laboratory's process.
const Embedded = "embedded"

const (
	readyWithin = 10 * time.Second
	killAfter   = 8 * time.Second
	mostSockets = 4096    // descriptors that a proxy is told it may hold
	mostLog     = 8 << 10 // bytes of a proxy's log that are kept, its last ones
)

// instance is one proxy, in a process of its own or embedded.
type instance struct {
	run     *run
	name    string
	number  int // for the oracle and in the ids of requests; never used twice
	tier    int
	self    int
	zone    int
	address string
	caller  *caller
	asks    []string // addresses of its directories
	file    string   // its configuration
	proxy   *proxy.Proxy

	cmd    *exec.Cmd
	log    *tail
	stop   context.CancelFunc
	ended  chan struct{}
	err    error
	usage  usage
	wanted bool // its end is wanted
	mu     sync.Mutex
}

// tail keeps the last bytes of a log.
type tail struct {
	mu      sync.Mutex
	text    []byte
	counted atomic.Int64 // reloads that it tells of
}

var reloaded = []byte("configuration reloaded")

func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counted.Add(int64(bytes.Count(b, reloaded)))
	t.text = append(t.text, b...)
	if over := len(t.text) - mostLog; over > 0 {
		t.text = append(t.text[:0], t.text[over:]...)
	}
	return len(b), nil
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.TrimSpace(string(t.text))
}

// settings is a world as the platform's settings state it to one proxy.
func settings(w *scenario.Scenario, tier, self, zone int) map[string]any {
	us := func(d time.Duration) int64 { return int64(d / time.Microsecond) }
	b := w.Balancer(tier, self, zone)
	var classes, tenants []any
	effects := map[balancer.Effect]string{balancer.Safe: "pure", balancer.Keyed: "token", balancer.Unsafe: "side_effect"}
	groups := map[balancer.Group]string{balancer.GroupAll: "all", balancer.GroupZone: "zone", balancer.GroupCell: "cell"}
	for _, c := range b.Classes {
		classes = append(classes, map[string]any{"Name": c.Name, "Slo": us(c.LatencyObjective), "Deadline": us(c.Deadline), "Worth": c.PriorityWeight,
			"LateWorth": c.LateWeight, "Effect": effects[c.Effect], "Group": groups[c.Group], "MemorySpan": us(c.IdempotencyWindow)})
	}
	for _, t := range b.Tenants {
		tenants = append(tenants, map[string]any{"Name": t.Name, "Share": t.Share, "QuotaPerS": t.Quota})
	}
	var tiers []string
	for _, t := range w.Tiers {
		tiers = append(tiers, t.Name)
	}
	return map[string]any{"Areas": w.Network.Zones, "Zone": zone, "Tiers": tiers, "Tier": tier, "Me": self,
		"GroupSize": b.ReplicaCount, "Discovery": "subscribe", "Kinds": []string{"machine"}, "OverShareWorth": b.OverQuotaWeight,
		"Classes": classes, "Customers": tenants,
		"Limits": map[string]any{"TryLimit": b.Limits.MaxAttempts, "MostHeld": b.Limits.MaxOpenRequests, "MaxRetryAfter": us(b.Limits.MaxRetryAfter),
			"ConnectTimeout": us(b.Limits.ConnectTimeout), "RetryAfter": true, "SecondCopies": true, "MayCancel": true,
			"IdleClose": us(w.Tiers[tier].Node.Connect.Idle)},
		"Contract": map[string]any{"AnswerSlack": us(b.Contract.AnswerSlack), "StopSendingWithin": us(b.Contract.DrainGrace),
			"AskWithin": us(b.Contract.MaxPollInterval), "ColdFrom": b.Contract.InitialCapacity, "WarmUp": us(b.Contract.WarmUpPeriod),
			"FallMultiple": b.Contract.OverloadMultiple, "OverloadFor": us(b.Contract.OverloadPeriod)}}
}

// start starts the proxy and waits until it is ready.
func (i *instance) start(ctx context.Context) error {
	i.caller, i.ended, i.log = newCaller(), make(chan struct{}), &tail{}
	for t, g := range i.run.registries {
		if t != i.tier && !i.run.w.Parallel {
			continue
		}
		address, err := g.open(i.number, i.zone)
		if err != nil {
			return err
		}
		i.asks = append(i.asks, address)
	}
	if i.run.opt.Build == Embedded {
		return i.embed()
	}
	return i.launch(ctx)
}

// text is the proxy's configuration: the platform's form for a chain, a file
// with a pool for each tier where they are parallel. Variants differ in a pool, a
// route and a listener that only some have, and in limits.
func (i *instance) text(listen string, variant int) ([]byte, error) {
	w := i.run.w
	if !w.Parallel {
		return json.Marshal(map[string]any{"name": i.name, "listen": listen, "discovery": i.asks[0],
			"seed":   fmt.Sprintf("%x", i.run.seed*1000+uint64(i.number)),
			"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": mostSockets},
			"known":  i.run.known(i.tier, i.zone), "settings": settings(w, i.tier, i.self, i.zone)})
	}
	f := config.File{Name: i.name, Machine: config.MachineFile{Cores: 1, MemoryMB: 192, Sockets: mostSockets},
		Listeners: []config.ListenerFile{{Name: "main", Address: listen}}}
	for t := range w.Tiers {
		tier := &w.Tiers[t]
		n := &tier.Node
		p := config.PoolFile{Name: tier.Name, Zone: w.Network.Zones[i.zone], Zones: w.Network.Zones, ReplicaIndex: i.self, ReplicaCount: w.Tiers[0].Proxies,
			Discovery: i.asks[t], Limits: config.LimitsFile{MaxAttempts: w.Rules.Attempts, MaxRetryAfter: w.Rules.MaxRetryAfter,
				ConnectTimeout: n.Connect.Timeout, IdleClose: n.Connect.Idle, MaxOpenRequests: 20_000 - variant%3},
			Rules: config.RulesFile{AnswerSlack: w.Rules.Slack, DrainGrace: w.Rules.Drain, InitialCapacity: n.Cold.From, WarmUpPeriod: n.Cold.For,
				OverloadMultiple: n.Cold.Tips, OverloadPeriod: n.Cold.Within}}
		for _, c := range w.Classes {
			if c.Tier != tier.Name {
				continue
			}
			p.Classes = append(p.Classes, config.ClassFile{Name: c.Name, LatencyObjective: c.LatencyObjective, Deadline: c.Deadline, PriorityWeight: c.PriorityWeight, LateWeight: c.LateWeight,
				Effect: c.Effect, Group: strings.Replace(c.Group, "group", "cell", 1), IdempotencyWindow: c.IdempotencyWindow})
			f.Routes = append(f.Routes, config.RouteFile{Name: c.Name, Path: "/" + c.Name + "/*", Pool: tier.Name})
		}
		for _, e := range i.run.known(t, i.zone).Endpoints {
			p.Endpoints = append(p.Endpoints, config.EndpointFile{Name: e.Name, Address: e.Address, Zone: e.Zone, Group: e.Group})
		}
		f.Pools = append(f.Pools, p)
	}
	if variant%2 == 1 {
		extra := f.Pools[0]
		extra.Name = "extra"
		f.Pools = append(f.Pools, extra)
		f.Routes = append(f.Routes, config.RouteFile{Name: "extra", Path: "/extra/*", Pool: "extra"})
		f.Listeners = append(f.Listeners, config.ListenerFile{Name: "extra", Address: "127.0.0.1:0"})
	}
	return yaml.Marshal(&f)
}

// reload gives the proxy another variant of its configuration.
func (i *instance) reload(variant int) error {
	listen := i.address
	if i.proxy != nil {
		listen = "127.0.0.1:0" // as at its start
	}
	text, err := i.text(listen, variant)
	if err != nil {
		return fmt.Errorf("proxy %s: %w", i.name, err)
	}
	if i.proxy != nil {
		cfg, err := i.parse(text)
		if err != nil {
			return fmt.Errorf("proxy %s: %w", i.name, err)
		}
		return i.proxy.Reload(cfg)
	}
	// Whoever reads it meets the old file or the new one, whole.
	if err := os.WriteFile(i.file+".new", text, 0o600); err != nil {
		return fmt.Errorf("proxy %s: %w", i.name, err)
	}
	if err := os.Rename(i.file+".new", i.file); err != nil {
		return fmt.Errorf("proxy %s: %w", i.name, err)
	}
	return i.cmd.Process.Signal(syscall.SIGHUP)
}

func (i *instance) parse(text []byte) (config.Config, error) {
	none := func(string) string { return "" }
	if config.IsPlatformForm(text) {
		return config.ParsePlatform(text, none)
	}
	cfg, _, err := config.ParseFile(i.name, text, none)
	return cfg, err
}

// descriptors is how many a process holds now; 0 for an embedded proxy.
func (i *instance) descriptors() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil || i.cmd.Process == nil {
		return 0
	}
	u, err := readUsage(i.cmd.Process.Pid)
	if err != nil {
		return 0
	}
	return u.Sockets
}

func (i *instance) embed() error {
	text, err := i.text("127.0.0.1:0", 0)
	if err != nil {
		return fmt.Errorf("proxy %s: %w", i.name, err)
	}
	cfg, err := i.parse(text)
	if err != nil {
		return fmt.Errorf("proxy %s: %w", i.name, err)
	}
	p, err := proxy.New(cfg, proxy.WithLogger(slog.New(slog.NewTextHandler(i.log, nil))))
	if err != nil {
		return err
	}
	i.address, i.proxy = p.Address(), p
	ctx, stop := context.WithCancel(context.Background())
	i.stop = stop
	go func() {
		defer close(i.ended)
		err := p.Run(ctx)
		i.mu.Lock()
		defer i.mu.Unlock()
		i.err = err
	}()
	return nil
}

// launch runs a build in a process of its own. A port is drawn and told to it;
// should somebody take it in between, another is drawn.
func (i *instance) launch(ctx context.Context) (err error) {
	for try := 0; try < 3; try++ {
		var l net.Listener
		if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return fmt.Errorf("proxy %s: %w", i.name, err)
		}
		i.address = l.Addr().String()
		l.Close()
		if err = i.exec(ctx); err == nil {
			return nil
		}
		if !strings.Contains(i.log.String(), "address already in use") {
			return err
		}
	}
	return err
}

func (i *instance) exec(ctx context.Context) error {
	text, err := i.text(i.address, 0)
	if err != nil {
		return fmt.Errorf("proxy %s: %w", i.name, err)
	}
	i.file = filepath.Join(i.run.dir, fmt.Sprintf("%s-%d.json", i.name, i.number))
	if err := os.WriteFile(i.file, text, 0o600); err != nil {
		return fmt.Errorf("proxy %s: %w", i.name, err)
	}
	argv := i.run.opt.command()
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Env = append(os.Environ(), config.EnvFile+"="+i.file, config.EnvName+"=", config.EnvListen+"=", config.EnvDiscovery+"=")
	cmd.Stdout, cmd.Stderr = i.log, i.log
	ended := make(chan struct{})
	if err := i.run.launcher.start(cmd); err != nil {
		return fmt.Errorf("proxy %s: %s: %w", i.name, argv[0], err)
	}
	i.mu.Lock()
	i.cmd, i.ended = cmd, ended
	i.mu.Unlock()
	go func() {
		defer close(ended)
		err := cmd.Wait()
		i.mu.Lock()
		defer i.mu.Unlock()
		if !i.wanted {
			i.err = fmt.Errorf("proxy %s ended by itself (%v); its last words:\n%s", i.name, err, i.log)
		}
	}()
	deadline := time.Now().Add(readyWithin)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		if resp, err := client.Get("http://" + i.address + "/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ended:
			return i.failed()
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
		if time.Now().After(deadline) {
			i.kill()
			return fmt.Errorf("proxy %s was not ready within %v; its last words:\n%s", i.name, readyWithin, i.log)
		}
	}
}

// failed is why the proxy ended by itself; nil if it runs or was ended.
func (i *instance) failed() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.err
}

// leave asks the proxy to end once it has answered what it took. It does not wait.
func (i *instance) leave() {
	i.mu.Lock()
	i.wanted = true
	cmd := i.cmd
	i.mu.Unlock()
	if i.stop != nil {
		i.stop()
	} else if cmd != nil {
		cmd.Process.Signal(syscall.SIGTERM)
		go func() {
			select {
			case <-i.ended:
			case <-time.After(killAfter):
				cmd.Process.Kill()
			}
		}()
	}
}

// kill ends the proxy at once. An embedded one can only be asked to leave.
func (i *instance) kill() {
	i.measure()
	i.mu.Lock()
	i.wanted = true
	cmd := i.cmd
	i.mu.Unlock()
	if i.stop != nil {
		i.stop()
	} else if cmd != nil {
		cmd.Process.Kill()
		<-i.ended
	}
	if i.caller != nil {
		i.caller.close()
	}
}

// measure reads what the proxy's process uses, if it is one.
func (i *instance) measure() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil && i.cmd.Process != nil {
		if u, err := readUsage(i.cmd.Process.Pid); err == nil {
			i.usage = i.usage.most(u)
		}
	}
}

// launcher starts processes from one thread that lives as long as they may:
// the kernel ends them with it, so that none is left behind should the
// laboratory itself be killed.
type launcher struct {
	todo chan func()
	done chan struct{}
}

func newLauncher() *launcher {
	l := &launcher{make(chan func()), make(chan struct{})}
	go func() {
		defer close(l.done)
		runtime.LockOSThread()
		for f := range l.todo {
			f()
		}
		runtime.UnlockOSThread()
	}()
	return l
}

func (l *launcher) start(cmd *exec.Cmd) (err error) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	over := make(chan struct{})
	l.todo <- func() { err = cmd.Start(); close(over) }
	<-over
	return err
}

func (l *launcher) close() { close(l.todo); <-l.done }

// usage is what a process has used.
type usage struct {
	CPU     time.Duration
	Memory  int64 // bytes, the most
	Sockets int   // descriptors, the most seen
}

func (u usage) most(o usage) usage {
	return usage{max(u.CPU, o.CPU), max(u.Memory, o.Memory), max(u.Sockets, o.Sockets)}
}

// clockTick is the unit of CPU times in /proc: USER_HZ, 100 on all of Linux's platforms that Go has.
const clockTick = 10 * time.Millisecond

func readUsage(pid int) (u usage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) < 13 {
		return u, errors.New("unknown form of /proc/PID/stat")
	}
	var user, system int64
	fmt.Sscan(fields[11], &user)
	fmt.Sscan(fields[12], &system)
	u.CPU = time.Duration(user+system) * clockTick
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			var kb int64
			fmt.Sscan(rest, &kb)
			u.Memory = kb << 10
		}
	}
	if fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		u.Sockets = len(fds)
	}
	return u, nil
}
