package proxy

import (
	"testing"

	"ryerill/config"
)

// A budget is never exceeded, and what it denies is counted.
func TestBudgetIsNeverExceeded(t *testing.T) {
	var b budget
	b.allowed.Store(5)
	if !b.Take(3) || b.Take(3) || !b.Take(2) || b.Take(1) {
		t.Errorf("5 are allowed, %d taken", b.used.Load())
	}
	if denied := b.denied.Load(); denied != 4 {
		t.Errorf("%d counted as denied, not 4", denied)
	}
	if b.Give(2); !b.Take(1) || b.used.Load() != 4 {
		t.Errorf("after 2 were given back and 1 taken: %d", b.used.Load())
	}
}

// Work a second is divided: a flood is shed beyond its part, and another pool gets what it
// is guaranteed all the same.
func TestWorkIsDivided(t *testing.T) {
	total := config.Shares{Sockets: 100, Bodies: 1 << 20, Open: 100, Work: 2000}
	m := newResources(total)
	pools := []config.Pool{{Name: "calm", Weight: 1, Guarantee: config.Shares{Sockets: 10, Work: 500}}, {Name: "flood", Weight: 1, Guarantee: config.Shares{Sockets: 10, Work: 500}}}
	if !m.claim(pools) {
		t.Fatal("claims that fit are rejected")
	}
	calm, flood := m.pool("calm"), m.pool("flood")
	for span := range 10 {
		taken, served := 0, 0
		for range 500 {
			if flood.work.Take(1) {
				taken++
			}
		}
		for range 25 {
			if calm.work.Take(1) {
				served++
			}
		}
		if most := 2000 / 20; taken+served > most || served != 25 {
			t.Fatalf("span %d: the flood took %d and the calm pool %d of %d", span, taken, served, most)
		}
		if span > 2 && taken < 70 {
			t.Errorf("span %d: the flood may take only %d of what is left", span, taken)
		}
		m.rebalance()
	}
}
