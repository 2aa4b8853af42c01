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

// A replica with an old state file has no quota fraction before it synchronizes with another replica: an operator may
// have had it forgotten, and a new replica may have its place among the configured number.
func TestOldStateFileGivesNoQuotaFraction(t *testing.T) {
	const third = 1.0 / 3
	for name, tc := range map[string]struct {
		age  time.Duration
		want float64 // quota fraction before the first synchronization
	}{
		"young":                {0, third},
		"just under the limit": {maxConfirmationAge - time.Minute, third},
		"older":                {maxConfirmationAge + time.Minute, 0},
		"a day in the future":  {-24 * time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			file := &stateFile{path: filepath.Join(t.TempDir(), "state")}
			b := servingMember("b", "127.0.0.1:1")
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
				t.Errorf("got quota fraction %v, want %v", got, tc.want)
			}
			f.handleLocked(membership.Event{Kind: membership.SyncRequested, Message: &membership.Message{From: b.State}})
			if got := fraction(); got != third {
				t.Errorf("after a synchronization: got quota fraction %v, want %v", got, third)
			}
		})
	}
}

// faultyDisk makes the syncs of a host's state file fail while broken, and counts all syncs.
type faultyDisk struct {
	broken atomic.Bool
	syncs  atomic.Int64
}

func (d *faultyDisk) install(f *Fleet) {
	f.stateFile.calls = atomicfile.SystemCalls()
	f.stateFile.calls.Sync = func(file *os.File) error {
		d.syncs.Add(1)
		if d.broken.Load() {
			return &os.PathError{Op: "sync", Path: file.Name(), Err: syscall.EIO}
		}
		return file.Sync()
	}
}

// runUntil does the periodic work of a running host until done returns true or the timeout expires.
func (f *Fleet) runUntil(timeout time.Duration, done func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
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

// A rollout that could not be written is written once the disk recovers. Until then writes are retried with backoff and
// the status shows the error.
func TestFailedRolloutWriteIsRetried(t *testing.T) {
	f := newRolloutHost(t, func(rollout.Kind, string, []byte, bool) error { return nil }, filepath.Join(t.TempDir(), "a"))
	var disk faultyDisk
	disk.install(f)
	disk.broken.Store(true)
	plan := rollout.Plan{ID: "p", Kind: rollout.Settings, Target: "new", Settings: []byte("classes: []")}
	plan.Complete()
	if err := f.StartRollout(plan); err != nil {
		t.Fatal(err)
	}
	f.runUntil(time.Second, func() bool { return false })
	if tries := disk.syncs.Load(); tries < 2 || tries > 6 { // after 0.1, 0.2, 0.4 s
		t.Errorf("got %d write attempts in 1 s with a broken disk, want 2 to 6", tries)
	}
	if status := f.HostStatus(); !strings.Contains(status.StateFileError, "input/output error") {
		t.Errorf("got status error %q, want an input/output error", status.StateFileError)
	}
	disk.broken.Store(false)
	isStored := func() bool {
		state, err := f.stateFile.read()
		return err == nil && state.Rollout != nil && state.Rollout.Plan.ID == "p"
	}
	if !f.runUntil(20*time.Second, isStored) {
		t.Error("rollout not written within 20 s of the recovery")
	}
	f.goroutines.Wait()
	if status := f.HostStatus(); status.StateFileError != "" {
		t.Errorf("after the recovery: got status error %q, want none", status.StateFileError)
	}
}

// A replica set whose write failed is announced once a retry succeeds, without a member change to trigger it.
func TestReplicaSetAnnouncedAfterDiskRecovers(t *testing.T) {
	f := newIdleHost(t, filepath.Join(t.TempDir(), "state"))
	var disk faultyDisk
	disk.install(f)
	disk.broken.Store(true)
	f.receiveRecords(servingMember("b", "127.0.0.1:1"))
	f.goroutines.Wait()
	announced := func() uint64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.persisted.digest
	}
	if got := announced(); got != 0 {
		t.Errorf("announced digest %x of an unwritten set, want 0", got)
	}
	disk.broken.Store(false)
	if !f.runUntil(20*time.Second, func() bool { return announced() != 0 }) {
		t.Error("replica set not announced within 20 s of the recovery")
	}
	f.goroutines.Wait()
}

// A departure that could not be persisted is not announced: others would divide the replica's quota fraction, and a
// restart would restore it. Failed writes are retried briefly.
func TestUnpersistedDepartureIsNotAnnounced(t *testing.T) {
	for name, tc := range map[string]struct {
		failures int64 // number of failing writes
		leaves   bool
	}{
		"no failure":        {0, true},
		"one failure":       {1, true},
		"permanent failure": {1 << 30, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newIdleHost(t, filepath.Join(t.TempDir(), "state"))
			f.receiveRecords(servingMember("b", "127.0.0.1:1"))
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
				t.Errorf("persisted: left %v, %d members, error %v", state.Left, len(state.Members), err)
			}
			if announced := f.list.Self().Status == membership.Left; announced != tc.leaves {
				t.Errorf("departure announced: got %v", announced)
			}
		})
	}
}
