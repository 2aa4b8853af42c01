// Package processes starts a fleet of real proxies, processes of the real program, with
// the laboratory's unreliable network between them, simulated endpoints behind them, and
// simulated clients before them. A ledger outside the proxies records what was executed,
// how often, and what was answered.
package processes

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"ryerill/config"
	"ryerill/lab/faultnet"
	"ryerill/lab/faultnet/relay"
	"ryerill/lab/ports"
)

const (
	readyTimeout  = 20 * time.Second // from a process's start, and for a replaced one to end
	readyInterval = 20 * time.Millisecond
	networkSeed   = 1
	replicaPorts  = 4 // for clients, the fleet, and the management endpoints of two processes
)

// FirstKey is the fleet's key until another is written.
const FirstKey = "first-key-of-this-fleet"

// Options describe a fleet.
type Options struct {
	Command            []string                 // starts the real program
	CommandOf          func(index int) []string // starts that of one replica, where there are several; nil is Command
	Dir                string                   // for configurations, keys and state files
	Replicas           int
	Endpoints          int
	ConfiguredReplicas int  // replica count that the configuration states; 0 is Replicas
	Off                bool // the proxies are in no fleet

	// Change changes a configuration before it is written; nil changes nothing.
	Change func(index int, f *config.File)
}

// Fleet is a number of proxies with what stands around them. Close ends it.
type Fleet struct {
	Opt      Options
	Replicas []*Replica
	Relays   *relay.Relays
	Ledger   *Ledger

	reserved          *ports.Reservation // of all replicas' ports; nil before they are reserved
	endpoints         []*http.Server
	endpointAddresses []string
	serving           sync.WaitGroup // of endpoints
	keyFile           string
}

// Start starts a fleet and waits until all of it is ready.
func Start(ctx context.Context, opt Options) (f *Fleet, err error) {
	if opt.ConfiguredReplicas == 0 {
		opt.ConfiguredReplicas = opt.Replicas
	}
	f = &Fleet{
		Opt:     opt,
		Relays:  relay.New(faultnet.New(faultnet.Link{}, networkSeed)),
		Ledger:  newLedger(),
		keyFile: filepath.Join(opt.Dir, "keys"),
	}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	if err := f.WriteKeys(FirstKey); err != nil {
		return nil, err
	}
	for i := range opt.Endpoints {
		if err := f.startEndpoint(i); err != nil {
			return nil, err
		}
	}
	if err := f.addReplicas(opt.Replicas); err != nil {
		return nil, err
	}
	for i := range f.Replicas {
		if err := f.WriteConfig(i, opt.Change); err != nil {
			return nil, err
		}
	}
	return f, f.launchAll(ctx)
}

// startEndpoint starts a simulated endpoint.
func (f *Fleet) startEndpoint(index int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: f.Ledger.endpoint(index)}
	f.endpoints = append(f.endpoints, server)
	f.endpointAddresses = append(f.endpointAddresses, listener.Addr().String())
	f.serving.Add(1)
	go func() {
		defer f.serving.Done()
		_ = server.Serve(listener) // it always returns an error, after Close
	}()
	return nil
}

// addReplicas adds replicas that are not started. Their ports are reserved together, until the fleet is closed: so no
// two processes get the same one, and each finds its own again when it is restarted.
func (f *Fleet) addReplicas(count int) error {
	reserved, err := ports.Reserve(count * replicaPorts)
	if err != nil {
		return err
	}
	f.reserved = reserved
	for addresses := range slices.Chunk(reserved.Addresses, replicaPorts) {
		replica := newReplica(fmt.Sprintf("c%02d", len(f.Replicas)), f.Opt.Dir, addresses)
		f.Relays.Add(replica.Name, replica.fleetAddress)
		f.Replicas = append(f.Replicas, replica)
	}
	return nil
}

// launchAll starts all replicas at once.
func (f *Fleet) launchAll(ctx context.Context) error {
	var launches sync.WaitGroup
	errs := make([]error, len(f.Replicas))
	for i := range f.Replicas {
		launches.Add(1)
		go func() {
			defer launches.Done()
			errs[i] = f.Launch(ctx, i)
		}()
	}
	launches.Wait()
	return errors.Join(errs...)
}

// Launch starts a replica's process and waits until it is ready.
func (f *Fleet) Launch(ctx context.Context, index int) error {
	command := f.Opt.Command
	if f.Opt.CommandOf != nil {
		command = f.Opt.CommandOf(index)
	}
	return f.Replicas[index].launch(ctx, command, f.Opt.Dir)
}

// Replace starts another program beside a replica's, waits until it is ready, and then
// ends the first: an upgrade as the operators' page describes it.
func (f *Fleet) Replace(ctx context.Context, index int, command []string) error {
	replica := f.Replicas[index]
	first := replica.beginUpgrade()
	if err := replica.launch(ctx, command, f.Opt.Dir); err != nil {
		return err
	}
	if err := first.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-first.ended:
		return nil
	case <-time.After(readyTimeout):
		return fmt.Errorf("%s: the first process does not end", replica.Name)
	}
}

// stateDir is where a replica keeps its state file.
func (f *Fleet) stateDir(index int) string {
	return filepath.Join(f.Opt.Dir, f.Replicas[index].Name+".disk")
}

// SetDisk takes the folder of a replica's state file away, or brings it back as it was.
func (f *Fleet) SetDisk(index int, available bool) error {
	dir := f.stateDir(index)
	removed := dir + ".gone"
	if available {
		return os.Rename(removed, dir)
	}
	return os.Rename(dir, removed)
}

// WriteKeys replaces the keys in the fleet's key file.
func (f *Fleet) WriteKeys(keys ...string) error {
	return os.WriteFile(f.keyFile, []byte(strings.Join(keys, "\n")+"\n"), 0o600)
}

// Close ends all processes and what stands around them.
func (f *Fleet) Close() {
	for _, replica := range f.Replicas {
		_ = replica.Signal(syscall.SIGKILL) // one that has ended already is no failure
	}
	for _, replica := range f.Replicas {
		_ = replica.Await() // killed
	}
	f.Relays.Close()
	for _, endpoint := range f.endpoints {
		_ = endpoint.Close() // nobody is left to use it
	}
	f.serving.Wait()
	if f.reserved != nil {
		f.reserved.Release()
	}
}
