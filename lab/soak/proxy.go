package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"ryerill/config"
	"ryerill/lab/syscallfault"
)

// The classes of requests.
const (
	readClass   = "read" // safe to repeat
	keyedClass  = "pay"  // with an idempotency key, which all endpoints know
	unsafeClass = "burn" // never to be executed twice
)

const (
	startTimeout  = 10 * time.Second // from a process's start until it serves
	logBytes      = 64 << 10         // of a log that are kept, its last ones
	proxySockets  = 200
	signalSpacing = 120 * time.Millisecond // between the signals of a series
	privateMode   = 0o600
)

var errNotServing = errors.New("a proxy has not begun to serve in time")

// life is when a process was started, was told to end, was killed, and had ended. Zero is not yet, or never.
type life struct{ began, terminated, killed, ended time.Time }

// isUndisturbed reports whether nothing was done to the process that ends it.
func (l life) isUndisturbed() bool {
	return l.terminated.IsZero() && l.killed.IsZero() && l.ended.IsZero()
}

// proxy is one proxy with its processes, one after another, each run by the tool that makes calls fail.
type proxy struct {
	index     int
	program   string // the proxy
	tool      string // proxy-lab
	directory string // for its files
	address   string
	plan      *syscallfault.Plan
	discovery string

	playing sync.Mutex // held while a signal is played, by those who play one at a time

	mu      sync.Mutex
	command *exec.Cmd // the running process; nil is none
	serving chan struct{}
	ended   chan struct{}
	log     []byte
	lives   []life // of its processes, the running one last
	crashed error  // a process has ended by itself
}

// newProxy returns a proxy that is not started, with the text of its configuration, and writes its files.
func newProxy(
	index int, options Options, plan *syscallfault.Plan, address, discoveryAddress string, configuration []byte,
) (*proxy, error) {
	p := &proxy{
		index:     index,
		program:   options.Proxy,
		tool:      options.Laboratory,
		directory: filepath.Join(options.Directory, fmt.Sprint("proxy", index)),
		address:   address,
		plan:      plan,
		discovery: discoveryAddress,
	}
	if err := os.MkdirAll(p.directory, 0o700); err != nil {
		return nil, err
	}
	return p, p.writeFiles(configuration)
}

// tierConfiguration is the configuration of a proxy of a tier.
func tierConfiguration(index int, address, discoveryAddress string) ([]byte, error) {
	return yaml.Marshal(&config.File{
		Name:      fmt.Sprint("p", index),
		Machine:   config.MachineFile{Sockets: proxySockets, MemoryMB: 64},
		Listeners: []config.ListenerFile{{Name: "main", Address: address}},
		Routes:    []config.RouteFile{{Name: "all", Pool: "main"}},
		Pools: []config.PoolFile{{
			Name: "main", Zone: "a", Discovery: discoveryAddress,
			Limits: config.LimitsFile{ConnectTimeout: time.Second},
			Classes: []config.ClassFile{
				{Name: readClass, Effect: "safe", Deadline: longestDeadline},
				{Name: keyedClass, Effect: "keyed", Group: "all", IdempotencyWindow: 10 * time.Second,
					Deadline: longestDeadline},
				{Name: unsafeClass, Effect: "unsafe", Deadline: longestDeadline},
			},
		}},
	})
}

// writeFiles writes the configuration and the fault plan.
func (p *proxy) writeFiles(configuration []byte) error {
	if err := os.WriteFile(p.configurationFile(), configuration, privateMode); err != nil {
		return err
	}
	rules, err := yaml.Marshal(p.plan)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.directory, "faults.yaml"), rules, privateMode)
}

