package balancer

import (
	"math"
	"time"
)

const (
	// pollToken is the token of the timer for the next request for the endpoint list.
	pollToken = 0

	// unseenChangeDelay is the time after which a list change binds even if no answer has reported it. A
	// shorter Contract.MaxPollInterval replaces it.
	unseenChangeDelay = 6 * time.Second
	// maxSendDelay is the maximum time between the decision to send an attempt and its sending.
	maxSendDelay = 150 * time.Millisecond

	pollsBeforeBreach = 3    // minimum polls between an unreported change and the first breach of it
	firstPollShare    = 0.25 // first wait as a part of the longest wait; it doubles with each further failure
	minPollWait       = 0.1  // minimum part of the wait; jitter adds up to the rest of it
)

// minReportedFailures is the number of failures in a row that is logged first, since fewer are common. From
// then on each doubling is logged.
const minReportedFailures = 4

// listPoll is the state of polling for the endpoint list.
type listPoll struct {
	scheduled bool // a timer with pollToken is set
	failures  int  // in a row
}

// schedulePoll sets a timer for the next poll of the list. It adds jitter, as all replicas may start or fail
// at once.
func (b *Balancer) schedulePoll() {
	if !b.cfg.Subscribe || b.poll.scheduled {
		return
	}
	b.poll.scheduled = true
	wait := float64(b.poll.wait(&b.cfg.Contract))
	delay := time.Duration(wait * (minPollWait + (1-minPollWait)*b.random.float64()))
	b.emit(&Action{Kind: SetTimer, Delay: delay, Token: pollToken})
}

// wait returns the time until the next poll, without jitter. An overloaded discovery service rejects most
// calls, so several polls must fit into the time before an unreported change is breached. Each rejection
// costs the service work: with eight polls, the load of all replicas kept it from serving any.
func (p *listPoll) wait(contract *Contract) time.Duration {
	grace := max(contract.DrainGrace-maxSendDelay, 0)
	breach := min(contract.MaxPollInterval, unseenChangeDelay) + grace
	longest := breach / pollsBeforeBreach
	share := firstPollShare * math.Exp2(float64(max(p.failures-1, 0)))
	return time.Duration(min(share, 1) * float64(longest))
}

func isPowerOfTwo(n int) bool { return n&(n-1) == 0 }
