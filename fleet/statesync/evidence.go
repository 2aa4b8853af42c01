package statesync

import (
	"ryerill/balancer"
	"ryerill/fleet/outlier"
)

// EvidenceOf returns the evidence that an attempt's outcome gives of its endpoint. ok is false if it gives none: the
// attempt was cancelled or never sent.
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
