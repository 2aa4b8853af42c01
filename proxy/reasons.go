package proxy

import (
	"encoding/json"
	"sync/atomic"

	"ryerill/balancer"
	"ryerill/internal/faultlog"
	"ryerill/message"
)

// requestEnd is why a request has ended.
type requestEnd uint8

// The reasons.
const (
	endServed     requestEnd = iota
	endShed                  // rejected by a decision: nothing of it ran
	endFull                  // rejected unseen: the pool has no allowance left
	endFailed                // nothing is known of its execution
	endTimedOut              // failed as its time was over
	endNoDecision            // its time was over, and nothing had been decided
	endClientLeft
	requestEnds // their number
)

var requestEndNames = [requestEnds]string{
	endServed:     "served",
	endShed:       "shed",
	endFull:       "shed, no allowance left",
	endFailed:     "failed",
	endTimedOut:   "timed out",
	endNoDecision: "timed out without a decision",
	endClientLeft: "client left",
}

// endOf is the reason of a result.
func endOf(kind message.ResultKind) requestEnd {
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
	outcomes = int(balancer.OutcomeCount)
	// besideAnother is the reason of a further attempt that begins while an earlier one is in flight.
	besideAnother     = outcomes
	besideAnotherName = "beside an attempt in flight"
)

// reasons counts, of one pool, why requests and attempts have ended and why further attempts were made.
type reasons struct {
	requests [requestEnds]atomic.Int64
	attempts [outcomes]atomic.Int64
	retries  [outcomes + 1]atomic.Int64 // by the outcome of the attempt before, and besideAnother
}

// requestEnded counts a request's end.
func (r *reasons) requestEnded(why requestEnd) { r.requests[why].Add(1) }

// attemptEnded counts an attempt's end.
func (r *reasons) attemptEnded(outcome balancer.Outcome) { r.attempts[outcome].Add(1) }

// attemptStarted counts why a further attempt is made, given those that were made before.
func (r *reasons) attemptStarted(before []*attempt, inFlight int) {
	switch {
	case len(before) == 0:
	case inFlight > 0:
		r.retries[besideAnother].Add(1)
	default:
		r.retries[before[len(before)-1].outcome].Add(1)
	}
}

// reasonCounts are the counts of a pool by their names; what never happened is left out.
type reasonCounts struct {
	Requests map[string]int64 `json:"request_ends"`
	Attempts map[string]int64 `json:"attempt_ends"`
	Retries  map[string]int64 `json:"retries"` // by the end of the attempt before

	SendsAfterGrace int64 `json:"sends_after_grace"` // to withdrawn endpoints: 0 unless this proxy is at fault

	Unsolicited unsolicitedCounts `json:"unsolicited_bytes"`

	List listReport `json:"endpoint_list"`
}

func (r *reasons) counts() reasonCounts {
	counts := reasonCounts{Requests: map[string]int64{}, Attempts: map[string]int64{}, Retries: map[string]int64{}}
	for why := range r.requests {
		addCount(counts.Requests, requestEndNames[why], &r.requests[why])
	}
	for outcome := range r.attempts {
		addCount(counts.Attempts, balancer.Outcome(outcome).String(), &r.attempts[outcome])
		addCount(counts.Retries, balancer.Outcome(outcome).String(), &r.retries[outcome])
	}
	addCount(counts.Retries, besideAnotherName, &r.retries[besideAnother])
	return counts
}

func addCount(counts map[string]int64, name string, count *atomic.Int64) {
	if n := count.Load(); n > 0 {
		counts[name] = n
	}
}

// faultReport is what the management endpoint tells of faults.
type faultReport struct {
	faultlog.Counts
	Pools map[string]reasonCounts `json:"pools"` // since each began
}

// Faults implements [admin.Controller].
func (p *Proxy) Faults() (json.RawMessage, error) {
	report := faultReport{Counts: p.faults.Counts(), Pools: map[string]reasonCounts{}}
	for _, c := range p.activePools() {
		counts := c.reasons.counts()
		counts.SendsAfterGrace = c.graceCheck.violations.Load()
		counts.Unsolicited = c.unsolicited.report()
		counts.List = c.listReport()
		report.Pools[c.name] = counts
	}
	return json.Marshal(report)
}
