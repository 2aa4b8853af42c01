package fleet

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"time"

	"ryerill/fleet/membership"
	"ryerill/fleet/placement"
)

// maxConfirmationAge is how old a persisted confirmation may be: an operator may have
// declared this replica to be gone since, so that others have its quota fraction.
const maxConfirmationAge = time.Hour

// minPersistPause is the pause after a failed write of the state file. It doubles up to persistInterval with each
// further failure in a row.
const minPersistPause = 100 * time.Millisecond

// maxDeparturePause is the last pause in which the end of this replica waits for a disk that fails.
const maxDeparturePause = 4 * minPersistPause

// persistedSet is the replica set that would be restored after a restart. Only that one
// is announced: others rely on this replica to keep counting them.
type persistedSet struct {
	digest    uint64
	confirmed bool
	writing   bool // a write of the state file is under way

	failure error         // of the latest write of the state file; nil if it succeeded
	pause   time.Duration // before the next write, after failures in a row
	retryAt time.Time     // when that is over
}

// mayWrite reports whether the state file may be written now: a disk that has failed is left in peace for a while.
func (p *persistedSet) mayWrite(now time.Time) bool {
	return p.failure == nil || !now.Before(p.retryAt)
}

// noteWrite notes how a write of the state file ended.
func (p *persistedSet) noteWrite(err error, now time.Time) {
	p.failure = err
	if err == nil {
		p.pause = 0
		return
	}
	p.pause = min(max(2*p.pause, minPersistPause), persistInterval)
	p.retryAt = now.Add(p.pause)
}

// holds reports whether the tracker's replica set is the persisted one.
func (p *persistedSet) holds(tracker *placement.Tracker) bool {
	return p.digest == tracker.ReplicaSetDigest() && p.confirmed == tracker.Confirmed()
}

// restoreState reads the state file. What can't be used is logged and ignored.
func (f *Fleet) restoreState() persistedState {
	if !f.stateFile.enabled() {
		return persistedState{}
	}
	state, err := f.stateFile.read()
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return persistedState{}
	case err != nil:
		f.log.Warn("fleet state file can't be used", "file", f.stateFile.path, "err", err)
		return persistedState{}
	case state.Fleet != f.cfg.Fleet || state.Name != f.cfg.Name:
		f.log.Warn("fleet state file is of another replica", "file", f.stateFile.path, "fleet", state.Fleet,
			"replica", state.Name)
		return persistedState{}
	}
	age := time.Since(state.Written)
	if age > maxConfirmationAge || age < -maxConfirmationAge {
		state.Confirmed = false
		state.outdated = true
		f.log.Warn("fleet state file is old, this replica has no quota fraction until it has met all others",
			"file", f.stateFile.path, "age", age.Round(time.Second))
	}
	return state
}

// currentState returns what is to be persisted now. A replica that has left is not counted
// any more. The mutex is held.
func (f *Fleet) currentState() persistedState {
	left := f.departed && !f.abandoned
	state := persistedState{
		Written:          time.Now(),
		Fleet:            f.cfg.Fleet,
		Name:             f.cfg.Name,
		Epoch:            f.list.Self().Epoch,
		Confirmed:        f.positions.tracker.Confirmed() && !left,
		Left:             left,
		replicaSetDigest: f.positions.tracker.ReplicaSetDigest(),
	}
	if f.rollouts != nil {
		state.Rollout = f.rollouts.persistedState()
	}
	for _, m := range f.list.Members() {
		if !m.Self && m.Status != membership.Left {
			state.Members = append(state.Members, m.Record)
		}
	}
	return state
}

// runPersistence writes the state file periodically, and again after a failure, until ctx ends, and then once more.
func (f *Fleet) runPersistence(ctx context.Context) {
	ticker := time.NewTicker(persistInterval)
	defer ticker.Stop()
	retry := time.NewTicker(minPersistPause)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			f.persist()
			return
		case <-ticker.C:
			f.persist()
		case <-retry.C:
			f.retryPersisting()
		}
	}
}

// retryPersisting has the state persisted that the latest write could not persist, if the pause after that is over.
func (f *Fleet) retryPersisting() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.persisted.failure != nil && f.persisted.mayWrite(time.Now()) {
		f.persistReplicaSet()
	}
}

// persist writes the state file and reports whether state is what would be restored.
// A disk that fails is no reason to stop. The mutex is not held: it may take long.
func (f *Fleet) persist() (state persistedState, written bool) {
	f.persisting.Lock()
	defer f.persisting.Unlock()
	f.mu.Lock()
	state = f.currentState()
	f.mu.Unlock()
	if !f.stateFile.enabled() {
		return state, true
	}
	err := f.stateFile.write(&state)
	f.noteWrite(err)
	return state, err == nil
}

// persistDeparture has it persisted that this replica has left, and reports whether a restart will know that. A disk
// that fails is tried again for a moment.
func (f *Fleet) persistDeparture() bool {
	for pause := minPersistPause; ; pause *= 2 {
		if _, written := f.persist(); written {
			return true
		}
		if pause > maxDeparturePause {
			_, err := os.Stat(f.stateFile.path)
			return errors.Is(err, fs.ErrNotExist) // a restart will know of nothing
		}
		time.Sleep(pause)
	}
}

// noteWrite notes and logs how a write of the state file ended.
func (f *Fleet) noteWrite(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.log.warnOccasionally("fleet state file can't be written", "file", f.stateFile.path, "err", err)
	} else if f.persisted.failure != nil {
		f.log.Info("fleet state file written again", "file", f.stateFile.path)
	}
	f.persisted.noteWrite(err, time.Now())
}

// persistReplicaSet has the replica set persisted, and announced after that. The mutex is
// held.
func (f *Fleet) persistReplicaSet() {
	if !f.stateFile.enabled() {
		tracker := f.positions.tracker
		f.announceReplicaSet(tracker.ReplicaSetDigest(), tracker.Confirmed())
		return
	}
	if f.persisted.writing || f.departed {
		return
	}
	f.persisted.writing = true
	f.goroutines.Go(func() {
		state, written := f.persist()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.persisted.writing = false
		// The set may have changed before or during the write. Then what is lent may not fit, and the next update of
		// the positions has the set persisted again.
		if written && state.replicaSetDigest == f.positions.tracker.ReplicaSetDigest() && f.loansFit() {
			f.announceReplicaSet(state.replicaSetDigest, state.Confirmed)
		}
	})
}

// announceReplicaSet announces a replica set that is persisted. The mutex is held.
func (f *Fleet) announceReplicaSet(digest uint64, confirmed bool) {
	f.persisted.digest = digest
	f.persisted.confirmed = confirmed
	f.list.SetReplicaSetDigest(digest)
}
