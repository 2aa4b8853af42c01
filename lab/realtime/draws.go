package realtime

import (
	"math/rand/v2"
	"sync"

	"ryerill/lab/load"
)

// The random streams of a run; lab/sim uses the same.
const (
	delayStream  = 2
	callsStream  = 3
	clientStream = 4
	faultStream  = 6
	speedStream  = 7
)

// draws are the random streams that several goroutines draw from.
type draws struct {
	mu         sync.Mutex // guards the fields below
	delayRand  *rand.Rand
	callsRand  *rand.Rand
	clientRand *rand.Rand
}

func newDraws(seed uint64) *draws {
	return &draws{
		delayRand:  load.Stream(seed, delayStream),
		callsRand:  load.Stream(seed, callsStream),
		clientRand: load.Stream(seed, clientStream),
	}
}

// delay draws the jitter of a network delay; 0 to 1.
func (d *draws) delay() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delayRand.Float64()
}

// client draws whether a client honours Retry-After; 0 to 1.
func (d *draws) client() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.clientRand.Float64()
}

// calls draws how many calls to the next tier are made for a request.
func (d *draws) calls(mean float64) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return load.Calls(d.callsRand, mean)
}
