package overridestore

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

// State is what a process of a proxy is at.
type State string

// The states of a process.
const (
	Starting State = "starting" // it is not ready yet
	Serving  State = "serving"
	Leaving  State = "leaving" // it takes nothing new
)

// Bounds of what is looked at.
const (
	mostSiblings = 64       // processes
	mostText     = 64 << 10 // bytes of what each makes known
)

// Process is another process of a proxy.
type Process struct {
	State State
	Text  string // whatever else it makes known; it may be torn, or of another version
}

// Registry are the processes of one proxy, of which this is one. Each holds a
// file of its own under a lock, which ends with it.
type Registry struct {
	prefix string // of their files
	log    *slog.Logger

	saying sync.Mutex
	own    *os.File
	line   []byte // what own should hold
	unsaid bool   // and does not
	left   bool   // it is to have none any more
}

// Register makes this process known to the others. With an empty path it has none
// and they never know of it; after an error, once Follow could make it known.
func Register(path string, log *slog.Logger) (*Registry, error) {
	if path == "" {
		return &Registry{log: log}, nil
	}
	s := &Registry{prefix: path + "-", log: log}
	var err error
	if s.own, err = s.create(); err != nil {
		s.line = fmt.Appendf(nil, "%-16s\n", Starting)
		return s, err
	}
	s.Publish(Starting, nil)
	return s, nil
}

// create makes the file of this process.
func (s *Registry) create() (*os.File, error) {
	f, err := os.CreateTemp(filepath.Dir(s.prefix), filepath.Base(s.prefix)+"*")
	if err != nil {
		return nil, fmt.Errorf("this process can't be made known: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX); err != nil { // another one's look at it takes a moment at most
		os.Remove(f.Name())
		f.Close()
		return nil, fmt.Errorf("this process can't be made known: %w", err)
	}
	return f, nil
}

// Publish makes known what this process is at, and a line of text that it has for the
// others. A text that is too long is left out.
func (s *Registry) Publish(now State, text []byte) {
	s.saying.Lock()
	defer s.saying.Unlock()
	if len(text) > mostText-64 {
		text = nil
	}
	if s.line = fmt.Appendf(nil, "%-16s%s\n", now, text); s.own != nil {
		s.write()
	}
}

// write makes the line known, if that can be. The mutex is held.
func (s *Registry) write() {
	// Written at once: who reads meanwhile meets the old line, the new one, or one that it can't read.
	_, err := s.own.WriteAt(s.line, 0)
	if err != nil && !s.unsaid {
		s.log.Warn("what this process is at can't be made known, tried again until it can", "error", err)
	}
	s.unsaid = err != nil
}

// sayAgain makes known what could not be before, or is not any more as its file is gone.
func (s *Registry) sayAgain() {
	s.saying.Lock()
	defer s.saying.Unlock()
	if s.left {
		return
	}
	missing := s.own == nil
	if !missing {
		_, err := os.Lstat(s.own.Name())
		missing = errors.Is(err, fs.ErrNotExist)
	}
	if missing {
		f, err := s.create()
		if err != nil {
			return
		}
		if s.own != nil {
			s.own.Close()
		}
		s.own, s.unsaid = f, true
	}
	if s.unsaid {
		s.write()
	}
}

// file is the name of the file of this process; empty is none.
func (s *Registry) file() string {
	s.saying.Lock()
	defer s.saying.Unlock()
	if s.own == nil {
		return ""
	}
	return s.own.Name()
}

// Others returns what the other processes are at. What dead ones have left is
// removed.
func (s *Registry) Others() (others []Process) {
	own := s.file()
	if own == "" {
		return nil
	}
	paths, _ := filepath.Glob(s.prefix + "*")
	for _, path := range paths[:min(len(paths), mostSiblings)] {
		if path != own {
			if other, lives := s.look(path); lives {
				others = append(others, other)
			}
		}
	}
	return others
}

func (s *Registry) look(path string) (other Process, lives bool) {
	f, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NOFOLLOW|syscall.O_NONBLOCK, 0)
	if err != nil {
		return other, false
	}
	defer f.Close()
	text, _ := io.ReadAll(io.LimitReader(f, mostText))
	line, _, _ := strings.Cut(string(text), "\n")
	word, rest, _ := strings.Cut(line, " ")
	other = Process{State(word), strings.TrimSpace(rest)}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB)
	switch {
	case err == nil && len(text) == 0:
		return other, false // about to be held by who has just made it, or left by who died then
	case err == nil:
		s.log.Info("removed what an ended process left", "file", path)
		os.Remove(path)
		return other, false
	case !errors.Is(err, syscall.EWOULDBLOCK):
		return other, false
	}
	if !slices.Contains([]State{Starting, Serving, Leaving}, other.State) {
		other.State = Starting
	}
	return other, true
}

// Watch tells what the other processes are at, again and again while there are
// any, until ctx ends.
func (s *Registry) Watch(ctx context.Context, tell func([]Process)) {
	tick := time.NewTicker(look)
	defer tick.Stop()
	for before := 0; s.prefix != ""; {
		s.sayAgain()
		if now := s.Others(); len(now)+before > 0 {
			tell(now)
			before = len(now)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Deregister takes this process off the list.
func (s *Registry) Deregister() {
	s.saying.Lock()
	defer s.saying.Unlock()
	if s.left = true; s.own != nil {
		os.Remove(s.own.Name())
		s.own.Close()
		s.own = nil
	}
}
