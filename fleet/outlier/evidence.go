package outlier

import (
	"math"
	"time"
)

// Thresholds of evidence against an endpoint.
const (
	minAttempts         = 0.9 // of one replica
	minFailureRate      = 0.5 // fraction of attempts that failed or timed out
	minPeerFailureRatio = 3.0 // ratio of the failure rate to that of the reporter's other endpoints
	minLatencyRatio     = 3.0 // ratio of the latency to that of the reporter's other endpoints
)

// Limits of valid evidence.
const (
	maxValue         = 1e9
	failureTolerance = 1.0001 // ratio of failures to attempts that rounding may give
)

// Evidence is one replica's observations of one endpoint. Attempts, Errors and Timeouts are decaying counts.
type Evidence struct {
	Reporter        string  `json:"Reporter"`
	Epoch           uint64  `json:"Epoch"`   // of the reporter's process
	Version         uint64  `json:"Version"` // grows with each publication by the process
	Zone            string  `json:"Zone"`    // of the reporter
	Endpoint        uint64  `json:"Server"`
	StartedAt       int64   `json:"Since"` // start of the endpoint
	Attempts        float64 `json:"Calls"`
	Errors          float64 `json:"Errors"` // attempts that failed or were rejected
	Timeouts        float64 `json:"Hangs"`  // attempts that timed out or couldn't connect
	RelativeLatency float64 `json:"Slow"`   // ratio to the reporter's other endpoints
	PeerErrorRate   float64 `json:"Peers"`  // fraction of the attempts at its other endpoints that failed
}

func (e *Evidence) valid() bool {
	for _, value := range []float64{e.Attempts, e.Errors, e.Timeouts, e.RelativeLatency, e.PeerErrorRate} {
		if !(value >= 0 && value < maxValue) {
			return false
		}
	}
	return e.Reporter != "" && e.Errors+e.Timeouts <= e.Attempts*failureTolerance && e.PeerErrorRate <= 1
}

// newerThan reports whether e is newer than other evidence of the same reporter.
func (e *Evidence) newerThan(other *Evidence) bool {
	if e.Epoch != other.Epoch {
		return e.Epoch > other.Epoch
	}
	return e.Version > other.Version
}

// isAgainst reports whether the evidence, with a decayed number of attempts, exceeds the thresholds.
func (e *Evidence) isAgainst(attempts float64) bool {
	if attempts < minAttempts {
		return false
	}
	return exceedsThresholds((e.Errors+e.Timeouts)/e.Attempts, e.PeerErrorRate, e.RelativeLatency)
}

func exceedsThresholds(failureRate, peerFailureRate, relativeLatency float64) bool {
	return failureRate >= minFailureRate && failureRate >= minPeerFailureRatio*peerFailureRate ||
		relativeLatency >= minLatencyRatio
}

// decay returns the fraction of its weight that evidence of an age retains.
func decay(age time.Duration) float64 {
	return math.Exp2(-float64(max(age, 0)) / float64(HalfLife))
}
