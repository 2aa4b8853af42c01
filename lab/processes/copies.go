// Package processes starts a fleet of real proxies, processes of the real program,
// with the laboratory's bad network between them, stand-ins for providers behind
// them, and consumers before them. The stand-ins keep the ledger: what ran, how
// often, and what was answered.
package processes

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"ryerill/config"
	"ryerill/fleet"
	"ryerill/lab/faultnet"
	"ryerill/lab/faultnet/relay"
)

const (
	readyWithin = 20 * time.Second
	doorWithin  = 2 * time.Second
	mostLog     = 256 << 10 // bytes of a log that are kept, its last ones
)

// FirstKey is the fleet's key until another is written.
const FirstKey = "first-key-of-this-fleet"

// Options say what a fleet is.
type Options struct {
	Command   []string             // starts the real program
	Of        func(i int) []string // starts that of one copy, where there are several; nil is Command
	Dir       string               // for configurations and keys
	Replicas  int
	Endpoints int
	Written   int // copies that the configuration states; 0 is as many as there are
	Off       bool
	Change    func(i int, f *config.File) // changes a configuration before it is written
}

// Replica is one process of the program.
type Replica struct {
	Name    string
	Address string    // for consumers
	Doors   [2]string // of its first process, and of one that follows it at an upgrade, in turn
	File    string
	fleet   netip.AddrPort

	mu      sync.Mutex
	cmd     *exec.Cmd
	log     []byte
	ended   chan struct{}
	stopped bool
	ending  bool // it was told to
	ends    int  // how often
	door    int  // which of its doors is that of the newest process
	err     error
}

// Fleet is all of it.
type Fleet struct {
	Opt       Options
	Replicas  []*Replica
	Relays    *relay.Relays
	Ledger    *Ledger
	providers []*http.Server
	addresses []string
	keys      string
}

// Start starts a fleet and waits until all of it is ready.
func Start(ctx context.Context, opt Options) (f *Fleet, err error) {
	if opt.Written == 0 {
		opt.Written = opt.Replicas
	}
	f = &Fleet{Opt: opt, Relays: relay.New(faultnet.New(faultnet.Link{}, 1)), Ledger: newLedger(), keys: filepath.Join(opt.Dir, "keys")}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	if err := os.WriteFile(f.keys, []byte(FirstKey+"\n"), 0o600); err != nil {
		return nil, err
	}
	for i := range opt.Endpoints {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s := &http.Server{Handler: f.Ledger.provider(i)}
		f.providers = append(f.providers, s)
		f.addresses = append(f.addresses, l.Addr().String())
		go s.Serve(l)
	}
	for i := range opt.Replicas {
		c := &Replica{Name: fmt.Sprintf("c%02d", i), File: filepath.Join(opt.Dir, fmt.Sprintf("c%02d.yaml", i))}
		ports, err := freePorts(4)
		if err != nil {
			return nil, err
		}
		c.Address, c.Doors, c.fleet = ports[0].String(), [2]string{ports[1].String(), ports[3].String()}, ports[2]
		f.Relays.Add(c.Name, c.fleet)
		f.Replicas = append(f.Replicas, c)
	}
	for i := range f.Replicas {
		if err := f.Write(i, opt.Change); err != nil {
			return nil, err
		}
	}
	var all sync.WaitGroup
	errs := make([]error, opt.Replicas)
	for i := range f.Replicas {
		all.Add(1)
		go func() { defer all.Done(); errs[i] = f.Launch(ctx, i) }()
	}
	all.Wait()
	return f, errors.Join(errs...)
}

// command starts a copy's program.
func (f *Fleet) command(i int) []string {
	if f.Opt.Of != nil {
		return f.Opt.Of(i)
	}
	return f.Opt.Command
}

// Ports are looked for below those that the system gives out by itself, so that
// they are still free when a process is restarted.
const (
	leastPort = 20_000
	mostPort  = 32_000
)

