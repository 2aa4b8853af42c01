package chaos

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"ryerill/config"
	"ryerill/fleet"
	"ryerill/lab/faultnet"
	"ryerill/lab/processes"
)

// What is looked at on processes.
const (
	agreeProcesses = 30 * time.Second
	planProcesses  = 3 * time.Minute
	mostGrown      = 24              // descriptors that a copy may hold more in the end
	mostMemory     = 64              // MB that a copy may hold
	recovery       = 2 * time.Second // after the last trouble's end: two aims
	recovered      = 0.95            // of the goodput before the first
	measured       = 3 * time.Second
)

// Processes plays a night on real processes of the program, under load, with the
// ledger kept by the stand-ins behind them.
func Processes(ctx context.Context, sch Schedule, command []string, say func(string)) (sum processes.Sum, bad *Violation, err error) {
	dir, err := os.MkdirTemp("", "ryerill-night")
	if err != nil {
		return sum, nil, err
	}
	defer os.RemoveAll(dir)
	f, err := processes.Start(ctx, processes.Options{Command: command, Dir: dir, Replicas: sch.Replicas, Endpoints: 6, Change: func(_ int, file *config.File) {
		file.Fleet.Sharing = &config.SharingFile{Quotas: true, Counters: true, Evidence: true}
		file.Pools[0].Tenants = []config.TenantFile{{Name: "acme", Quota: whole}}
	}})
	if err != nil {
		return sum, nil, err
	}
	defer f.Close()
	load, stop := context.WithCancel(ctx)
	defer stop()
	var all sync.WaitGroup
	for i := range f.Replicas {
		all.Add(1)
		go func() { defer all.Done(); f.Drive(load, i, 15) }()
	}
	n := &processRun{f: f, began: time.Now(), say: say}
	if !n.until(ctx, agreeProcesses, n.agree) {
		return sum, n.fail("views become equal", "not even at the start: %s", n.views()), nil
	}
	before := map[string]int{}
	for _, c := range f.Replicas {
		before[c.Name] = openFiles(c.Pid())
	}
	pause(ctx, measured)
	usual, _ := f.Ledger.Served(time.Now().Add(-measured), time.Now())
	n.began = time.Now()
	n.play(ctx, sch)
	f.Relays.Do(func(net *faultnet.Network) { net.Heal(); net.Usual(faultnet.Link{}) })
	f.Ledger.FailEndpoint(-1)
	for i, c := range f.Replicas {
		c.Signal(syscall.SIGCONT)
		if !c.Up() {
			c.Await()
			if err := f.Launch(ctx, i); err != nil {
				return f.Ledger.Sum(), n.fail("a copy starts", "%v", err), nil
			}
		}
	}
	over := time.Now()
	if pause(ctx, recovery+measured+time.Second); n.bad == nil {
		now, of := f.Ledger.Served(over.Add(recovery), over.Add(recovery+measured))
		say(fmt.Sprintf("goodput before %.4f, and after %v %.4f of %d", usual, recovery, now, of))
		if now < recovered*usual || of == 0 {
			n.fail("goodput is back", "%.4f of %d requests are served %v after the last trouble, %.4f before the first", now, of, recovery, usual)
		}
	}
	switch {
	case n.bad != nil:
	case !n.until(ctx, agreeProcesses, n.agree):
		n.fail("views become equal", "after %v they are not: %s", agreeProcesses, n.views())
	case !n.until(ctx, planProcesses, n.settled):
		n.fail("a plan ends or waits for a person", "after %v: %s", planProcesses, n.plan())
	}
	say(fmt.Sprintf("at rest %v after the last trouble", time.Since(over).Round(10*time.Millisecond)))
	stop()
	all.Wait()
	sum = f.Ledger.Sum()
	if sum.Lost+sum.Late+sum.Repeated > 0 || sum.Failed > f.Ledger.InjectedErrors() || sum.Served == 0 {
		n.fail("one final answer in time, and no repeat against the class", "%+v", sum)
	}
	for _, c := range f.Replicas {
		log := c.Log()
		if at := strings.Index(log, "panic"); at >= 0 {
			n.fail("no copy crashes", "%s: %s", c.Name, log[at:min(len(log), at+2000)])
		}
		if now := openFiles(c.Pid()); now > before[c.Name]+mostGrown {
			n.fail("nothing grows", "%s holds %d descriptors, %d before", c.Name, now, before[c.Name])
		}
		if mb := memory(c.Pid()); mb > mostMemory {
			n.fail("nothing grows", "%s holds %d MB", c.Name, mb)
		}
	}
	return sum, n.bad, nil
}

func openFiles(pid int) int {
	all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(all)
}

// memory is what a process holds, in MB.
func memory(pid int) (mb int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	var size, resident int
	fmt.Sscan(string(text), &size, &resident)
	return resident * os.Getpagesize() >> 20
}

