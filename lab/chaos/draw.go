package chaos

import (
	"math/rand/v2"
	"slices"
	"time"

	"ryerill/lab/faultnet"
)

const (
	scheduleStream = 21              // of the seed
	firstFault     = 7 * time.Second // the fleet is whole by then
	faultInterval  = 4 * time.Second // mean
	rounding       = 10 * time.Millisecond
	minDuration    = time.Second
	extraDuration  = 6 * time.Second // mean
	zones          = 3
)

// weights are the relative frequencies of the kinds.
var weights = map[Kind]int{
	Isolate:         3,
	IsolateOutgoing: 2,
	Split:           3,
	DegradeNetwork:  3,
	Stop:            3,
	Kill:            5,
	Leave:           1,
	Demand:          6,
	HarmlessRollout: 2,
	CostlyRollout:   2,
	AbortRollout:    1,
	ZoneFault:       2,
	DiskFailure:     2,
	RotateKeys:      1,
	Upgrade:         2,
	DiscoverySilent: 1,
	DiscoveryLate:   1,
}

// The values from which Amount is drawn.
var (
	demands      = []float64{0, 5, 50, 400}
	rolloutCosts = []float64{0.05, 0.2, 0.9}
	delays       = []float64{0.3, 1, 3} // seconds: less and more than calls of discovery wait
)

// drawer draws the steps of a schedule.
type drawer struct {
	rng      *rand.Rand
	replicas int
	length   time.Duration
	kinds    []Kind // each as often as its weight
}

// Draw returns a random schedule. Faults overlap more often than not.
func Draw(replicas int, length time.Duration, seed uint64) Schedule {
	d := &drawer{rng: rand.New(rand.NewPCG(seed, scheduleStream)), replicas: replicas, length: length}
	for _, kind := range kinds {
		for range weights[kind] {
			d.kinds = append(d.kinds, kind)
		}
	}
	s := Schedule{Replicas: replicas, Seed: seed, Length: length}
	for at := firstFault; at < length; at += time.Duration(d.rng.ExpFloat64() * float64(faultInterval)) {
		s.Steps = append(s.Steps, d.step(at))
	}
	return s
}

func (d *drawer) step(at time.Duration) Step {
	kind := d.kinds[d.rng.IntN(len(d.kinds))]
	duration := time.Duration((1 + d.rng.ExpFloat64()*extraDuration.Seconds()) * float64(minDuration)).Round(rounding)
	step := Step{
		At:       at.Round(rounding),
		Kind:     kind,
		Duration: min(duration, max(d.length-at, minDuration)),
	}
	switch kind {
	case Split:
		step.Replicas = d.some(d.replicas / 2)
	case DegradeNetwork:
		step.Link = d.link()
	case Kill:
		step.Replicas = d.some(max(d.replicas/4, 2))
	case Demand:
		step.Replicas = d.some(max(d.replicas/3, 2))
		step.Amount = demands[d.rng.IntN(len(demands))]
	case CostlyRollout:
		step.Replicas = d.some(1)
		step.Amount = rolloutCosts[d.rng.IntN(len(rolloutCosts))]
	case ZoneFault:
		step.Amount = 0.1 + 0.3*d.rng.Float64()
		step.Replicas = []int{d.rng.IntN(zones)}
	case DiscoveryLate:
		step.Amount = delays[d.rng.IntN(len(delays))]
	case DiscoverySilent: // it is one service for all
	case AbortRollout, HarmlessRollout, RotateKeys, Upgrade:
		step.Replicas = d.some(1)
	default:
		step.Replicas = d.some(max(d.replicas/6, 2))
	}
	return step
}

func (d *drawer) link() faultnet.Link {
	return faultnet.Link{
		Drop:      0.4 * d.rng.Float64(),
		Duplicate: 0.2 * d.rng.Float64(),
		Reorder:   0.2 * d.rng.Float64(),
		Corrupt:   0.05 * d.rng.Float64(),
		Delay:     time.Duration(d.rng.IntN(200)) * time.Millisecond,
		Jitter:    time.Duration(1+d.rng.IntN(300)) * time.Millisecond,
	}
}

// some draws up to limit replicas, one at least.
func (d *drawer) some(limit int) (replicas []int) {
	for range 1 + d.rng.IntN(max(limit, 1)) {
		replica := d.rng.IntN(d.replicas)
		if !slices.Contains(replicas, replica) {
			replicas = append(replicas, replica)
		}
	}
	slices.Sort(replicas)
	return replicas
}
