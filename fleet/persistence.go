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

// maxConfirmationAge is the maximum age of a persisted confirmation. An operator may have had
// this replica forgotten since, which gives its quota fraction to others.
const maxConfirmationAge = time.Hour

// minPersistPause is the pause after the first failed write of the state file. It doubles with each consecutive
// failure, up to persistInterval.
const minPersistPause = 100 * time.Millisecond

// maxDeparturePause is the longest pause between attempts to persist the departure during shutdown.
const maxDeparturePause = 4 * minPersistPause

// persistedSet is the replica set that a restart would restore. Only a persisted set is
// announced, because other replicas rely on this one to keep counting them.
type persistedSet struct {
	digest    uint64
	confirmed bool
	writing   bool // a write of the state file is under way

	failure error         // result of the latest write of the state file
	pause   time.Duration // backoff after consecutive failures
	retryAt time.Time     // end of the backoff
}

// mayWrite reports whether the backoff after a failed write is over.
func (p *persistedSet) mayWrite(now time.Time) bool {
	return p.failure == nil || !now.Before(p.retryAt)
}

// noteWrite records the result of a write of the state file.
func (p *persistedSet) noteWrite(err error, now time.Time) {
	p.failure = err
	if err == nil {
		p.pause = 0
		return
	}
	p.pause = min(max(2*p.pause, minPersistPause), persistInterval)
	p.retryAt = now.Add(p.pause)
}

// matches reports whether the tracker's replica set is the persisted one.
func (p *persistedSet) matches(tracker *placement.Tracker) bool {
	return p.digest == tracker.ReplicaSetDigest() && p.confirmed == tracker.Confirmed()
}

// restoreState reads the state file. It logs and ignores an unusable file.
func (f *Fleet) restoreState() persistedState {
	if !f.stateFile.enabled() {
		return persistedState{}
	}
	state, err := f.stateFile.read()
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return persistedState{}
	case err != nil:
		f.log.Warn("fleet state file unusable, ignored", "file", f.stateFile.path, "err", err)
		return persistedState{}
	case state.Fleet != f.cfg.Fleet || state.Name != f.cfg.Name:
		f.log.Warn("fleet state file is for another replica, ignored", "file", f.stateFile.path, "fleet", state.Fleet,
			"replica", state.Name)
		return persistedState{}
	}
	age := time.Since(state.Written)
	if age > maxConfirmationAge || age < -maxConfirmationAge {
		state.Confirmed = false
		state.outdated = true
		f.log.Warn("fleet state file outdated, no quota fraction until this replica has reached all others",
			"file", f.stateFile.path, "age", age.Round(time.Second))
	}
	return state
}

// currentState returns the state to persist. Others no longer count a replica that has left, so
// its state is unconfirmed. Callers must hold mu.
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

// runPersistence writes the state file periodically and retries failed writes until ctx ends, then writes it once
// more.
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

// retryPersisting retries a failed write of the state file once its backoff is over.
func (f *Fleet) retryPersisting() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.persisted.failure != nil && f.persisted.mayWrite(time.Now()) {
		f.persistReplicaSet()
	}
}

// persist writes the state file and reports whether a restart would restore state. The replica
// keeps running if the disk fails. Callers must not hold mu, since the write may take long.
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

// persistDeparture persists the departure, with a few retries if the disk fails. It reports whether a restart cannot
// restore the state before the departure.
func (f *Fleet) persistDeparture() bool {
	for pause := minPersistPause; ; pause *= 2 {
		if _, written := f.persist(); written {
			return true
		}
		if pause > maxDeparturePause {
			_, err := os.Stat(f.stateFile.path)
			return errors.Is(err, fs.ErrNotExist) // without a file a restart restores no state
		}
		time.Sleep(pause)
	}
}

// noteWrite records and logs the result of a write of the state file.
func (f *Fleet) noteWrite(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.log.warnThrottled("fleet state file not written, retrying", "file", f.stateFile.path, "err", err)
	} else if f.persisted.failure != nil {
		f.log.Info("fleet state file written again", "file", f.stateFile.path)
	}
	f.persisted.noteWrite(err, time.Now())
}

// persistReplicaSet starts a write of the replica set, which is announced after the write.
// Callers must hold mu.
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
		// If the set has changed meanwhile, loans may exceed its division of the quotas. The next update of the
		// positions persists the new set.
		if written && state.replicaSetDigest == f.positions.tracker.ReplicaSetDigest() && f.loansFit() {
			f.announceReplicaSet(state.replicaSetDigest, state.Confirmed)
		}
	})
}

// announceReplicaSet announces a persisted replica set. Callers must hold mu.
func (f *Fleet) announceReplicaSet(digest uint64, confirmed bool) {
	f.persisted.digest = digest
	f.persisted.confirmed = confirmed
	f.list.SetReplicaSetDigest(digest)
}
