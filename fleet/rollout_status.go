package fleet

import "ryerill/fleet/rollout"

// RolloutStatus is the status of a rollout at the management endpoint.
type RolloutStatus struct {
	Plan            string          `json:"plan"`
	Kind            string          `json:"kind"`
	Target          string          `json:"target"`
	Phase           string          `json:"phase"`
	Ended           bool            `json:"ended"`
	Stage           int             `json:"stage"` // starts at 1
	Stages          []StageStatus   `json:"stages"`
	Reason          string          `json:"reason"`
	Leader          string          `json:"leader"`
	IsLeader        bool            `json:"leads"`
	FencingToken    uint64          `json:"number"`
	AgeMS           int64           `json:"age_ms"`
	ChangedReplicas []string        `json:"changed"`
	FailedReplicas  []string        `json:"failed"`
	History         []string        `json:"history"`
	Replicas        []ReplicaStatus `json:"copies"`
	Desired         DesiredVersion  `json:"wanted"`

	Evidence string          `json:"evidence,omitempty"` // set by the leader only
	Points   []rollout.Point `json:"points,omitempty"`   // set by the leader only
}

// StageStatus is one stage of a plan.
type StageStatus struct {
	Replicas    int    `json:"copies"` // number of changed replicas at this stage
	Observation string `json:"soak"`   // duration of the observation period
}

// ReplicaStatus is the status of one replica in a rollout.
type ReplicaStatus struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	Alive         bool   `json:"alive"`
	Ready         bool   `json:"ready"`
	Version       string `json:"holds"`
	RefusedReason string `json:"refused,omitempty"`
}

// RolloutStatus returns the status of the latest rollout, and false if this replica takes no
// part in rollouts.
func (f *Fleet) RolloutStatus() (RolloutStatus, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rollouts == nil {
		return RolloutStatus{}, false
	}
	return f.rollouts.status(f.replicas()), true
}

func (h *rolloutHost) status(replicas []rollout.Replica) RolloutStatus {
	state := h.participant.State()
	kinds := map[rollout.Kind]string{rollout.Settings: "settings", rollout.Program: "program"}
	status := RolloutStatus{
		Plan:            state.Plan.ID,
		Kind:            kinds[state.Plan.Kind],
		Target:          state.Plan.Target,
		Phase:           state.Phase.String(),
		Ended:           state.Phase.Ended(),
		Stage:           state.Stage + 1,
		Reason:          state.Reason,
		Leader:          state.Leader,
		IsLeader:        h.participant.IsLeader(),
		FencingToken:    state.FencingToken,
		AgeMS:           state.Age.Milliseconds(),
		ChangedReplicas: state.Selected,
		FailedReplicas:  state.Failed,
		History:         state.History,
		Desired:         h.currentDesired(),
	}
	status.Evidence, status.Points = h.participant.Evidence()
	zones := map[string]bool{}
	for _, replica := range replicas {
		zones[replica.Zone] = true
		status.Replicas = append(status.Replicas, ReplicaStatus{
			Name:          replica.Name,
			Zone:          replica.Zone,
			Alive:         replica.Alive,
			Ready:         replica.Ready,
			Version:       replica.Version,
			RefusedReason: replica.RefusedReason,
		})
	}
	for i, stage := range state.Plan.Stages {
		status.Stages = append(status.Stages, StageStatus{
			Replicas:    state.Plan.Size(i, len(replicas), len(zones)),
			Observation: stage.Observation.String(),
		})
	}
	return status
}
