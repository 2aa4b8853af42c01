package balancer

import (
	"math"
	"time"
)

// Settings of the limiter. Here and below they are ratios of what Config states, so that they hold for
// deployments of any pace and size. Latencies are in latency objectives, of the class or the shortest one.
const (
	windowShare        = 0.125 // windowSize: a slow-down chokes endpoints within an objective or two
	minRequests        = 8     // samples to end a window, or as many as the ceiling: quiet replicas are many
	maxSamples         = 256   // in a window
	overdueShare       = 0.6   // of the busy endpoints that must have an attempt beyond Lmax in flight
	windowPercentile   = 60    // above the median, yet slow or hung endpoints and chance hardly move it
	lmaxShare          = 0.6   // Lmax at the front: the remainder is a reserve for queueing that comes next
	lmaxShareInTime    = 0.55  // the same where late answers have no value: congestion loses all of it then
	backoffRatio       = 0.9   // a cut; windows are short, and several in one objective still fall fast
	minBackoff         = 0.5   // of the cuts for several windows at once
	maxSlots           = 10.0  // maxConcurrencyLimit an endpoint: on calm days it must not bind
	initialSlots       = 8.0   // initialConcurrencyLimit an endpoint: more is for when peers are away
	initialSlotsInTime = 4.0   // the same where late answers have no value: a congested start loses all of it
	minSlots           = 1.0   // minConcurrencyLimit an endpoint: less would leave endpoints idle
	maxStep            = 0.1   // growth is 1, or this part of the ceiling if less: many replicas grow at once
	burstAllowance     = 3.0   // attempts above the limit that a random burst may reach
	maxDebt            = 8.0   // attempts that may be overdrawn where the limit is below 1
	creditWindow       = 0.25  // objectives over which credit is paid back: on average the limit holds
)

// limiter bounds the attempts in flight to the next tier by one AIMD limit. Once endpoints are known,
// floor <= maxIFR <= ceiling.
type limiter struct {
	maxIFR, floor, ceiling float64
	lmax                   float64
	initialSlots           float64
	objective              time.Duration // the shortest of a class

	burstCredit float64 // slots unused recently, negative if overdrawn
	creditAt    time.Duration
	window      sampleWindow
	windowEnd   time.Duration
}

func newLimiter(cfg *Config) limiter {
	late := math.Ceil(min(cfg.maxLateWeight(), 1))
	tiersLeft := float64(cfg.Tiers-cfg.Tier) / float64(cfg.Tiers)
	return limiter{
		lmax:         (lmaxShareInTime + (lmaxShare-lmaxShareInTime)*late) * tiersLeft,
		initialSlots: initialSlotsInTime + (initialSlots-initialSlotsInTime)*late,
		objective:    cfg.shortestObjective(),
	}
}

// updateLimit ends a window that is over. With too few samples the limit holds, and they are carried over.
func (b *Balancer) updateLimit() {
	l := &b.limiter
	l.accrueCredit(b.now, b.attempts.occupied())
	if b.now < l.windowEnd || l.window.count < max(1, min(minRequests, int(l.ceiling))) {
		return
	}
	before := l.maxIFR
	latency := l.endWindow(b.now, &b.attempts)
	if l.maxIFR == l.floor && before > l.floor {
		b.logf("limit: at its floor of %.1f, latency %.2f aims, Lmax %.2f", l.floor, latency, l.lmax)
	}
}

// accrueCredit saves up the slots that were not in use since the last call, and pays back overdrawn ones.
func (l *limiter) accrueCredit(now time.Duration, occupied int) {
	unused := (l.maxIFR - float64(occupied)) * float64(now-l.creditAt)
	l.burstCredit += unused / float64(l.objective) / creditWindow
	minCredit := -max(1, maxDebt*math.Floor(1/l.ceiling))
	l.burstCredit = min(max(l.burstCredit, minCredit), burstAllowance)
	l.creditAt = now
}

// endWindow cuts the limit if the window's latency is above Lmax, else lets it grow, and returns the latency.
// A quiet replica makes up for windows with too few samples, or thousands would be late to cut.
func (l *limiter) endWindow(now time.Duration, attempts *attemptTable) (latency float64) {
	size := windowShare * float64(l.objective)
	missed := math.Floor(float64(now-l.windowEnd) / size)
	cut := max(math.Pow(backoffRatio, 1+missed), minBackoff)
	l.windowEnd = now + time.Duration(size)
	l.sampleOverdue(now, attempts)
	latency = l.window.percentile(windowPercentile)
	if latency > l.lmax {
		l.maxIFR = max(l.maxIFR*cut, l.floor)
	} else {
		l.maxIFR = min(l.maxIFR+min(1, maxStep*l.ceiling), l.ceiling)
	}
	l.window.reset()
	return latency
}

// sampleOverdue takes the attempts in flight beyond Lmax as samples, if most busy endpoints have such: where
// all are overloaded, attempts that end show it too late. A few show hung endpoints, not the tier's state.
func (l *limiter) sampleOverdue(now time.Duration, attempts *attemptTable) {
	attempts.markLate(now, l.lmax)
	if float64(attempts.lateEndpoints) > overdueShare*float64(attempts.busyEndpoints) {
		l.window.fill(attempts.youngestLate(now, l.window.free()))
	}
}

// resize keeps the limit's slots an endpoint when this replica's part of the endpoints changes. The first
// limit is initialConcurrencyLimit: a higher one is cut within an objective, a lower one starves.
func (l *limiter) resize(endpoints float64) {
	if l.ceiling > 0 {
		l.maxIFR *= maxSlots * endpoints / l.ceiling
	}
	l.floor, l.ceiling = minSlots*endpoints, maxSlots*endpoints
	if l.maxIFR == 0 {
		l.maxIFR = l.initialSlots * endpoints
	}
	l.maxIFR = min(max(l.maxIFR, l.floor), l.ceiling)
}
