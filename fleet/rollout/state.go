package rollout

import (
	"slices"
	"strings"
	"time"
)

// maxHistory is the number of entries of a plan's history that are kept: see State.record.
const maxHistory = 64

// Phase is the phase of a plan.
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

// String returns the name of the phase in tables, logs and the history.
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

// State is a plan and its progress, replicated to all replicas. The state with the higher fencing token supersedes, and
// with equal tokens the one with the higher version.
type State struct {
	Plan             Plan          `json:"Plan"`
	FencingToken     uint64        `json:"Fence"` // of the replica that wrote the state
	Version          uint64        `json:"Version"`
	Leader           string        `json:"Leader"`
	Phase            Phase         `json:"Phase"`
	Stage            int           `json:"Stage"`
	Reason           string        `json:"Reason"`
	Selected         []string      `json:"Chosen"` // replicas selected to be changed so far, in order
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

// historyEntry returns the history entry of a transition.
func historyEntry(phase Phase, reason string) string { return phase.String() + ": " + reason }

// record appends an entry to the history. If the history is full, the oldest entries are removed, except for the first
// one and the one that begins the latest attempt.
func (s *State) record(entry string) {
	s.History = append(slices.Clip(s.History), entry) // copies of the state share the earlier entries
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

// resumedPhase returns the phase in which a paused or stopped plan resumes: Changing, unless it was rolling back.
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

// head returns a copy with only the fields that Newer compares.
func (s *State) head() *State { return &State{FencingToken: s.FencingToken, Version: s.Version} }

// observation returns the least observation period of the current stage.
func (s *State) observation() time.Duration {
	return s.Plan.Stages[min(s.Stage, len(s.Plan.Stages)-1)].Observation
}
