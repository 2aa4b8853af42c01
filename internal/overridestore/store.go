// Package overridestore persists the operators' overrides in a file that all processes of one
// proxy share. The file is written beside and renamed, so that no reader meets half of it.
package overridestore

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"maps"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ryerill/internal/atomicfile"
	"ryerill/internal/socket"
	"ryerill/override"
)

const (
	pollInterval  = 100 * time.Millisecond // between checks of the file: what another process writes applies here soon
	updateTimeout = 400 * time.Millisecond // after which a change that fails to be persisted is undone
	retryInterval = 5 * time.Millisecond   // between attempts to lock the file

	// maxPending bounds the changes that are not persisted yet: a disk may take nothing for long.
	maxPending = 256
)

// ErrBusy means that another process held the file for too long, or that too many changes are not written yet. Nothing
// has changed.
var ErrBusy = errors.New("another change is under way: call again")

// ErrNotPersisted means that the change is not on disk yet. It is in force here, and
// another process of this proxy may not know of it.
var ErrNotPersisted = errors.New("in force, but not kept yet as the disk is slow: call again")

// ChangeFunc makes the next set of overrides out of the present one. It may be
// called more than once, on different sets: it must do nothing else. The time is
// Unix time, the same at each call. After an error the set stays as it is.
type ChangeFunc func(set override.Set, now time.Duration) (override.Set, error)

// Store holds the overrides that are in force in this process: those in the file
// and, on top, changes that are not written to it yet. These are in force at once,
// since a disk may be slow and an endpoint that is taken down may be restarted soon.
// Its methods may be called concurrently.
type Store struct {
	path    string // empty: the overrides last as long as the process
	log     *slog.Logger
	notify  func(override.Set)
	current atomic.Pointer[override.Set]
	calls   fileCalls

	isUnreadable atomic.Bool // the last read failed for a reason that may pass

	knownAt  atomic.Pointer[time.Time] // see KnownAt
	lastRead fileVersion               // used by Watch alone

	// Used by persistPending and what it calls alone:
	failing  bool // its last write failed
	unsynced bool // the file was replaced last without a sync of its directory

	mu sync.Mutex
	// The fields below, and changes of current, are guarded by mu.
	persisted  override.Set // what the file holds, as far as known
	pending    []*change    // not persisted yet, in the order of their calls
	persisting bool         // the goroutine of persistPending runs
}

// change is a change that is not persisted yet.
type change struct {
	apply    ChangeFunc
	at       time.Duration // Unix time
	deadline time.Time     // when it is given up
	result   chan error    // buffered; receives one value
	owed     bool          // its caller was told that it is in force: it is not given up any more. Guarded by Store.mu
}

// Open returns a store with the overrides that the file holds. If the file can't be read
// that is logged, and the store begins with none: serving comes first. From then on
// each new set is passed to notify, in order, by [Store.Update] or
// [Store.Watch]; notify must not block.
func Open(path string, log *slog.Logger, notify func(override.Set)) *Store {
	s := &Store{path: path, log: log, notify: notify, calls: systemCalls()}
	looked := time.Now()
	s.knownAt.Store(&looked)
	if path != "" {
		if set, err := s.read(); err == nil {
			s.persisted = set
		}
	}
	set := s.persisted
	s.current.Store(&set)
	return s
}

// KnownAt returns when this process last looked at what the file holds, or began. While notify runs, it is the time
// before that: what another process has ordered, and notify learns of, is no older.
func (s *Store) KnownAt() time.Time { return *s.knownAt.Load() }

// Current returns the overrides in force.
func (s *Store) Current() override.Set { return *s.current.Load() }

// Update applies a change, at once. When it returns nil the change is persisted too;
// after [ErrNotPersisted] it is in force and will be persisted once the disk takes it;
// after any other error nothing has changed.
func (s *Store) Update(apply ChangeFunc) error {
	now := time.Now()
	c := &change{
		apply:    apply,
		at:       time.Duration(now.UnixNano()).Truncate(time.Microsecond), // as precise as the file
		deadline: now.Add(updateTimeout),
		result:   make(chan error, 1),
	}
	if err := s.start(c); err != nil || s.path == "" {
		return err
	}
	// The change is given up before this, unless the disk holds up the goroutine that writes.
	timeout := time.NewTimer(2 * updateTimeout)
	defer timeout.Stop()
	select {
	case err := <-c.result:
		return err
	case <-timeout.C:
		return s.owe(c)
	}
}

// owe ends the wait for a change that is not persisted in time. From then on it is persisted however long that takes:
// its caller learns that it is in force.
func (s *Store) owe(c *change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.pending, c) {
		return <-c.result // it has ended in this moment
	}
	c.owed = true
	return ErrNotPersisted
}

