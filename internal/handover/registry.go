// Package handover lets the processes of one proxy know of each other, so that at
// an upgrade one can take over from another. Each process holds a file of its own
// in a directory that they share; the lock on it ends with the process, whatever
// ends that. The file states what the process is at and a line of text for the others.
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

// State is the stage of its life that a process of a proxy is in.
type State string

// The states of a process.
const (
	Starting State = "starting" // not ready yet
	Serving  State = "serving"
	Leaving  State = "leaving" // accepts nothing new
)

const (
	pollInterval = 100 * time.Millisecond // between reads of the other processes' files
	maxProcesses = 64                     // files that are read
	maxFile      = 64 << 10               // bytes of a file that are read
	maxText      = maxFile - 64           // bytes of text: the state precedes it in the same line
)

// lineFormat is a file's only line: the state in a column of fixed width, and the text.
const lineFormat = "%-16s%s\n"

// Process is another process of a proxy.
type Process struct {
	State State
	Text  string // what it published; it may be torn, or of another version's format
}

// Registry holds this process's entry among the processes of one proxy. Its
// methods may be called concurrently.
type Registry struct {
	prefix string // of the processes' files; empty if there is no directory to share
	log    *slog.Logger

	mu sync.Mutex
	// The fields below are guarded by mu.
	file         *os.File // of this process; nil until it could be made
	line         []byte   // what the file should hold
	unpublished  bool     // the file doesn't hold the line
	deregistered bool
}

// Register enters this process among those whose files begin with path. With an empty path
// there are no others and they never learn of it. After an error the registry can
// be used all the same: [Registry.Watch] goes on trying to enter the process.
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

// createFile makes the file of this process and locks it.
func (r *Registry) createFile() (*os.File, error) {
	file, err := os.CreateTemp(filepath.Dir(r.prefix), filepath.Base(r.prefix)+"*")
	if err != nil {
		return nil, fmt.Errorf("this process can't be made known: %w", err)
	}
	// Another process may hold the lock while it reads the file, for a moment at most.
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX); err != nil {
		os.Remove(file.Name())
		file.Close()
		return nil, fmt.Errorf("this process can't be made known: %w", err)
	}
	return file, nil
}

// Publish publishes the state of this process and a line of text for the others. A
// text that is too long is left out. What can't be written now [Registry.Watch] writes later.
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

// writeLocked writes the line, if possible, in one call: a concurrent reader gets the old line,
// the new one, or one that it can't parse.
func (r *Registry) writeLocked() {
	_, err := r.file.WriteAt(r.line, 0)
	if err != nil && !r.unpublished {
		r.log.Warn("process state not written, retrying", "file", r.file.Name(), "err", err)
	}
	r.unpublished = err != nil
}

// republish writes what could not be written before, and makes the file anew if it is gone.
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

// ownPath is the path of this process's file, or empty if there is none.
func (r *Registry) ownPath() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return ""
	}
	return r.file.Name()
}

// Others returns the other processes that are alive. It removes the files of dead
// ones. Without a file of its own a process sees no others.
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

// readProcess reads the file of another process, and removes it if that one is dead.
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
		// About to be locked by the process that has just made it, or left by one that died then.
		return Process{}, false
	case err == nil: // nobody holds it
		r.log.Info("removed file of ended process", "file", path)
		os.Remove(path)
		return Process{}, false
	case !errors.Is(err, syscall.EWOULDBLOCK):
		return Process{}, false
	}
	return parseLine(string(content)), true
}

// parseLine reads what a process published. A state that this version doesn't know counts as [Starting].
func parseLine(content string) Process {
	line, _, _ := strings.Cut(content, "\n")
	state, text, _ := strings.Cut(line, " ")
	process := Process{State: State(state), Text: strings.TrimSpace(text)}
	if !slices.Contains([]State{Starting, Serving, Leaving}, process.State) {
		process.State = Starting
	}
	return process
}

// Watch reports the other processes, again and again while there are any and
// once when the last has gone, until ctx ends.
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

// Deregister removes the entry of this process for good.
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
