package proxy

import (
	"testing"

	"ryerill/config"
)

// A budget is never exceeded, and denied amounts are counted.
func TestBudgetIsNeverExceeded(t *testing.T) {
	var b budget
	b.allowed.Store(5)
	if !b.Take(3) || b.Take(3) || !b.Take(2) || b.Take(1) {
		t.Errorf("got %d taken of 5 allowed, or a wrong result of Take", b.used.Load())
	}
	if denied := b.denied.Load(); denied != 4 {
		t.Errorf("got %d denied, want 4", denied)
	}
	if b.Give(2); !b.Take(1) || b.used.Load() != 4 {
		t.Errorf("after Give(2) and Take(1): got %d used, want 4", b.used.Load())
	}
}

// Work per second is divided among pools: a flood is shed beyond its share, and another pool
// still gets its guarantee.
func TestWorkIsDivided(t *testing.T) {
	total := config.Resources{Sockets: 100, Bodies: 1 << 20, Open: 100, Work: 2000}
	m := newResources(total)
	pools := []config.Pool{{Name: "calm", Weight: 1, Guarantee: config.Resources{Sockets: 10, Work: 500}}, {Name: "flood", Weight: 1, Guarantee: config.Resources{Sockets: 10, Work: 500}}}
	if !m.claim(pools) {
		t.Fatal("claims that fit were rejected")
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
			t.Fatalf("span %d: flood took %d, calm pool %d, want 25 for calm and at most %d in total", span, taken, served, most)
		}
		if span > 2 && taken < 70 {
			t.Errorf("span %d: flood got %d, want at least 70", span, taken)
		}
		m.rebalance()
	}
}
