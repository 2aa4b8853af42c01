package balancer

import (
	"math"
	"time"
)

// Constants of the limiter. Like those of other policy files, they are ratios of Config values, so that they
// fit deployments of any speed and size. Latencies are in latency objectives, of the class or the shortest.
const (
	windowShare             = 0.125 // window length; a slow-down congests endpoints in one or two objectives
	minRequests             = 8     // samples to end a window, or the ceiling if lower, for quiet replicas
	maxSamples              = 256   // maximum samples per window
	overdueShare            = 0.6   // part of busy endpoints that must have an attempt in flight beyond Lmax
	windowPercentile        = 60    // above the median, yet robust to chance and to a few hung endpoints
	lmaxShare               = 0.6   // Lmax at the front; the rest is a reserve for queueing still to come
	lmaxShareNoLateValue    = 0.55  // Lmax if late answers have no value, as congestion then loses all
	backoffRatio            = 0.9   // factor of a cut; windows are short, so an objective has several
	minBackoff              = 0.5   // lowest factor of a cut for several windows at once
	maxSlots                = 10.0  // ceiling per endpoint; it must not bind under light load
	initialSlots            = 8.0   // initial limit per endpoint; the rest is for times with peers down
	initialSlotsNoLateValue = 4.0   // the same if late answers have no value: a congested start loses all
	minSlots                = 1.0   // floor per endpoint; a lower one would leave endpoints idle
	maxStep                 = 0.1   // growth is 1 or, if lower, this part of the ceiling: many replicas grow
	burstAllowance          = 3.0   // attempts by which a random burst may exceed the limit
	maxDebt                 = 8.0   // attempts that may be overdrawn if the limit is below 1
	creditWindow            = 0.25  // objectives over which credit is paid back; the mean is the limit
)

// limiter bounds the attempts in flight to the next tier by an AIMD limit, maxIFR. Once endpoints are known,
// floor <= maxIFR <= ceiling.
type limiter struct {
	maxIFR, floor, ceiling float64
	lmax                   float64
	initialSlots           float64
	objective              time.Duration // shortest latency objective of all classes

	burstCredit float64 // recently unused slots; negative if overdrawn
	creditAt    time.Duration
	window      sampleWindow
	windowEnd   time.Duration
}

func newLimiter(cfg *Config) limiter {
	late := math.Ceil(min(cfg.maxLateWeight(), 1))
	tiersLeft := float64(cfg.Tiers-cfg.Tier) / float64(cfg.Tiers)
	return limiter{
		lmax:         (lmaxShareNoLateValue + (lmaxShare-lmaxShareNoLateValue)*late) * tiersLeft,
		initialSlots: initialSlotsNoLateValue + (initialSlots-initialSlotsNoLateValue)*late,
		objective:    cfg.shortestObjective(),
	}
}

// updateLimit ends the window if it is over and has enough samples. Otherwise the limit stays and the samples
// are carried over.
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

// accrueCredit adds the slots that were unused since the last call to the burst credit, and pays back
// overdrawn slots.
func (l *limiter) accrueCredit(now time.Duration, occupied int) {
	unused := (l.maxIFR - float64(occupied)) * float64(now-l.creditAt)
	l.burstCredit += unused / float64(l.objective) / creditWindow
	minCredit := -max(1, maxDebt*math.Floor(1/l.ceiling))
	l.burstCredit = min(max(l.burstCredit, minCredit), burstAllowance)
	l.creditAt = now
}

// endWindow cuts the limit if the window's latency is above Lmax, raises it otherwise, and returns the
// latency. A cut covers the windows that had too few samples, or thousands of quiet replicas would cut too
// late.
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

// sampleOverdue adds the ages of attempts in flight beyond Lmax as samples if most busy endpoints have one:
// ended attempts show an overload of the tier too late. If only a few endpoints have one, those hang, which
// says nothing about the tier.
func (l *limiter) sampleOverdue(now time.Duration, attempts *attemptTable) {
	attempts.markLate(now, l.lmax)
	if float64(attempts.lateEndpoints) > overdueShare*float64(attempts.busyEndpoints) {
		l.window.fill(attempts.youngestLate(now, l.window.free()))
	}
}

// resize scales the limit when this replica's number of endpoints changes, so that the slots per endpoint
// stay. The first limit is initialSlots per endpoint: a higher one is cut within an objective, a lower one
// sheds.
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
