package balancer

import "testing"

func TestPickSpreadsAttempts(t *testing.T) {
	h := newHost(t, testConfig(), readyList(3)...)
	used := map[EndpointID]int{}
	for range 9 {
		_, actions := h.arrive(0)
		used[onlyAction(t, actions, Send).Endpoint]++
	}
	for id, attempts := range used {
		if attempts != 3 {
			t.Errorf("endpoint %d: got %d of 9 attempts, want 3", id, attempts)
		}
	}
	h.end(4, 0, OK, ms)
	freed := h.b.endpoints.byID[1].inFlight + h.b.endpoints.byID[2].inFlight + h.b.endpoints.byID[3].inFlight
	if freed != 8 {
		t.Errorf("got %d attempts in flight, want 8", freed)
	}
}

func TestPickPrefersOwnZoneAmongEquals(t *testing.T) {
	cfg := testConfig()
	cfg.Zone = 1
	h := newHost(t, cfg, Endpoint{ID: 1, State: Ready}, Endpoint{ID: 2, State: Ready, Zone: 1})
	_, first := h.arrive(0)
	_, second := h.arrive(0)
	if onlyAction(t, first, Send).Endpoint != 2 || onlyAction(t, second, Send).Endpoint != 1 {
		t.Errorf("got actions %v then %v, want the own zone first, then the idle endpoint", first, second)
	}
}

// Traffic between zones has a price. A replica whose zone has its share of the endpoints must stay there while they
// are idle, however few they are and whatever its position on the ring. A zone with too few endpoints uses other zones.
func TestAttemptsStayInOwnZone(t *testing.T) {
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
				if int(onlyAction(t, actions, Send).Endpoint) <= tc.own {
					stayed++
				}
				h.end(id, 0, OK, 100*ms)
			}
			if stayed < tc.least || stayed > tc.most {
				t.Errorf("replica %d, %d of %d endpoints in its zone: got %d%% of attempts in the zone", self, tc.own,
					tc.endpoints, stayed)
			}
		}
	}
}