// start brings a change into force and has it persisted.
func (s *Store) start(c *change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxPending {
		return ErrBusy
	}
	set, err := c.apply(s.Current(), c.at)
	if err != nil {
		return err
	}
	if s.path == "" {
		s.persisted = set
	} else {
		s.pending = append(s.pending, c)
		if !s.persisting {
			s.persisting = true
			go s.persistPending() // ends once nothing is pending
		}
	}
	s.setLocked(set)
	return nil
}

// setLocked brings a set into force.
func (s *Store) setLocked(set override.Set) {
	previous := s.Current()
	if set.Version == previous.Version && set.DrainSince == previous.DrainSince && maps.Equal(set.Down, previous.Down) {
		return
	}
	s.current.Store(&set)
	s.notify(set)
}

// applyAll returns a set with changes on top. A change that fails on it is left out.
func applyAll(set override.Set, changes []*change) override.Set {
	for _, c := range changes {
		if next, err := c.apply(set, c.at); err == nil {
			set = next
		}
	}
	return set
}

// persistPending writes changes until none is pending: each is written or, if nobody was told that it is in force,
// given up. Only a disk that takes nothing keeps it from its end.
func (s *Store) persistPending() {
	var backoff socket.Backoff
	for {
		s.mu.Lock()
		batch := slices.Clone(s.pending)
		if len(batch) == 0 {
			s.persisting = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		set, err := s.persist(batch)
		s.reportWrite(err) // before those who wait go on
		s.finish(batch, set, err)
		if err != nil {
			time.Sleep(backoff.Next()) // there may be space again soon
		} else {
			backoff.Reset()
		}
	}
}

// reportWrite logs that writing begins to fail, and that it succeeds again.
func (s *Store) reportWrite(err error) {
	switch {
	case err != nil && !s.failing:
		s.log.Warn("overrides not written, retrying", "file", s.path, "err", err)
	case err == nil && s.failing:
		s.log.Info("overrides written again", "file", s.path)
	}
	s.failing = err != nil
}

// finish ends the changes of a batch that is written, or those whose time is over if
// it could not be. Those that are in the file, and may be lost with the power, are owed.
func (s *Store) finish(batch []*change, set override.Set, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	inFile := err == nil || errors.Is(err, atomicfile.ErrUnsynced)
	if inFile {
		s.persisted = set
	}
	for _, c := range batch {
		c.owed = c.owed || inFile
	}
	var ended []*change
	s.pending = slices.DeleteFunc(s.pending, func(c *change) bool {
		if !slices.Contains(batch, c) || err != nil && (c.owed || now.Before(c.deadline)) {
			return false
		}
		ended = append(ended, c)
		return true
	})
	s.setLocked(applyAll(s.persisted, s.pending))
	for _, c := range ended { // after the set is in force: the callers look at it next
		c.result <- err
	}
}

// persist writes the file's set with changes on top, and returns what the file holds then. That is the new set also
// with an [atomicfile.ErrUnsynced].
func (s *Store) persist(batch []*change) (override.Set, error) {
	unlock, err := s.lock(batch[0].deadline)
	if err != nil {
		return override.Set{}, err
	}
	defer unlock()
	s.mu.Lock()
	base := s.persisted
	s.mu.Unlock()
	// Without reading first, a change that another process has written would be lost.
	switch held, err := s.read(); {
	case errors.Is(err, errUnreadable):
		return override.Set{}, fmt.Errorf("the overrides can't be read: %w", err)
	case err == nil && held.Version > base.Version:
		base = held
	}
	set := applyAll(base, batch)
	if set.Version == base.Version && !s.unsynced {
		return set, nil
	}
	err = s.write(set)
	s.unsynced = errors.Is(err, atomicfile.ErrUnsynced) || err != nil && s.unsynced
	if err != nil {
		return set, fmt.Errorf("the overrides can't be kept: %w", err)
	}
	return set, nil
}

// Watch takes over what other processes of this proxy write, until ctx ends. It
// must run once at a time.
func (s *Store) Watch(ctx context.Context) {
	if s.path == "" {
		return
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.poll()
	}
}

// poll reads the file if it has changed. If that fails, for lack of a descriptor for
// example, the next poll retries.
func (s *Store) poll() {
	looked := time.Now()
	info, err := os.Lstat(s.path)
	if err != nil {
		if errors.Is(err, fs.ErrNotExist) {
			s.knownAt.Store(&looked)
		}
		return
	}
	version := versionOf(info)
	if version == s.lastRead {
		s.knownAt.Store(&looked)
		return
	}
	set, err := s.read()
	if errors.Is(err, errUnreadable) {
		return
	}
	s.lastRead = version
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && set.Version > s.persisted.Version {
		s.persisted = set
		s.setLocked(applyAll(set, s.pending))
	}
	s.knownAt.Store(&looked)
}
