package fleet

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ryerill/fleet/membership"
	"ryerill/fleet/rollout"
	"ryerill/internal/atomicfile"
)

// A replica whose state file is old has no quota fraction before it has met another: an operator may have had it
// forgotten, and another one may have its place among the configured number.
func TestAnOldStateFileGivesNoQuotaFraction(t *testing.T) {
	const third = 1.0 / 3
	for name, tc := range map[string]struct {
		age  time.Duration
		want float64 // before it has met another
	}{
		"young":       {0, third},
		"an hour old": {maxConfirmationAge - time.Minute, third},
		"older":       {maxConfirmationAge + time.Minute, 0},
		"of tomorrow": {-24 * time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			file := &stateFile{path: filepath.Join(t.TempDir(), "state")}
			b := serving("b", "127.0.0.1:1")
			state := persistedState{
				Written: time.Now().Add(-tc.age), Fleet: "f", Name: "a", Epoch: 5, Confirmed: true,
				Members: []membership.Record{b},
			}
			if err := file.write(&state); err != nil {
				t.Fatal(err)
			}
			f, err := New(Config{
				Name: "a", Fleet: "f", Listen: "127.0.0.1:0", Keys: testKeys, ReplicaCounts: map[string]int{"main": 3},
				Pools: []string{"main"}, StateFile: file.path, Seeds: []string{"127.0.0.1:1"},
			}, slog.New(slog.DiscardHandler), nil)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { f.goroutines.Wait(); f.Close() })
			fraction := func() float64 {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.updatePositions(true)
				return f.positions.tracker.Position("main").QuotaFraction()
			}
			if got := fraction(); got != tc.want {
				t.Errorf("a fraction of %v, want %v", got, tc.want)
			}
			f.handleLocked(membership.Event{Kind: membership.SyncRequested, Message: &membership.Message{From: b.State}})
			if got := fraction(); got != third {
				t.Errorf("once it has met another: %v, want %v", got, third)
			}
		})
	}
}

// faultyDisk has a host's state file written by calls whose syncs fail while it is broken. It counts them.
type faultyDisk struct {
	broken atomic.Bool
	syncs  atomic.Int64
}

func (d *faultyDisk) under(f *Fleet) {
	f.stateFile.calls = atomicfile.SystemCalls()
	f.stateFile.calls.Sync = func(file *os.File) error {
		d.syncs.Add(1)
		if d.broken.Load() {
			return &os.PathError{Op: "sync", Path: file.Name(), Err: syscall.EIO}
		}
		return file.Sync()
	}
}

// retry does for a while what a host that runs does at intervals, until done reports true.
func (f *Fleet) retry(atMost time.Duration, done func() bool) bool {
	for end := time.Now().Add(atMost); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f.rollouts != nil {
			f.tickRollouts()
		}
		f.retryPersisting()
		if done() {
			return true
		}
	}
	return false
}

// A rollout that the disk does not take is written, and a replica set announced, once it does; until then the disk is
// left in peace between attempts, and the status tells of the fault.
func TestWhatTheDiskDidNotTakeIsOwed(t *testing.T) {
	f := newRolloutHost(t, func(rollout.Kind, string, []byte, bool) error { return nil }, filepath.Join(t.TempDir(), "a"))
	var disk faultyDisk
	disk.under(f)
	disk.broken.Store(true)
	plan := rollout.Plan{ID: "p", Kind: rollout.Settings, Target: "new", Settings: []byte("classes: []")}
	plan.Complete()
	if err := f.StartRollout(plan); err != nil {
		t.Fatal(err)
	}
	f.retry(time.Second, func() bool { return false })
	if tries := disk.syncs.Load(); tries < 2 || tries > 6 { // after 0.1, 0.2, 0.4 s
		t.Errorf("%d attempts in a second of a broken disk", tries)
	}
	if status := f.HostStatus(); !strings.Contains(status.StateFileError, "input/output error") {
		t.Errorf("the status tells of %q", status.StateFileError)
	}
	disk.broken.Store(false)
	isStored := func() bool {
		state, err := f.stateFile.read()
		return err == nil && state.Rollout != nil && state.Rollout.Plan.ID == "p"
	}
	if !f.retry(20*time.Second, isStored) {
		t.Error("the rollout is not written")
	}
	f.goroutines.Wait()
	if status := f.HostStatus(); status.StateFileError != "" {
		t.Errorf("the status still tells of %q", status.StateFileError)
	}
}

// A replica set that could not be written is announced once it is, without any change that would have it looked at again.
func TestAReplicaSetIsAnnouncedOnceTheDiskTakesIt(t *testing.T) {
	f := newIdleHost(t, filepath.Join(t.TempDir(), "state"))
	var disk faultyDisk
	disk.under(f)
	disk.broken.Store(true)
	f.learn(serving("b", "127.0.0.1:1"))
	f.goroutines.Wait()
	announced := func() uint64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.persisted.digest
	}
	if got := announced(); got != 0 {
		t.Errorf("%x is announced and not on the disk", got)
	}
	disk.broken.Store(false)
	if !f.retry(20*time.Second, func() bool { return announced() != 0 }) {
		t.Error("never announced")
	}
	f.goroutines.Wait()
}

// A replica whose departure is not on the disk is not announced to have left: others would divide its quota fraction,
// and it would count on that again after a restart. A disk that takes it after a moment is waited for.
func TestADepartureThatIsNotPersistedIsNotAnnounced(t *testing.T) {
	for name, tc := range map[string]struct {
		failures int64 // of writes
		leaves   bool
	}{
		"the disk is sound":       {0, true},
		"the disk fails for once": {1, true},
		"the disk fails":          {1 << 30, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newIdleHost(t, filepath.Join(t.TempDir(), "state"))
			f.learn(serving("b", "127.0.0.1:1"))
			f.goroutines.Wait()
			f.stateFile.calls = atomicfile.SystemCalls()
			failed := int64(0)
			f.stateFile.calls.Rename = func(from, to string) error {
				if failed++; failed <= tc.failures {
					return &os.LinkError{Op: "rename", Old: from, New: to, Err: syscall.ENOSPC}
				}
				return os.Rename(from, to)
			}
			f.depart()
			state, err := f.stateFile.read()
			if err != nil || state.Left != tc.leaves || len(state.Members) != 1 {
				t.Errorf("on the disk it has left: %v, of %d members, %v", state.Left, len(state.Members), err)
			}
			if announced := f.list.Self().Status == membership.Left; announced != tc.leaves {
				t.Errorf("announced to have left: %v", announced)
			}
		})
	}
}
