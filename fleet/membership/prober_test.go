package membership

import (
	"testing"
	"time"
)

// Timeouts follow round-trip times between bounds, and grow with poor local health.
func TestAckTimeout(t *testing.T) {
	for _, tc := range []struct {
		name  string
		rtt   time.Duration // 0 is none yet
		score int
		want  time.Duration
	}{
		{"none measured", 0, 0, 60 * time.Millisecond},
		{"short", time.Millisecond, 0, 60 * time.Millisecond},
		{"long", 200 * time.Millisecond, 0, 500 * time.Millisecond},
		{"beyond the bound", 10 * time.Second, 0, maxProbeTimeout},
		{"poor health", time.Millisecond, 3, 240 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := prober{interval: DefaultProbeInterval, minTimeout: DefaultProbeTimeout}
			p.health.score = tc.score
			if tc.rtt > 0 {
				p.rtt.observe(tc.rtt)
			}
			if got := p.ackTimeout().Round(time.Millisecond); got > tc.want || got < tc.want-tc.want/8 {
				t.Errorf("%v, want %v", got, tc.want)
			}
			if p.period() < 2*p.ackTimeout() {
				t.Errorf("a period of %v holds no two timeouts of %v", p.period(), p.ackTimeout())
			}
		})
	}
}

// An ack ends the probe it belongs to, also one that another member passed on; a late one
// gives a round-trip time all the same.
func TestAckEndsItsProbe(t *testing.T) {
	target, other := &member{Record: update("b", Alive)}, &member{Record: update("c", Alive)}
	begin := func() *prober {
		p := &prober{interval: DefaultProbeInterval, minTimeout: DefaultProbeTimeout}
		p.start(time.Second, target)
		return p
	}
	for _, tc := range []struct {
		name  string
		ack   func(p *prober)
		ended bool
		timed bool
	}{
		{"direct", func(p *prober) { p.acknowledgedDirectly(1001*time.Millisecond, target, 1) }, true, true},
		{"of another member", func(p *prober) { p.acknowledgedDirectly(1001*time.Millisecond, other, 1) }, false, false},
		{"of another probe", func(p *prober) { p.acknowledgedDirectly(1001*time.Millisecond, target, 2) }, false, false},
		{"indirect", func(p *prober) { p.acknowledgedIndirectly("b", 1) }, true, false},
		{"indirect of another", func(p *prober) { p.acknowledgedIndirectly("c", 1) }, false, false},
		{"late", func(p *prober) {
			p.current = nil
			p.acknowledgedDirectly(5*time.Second, target, 1)
		}, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := begin()
			tc.ack(p)
			if ended, timed := p.current == nil, p.rtt.smoothed > 0; ended != tc.ended || timed != tc.timed {
				t.Errorf("ended %v, timed %v", ended, timed)
			}
		})
	}
}

func TestLocalHealthStaysWithinBounds(t *testing.T) {
	var h localHealth
	h.improve()
	if h.multiplier() != 1 {
		t.Errorf("better than good: %d", h.score)
	}
	for range 2 * maxLocalHealth {
		h.worsen()
	}
	if h.score != maxLocalHealth {
		t.Errorf("worse than worst: %d", h.score)
	}
	h = localHealth{}
	for i := range 10 { // refutations within a second count once
		h.refuted(2*time.Second + time.Duration(i)*50*time.Millisecond)
	}
	if h.score != 1 {
		t.Errorf("after one second of refutations: %d", h.score)
	}
}
