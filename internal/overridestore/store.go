// Package overridestore persists the operators' overrides in a file shared by all processes of
// one proxy. Each write goes to a temporary file that is then renamed, so that readers never see
// a partial file.
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
	pollInterval  = 100 * time.Millisecond // between checks of the file for changes by other processes
	updateTimeout = 400 * time.Millisecond // after this a change that could not be persisted is undone
	retryInterval = 5 * time.Millisecond   // between attempts to lock the file

	// maxPending is the maximum number of unpersisted changes, which accumulate while the disk fails.
	maxPending = 256
)

// ErrBusy means that another process locked the file for too long, or that too many changes are pending. Nothing has
// changed.
var ErrBusy = errors.New("another change is under way: call again")

// ErrNotPersisted means that the change is in force in this process but not on disk yet. Other
// processes of this proxy may not have it.
var ErrNotPersisted = errors.New("in force, but not kept yet as the disk is slow: call again")

// ChangeFunc returns the set of overrides after a change to the given set. It must have no side
// effects, since it may be called several times on different sets. now is Unix time, the same in
// each call. After an error the set is unchanged.
type ChangeFunc func(set override.Set, now time.Duration) (override.Set, error)

// Store holds the overrides in force in this process: those in the file plus changes that are
// not written yet. Changes take effect immediately, because the disk may be slow and an endpoint
// that is taken down may be restarted soon. Its methods are safe for concurrent use.
type Store struct {
	path    string // empty: overrides are kept in memory only
	log     *slog.Logger
	notify  func(override.Set)
	current atomic.Pointer[override.Set]
	calls   fileCalls

	isUnreadable atomic.Bool // the last read failed temporarily

	knownAt  atomic.Pointer[time.Time] // see KnownAt
	lastRead fileVersion               // used only by Watch

	// The fields below are used only by the goroutine of persistPending.
	failing  bool // the last write failed
	unsynced bool // the directory was not synced after the last replacement of the file

	mu sync.Mutex
	// mu guards the fields below and changes of current.
	persisted  override.Set // latest known contents of the file
	pending    []*change    // unpersisted changes, in call order
	persisting bool         // the goroutine of persistPending is running
}

// change is an unpersisted change.
type change struct {
	apply     ChangeFunc
	at        time.Duration // Unix time
	deadline  time.Time     // when the change is undone
	result    chan error    // buffered; receives one value
	committed bool          // the caller knows that it is in force: retried without a deadline; guarded by Store.mu
}

// Open returns a store with the overrides in the file. If the file can't be read, Open logs that
// and starts with no overrides, so that the proxy can serve. [Store.Update] and [Store.Watch]
// pass each new set to notify, in order; notify must not block.
func Open(path string, log *slog.Logger, notify func(override.Set)) *Store {
	s := &Store{path: path, log: log, notify: notify, calls: systemCalls()}
	checkedAt := time.Now()
	s.knownAt.Store(&checkedAt)
	if path != "" {
		if set, err := s.read(); err == nil {
			s.persisted = set
		}
	}
	set := s.persisted
	s.current.Store(&set)
	return s
}

// KnownAt returns when this process last checked the file, or the start time before the first check. While notify runs,
// KnownAt still returns the time of the previous check: a change by another process that notify receives is no older.
func (s *Store) KnownAt() time.Time { return *s.knownAt.Load() }

// Current returns the overrides in force.
func (s *Store) Current() override.Set { return *s.current.Load() }

// Update applies a change immediately. If it returns nil, the change is also persisted. After
// [ErrNotPersisted] the change is in force and will be persisted once the disk recovers. After
// any other error nothing has changed.
func (s *Store) Update(apply ChangeFunc) error {
	now := time.Now()
	c := &change{
		apply:    apply,
		at:       time.Duration(now.UnixNano()).Truncate(time.Microsecond), // precision of the file
		deadline: now.Add(updateTimeout),
		result:   make(chan error, 1),
	}
	if err := s.start(c); err != nil || s.path == "" {
		return err
	}
	// persistPending undoes the change before this timeout unless the disk blocks its write.
	timeout := time.NewTimer(2 * updateTimeout)
	defer timeout.Stop()
	select {
	case err := <-c.result:
		return err
	case <-timeout.C:
		return s.commitPending(c)
	}
}

