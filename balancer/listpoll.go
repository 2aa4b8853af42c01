package balancer

import (
	"math"
	"time"
)

const (
	// pollToken is the token of the timer for the next request for the endpoint list.
	pollToken = 0

	// A change binds this long after the discovery service had it, whether or not an answer has told of it, and
	// sooner where the contract wants the list requested more often.
	unseenChangeBinds = 6 * time.Second
	// A request may leave this long after it was decided.
	maxSendDelay = 150 * time.Millisecond

	pollsBeforeBreach = 3    // polls, at least, from a change that no answer tells of to its breach
	firstPollShare    = 0.25 // of the longest wait: the first one, doubled with each further failure
	minPollWait       = 0.1  // of the wait passes at least; jitter adds up to the whole of it
)

// minReportedFailures is how many failures in a row are reported first; fewer are common. From then on each
// doubling of them is.
const minReportedFailures = 4

// listPoll is the state of asking for the endpoint list.
type listPoll struct {
	scheduled bool // a timer with pollToken is set
	failures  int  // in a row
}

// schedulePoll sets a timer with jitter to poll the list: all replicas may start or fail at once.
func (b *Balancer) schedulePoll() {
	if !b.cfg.Subscribe || b.poll.scheduled {
		return
	}
	b.poll.scheduled = true
	wait := float64(b.poll.wait(&b.cfg.Contract))
	delay := time.Duration(wait * (minPollWait + (1-minPollWait)*b.random.float64()))
	b.act(&Action{Kind: SetTimer, Delay: delay, Token: pollToken})
}

// wait is the wait before the next poll, without jitter. An overloaded service rejects most calls, so several
// must fit into the time until a change is breached that no answer has told of. But each rejection costs the
// service work: with eight, all that poll kept it from serving anybody.
func (p *listPoll) wait(contract *Contract) time.Duration {
	grace := max(contract.DrainGrace-maxSendDelay, 0)
	breach := min(contract.MaxPollInterval, unseenChangeBinds) + grace
	longest := breach / pollsBeforeBreach
	share := firstPollShare * math.Exp2(float64(max(p.failures-1, 0)))
	return time.Duration(min(share, 1) * float64(longest))
}

func isPowerOfTwo(n int) bool { return n&(n-1) == 0 }