// start starts a process and waits until it serves.
func (p *proxy) start(ctx context.Context) error {
	command := exec.Command(p.tool, "faults", "--plan", filepath.Join(p.directory, "faults.yaml"),
		"--record", p.recordFile(), "--discovery", p.discovery, "--", p.program, "serve")
	command.Env = append(os.Environ(), "ROUTER_CONFIG="+p.configurationFile(),
		"ROUTER_NAME=", "ROUTER_LISTEN=", "ROUTER_DISCOVERY=", "ROUTER_MGMT=", "TMPDIR="+p.directory)
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // what a terminal sends to the soak is not for the proxy
	stderr, err := command.StderrPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	serving := make(chan struct{})
	ended := make(chan struct{})
	p.mu.Lock()
	p.command = command
	p.serving = serving
	p.ended = ended
	p.lives = append(p.lives, life{began: time.Now()})
	p.mu.Unlock()
	go func() { // ends with the process, for which kill waits
		defer close(ended)
		isServing := false
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			if !isServing && bytes.Contains(lines.Bytes(), []byte("msg=serving")) {
				isServing = true
				close(serving)
			}
			p.keepLog(lines.Bytes())
		}
		p.recordEnd(command.Wait())
	}()
	select {
	case <-serving:
		return nil
	case <-ended:
		return fmt.Errorf("proxy %d: %w: it ended", p.index, errNotServing)
	case <-time.After(startTimeout):
		return fmt.Errorf("proxy %d: %w", p.index, errNotServing)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// configurationFile is in YAML, of which JSON is a part.
func (p *proxy) configurationFile() string { return filepath.Join(p.directory, "config.yaml") }

func (p *proxy) recordFile() string { return filepath.Join(p.directory, "faults.jsonl") }

func (p *proxy) keepLog(line []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log = append(append(p.log, line...), '\n')
	if len(p.log) > logBytes {
		p.log = bytes.Clone(p.log[len(p.log)-logBytes/2:])
	}
}

// recordEnd records that a process has ended, which nobody wants but by a signal of the schedule.
func (p *proxy) recordEnd(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lives[len(p.lives)-1].isUndisturbed() {
		p.crashed = fmt.Errorf("proxy %d ended by itself: %w", p.index, errors.Join(err, errNotServing))
	}
}

// signal sends a signal to the running process, through the tool, which passes it on.
func (p *proxy) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	running := &p.lives[len(p.lives)-1]
	switch {
	case s == syscall.SIGTERM && running.terminated.IsZero():
		running.terminated = time.Now()
	case s == syscall.SIGKILL && running.killed.IsZero():
		running.killed = time.Now()
	}
	_ = p.command.Process.Signal(s) // one that has ended needs none
}

// kill ends the running process, which ends with the tool, and waits for it.
func (p *proxy) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lives[len(p.lives)-1].ended = time.Now()
}

// play carries out one event of the schedule.
func (p *proxy) play(ctx context.Context, kind SignalKind) error {
	switch kind {
	case Reload:
		p.signal(syscall.SIGHUP)
		return nil
	case ReloadInSeries:
		for range 3 {
			p.signal(syscall.SIGHUP)
			time.Sleep(signalSpacing)
		}
		return nil
	case HoldUps:
		p.holdUp(ctx)
		return nil
	case Kill:
		p.kill()
		go func() { // during the start
			time.Sleep(2 * signalSpacing)
			p.signal(syscall.SIGHUP)
		}()
		return p.start(ctx)
	}
	began := time.Now()
	p.signal(syscall.SIGTERM)
	time.Sleep(signalSpacing)
	switch kind {
	case RestartTwice:
		p.signal(syscall.SIGTERM)
	case RestartReload:
		p.signal(syscall.SIGHUP)
	}
	select { // it may end earlier by itself
	case <-p.ended:
	case <-time.After(time.Until(began.Add(longestDeadline + killGrace))):
	}
	p.kill()
	return p.start(ctx)
}

// holdUp stops the running process several times for a moment.
func (p *proxy) holdUp(ctx context.Context) {
	for range holdUps {
		p.signal(syscall.SIGSTOP)
		time.Sleep(holdUpLength)
		p.signal(syscall.SIGCONT)
		if !sleep(ctx, holdUpSpacing) {
			return
		}
	}
}

// lifeAt returns the life of the process that was there at a time, or of the next one.
func (p *proxy) lifeAt(t time.Time) life {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.lives {
		if l.ended.IsZero() || l.ended.After(t) {
			return l
		}
	}
	return life{}
}
