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

// An endpoint that is restored after a step of the wall clock counts as started at the order by the decision clock,
// and its start stays the same. Otherwise its warm-up would be skipped or prolonged.
func TestRestoredAcrossWallClockStep(t *testing.T) {
	for _, step := range clockSteps {
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
			t.Errorf("step of %v: endpoint counts as restored %v before the order, want between order and now", step, began-at)
		}
		next, err := restored.TakeDown("b", wall+time.Second)
		if err != nil {
			t.Fatal(err)
		}
		p.setOverrides(next)
		if again := p.overrides.Restored["a"]; again != at {
			t.Errorf("step of %v: endpoint restored at %v, after another order at %v; want no change", step, at, again)
		}
		time.Sleep(time.Millisecond)
		wall += 2 * time.Second
		if next, err = next.TakeDown("a", wall); err != nil {
			t.Fatal(err)
		}
		p.setOverrides(next.Restore("a", wall))
		if later := p.overrides.Restored["a"]; later <= at || later > p.clock.now() {
			t.Errorf("step of %v: first restored at %v, restored again at %v; want a later time up to now", step, at, later)
		}
	}
}

// The start of a drain stays the same across a step of the wall clock, also for listeners that open later.
func TestDrainStartKeptAcrossWallClockStep(t *testing.T) {
	const before = 2 * time.Second // age of the drain at the step
	for _, step := range clockSteps {
		ordered := time.Duration(time.Now().Add(-before - step).UnixNano()) // by the current wall clock
		p := &Proxy{overrides: override.Set{DrainSince: ordered}}
		p.drainStart = drainStart{requestedAt: ordered, startedAt: takenBeforeStep(t, time.Now().Add(-before), step)}
		if ago := time.Since(p.drainStartLocked()); ago < before || ago > before+500*time.Millisecond {
			t.Errorf("step of %v: drain began %v ago, want %v", step, ago, before)
		}
	}
	ordered := time.Duration(time.Now().UnixNano())
	p := &Proxy{overrides: override.Set{DrainSince: ordered}}
	first := p.drainStartLocked()
	if again := p.drainStartLocked(); again != first {
		t.Errorf("drain began at %v, on the second call at %v", first, again)
	}
	p.overrides.DrainSince = 0
	if start := p.drainStartLocked(); !start.IsZero() {
		t.Errorf("without a drain: got start %v, want zero", start)
	}
}

// orderBeforeStep persists an order of another process of the proxy, as made before the wall clock stepped.
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

// newProcess returns a proxy that has just started and read the overrides.
func newProcess(path string) *Proxy {
	p := &Proxy{log: slog.New(slog.DiscardHandler), clock: clock{time.Now()}}
	p.openOverrides(path)
	return p
}

// A drain ordered by another process starts no earlier than this process's previous look at the file and no later than
// the drain is seen. Otherwise a step of the wall clock would skip all phases of the drain, or delay its start.
func TestOtherProcessDrainAcrossWallClockStep(t *testing.T) {
	for _, step := range append(clockSteps, 0) {
		path := filepath.Join(t.TempDir(), "overrides")
		p := newProcess(path)
		ctx, cancel := context.WithCancel(t.Context())
		watching := make(chan struct{})
		go func() { defer close(watching); p.store.Watch(ctx) }()
		began := time.Now()
		waitUntil(t, "the file to be read", func() bool { return p.store.KnownAt().After(began) })
		orderBeforeStep(t, path, step, startDrain)
		waitUntil(t, "the drain to be seen", func() bool { return p.store.Current().DrainSince != 0 })
		p.mu.Lock()
		start := p.drainStartLocked()
		p.mu.Unlock()
		if start.Before(began) || start.After(time.Now()) {
			t.Errorf("step of %v: drain began %v after the last read without it, which was %v ago; want between both", step, start.Sub(began), time.Since(began))
		}
		cancel()
		<-watching
	}
}

// Orders that a process finds at its start lie in the past: after a step back between order and restart, neither a drain
// nor a restored endpoint starts later than the process reads the order.
func TestOrdersFoundAtRestartAcrossWallClockStep(t *testing.T) {
	for _, step := range append(clockSteps, 0) {
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
			t.Errorf("step of %v: endpoint counts as restored %v from now, stored time is %v from now; want at most both", step, counted-p.clock.now(),
				stated-p.clock.now())
		}
		p.mu.Lock()
		start := p.drainStartLocked()
		p.mu.Unlock()
		if start.After(time.Now()) {
			t.Errorf("step of %v: drain begins %v from now, want in the past", step, time.Until(start))
		}
		// A further order does not change the start of an endpoint that was restored before.
		next, err := p.storedOverrides.TakeDown("b", p.clock.now())
		if err != nil {
			t.Fatal(err)
		}
		p.setOverrides(next)
		if again := p.overrides.Restored["a"]; again != counted {
			t.Errorf("step of %v: endpoint restored at %v, after another order at %v; want no change", step, counted, again)
		}
	}
}
