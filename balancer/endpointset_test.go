package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestEndpointSetAddsAndRemoves(t *testing.T) {
	cfg := Config{}
	cfg.setDefaults()
	set := newEndpointSet(&cfg, &division{replicas: 1, processes: 1}, time.Second)
	var want []EndpointID
	for id := EndpointID(20); id > 0; id-- {
		set.add(Endpoint{ID: id}, 0)
		if id%3 > 0 {
			want = append(want, id)
		}
	}
	set.sortRing()
	set.removeIf(func(e *endpoint) bool { return e.ID%3 == 0 })
	var listed, ring []EndpointID
	for _, e := range set.listed {
		listed = append(listed, e.ID)
	}
	for _, e := range set.ring {
		ring = append(ring, e.ID)
	}
	if !slices.Equal(listed, want) || len(set.byID) != len(want) {
		t.Errorf("got listed endpoints %v, want %v; %d in byID", listed, want, len(set.byID))
	}
	if !slices.IsSortedFunc(ring, compareMixed) {
		t.Errorf("got ring %v, want it sorted by mixed identifier", ring)
	}
	slices.Sort(ring)
	slices.Sort(want)
	if !slices.Equal(ring, want) {
		t.Errorf("got endpoints %v in the ring, want %v", ring, want)
	}
}

func compareMixed(x, y EndpointID) int {
	if mix(uint64(x)) < mix(uint64(y)) {
		return -1
	}
	return 1
}

func TestHealthDecays(t *testing.T) {
	h := health{penalty: 8, relativeLatency: 3, updatedAt: time.Hour}
	for _, c := range []struct {
		after                    time.Duration
		penalty, relativeLatency float64
	}{{0, 8, 3}, {2 * time.Second, 4, 2}, {4 * time.Second, 2, 1.5}} {
		penalty, relativeLatency := h.at(time.Hour+c.after, 2)
		if penalty != c.penalty || relativeLatency != c.relativeLatency {
			t.Errorf("after %v: got penalty %v, relative latency %v, want a half-life of 2 s",
				c.after, penalty, relativeLatency)
		}
	}
	h.reset()
	if penalty, relativeLatency := h.at(time.Hour, 2); penalty != 0 || relativeLatency != 1 {
		t.Errorf("after reset got penalty %v, relative latency %v, want 0 and 1", penalty, relativeLatency)
	}
}