// freePorts finds ports that are free for both kinds.
func freePorts(n int) (out []netip.AddrPort, err error) {
	for tries := 0; len(out) < n; tries++ {
		at := fmt.Sprintf("127.0.0.1:%d", leastPort+rand.IntN(mostPort-leastPort))
		l, err := net.Listen("tcp", at)
		if err == nil {
			var u net.PacketConn
			if u, err = net.ListenPacket("udp", at); err == nil {
				out = append(out, netip.MustParseAddrPort(at))
				defer u.Close()
			}
			defer l.Close()
		}
		if err != nil && tries > 1000 {
			return nil, err
		}
	}
	return out, nil
}

// Write writes a copy's configuration.
func (f *Fleet) Write(i int, change func(i int, file *config.File)) error {
	c := f.Replicas[i]
	file := config.File{Name: c.Name, Admin: c.Doors[0], Machine: config.MachineFile{Sockets: 1024, MemoryMB: 64},
		Listeners: []config.ListenerFile{{Name: "main", Address: c.Address}},
		Routes:    []config.RouteFile{{Name: "all", Pool: "main"}}}
	pool := config.PoolFile{Name: "main", Zone: "a", ReplicaIndex: i % f.Opt.Written, ReplicaCount: f.Opt.Written, Limits: config.LimitsFile{ConnectTimeout: time.Second},
		Classes: []config.ClassFile{{Name: "read", Effect: "safe", Deadline: 4 * time.Second}, {Name: "pay", Effect: "keyed", Group: "all", IdempotencyWindow: 10 * time.Second, Deadline: 4 * time.Second},
			{Name: "burn", Effect: "unsafe", Deadline: 4 * time.Second}}}
	for j, at := range f.addresses {
		pool.Endpoints = append(pool.Endpoints, config.EndpointFile{Name: fmt.Sprintf("p%02d", j), Address: at, Zone: "a"})
	}
	file.Pools = []config.PoolFile{pool}
	if !f.Opt.Off {
		b := &config.FleetFile{Name: "lab", Listen: c.fleet.String(), KeyFile: f.keys, AddressOverrides: map[string]string{}, Zone: fmt.Sprint("z", i%3),
			StateFile: filepath.Join(f.disk(i), "members")}
		if err := os.MkdirAll(f.disk(i), 0o700); err != nil {
			return err
		}
		for j, other := range f.Replicas {
			if other == c {
				continue
			}
			way, err := f.Relays.Address(c.Name, other.Name)
			if err != nil {
				return err
			}
			if b.AddressOverrides[other.Name] = way; j < 2 {
				b.Seeds = append(b.Seeds, way)
			}
		}
		file.Fleet = b
	}
	if change != nil {
		change(i, &file)
	}
	text, err := yaml.Marshal(&file)
	if err != nil {
		return err
	}
	return os.WriteFile(c.File, text, 0o600)
}

func (f *Fleet) disk(i int) string { return filepath.Join(f.Opt.Dir, f.Replicas[i].Name+".disk") }

// Disk takes away what a copy keeps its memory on, or brings it back as it was.
func (f *Fleet) Disk(i int, there bool) error {
	if there {
		return os.Rename(f.disk(i)+".gone", f.disk(i))
	}
	return os.Rename(f.disk(i), f.disk(i)+".gone")
}

// WriteKeys puts other keys into the fleet's key file.
func (f *Fleet) WriteKeys(keys ...string) error {
	return os.WriteFile(f.keys, []byte(strings.Join(keys, "\n")+"\n"), 0o600)
}

// Replace starts another program beside a copy's, waits until it serves, and then ends
// the first: an upgrade as the operators' page says.
func (f *Fleet) Replace(ctx context.Context, i int, command []string) error {
	c := f.Replicas[i]
	c.mu.Lock()
	first, ended := c.cmd, c.ended
	c.door = 1 - c.door
	c.mu.Unlock()
	if err := f.launch(ctx, i, command); err != nil {
		return err
	}
	if err := first.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-ended:
		return nil
	case <-time.After(readyWithin):
		return fmt.Errorf("%s: the first process does not end", c.Name)
	}
}

// Launch starts a copy's process and waits until it is ready.
func (f *Fleet) Launch(ctx context.Context, i int) error { return f.launch(ctx, i, f.command(i)) }

