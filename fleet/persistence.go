package fleet

import (
	"context"
	"errors"
	"io/fs"
	"time"

	"ryerill/fleet/membership"
	"ryerill/fleet/placement"
)

// maxConfirmationAge is how old a persisted confirmation may be: an operator may have
// declared this replica to be gone since, so that others have its quota fraction.
const maxConfirmationAge = time.Hour

// persistedSet is the replica set that would be restored after a restart. Only that one
// is announced: others rely on this replica to keep counting them.
type persistedSet struct {
	digest    uint64
	confirmed bool
	writing   bool // a write of the state file is under way
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

// runPersistence writes the state file periodically until ctx ends, and then once more.
func (f *Fleet) runPersistence(ctx context.Context) {
	ticker := time.NewTicker(persistInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			f.persist()
			return
		case <-ticker.C:
			f.persist()
		}
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
	if err := f.stateFile.write(&state); err != nil {
		f.log.warnOccasionally("fleet state file can't be written", "file", f.stateFile.path, "err", err)
		return state, false
	}
	return state, true
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
