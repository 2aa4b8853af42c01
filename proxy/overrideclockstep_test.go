package proxy

import (
	"context"
	"errors"
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"ryerill/internal/overridestore"
	"ryerill/override"
)

// An endpoint that is restored after a step of the wall clock counts as started at the order, by the clock of the
// decisions, and goes on counting so: it warms up, neither never nor for longer.
func TestRestoredAcrossWallClockStep(t *testing.T) {
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
func TestDrainStartKeptAcrossWallClockStep(t *testing.T) {
	const before = 2 * time.Second // the step
	for _, step := range steps {
		ordered := time.Duration(time.Now().Add(-before - step).UnixNano()) // as the wall clock has it now
		p := &Proxy{overrides: override.Set{DrainSince: ordered}}
		p.drainStart = drainStart{requestedAt: ordered, startedAt: takenBeforeStep(t, time.Now().Add(-before), step)}
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

// orderBeforeStep has another process of a proxy order a change, after which the wall clock steps.
func orderBeforeStep(t *testing.T, path string, step time.Duration, order overridestore.ChangeFunc) {
	t.Helper()
	other := overridestore.Open(path, slog.New(slog.DiscardHandler), func(override.Set) {})
	err := other.Update(func(set override.Set, now time.Duration) (override.Set, error) { return order(set, now-step) })
	if err != nil && !errors.Is(err, overridestore.ErrNotPersisted) {
		t.Fatal(err)
	}
}

func startDrain(set override.Set, now time.Duration) (override.Set, error) {
	return set.StartDrain(now), nil
}

// newProcess is a process of a proxy that begins and has read the overrides.
func newProcess(path string) *Proxy {
	p := &Proxy{log: slog.New(slog.DiscardHandler), clock: clock{time.Now()}}
	p.openOverrides(path)
	return p
}

// A drain that another process has ordered is no older than what this one saw of the file before: neither does a step
// of the wall clock between the order and here have all its phases at once, nor does it begin later than it is seen.
func TestOtherProcessDrainAcrossWallClockStep(t *testing.T) {
	for _, step := range append(steps, 0) {
		path := filepath.Join(t.TempDir(), "overrides")
		p := newProcess(path)
		ctx, cancel := context.WithCancel(t.Context())
		watching := make(chan struct{})
		go func() { defer close(watching); p.store.Watch(ctx) }()
		began := time.Now()
		waitUntil(t, "the file is looked at", func() bool { return p.store.KnownAt().After(began) })
		orderBeforeStep(t, path, step, startDrain)
		waitUntil(t, "the drain is seen", func() bool { return p.store.Current().DrainSince != 0 })
		p.mu.Lock()
		start := p.drainStartLocked()
		p.mu.Unlock()
		if start.Before(began) || start.After(time.Now()) {
			t.Errorf("step of %v: began %v after the file was looked at last, %v ago", step, start.Sub(began), time.Since(began))
		}
		cancel()
		<-watching
	}
}

// What a process finds at its start is of the past: a step back between the order and the restart neither has a drain
// begin later, nor a restored endpoint start later, than they are found.
func TestOrdersFoundAtRestartAcrossWallClockStep(t *testing.T) {
	for _, step := range append(steps, 0) {
		path := filepath.Join(t.TempDir(), "overrides")
		orderBeforeStep(t, path, step, startDrain)
		orderBeforeStep(t, path, step, func(set override.Set, now time.Duration) (override.Set, error) {
			set, err := set.TakeDown("a", now)
			return set.Restore("a", now), err
		})
		p := newProcess(path)
		stated := p.storedOverrides.Restored["a"]
		counted := p.overrides.Restored["a"]
		if counted > p.clock.now() || counted > stated {
			t.Errorf("step of %v: restored %v after the start, as stated %v after it", step, counted-p.clock.now(),
				stated-p.clock.now())
		}
		p.mu.Lock()
		start := p.drainStartLocked()
		p.mu.Unlock()
		if start.After(time.Now()) {
			t.Errorf("step of %v: the drain begins in %v", step, time.Until(start))
		}
		// Another order doesn't change how what was found counts.
		next, err := p.storedOverrides.TakeDown("b", p.clock.now())
		if err != nil {
			t.Fatal(err)
		}
		p.setOverrides(next)
		if again := p.overrides.Restored["a"]; again != counted {
			t.Errorf("step of %v: restored at %v, then at %v", step, counted, again)
		}
	}
}