func (f *Fleet) launch(ctx context.Context, i int, command []string) error {
	c := f.Replicas[i]
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+c.File, "ROUTER_NAME=", "ROUTER_LISTEN=", "ROUTER_DISCOVERY=", "ROUTER_MGMT="+c.Door(), "TMPDIR="+f.Opt.Dir)
	log, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended, serving := make(chan struct{}), make(chan struct{})
	c.mu.Lock()
	c.cmd, c.ended, c.stopped, c.ending = cmd, ended, false, false
	c.mu.Unlock()
	go func() {
		lines := bufio.NewReader(log)
		for says := sync.OnceFunc(func() { close(serving) }); ; {
			line, err := lines.ReadBytes('\n')
			if bytes.Contains(line, []byte("msg=serving")) {
				says()
			}
			c.mu.Lock()
			if c.log = append(c.log, line...); len(c.log) > mostLog {
				c.log = append(c.log[:0], c.log[len(c.log)-mostLog/2:]...)
			}
			c.mu.Unlock()
			if err != nil {
				break
			}
		}
		err := cmd.Wait()
		c.mu.Lock()
		c.err = err
		c.mu.Unlock()
		close(ended)
	}()
	for end := time.Now().Add(readyWithin); ; time.Sleep(20 * time.Millisecond) {
		select {
		case <-serving: // whose door answers may be another's, at an upgrade
			if _, err := c.ask("GET", "/ops/readiness", ""); err == nil {
				return nil
			}
		default:
		}
		select {
		case <-ended:
			return fmt.Errorf("%s ended at its start: %v\n%s", c.Name, c.err, c.Log())
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s is not ready after %v\n%s", c.Name, readyWithin, c.Log())
		}
	}
}

// Log is the end of a copy's log.
func (c *Replica) Log() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return string(c.log)
}

// Signal sends a signal to a copy's process.
func (c *Replica) Signal(s syscall.Signal) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil {
		return os.ErrProcessDone
	}
	switch s {
	case syscall.SIGSTOP:
		c.stopped = true
	case syscall.SIGKILL, syscall.SIGTERM:
		c.ending = true
		c.ends++
	case syscall.SIGCONT:
		c.stopped = false
	}
	return c.cmd.Process.Signal(s)
}

// Kill ends a copy's process at once and waits until it is gone.
func (c *Replica) Kill() {
	c.Signal(syscall.SIGKILL)
	c.Await()
}

// Await waits until a copy's process has ended.
func (c *Replica) Await() error {
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	if ended == nil {
		return nil
	}
	<-ended
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Up tells whether a copy's process runs and is not stopped.
func (c *Replica) Up() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended == nil || c.stopped || c.ending {
		return false
	}
	select {
	case <-c.ended:
		return false
	default:
		return true
	}
}

// Ends is how often a copy's process was told to end: what is open when that grows may
// break.
func (c *Replica) Ends() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ends
}

// Pid is that of a copy's process.
func (c *Replica) Pid() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cmd.Process.Pid
}

// Door is where the newest process of a copy is asked.
func (c *Replica) Door() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Doors[c.door]
}

// ask makes one call at a copy's door.
func (c *Replica) ask(method, path, body string) ([]byte, error) {
	conn, err := net.DialTimeout("tcp", c.Door(), doorWithin)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(doorWithin))
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s: %s: %s", method, path, resp.Status, text)
	}
	return text, err
}

// Ask makes one call at a copy's door.
func (c *Replica) Ask(method, path, body string) (string, error) {
	text, err := c.ask(method, path, body)
	return string(text), err
}

// Status is how a copy sees the fleet.
func (c *Replica) Status() (s fleet.Status, err error) {
	text, err := c.ask("GET", "/ops/fleet", "")
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	return s, err
}

// Shared is what a copy shares with others.
func (c *Replica) Shared() (s fleet.SharedStatus, err error) {
	text, err := c.ask("GET", "/ops/fleet/shared", "")
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	return s, err
}

// Close ends all processes and what stands round them.
func (f *Fleet) Close() {
	for _, c := range f.Replicas {
		c.Signal(syscall.SIGKILL)
	}
	for _, c := range f.Replicas {
		c.Await()
	}
	f.Relays.Close()
	for _, s := range f.providers {
		s.Close()
	}
}
