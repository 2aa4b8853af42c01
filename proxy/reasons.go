package proxy

import (
	"encoding/json"
	"sync/atomic"

	"ryerill/balancer"
	"ryerill/internal/faultlog"
	"ryerill/message"
	"ryerill/upstream"
)

// endReason is the reason why a request ended.
type endReason uint8

// Reasons for the end of a request.
const (
	endServed      endReason = iota
	endShed                  // rejected by the balancer; it was not executed
	endNoAllowance           // rejected without a decision: the pool has no allowance left
	endFailed                // may have been executed
	endTimedOut              // failed at its deadline
	endNoDecision            // reached its deadline without a decision
	endClientLeft
	endReasonCount // number of reasons
)

var endReasonNames = [endReasonCount]string{
	endServed:      "served",
	endShed:        "shed",
	endNoAllowance: "shed, no allowance left",
	endFailed:      "failed",
	endTimedOut:    "timed out",
	endNoDecision:  "timed out without a decision",
	endClientLeft:  "client left",
}

// endReasonOf returns the reason for a result.
func endReasonOf(kind message.ResultKind) endReason {
	switch kind {
	case message.Served:
		return endServed
	case message.Shed:
		return endShed
	case message.TimedOut:
		return endTimedOut
	default:
		return endFailed
	}
}

const (
	outcomeCount = int(balancer.OutcomeCount)
	// concurrentAttempt is the reason for a further attempt that starts while another one is in flight.
	concurrentAttempt     = outcomeCount
	concurrentAttemptName = "beside an attempt in flight"
)

var uploadEndNames = [upstream.UploadEndCount]string{
	upstream.UploadStalled: "endpoint takes no bytes",
	upstream.UploadTooSlow: "endpoint takes bytes too slowly",
}

// endCounters counts the ends of requests and attempts and the further attempts of a pool, by reason.
type endCounters struct {
	requests [endReasonCount]atomic.Int64
	attempts [outcomeCount]atomic.Int64
	retries  [outcomeCount + 1]atomic.Int64 // by the outcome of the previous attempt, or concurrentAttempt
	uploads  [upstream.UploadEndCount]atomic.Int64
}

// uploadEnded counts an upload that was given up.
func (r *endCounters) uploadEnded(reason upstream.UploadEnd) {
	if reason != upstream.UploadNotGivenUp {
		r.uploads[reason].Add(1)
	}
}

// requestEnded counts the end of a request.
func (r *endCounters) requestEnded(reason endReason) { r.requests[reason].Add(1) }

// attemptEnded counts the end of an attempt.
func (r *endCounters) attemptEnded(outcome balancer.Outcome) { r.attempts[outcome].Add(1) }

// attemptStarted counts the reason for a further attempt, given the previous attempts of the request.
func (r *endCounters) attemptStarted(previous []*attempt, inFlight int) {
	switch {
	case len(previous) == 0:
	case inFlight > 0:
		r.retries[concurrentAttempt].Add(1)
	default:
		r.retries[previous[len(previous)-1].outcome].Add(1)
	}
}

// reasonCounts are the counts of a pool by reason. Reasons with a count of 0 are omitted.
type reasonCounts struct {
	Requests map[string]int64 `json:"request_ends"`
	Attempts map[string]int64 `json:"attempt_ends"`
	Retries  map[string]int64 `json:"retries"` // by the outcome of the previous attempt
	Uploads  map[string]int64 `json:"uploads_given_up"`

	SendsAfterGrace int64 `json:"sends_after_grace"` // to withdrawn endpoints; other than 0 only by a bug

	Unsolicited unsolicitedCounts `json:"unsolicited_bytes"`

	List listReport `json:"endpoint_list"`
}

func (r *endCounters) counts() reasonCounts {
	counts := reasonCounts{
		Requests: map[string]int64{},
		Attempts: map[string]int64{},
		Retries:  map[string]int64{},
		Uploads:  map[string]int64{},
	}
	for reason := range r.requests {
		addCount(counts.Requests, endReasonNames[reason], &r.requests[reason])
	}
	for outcome := range r.attempts {
		addCount(counts.Attempts, balancer.Outcome(outcome).String(), &r.attempts[outcome])
		addCount(counts.Retries, balancer.Outcome(outcome).String(), &r.retries[outcome])
	}
	for reason := range r.uploads {
		addCount(counts.Uploads, uploadEndNames[reason], &r.uploads[reason])
	}
	addCount(counts.Retries, concurrentAttemptName, &r.retries[concurrentAttempt])
	return counts
}

func addCount(counts map[string]int64, name string, count *atomic.Int64) {
	if n := count.Load(); n > 0 {
		counts[name] = n
	}
}

// faultReport is the management endpoint's report on faults.
type faultReport struct {
	faultlog.Counts
	Pools map[string]reasonCounts `json:"pools"` // by name, since the start of each pool
}

// Faults implements [admin.Controller].
func (p *Proxy) Faults() (json.RawMessage, error) {
	report := faultReport{Counts: p.faults.Counts(), Pools: map[string]reasonCounts{}}
	for _, c := range p.activePools() {
		counts := c.ends.counts()
		counts.SendsAfterGrace = c.graceCheck.violations.Load()
		counts.Unsolicited = c.unsolicited.report()
		counts.List = c.listReport()
		report.Pools[c.name] = counts
	}
	return json.Marshal(report)
}
