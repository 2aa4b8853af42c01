package realtime

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"ryerill/proxy"
)

const (
	readyWithin    = 10 * time.Second      // a proxy process must serve this long after its start
	readyPoll      = 10 * time.Millisecond // between looks whether it serves
	killAfter      = 8 * time.Second       // a proxy that was asked to end is killed after this
	launchAttempts = 3                     // should another process take the port that was chosen
)

// instance is one proxy, in a process of its own or embedded.
type instance struct {
	run                *run
	name               string
	number             int // for the oracle and in the ids of requests; never used twice
	tier               int // that it sends to
	index              int // among the proxies of its tier
	zone               int
	address            string
	transport          *transport
	discoveryAddresses []string // of the tiers that it sends to
	file               string   // its configuration
	log                *logTail

	embedded *proxy.Proxy       // nil if it has a process of its own
	cancel   context.CancelFunc // ends the embedded proxy
	ended    chan struct{}      // closed at its end; set before start returns
	killers  sync.WaitGroup     // goroutines that kill it should it not end by itself

	reloading sync.Mutex // held while the proxy is given a configuration: faults may overlap

	mu        sync.Mutex // guards the fields below
	cmd       *exec.Cmd  // nil for an embedded proxy
	err       error      // why it ended by itself
	usage     usage
	endWanted bool
}

// start starts the proxy and waits until it is ready.
func (i *instance) start(ctx context.Context) error {
	i.transport = newTransport()
	i.ended = make(chan struct{})
	i.log = &logTail{}
	for tier, service := range i.run.discovery {
		if tier != i.tier && !i.run.scenario.Parallel {
			continue
		}
		address, err := service.listen(i.number, i.zone)
		if err != nil {
			return err
		}
		i.discoveryAddresses = append(i.discoveryAddresses, address)
	}
	if i.run.options.Build == Embedded {
		return i.embed()
	}
	return i.launch(ctx)
}

// embed runs the proxy in this process.
func (i *instance) embed() error {
	text, err := i.configuration(anyPort, 0)
	if err != nil {
		return i.wrap(err)
	}
	cfg, err := parseConfiguration(i.name, text)
	if err != nil {
		return i.wrap(err)
	}
	p, err := proxy.New(cfg, proxy.WithLogger(slog.New(slog.NewTextHandler(i.log, nil))))
	if err != nil {
		return err
	}
	i.address = p.Address()
	i.embedded = p
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	go func() {
		defer close(i.ended)
		err := p.Run(ctx)
		i.mu.Lock()
		defer i.mu.Unlock()
		i.err = err
	}()
	return nil
}

// launch runs a build in a process of its own, at a port that was free. Should another process take it in between,
// another one is chosen.
func (i *instance) launch(ctx context.Context) error {
	var err error
	for range launchAttempts {
		i.address, err = freeAddress()
		if err != nil {
			return i.wrap(err)
		}
		err = i.exec(ctx)
		if err == nil {
			return nil
		}
		if !strings.Contains(i.log.String(), "address already in use") {
			return err
		}
	}
	return err
}

// freeAddress returns an address that nothing listened at a moment ago.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// exec starts the process and waits until it is ready.
func (i *instance) exec(ctx context.Context) error {
	text, err := i.configuration(i.address, 0)
	if err != nil {
		return i.wrap(err)
	}
	i.file = filepath.Join(i.run.dir, fmt.Sprintf("%s-%d.json", i.name, i.number))
	if err := os.WriteFile(i.file, text, 0o600); err != nil {
		return i.wrap(err)
	}
	argv := i.run.options.command()
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Env = environment(os.Environ(), i.file)
	cmd.Stdout = i.log
	cmd.Stderr = i.log
	if err := i.run.launcher.start(cmd); err != nil {
		return fmt.Errorf("proxy %s: %s: %w", i.name, argv[0], err)
	}
	ended := make(chan struct{})
	i.mu.Lock()
	i.cmd = cmd
	i.ended = ended
	i.mu.Unlock()
	go i.awaitExit(cmd, ended)
	return i.awaitReady(ctx, ended)
}

// awaitExit waits for the process and notes an end that nobody wanted.
func (i *instance) awaitExit(cmd *exec.Cmd, ended chan<- struct{}) {
	defer close(ended)
	err := cmd.Wait()
	if err == nil {
		err = errors.New("exit status 0")
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.endWanted {
		i.err = fmt.Errorf("proxy %s ended by itself (%w); the end of its log:\n%s", i.name, err, i.log)
	}
}

// awaitReady waits until the process serves.
func (i *instance) awaitReady(ctx context.Context, ended <-chan struct{}) error {
	deadline := time.Now().Add(readyWithin)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		if i.isReady(&client) {
			return nil
		}
		select {
		case <-ended:
			return i.failed()
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPoll):
		}
		if time.Now().After(deadline) {
			i.kill()
			return fmt.Errorf("proxy %s was not ready within %v; the end of its log:\n%s", i.name, readyWithin, i.log)
		}
	}
}

func (i *instance) isReady(client *http.Client) bool {
	resp, err := client.Get("http://" + i.address + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// reload gives the proxy another variant of its configuration.
func (i *instance) reload(variant int) error {
	i.reloading.Lock()
	defer i.reloading.Unlock()
	if i.embedded != nil {
		text, err := i.configuration(anyPort, variant) // as at its start
		if err != nil {
			return i.wrap(err)
		}
		cfg, err := parseConfiguration(i.name, text)
		if err != nil {
			return i.wrap(err)
		}
		return i.embedded.Reload(cfg)
	}
	text, err := i.configuration(i.address, variant)
	if err != nil {
		return i.wrap(err)
	}
	// Whoever reads the file meets the old one or the new one, whole.
	if err := os.WriteFile(i.file+".new", text, 0o600); err != nil {
		return i.wrap(err)
	}
	if err := os.Rename(i.file+".new", i.file); err != nil {
		return i.wrap(err)
	}
	return i.cmd.Process.Signal(syscall.SIGHUP)
}

func (i *instance) wrap(err error) error { return fmt.Errorf("proxy %s: %w", i.name, err) }

// failed returns why the proxy ended by itself; nil if it runs or its end was wanted.
func (i *instance) failed() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.err
}

// wantEnd notes that an end is wanted and returns the process, or nil.
func (i *instance) wantEnd() *exec.Cmd {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.endWanted = true
	return i.cmd
}

// terminate asks the proxy to end once it has answered what it received. It does not wait; a process that doesn't
// end in time is killed.
func (i *instance) terminate() {
	cmd := i.wantEnd()
	if i.cancel != nil {
		i.cancel()
		return
	}
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGTERM) // fails if it has ended
	i.killers.Go(func() {
		select {
		case <-i.ended:
		case <-time.After(killAfter):
			_ = cmd.Process.Kill() // fails if it has ended
		}
	})
}

// kill ends the proxy at once. An embedded one can only be asked to end.
func (i *instance) kill() {
	i.measure()
	cmd := i.wantEnd()
	if i.cancel != nil {
		i.cancel()
	} else if cmd != nil {
		_ = cmd.Process.Kill() // fails if it has ended
		<-i.ended
	}
	i.transport.close()
}

// awaitEnd waits for the end of a proxy that was killed. An embedded one that doesn't end in time is left running.
func (i *instance) awaitEnd() {
	select {
	case <-i.ended:
		i.killers.Wait()
	case <-time.After(2 * killAfter):
	}
}
