package outlier

import (
	"math/rand/v2"
	"testing"
	"time"
)

// An ejected endpoint gets about one probe per slot from all replicas together even if their clocks differ by any amount
// or one is set by an hour: never one probe from each replica, and no long time without a probe.
func TestProbeRateWithClockOffsets(t *testing.T) {
	const replicas, slots = 30, 3000
	for name, clock := range map[string]func(rng *rand.Rand) time.Duration{
		"200 ms apart": func(rng *rand.Rand) time.Duration { return time.Duration(rng.IntN(200)) * time.Millisecond },
		"hours apart":  func(rng *rand.Rand) time.Duration { return time.Duration(rng.IntN(10_000)) * time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			var offsets [replicas]time.Duration
			for i := range offsets {
				offsets[i] = clock(rng)
			}
			probes, without, longest := 0, 0, 0
			for slot := range slots {
				if slot == slots/2 { // one clock is set by an hour
					offsets[0] += time.Hour
				}
				now := time.Duration(slot)*probeSlot + 10_000*time.Second
				n := 0
				for i, offset := range offsets {
					if ShouldProbe(42, now-offset, i, replicas) {
						n++
					}
				}
				probes += n
				if without++; n > 0 {
					without = 0
				}
				longest = max(longest, without)
			}
			if probes < slots*8/10 || probes > slots*12/10 {
				t.Errorf("got %d probes in %d slots, want 0.8 to 1.2 per slot", probes, slots)
			}
			if longest > 15 {
				t.Errorf("got %d slots in a row without a probe, want at most 15", longest)
			}
		})
	}
}

// A restarted endpoint starts without evidence, even if evidence on its previous start arrives late.
func TestEvidenceOnPreviousStartIsIgnored(t *testing.T) {
	d := New("reader", "z1", 1)
	pool := newPool(10)
	for _, reporter := range []string{"a", "b"} {
		d.Merge(0, against(reporter, "z1", 1, 1), 0)
	}
	if len(d.Evaluate(0, pool, 1)) != 1 {
		t.Fatal("before the restart: got no single ejected endpoint, want one")
	}
	pool[0].StartedAt = 8
	d.Merge(time.Second, against("c", "z1", 1, 1), 0)
	if ejected := d.Evaluate(time.Second, pool, 1); len(ejected) > 0 {
		t.Errorf("after the restart: got verdicts %v, want none", ejected)
	}
}
