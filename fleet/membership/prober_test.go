package membership

import (
	"testing"
	"time"
)

// The ack timeout follows round-trip times within bounds, and grows with poor local health.
func TestAckTimeout(t *testing.T) {
	for _, tc := range []struct {
		name  string
		rtt   time.Duration // 0 for none measured
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
				t.Errorf("got ack timeout %v, want %v", got, tc.want)
			}
			if p.period() < 2*p.ackTimeout() {
				t.Errorf("got period %v, want at least two ack timeouts of %v", p.period(), p.ackTimeout())
			}
		})
	}
}

// A direct or relayed ack ends its probe. A late direct ack still yields a round-trip time.
func TestAckEndsProbe(t *testing.T) {
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
		{"from another member", func(p *prober) { p.acknowledgedDirectly(1001*time.Millisecond, other, 1) }, false, false},
		{"of another probe", func(p *prober) { p.acknowledgedDirectly(1001*time.Millisecond, target, 2) }, false, false},
		{"indirect", func(p *prober) { p.acknowledgedIndirectly("b", 1) }, true, false},
		{"indirect of another member", func(p *prober) { p.acknowledgedIndirectly("c", 1) }, false, false},
		{"late", func(p *prober) {
			p.current = nil
			p.acknowledgedDirectly(5*time.Second, target, 1)
		}, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := begin()
			tc.ack(p)
			if ended, timed := p.current == nil, p.rtt.smoothed > 0; ended != tc.ended || timed != tc.timed {
				t.Errorf("got ended %v and timed %v, not as the test case wants", ended, timed)
			}
		})
	}
}

func TestLocalHealthStaysWithinBounds(t *testing.T) {
	var h localHealth
	h.improve()
	if h.multiplier() != 1 {
		t.Errorf("improved from 0: got score %d, want 0", h.score)
	}
	for range 2 * maxLocalHealth {
		h.worsen()
	}
	if h.score != maxLocalHealth {
		t.Errorf("got score %d, want maxLocalHealth", h.score)
	}
	h = localHealth{}
	for i := range 10 { // refutations within a second count once
		h.refuted(2*time.Second + time.Duration(i)*50*time.Millisecond)
	}
	if h.score != 1 {
		t.Errorf("after refutations within one second: got score %d, want 1", h.score)
	}
}
