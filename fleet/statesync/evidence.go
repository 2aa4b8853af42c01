package statesync

import (
	"ryerill/balancer"
	"ryerill/fleet/outlier"
)

// EvidenceOf converts the outcome of an attempt to evidence on its endpoint. ok is false if the outcome is no evidence:
// the attempt was cancelled or never sent.
func EvidenceOf(outcome balancer.Outcome) (evidence outlier.Outcome, ok bool) {
	switch outcome {
	case balancer.OK:
		return outlier.Succeeded, true
	case balancer.Timeout, balancer.ConnectFailed, balancer.Reset:
		return outlier.TimedOut, true
	case balancer.Error, balancer.Rejected, balancer.RejectedInDoubt:
		return outlier.Failed, true
	default:
		return outlier.Succeeded, false
	}
}
