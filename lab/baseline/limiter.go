package baseline

import (
	"math"
	"time"
)

// limiter limits the attempts in flight.
type limiter interface {
	// limit is how many may be in flight; 0 is no limit.
	limit() float64
	// setReady takes how many endpoints are ready.
	setReady(endpoints int)
	// ended takes an attempt that has ended, with how many were in flight before it did.
	ended(elapsed time.Duration, inFlight int, served bool)
}

// unlimited is no limit.
type unlimited struct{}

func (unlimited) limit() float64                 { return 0 }
func (unlimited) setReady(int)                   {}
func (unlimited) ended(time.Duration, int, bool) {}

// fixed is a number of attempts for each ready endpoint, an equal fraction of it for each proxy.
type fixed struct {
	perEndpoint float64
	fraction    float64
	ready       int
}

func (f *fixed) limit() float64                 { return max(1, f.perEndpoint*float64(f.ready)*f.fraction) }
func (f *fixed) setReady(endpoints int)         { f.ready = endpoints }
func (f *fixed) ended(time.Duration, int, bool) {}

// Defaults of Netflix's concurrency-limits library for its Gradient2 limit.
const (
	gradientInitial   = 20.0
	gradientMin       = 20.0
	gradientMax       = 200.0
	gradientQueue     = 4.0 // attempts that may wait
	gradientSmoothing = 0.2
	gradientTolerance = 1.5
	gradientSpan      = 600.0 // attempts that the long average spans
	gradientWarmUp    = 10    // attempts

	// The load has gone once the long average is so many times the latest latency: the average then follows faster.
	gradientDrift = 2
	gradientDecay = 0.95

	gradientMinRatio = 0.5
)

// gradient is the Gradient2 limit of Netflix's concurrency-limits library: the ratio of a long average of latency to
// the latest one moves the limit, a short queue is allowed for, and changes are smoothed.
type gradient struct {
	estimate float64
	average  float64 // long, in seconds
	samples  int     // until the average is warm
}

func newGradient() *gradient { return &gradient{estimate: gradientInitial} }

func (g *gradient) limit() float64 { return math.Floor(g.estimate) }
func (g *gradient) setReady(int)   {}

func (g *gradient) ended(elapsed time.Duration, inFlight int, served bool) {
	if !served || elapsed <= 0 {
		return
	}
	latency := elapsed.Seconds()
	g.updateAverage(latency)
	if float64(inFlight) < g.estimate/2 { // it is not the limit that bounds the traffic
		return
	}
	ratio := math.Max(gradientMinRatio, math.Min(1, gradientTolerance*g.average/latency))
	next := g.estimate*ratio + gradientQueue
	smoothed := g.estimate*(1-gradientSmoothing) + next*gradientSmoothing
	g.estimate = math.Max(gradientMin, math.Min(gradientMax, smoothed))
}

func (g *gradient) updateAverage(latency float64) {
	if g.samples < gradientWarmUp {
		g.average = (g.average*float64(g.samples) + latency) / float64(g.samples+1)
		g.samples++
	} else {
		g.average += (latency - g.average) * 2 / (gradientSpan + 1)
	}
	if g.average/latency > gradientDrift {
		g.average *= gradientDecay
	}
}