type processRun struct {
	f     *processes.Fleet
	began time.Time
	say   func(string)
	mu    sync.Mutex
	bad   *Violation
	plans int
	all   sync.WaitGroup

	changing sync.Mutex // of keys, and of processes at an upgrade
	key      int
}

func (n *processRun) fail(rule, format string, args ...any) *Violation {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.bad == nil {
		n.bad = &Violation{time.Since(n.began), rule, fmt.Sprintf(format, args...)}
	}
	return n.bad
}

func (n *processRun) until(ctx context.Context, most time.Duration, so func() bool) bool {
	for end := time.Now().Add(most); !so(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) || ctx.Err() != nil {
			return false
		}
	}
	return true
}

// play has each trouble begin and end at its time.
func (n *processRun) play(ctx context.Context, sch Schedule) {
	for _, st := range sch.Steps {
		n.all.Add(1)
		go func() {
			defer n.all.Done()
			if !pause(ctx, st.At-time.Since(n.began)) {
				return
			}
			n.say(fmt.Sprintf("%v %s %v for %v", time.Since(n.began).Round(100*time.Millisecond), st.Kind, st.Whom, st.For))
			n.begin(ctx, &st)
		}()
	}
	for end := n.began.Add(sch.Length); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(500 * time.Millisecond) {
		n.rates()
	}
	n.all.Wait()
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(max(d, 0)):
		return true
	}
}

// rates looks whether all together may spend more than there is: what moves between
// two questions is asked again.
func (n *processRun) rates() {
	sum := 0.0
	for range 10 {
		sum = 0
		for _, c := range n.f.Replicas {
			if s, err := c.Shared(); c.Up() && err == nil {
				for _, b := range s.Quotas {
					sum += b.Rate
				}
			}
		}
		if sum <= whole*1.0001 {
			return
		}
		time.Sleep(30 * time.Millisecond)
	}
	n.fail("a budget is never overspent", "all together may spend %.1f of %.0f", sum, whole)
}

func (n *processRun) disks(whom []int, there bool) {
	for _, i := range whom {
		n.f.SetDisk(i, there) // of two troubles with one disk the second changes nothing
	}
}

func (n *processRun) names(st *Step) (out []string) {
	for _, i := range st.Whom {
		out = append(out, n.f.Replicas[i].Name)
	}
	return out
}

// begin carries a trouble out, and ends it.
func (n *processRun) begin(ctx context.Context, st *Step) {
	net := func(change func(*faultnet.Network)) { n.f.Relays.Do(change) }
	back := func() {
		for _, i := range st.Whom {
			// Another trouble that hit the same copy may have brought it back: then there is nothing to wait for.
			if c := n.f.Replicas[i]; !c.Up() && c.Await() != context.Canceled && !c.Up() && ctx.Err() == nil {
				if err := n.f.Launch(ctx, i); err != nil && !strings.Contains(err.Error(), "in use") {
					n.fail("a copy starts", "%v", err)
				}
			}
		}
	}
	switch st.Kind {
	case Cut, Deaf:
		net(func(b *faultnet.Network) {
			for _, name := range n.names(st) {
				b.Isolate(name, st.Kind == Deaf)
			}
		})
		pause(ctx, st.For)
		net((*faultnet.Network).Heal)
	case Split:
		net(func(b *faultnet.Network) { b.Split(n.names(st)) })
		pause(ctx, st.For)
		net((*faultnet.Network).Heal)
	case Bad:
		net(func(b *faultnet.Network) { b.Usual(st.Link) })
		pause(ctx, st.For)
		net(func(b *faultnet.Network) { b.Usual(faultnet.Link{}) })
	case Stop:
		for _, i := range st.Whom {
			n.f.Replicas[i].Signal(syscall.SIGSTOP)
		}
		pause(ctx, min(st.For, 3*time.Second)) // longer and consumers give up: a fleet that is off would lose that too
		for _, i := range st.Whom {
			n.f.Replicas[i].Signal(syscall.SIGCONT)
		}
	case Kill, Leave:
		for _, i := range st.Whom {
			c := n.f.Replicas[i]
			c.Signal(syscall.SIGCONT)
			if c.Signal(map[string]syscall.Signal{Kill: syscall.SIGKILL, Leave: syscall.SIGTERM}[st.Kind]); st.Kind == Kill {
				c.Await()
			}
		}
		pause(ctx, st.For)
		back()
	case Wants:
		for _, i := range st.Whom {
			if st.Much > 0 {
				n.all.Add(1)
				go func() {
					defer n.all.Done()
					load, stop := context.WithTimeout(ctx, st.For)
					defer stop()
					n.f.Drive(load, i, int(min(st.Much, 100)))
				}()
			}
		}
	case Good:
		n.mu.Lock()
		n.plans++
		text, err := n.settings(n.plans)
		n.mu.Unlock()
		if err == nil {
			n.f.Replicas[st.Whom[0]].Admin("POST", "/ops/rollout", text) // refused while another stands
		}
	case Abort:
		n.f.Replicas[st.Whom[0]].Admin("POST", "/ops/rollout/abort", "")
	case Disk:
		n.disks(st.Whom, false)
		pause(ctx, st.For)
		n.disks(st.Whom, true)
	case Keys:
		n.changing.Lock()
		defer n.changing.Unlock()
		n.key++
		old, next := fmt.Sprintf("key-%012d-of-this-fleet", n.key-1), fmt.Sprintf("key-%012d-of-this-fleet", n.key)
		if n.key == 1 {
			old = processes.FirstKey
		}
		for _, keys := range [][]string{{old, next}, {next, old}, {next}} {
			if err := n.f.WriteKeys(keys...); err != nil {
				n.fail("keys change", "%v", err)
			}
			for _, c := range n.f.Replicas {
				if _, err := c.Admin("GET", "/ops/readiness", ""); c.Up() && err == nil {
					c.Signal(syscall.SIGHUP)
				}
			}
			pause(ctx, 2*time.Second)
		}
	case Upgrade:
		n.changing.Lock()
		defer n.changing.Unlock()
		for _, i := range st.Whom {
			if c := n.f.Replicas[i]; c.Up() {
				ends := c.Terminations()
				if err := n.f.Replace(ctx, i, n.f.Opt.Command); err != nil && ctx.Err() == nil && c.Terminations() == ends {
					n.fail("a copy is upgraded", "%v", err)
				}
			}
		}
	case Trouble, Costly:
		n.f.Ledger.FailEndpoint(st.Whom[0] % 6)
		pause(ctx, st.For)
		n.f.Ledger.FailEndpoint(-1)
	}
}

