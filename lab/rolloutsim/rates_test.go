package rolloutsim

import "testing"

// share is the part of some rollouts of which a condition holds.
func share(t *testing.T, runs, replicas int, day Day, cost float64, holds func(Result) bool) float64 {
	t.Helper()
	count := 0
	for seed := range uint64(runs) {
		if holds(Play(replicas, day, cost, seed)) {
			count++
		}
	}
	t.Logf("%d replicas, %s, cost %g: %d of %d", replicas, day, cost, count, runs)
	return float64(count) / float64(runs)
}

// The stated rates: a harmless change is stopped in under 1 of 100 rollouts, and one that costs 5 points of goodput
// before a tenth of the fleet has it in 95 of 100. A stop for too little knowledge is no false alarm. Replicas that differ
// much by themselves (Uneven) are not among the days for which the rates are stated.
func TestStatedErrorRatesHold(t *testing.T) {
	const runs, harmfulRuns = 150, 100
	wrongly := func(r Result) bool { return r.Stopped && !r.Unknown }
	for _, day := range []Day{Calm, Burst, Faulty} {
		if rate := share(t, runs, 12, day, 0, wrongly); rate >= 0.01 {
			t.Errorf("%s: %.3f of harmless changes were stopped", day, rate)
		}
	}
	early := func(r Result) bool { return r.Stopped && r.Reached <= 0.1 }
	for _, day := range []Day{Calm, Burst, Faulty} {
		if rate := share(t, harmfulRuns, 60, day, 0.05, early); rate < 0.95 {
			t.Errorf("%s: %.3f of changes that cost 5 points were stopped early", day, rate)
		}
	}
}

// A run has the same result for the same seed, whatever else runs.
func TestEqualSeedsHaveEqualRollouts(t *testing.T) {
	for _, day := range []Day{Calm, Burst, Faulty, Uneven} {
		if a, b := Play(12, day, 0.02, 7), Play(12, day, 0.02, 7); a != b {
			t.Errorf("%s: %+v and %+v", day, a, b)
		}
	}
}
