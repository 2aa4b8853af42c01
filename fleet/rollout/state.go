package rollout

import (
	"slices"
	"strings"
	"time"
)

// maxHistory is the number of entries of a plan's history that are kept: see State.record.
const maxHistory = 64

// Phase is how far a plan is.
type Phase uint8

// The phases. Those from Done on are final.
const (
	Idle Phase = iota
	Changing
	Observing
	Paused      // by an operator
	Stopped     // until an operator decides; State.Reason says why
	RollingBack // the changed replicas
	Done
	RolledBack
	Aborted
	Expired
)

// String names a phase as tables and logs do.
func (p Phase) String() string {
	names := [...]string{
		"none", "changing", "soaking", "paused", "stopped", "going back", "done", "gone back", "aborted", "expired",
	}
	if int(p) >= len(names) {
		return "unknown"
	}
	return names[p]
}

// Ended reports whether there is no plan, or it has ended.
func (p Phase) Ended() bool { return p == Idle || p >= Done }

// State is a plan and its progress, replicated to all. The one with the higher fencing token holds, and of one token
// the later version.
type State struct {
	Plan             Plan          `json:"Plan"`
	FencingToken     uint64        `json:"Fence"` // of the replica that wrote it
	Version          uint64        `json:"Version"`
	Leader           string        `json:"Leader"`
	Phase            Phase         `json:"Phase"`
	Stage            int           `json:"Stage"`
	Reason           string        `json:"Reason"`
	Selected         []string      `json:"Chosen"` // replicas that are to be changed by now, in order
	Failed           []string      `json:"Failed"` // replicas that couldn't change, or regressed
	History          []string      `json:"History"`
	Age              time.Duration `json:"Age"`     // since the start of the plan
	ObservationStart time.Duration `json:"StageAt"` // Age when the stage's observation began
}

// Newer reports whether s supersedes other.
func (s *State) Newer(other *State) bool {
	if s.FencingToken != other.FencingToken {
		return s.FencingToken > other.FencingToken
	}
	return s.Version > other.Version
}

// transition enters a phase and records why.
func (s *State) transition(phase Phase, reason string) {
	s.Phase = phase
	s.Reason = reason
	s.Version++
	s.record(historyEntry(phase, reason))
}

// historyEntry is what the history notes of a transition.
func historyEntry(phase Phase, reason string) string { return phase.String() + ": " + reason }

// record adds an entry to the history. Where that is full the earliest ones go, except for the first one and for that
// with which the latest attempt begins.
func (s *State) record(entry string) {
	s.History = append(slices.Clip(s.History), entry) // copies of the state share what was there
	excess := len(s.History) - maxHistory
	if excess <= 0 {
		return
	}
	kept := s.History[:1:1]
	if latest := latestAttempt(s.History); 1 <= latest && latest <= excess {
		kept = append(kept, s.History[latest])
		excess++
	}
	s.History = append(kept, s.History[1+excess:]...)
}

// resumedPhase is the phase that a plan which rests goes on with: it changes replicas, unless it was rolling them back.
func (s *State) resumedPhase() Phase {
	for _, entry := range slices.Backward(s.History) {
		switch phase, _, _ := strings.Cut(entry, ": "); phase {
		case RollingBack.String():
			return RollingBack
		case Changing.String(), Observing.String():
			return Changing
		}
	}
	return Changing
}

// head is what tells whether another state is newer.
func (s *State) head() *State { return &State{FencingToken: s.FencingToken, Version: s.Version} }

// observation is how long the current stage is observed at least.
func (s *State) observation() time.Duration {
	return s.Plan.Stages[min(s.Stage, len(s.Plan.Stages)-1)].Observation
}