// commitPending ends the wait for a change that was not persisted in time. The caller learns that the change is in
// force, so the store retries until it is persisted.
func (s *Store) commitPending(c *change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.pending, c) {
		return <-c.result // ended just before mu was locked
	}
	c.committed = true
	return ErrNotPersisted
}

// start applies a change and schedules its write.
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
			go s.persistPending() // ends when no change is pending
		}
	}
	s.setLocked(set)
	return nil
}

// setLocked puts a set in force and notifies if it has changed. Callers must hold mu.
func (s *Store) setLocked(set override.Set) {
	previous := s.Current()
	if set.Version == previous.Version && set.DrainSince == previous.DrainSince && maps.Equal(set.Down, previous.Down) {
		return
	}
	s.current.Store(&set)
	s.notify(set)
}

// applyAll returns the set after all changes. It skips changes that fail.
func applyAll(set override.Set, changes []*change) override.Set {
	for _, c := range changes {
		if next, err := c.apply(set, c.at); err == nil {
			set = next
		}
	}
	return set
}

// persistPending writes changes until none is pending. It undoes changes that are not written by their deadline and not
// committed. It returns unless the disk fails permanently.
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
		s.reportWrite(err) // before finish unblocks the callers
		s.finish(batch, set, err)
		if err != nil {
			time.Sleep(backoff.Next()) // a full disk may have space again soon
		} else {
			backoff.Reset()
		}
	}
}

// reportWrite logs the first failed write and the first successful write after failures.
func (s *Store) reportWrite(err error) {
	switch {
	case err != nil && !s.failing:
		s.log.Warn("overrides not written, retrying", "file", s.path, "err", err)
	case err == nil && s.failing:
		s.log.Info("overrides written again", "file", s.path)
	}
	s.failing = err != nil
}

// finish completes the changes of a batch after a successful write, or undoes those past their
// deadline after a failed one. Changes in a file whose directory is not synced are committed,
// because a power loss may revert them.
func (s *Store) finish(batch []*change, set override.Set, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	inFile := err == nil || errors.Is(err, atomicfile.ErrUnsynced)
	if inFile {
		s.persisted = set
	}
	for _, c := range batch {
		c.committed = c.committed || inFile
	}
	var ended []*change
	s.pending = slices.DeleteFunc(s.pending, func(c *change) bool {
		if !slices.Contains(batch, c) || err != nil && (c.committed || now.Before(c.deadline)) {
			return false
		}
		ended = append(ended, c)
		return true
	})
	s.setLocked(applyAll(s.persisted, s.pending))
	for _, c := range ended { // after the set is in force, since callers read it next
		c.result <- err
	}
}

// persist applies the changes to the set in the file, writes the result and returns it. With [atomicfile.ErrUnsynced]
// the file has the new set too.
func (s *Store) persist(batch []*change) (override.Set, error) {
	unlock, err := s.lock(batch[0].deadline)
	if err != nil {
		return override.Set{}, err
	}
	defer unlock()
	s.mu.Lock()
	base := s.persisted
	s.mu.Unlock()
	// Read first: otherwise the write would discard a change by another process.
	switch stored, err := s.read(); {
	case errors.Is(err, errUnreadable):
		return override.Set{}, fmt.Errorf("the overrides can't be read: %w", err)
	case err == nil && stored.Version > base.Version:
		base = stored
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

// Watch applies changes written by other processes of this proxy until ctx ends. It must not run
// more than once at a time.
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

// poll reads the file if it has changed. After a temporary failure, for example without free
// descriptors, the next poll retries.
func (s *Store) poll() {
	checkedAt := time.Now()
	info, err := os.Lstat(s.path)
	if err != nil {
		if errors.Is(err, fs.ErrNotExist) {
			s.knownAt.Store(&checkedAt)
		}
		return
	}
	version := versionOf(info)
	if version == s.lastRead {
		s.knownAt.Store(&checkedAt)
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
	s.knownAt.Store(&checkedAt)
}
