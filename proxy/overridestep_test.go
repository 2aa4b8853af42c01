package proxy

import (
	"log/slog"
	"testing"
	"time"

	"ryerill/override"
)

// An endpoint that is restored after a step of the wall clock counts as started at the order, by the clock of the
// decisions, and goes on counting so: it warms up, neither never nor for longer.
func TestRestoredAcrossAStep(t *testing.T) {
	for _, step := range steps {
		p := &Proxy{log: slog.New(slog.DiscardHandler), clock: clock{takenBeforeStep(t, time.Now(), step)}}
		wall := time.Duration(time.Now().UnixNano())
		down, err := override.Set{}.TakeDown("a", wall)
		if err != nil {
			t.Fatal(err)
		}
		p.setOverrides(down)
		began := p.clock.now()
		restored := down.Restore("a", wall)
		p.setOverrides(restored)
		at := p.overrides.Restored["a"]
		if at < began || at > p.clock.now() {
			t.Errorf("step of %v: restored %v before the order", step, began-at)
		}
		next, err := restored.TakeDown("b", wall+time.Second)
		if err != nil {
			t.Fatal(err)
		}
		p.setOverrides(next)
		if again := p.overrides.Restored["a"]; again != at {
			t.Errorf("step of %v: restored at %v, then at %v", step, at, again)
		}
		time.Sleep(time.Millisecond)
		wall += 2 * time.Second
		if next, err = next.TakeDown("a", wall); err != nil {
			t.Fatal(err)
		}
		p.setOverrides(next.Restore("a", wall))
		if later := p.overrides.Restored["a"]; later <= at || later > p.clock.now() {
			t.Errorf("step of %v: restored at %v, and once more at %v", step, at, later)
		}
	}
}

// A listener that opens after a step of the wall clock finds the drain as far as the others do.
func TestDrainStartStaysAcrossAStep(t *testing.T) {
	const before = 2 * time.Second // the step
	for _, step := range steps {
		ordered := time.Duration(time.Now().Add(-before - step).UnixNano()) // as the wall clock has it now
		p := &Proxy{overrides: override.Set{DrainSince: ordered}}
		p.drainStart = drainStart{ordered: ordered, at: takenBeforeStep(t, time.Now().Add(-before), step)}
		if ago := time.Since(p.drainStartLocked()); ago < before || ago > before+500*time.Millisecond {
			t.Errorf("step of %v: began %v ago, want %v", step, ago, before)
		}
	}
	ordered := time.Duration(time.Now().UnixNano())
	p := &Proxy{overrides: override.Set{DrainSince: ordered}}
	first := p.drainStartLocked()
	if again := p.drainStartLocked(); again != first {
		t.Errorf("began at %v, then at %v", first, again)
	}
	p.overrides.DrainSince = 0
	if start := p.drainStartLocked(); !start.IsZero() {
		t.Errorf("no drain began at %v", start)
	}
}
