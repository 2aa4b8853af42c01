package processes

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const maxLog = 256 << 10 // bytes of a log that are kept, its last ones

// servingMessage is in the line that the program logs once a listener serves.
const servingMessage = "msg=serving"

// errEnded is the error of a process that has ended without one.
var errEnded = errors.New("exit status 0")

// Replica is one proxy. Its process may be restarted and replaced. Methods are safe for
// concurrent use.
type Replica struct {
	Name           string
	Address        string    // for clients
	AdminAddresses [2]string // of its first process, and of one that follows it at an upgrade, in turn
	ConfigFile     string
	fleetAddress   netip.AddrPort

	mu sync.Mutex // guards what follows

	current       *process // the newest; nil before the first start
	log           []byte
	isStopped     bool
	isTerminating bool
	terminations  int
	stops         int
	adminIndex    int // of the newest process in AdminAddresses
}

// process is one process of the program.
type process struct {
	cmd     *exec.Cmd
	serving chan struct{} // closed once a listener serves
	ended   chan struct{}
	err     error // of Wait; it may be read once ended is closed
}

// newReplica returns a replica that is not started, with its configuration file in a folder and its ports at addresses,
// replicaPorts of them.
func newReplica(name, dir string, addresses []netip.AddrPort) *Replica {
	return &Replica{
		Name:           name,
		Address:        addresses[0].String(),
		AdminAddresses: [2]string{addresses[1].String(), addresses[3].String()},
		ConfigFile:     filepath.Join(dir, name+".yaml"),
		fleetAddress:   addresses[2],
	}
}

// launch starts a process and waits until it is ready.
func (r *Replica) launch(ctx context.Context, command []string, tempDir string) error {
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(),
		"ROUTER_CONFIG="+r.ConfigFile,
		"ROUTER_NAME=",
		"ROUTER_LISTEN=",
		"ROUTER_DISCOVERY=",
		"ROUTER_MGMT="+r.AdminAddress(),
		"TMPDIR="+tempDir)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	started := &process{cmd: cmd, serving: make(chan struct{}), ended: make(chan struct{})}
	r.mu.Lock()
	r.current = started
	r.isStopped = false
	r.isTerminating = false
	r.mu.Unlock()
	go r.follow(started, stderr) // it ends with the process, for which Await waits
	return r.awaitReady(ctx, started)
}

// follow keeps a process's log until the process has ended.
func (r *Replica) follow(p *process, stderr io.Reader) {
	lines := bufio.NewReader(stderr)
	isServing := false
	for {
		line, err := lines.ReadBytes('\n')
		if !isServing && bytes.Contains(line, []byte(servingMessage)) {
			isServing = true
			close(p.serving)
		}
		r.appendLog(line)
		if err != nil {
			break
		}
	}
	p.err = p.cmd.Wait()
	close(p.ended)
}

func (r *Replica) appendLog(line []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log = append(r.log, line...)
	if len(r.log) > maxLog {
		r.log = append(r.log[:0], r.log[len(r.log)-maxLog/2:]...)
	}
}

// awaitReady waits until a process serves and its management endpoint answers.
func (r *Replica) awaitReady(ctx context.Context, p *process) error {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(readyInterval) {
		select {
		case <-p.serving: // without that, at an upgrade, the answer could be the previous process's
			if _, err := r.Admin("GET", "/ops/readiness", ""); err == nil {
				return nil
			}
		default:
		}
		select {
		case <-p.ended:
			return fmt.Errorf("%s ended at its start: %w\n%s", r.Name, p.exitError(), r.Log())
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s is not ready after %v\n%s", r.Name, readyTimeout, r.Log())
		}
	}
}

// exitError returns why a process that has ended did so.
func (p *process) exitError() error {
	if p.err == nil {
		return errEnded
	}
	return p.err
}

// beginUpgrade returns the newest process, and gives the next one the other management
// address.
func (r *Replica) beginUpgrade() *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.adminIndex = 1 - r.adminIndex
	return r.current
}

// Log returns the end of the log of a replica's processes.
func (r *Replica) Log() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return string(r.log)
}

// Signal sends a signal to a replica's newest process. It returns os.ErrProcessDone if
// that has ended or none was started.
func (r *Replica) Signal(signal syscall.Signal) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil {
		return os.ErrProcessDone
	}
	switch signal {
	case syscall.SIGSTOP:
		r.isStopped = true
		r.stops++
	case syscall.SIGCONT:
		r.isStopped = false
	case syscall.SIGKILL, syscall.SIGTERM:
		r.isTerminating = true
		r.terminations++
	}
	return r.current.cmd.Process.Signal(signal)
}

// Kill ends a replica's process at once and waits until it is gone.
func (r *Replica) Kill() {
	_ = r.Signal(syscall.SIGKILL) // one that has ended already is no failure
	_ = r.Await()                 // its error is that the process was killed
}

// Await waits until a replica's newest process has ended, and returns its exit error.
func (r *Replica) Await() error {
	r.mu.Lock()
	p := r.current
	r.mu.Unlock()
	if p == nil {
		return nil
	}
	<-p.ended
	return p.err
}

// Up reports whether a replica's newest process runs: it is not stopped, and was not
// asked to end.
func (r *Replica) Up() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil || r.isStopped || r.isTerminating {
		return false
	}
	select {
	case <-r.current.ended:
		return false
	default:
		return true
	}
}

// Terminations returns how often a replica's process was killed or asked to end. What is
// open when that grows may break.
func (r *Replica) Terminations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.terminations
}

// stopsSoFar returns how often a replica's process was stopped, and whether it runs now. What is open when the first
// grows, or was sent when it did not run, may be late.
func (r *Replica) stopsSoFar() (stops int, runs bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stops, !r.isStopped
}

// Pid returns the process id of a replica's newest process. It has to be started.
func (r *Replica) Pid() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current.cmd.Process.Pid
}

// AdminAddress returns the address of the newest process's management endpoint.
func (r *Replica) AdminAddress() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.AdminAddresses[r.adminIndex]
}