// settings is a harmless plan over the first copy's file.
func (n *processRun) settings(number int) (string, error) {
	text, err := os.ReadFile(n.f.Replicas[0].ConfigFile)
	if err != nil {
		return "", err
	}
	file := new(config.File)
	if err := yaml.Unmarshal(text, file); err != nil {
		return "", err
	}
	file.Pools[0].ReplicaIndex, file.Pools[0].Limits.MaxAttempts = 0, 3+number%3
	pools, err := yaml.Marshal(map[string]any{"pools": file.Pools})
	return fmt.Sprintf("id: plan-%d\nkind: settings\nstages: [{count: 1, soak: 1s}, {part: 0.5, soak: 1s}, {part: 1, soak: 1s}]\naway: 2\nwait: 20s\nunknown: 20s\nsettings:\n  %s\n",
		number, strings.ReplaceAll(strings.TrimSpace(string(pools)), "\n", "\n  ")), err
}

func (n *processRun) agree() bool {
	digest := ""
	for _, c := range n.f.Replicas {
		s, err := c.Status()
		if err != nil || digest != "" && s.Digest != digest {
			return false
		}
		digest = s.Digest
		alive := 0
		for _, m := range s.Members {
			if m.Status == "alive" {
				alive++
			}
		}
		if alive != len(n.f.Replicas) {
			return false
		}
	}
	return true
}

func (n *processRun) views() (text string) {
	for _, c := range n.f.Replicas {
		s, err := c.Status()
		text += fmt.Sprintf("%s %s %v:", c.Name, s.Digest, err)
		for _, m := range s.Members {
			if m.Status != "alive" {
				text += " " + m.Name + " " + m.Status
			}
		}
		text += "; "
	}
	return text
}

func (n *processRun) status(c *processes.Replica) (s fleet.RolloutStatus, err error) {
	text, err := c.Admin("GET", "/ops/rollout", "")
	if err == nil {
		err = json.Unmarshal([]byte(text), &s)
	}
	return s, err
}

func (n *processRun) settled() bool {
	for _, c := range n.f.Replicas {
		if s, err := n.status(c); err != nil || !s.Ended && s.Phase != "stopped" {
			return false
		}
	}
	return true
}

func (n *processRun) plan() (text string) {
	for _, c := range n.f.Replicas {
		s, err := n.status(c)
		text += fmt.Sprintf("%s: %s %s (%s) led by %s number %d %v; ", c.Name, s.Plan, s.Phase, s.Reason, s.Leader, s.FencingToken, err)
	}
	return text
}

// Found is where a schedule that does not balance is kept.
func Found(dir string, sch Schedule, rule string) (string, error) {
	file := filepath.Join(dir, fmt.Sprintf("%s-%d-%d.yaml", strings.ReplaceAll(rule, " ", "-"), sch.Replicas, sch.Seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", err
	}
	return file, sch.Write(file)
}
