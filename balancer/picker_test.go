package balancer

import "testing"

func TestPickSpreadsAttempts(t *testing.T) {
	h := newHost(t, testConfig(), readyList(3)...)
	used := map[EndpointID]int{}
	for range 9 {
		_, actions := h.arrive(0)
		used[only(t, actions, Send).Endpoint]++
	}
	for id, attempts := range used {
		if attempts != 3 {
			t.Errorf("endpoint %d has %d of 9 attempts", id, attempts)
		}
	}
	h.end(4, 0, OK, ms)
	freed := h.b.endpoints.byID[1].inFlight + h.b.endpoints.byID[2].inFlight + h.b.endpoints.byID[3].inFlight
	if freed != 8 {
		t.Errorf("%d attempts in flight, want 8", freed)
	}
}

func TestPickPrefersOwnZoneAmongEquals(t *testing.T) {
	cfg := testConfig()
	cfg.Zone = 1
	h := newHost(t, cfg, Endpoint{ID: 1, State: Ready}, Endpoint{ID: 2, State: Ready, Zone: 1})
	_, first := h.arrive(0)
	_, second := h.arrive(0)
	if only(t, first, Send).Endpoint != 2 || only(t, second, Send).Endpoint != 1 {
		t.Errorf("sent to %v then %v: want the own zone, then the idle endpoint", first, second)
	}
}

// Each crossing of zones is priced. A replica whose zone has its part of the endpoints stays there while they are
// idle, however few they are, and is not sent to another zone by its place on the ring; a zone with too few left is
// helped by the others.
func TestAttemptsStayInTheirZone(t *testing.T) {
	for _, tc := range []struct{ endpoints, own, least, most int }{{21, 7, 100, 100}, {12, 4, 100, 100},
		{21, 2, 0, 60}} {
		for self := range 12 {
			cfg := testConfig()
			cfg.Tier, cfg.Tiers, cfg.ReplicaCount, cfg.ReplicaIndex, cfg.Zone = 1, 3, 12, self, 2
			endpoints := readyList(tc.endpoints)
			for i := range endpoints {
				if endpoints[i].Zone = i % 2; i < tc.own {
					endpoints[i].Zone = 2
				}
			}
			h, stayed := newHost(t, cfg, endpoints...), 0
			for range 100 {
				id, actions := h.arrive(0)
				if int(only(t, actions, Send).Endpoint) <= tc.own {
					stayed++
				}
				h.end(id, 0, OK, 100*ms)
			}
			if stayed < tc.least || stayed > tc.most {
				t.Errorf("replica %d, %d of %d endpoints in its zone: %d%% of its attempts stay", self, tc.own,
					tc.endpoints, stayed)
			}
		}
	}
}
