// Package handover lets the processes of one proxy discover each other, so that one can take
// over from another during an upgrade. Each process has its own locked file in a shared
// directory. The system releases the lock when the process ends for any reason. The file
// contains the state of the process and a line of text for the others.
package handover

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// State is the lifecycle state of a process of a proxy.
type State string

// The states of a process.
const (
	Starting State = "starting" // not ready yet
	Serving  State = "serving"
	Leaving  State = "leaving" // accepts no new work
)

const (
	pollInterval = 100 * time.Millisecond // between reads of the other processes' files
	maxProcesses = 64                     // maximum number of files read
	maxFile      = 64 << 10               // maximum bytes read from a file
	maxText      = maxFile - 64           // maximum bytes of text; leaves room for the state in the same line
)

// lineFormat is the format of a file's only line: the state in a fixed-width column, then the text.
const lineFormat = "%-16s%s\n"

// Process is another process of a proxy.
type Process struct {
	State State
	Text  string // published text; may be incomplete or in the format of another version
}

// Registry registers this process among the processes of one proxy. Its methods are safe for
// concurrent use.
type Registry struct {
	prefix string // path prefix of the processes' files; empty without a shared directory
	log    *slog.Logger

	mu sync.Mutex
	// mu guards the fields below.
	file         *os.File // file of this process; nil until created
	line         []byte   // intended contents of the file
	unpublished  bool     // line is not written to the file
	deregistered bool
}

// Register registers this process among those whose files share the prefix path. With an empty
// path this process and others do not discover each other. After an error the registry is still
// usable: [Registry.Watch] retries the registration.
func Register(path string, log *slog.Logger) (*Registry, error) {
	if path == "" {
		return &Registry{log: log}, nil
	}
	r := &Registry{prefix: path + "-", log: log}
	file, err := r.createFile()
	if err != nil {
		r.line = fmt.Appendf(nil, lineFormat, Starting, "")
		return r, err
	}
	r.file = file
	r.Publish(Starting, nil)
	return r, nil
}

// createFile creates and locks the file of this process.
func (r *Registry) createFile() (*os.File, error) {
	file, err := os.CreateTemp(filepath.Dir(r.prefix), filepath.Base(r.prefix)+"*")
	if err != nil {
		return nil, fmt.Errorf("register process for handover: %w", err)
	}
	// Another process may hold the lock briefly while it reads the file.
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX); err != nil {
		os.Remove(file.Name())
		file.Close()
		return nil, fmt.Errorf("register process for handover: %w", err)
	}
	return file, nil
}

// Publish publishes the state of this process and a line of text for the others. It omits text
// that is too long. If the write fails, [Registry.Watch] retries it.
func (r *Registry) Publish(state State, text []byte) {
	if len(text) > maxText {
		text = nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line = fmt.Appendf(nil, lineFormat, state, text)
	if r.file != nil {
		r.writeLocked()
	}
}

// writeLocked writes the line in one call. A concurrent reader may get the old line, the new line
// or one that it can't parse. Callers must hold mu.
func (r *Registry) writeLocked() {
	_, err := r.file.WriteAt(r.line, 0)
	if err != nil && !r.unpublished {
		r.log.Warn("process state not written, retrying", "file", r.file.Name(), "err", err)
	}
	r.unpublished = err != nil
}

// republish retries a failed write, and creates the file again if it is missing.
func (r *Registry) republish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.deregistered {
		return
	}
	if r.fileMissingLocked() {
		file, err := r.createFile()
		if err != nil {
			return
		}
		if r.file != nil {
			r.file.Close()
		}
		r.file = file
		r.unpublished = true
	}
	if r.unpublished {
		r.writeLocked()
	}
}

func (r *Registry) fileMissingLocked() bool {
	if r.file == nil {
		return true
	}
	_, err := os.Lstat(r.file.Name())
	return errors.Is(err, fs.ErrNotExist)
}

// ownPath returns the path of this process's file, or an empty string if there is none.
func (r *Registry) ownPath() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return ""
	}
	return r.file.Name()
}

// Others returns the other live processes and removes the files of dead ones. It returns none if
// this process has no file.
func (r *Registry) Others() (others []Process) {
	own := r.ownPath()
	if own == "" {
		return nil
	}
	paths, _ := filepath.Glob(r.prefix + "*")
	for _, path := range paths[:min(len(paths), maxProcesses)] {
		if path == own {
			continue
		}
		if other, alive := r.readProcess(path); alive {
			others = append(others, other)
		}
	}
	return others
}

// readProcess reads the file of another process, and removes the file if that process is dead.
func (r *Registry) readProcess(path string) (process Process, alive bool) {
	file, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NOFOLLOW|syscall.O_NONBLOCK, 0)
	if err != nil {
		return Process{}, false
	}
	defer file.Close()
	content, _ := io.ReadAll(io.LimitReader(file, maxFile))
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB)
	switch {
	case err == nil && len(content) == 0:
		// Its process has just created it and not locked it yet, or died at that point.
		return Process{}, false
	case err == nil: // no process holds the lock
		r.log.Info("removed file of dead process", "file", path)
		os.Remove(path)
		return Process{}, false
	case !errors.Is(err, syscall.EWOULDBLOCK):
		return Process{}, false
	}
	return parseLine(string(content)), true
}

// parseLine parses the line of a process. It maps states unknown to this version to [Starting].
func parseLine(content string) Process {
	line, _, _ := strings.Cut(content, "\n")
	state, text, _ := strings.Cut(line, " ")
	process := Process{State: State(state), Text: strings.TrimSpace(text)}
	if !slices.Contains([]State{Starting, Serving, Leaving}, process.State) {
		process.State = Starting
	}
	return process
}

// Watch reports the other processes until ctx ends: at each poll while there are any, and once
// after the last one has ended.
func (r *Registry) Watch(ctx context.Context, report func([]Process)) {
	if r.prefix == "" {
		return
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	previous := 0
	for {
		r.republish()
		if others := r.Others(); len(others)+previous > 0 {
			report(others)
			previous = len(others)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Deregister permanently removes this process's file.
func (r *Registry) Deregister() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deregistered = true
	if r.file == nil {
		return
	}
	os.Remove(r.file.Name())
	r.file.Close()
	r.file = nil
}
