package balancer

import "testing"

// Guards against many replicas that each use all endpoints and send to each too seldom to learn its health.
func TestReplicasPreferTheirSubset(t *testing.T) {
	const endpoints = 60
	for _, replicas := range []int{1, 2, 30, 300} {
		cfg := testConfig()
		cfg.ReplicaCount = replicas
		inSubset := map[EndpointID]int{}
		for i := range replicas {
			cfg.ReplicaIndex = i
			h := newHost(t, cfg, readyList(endpoints)...)
			own := 0
			for _, s := range h.b.endpoints.listed {
				if s.inSubset {
					inSubset[s.ID]++
					own++
				}
			}
			if own < int(minSubset) || replicas <= 2 && own != endpoints {
				t.Fatalf("%d replicas: replica %d has %d endpoints in its subset", replicas, i, own)
			}
			if _, actions := h.arrive(0); !h.b.endpoints.byID[onlyAction(t, actions, Send).Endpoint].inSubset {
				t.Errorf("%d replicas: got an attempt outside the subset, want an idle endpoint of the subset",
					replicas)
			}
		}
		least, most := replicas, 0
		for id := range EndpointID(endpoints) {
			least, most = min(least, inSubset[id+1]), max(most, inSubset[id+1])
		}
		if most-least > replicas/20+1 {
			t.Errorf("%d replicas: endpoints are in %d to %d subsets, want an even spread", replicas, least, most)
		}
	}
	cfg := testConfig()
	cfg.ReplicaCount, cfg.ReplicaIndex = 300, -7
	h := newHost(t, cfg, readyList(endpoints)...)
	for range 8 { // idle endpoints elsewhere are preferred to busy ones of the subset
		h.b.limiter.maxIFR = 20
		h.arrive(0)
	}
	if h.b.endpoints.subset.size >= 8 || h.b.attempts.inFlight < 6 {
		t.Errorf("got subset size %v, want below 8; got %d attempts in flight, want at least 6",
			h.b.endpoints.subset.size, h.b.attempts.inFlight)
	}
	h.handle(Event{Kind: EndpointListUpdated, ListKind: ListFull, Endpoints: readyList(1)})
	if h.b.endpoints.subset.size != 1 || !h.b.endpoints.byID[1].inSubset {
		t.Error("the only endpoint is not in the subset")
	}
}

// Guards against subsets across zones: with a partitioned link between them, every second attempt failed to connect.
func TestSubsetStaysInOwnZoneWithEnoughEndpoints(t *testing.T) {
	cfg := testConfig()
	cfg.ReplicaCount, cfg.Zone = 40, 1
	for _, c := range []struct {
		own int // endpoints of 20 in zone 1
		far bool
	}{{10, false}, {1, true}, {0, true}} {
		list := readyList(20)
		for i := range c.own {
			list[i].Zone = 1
		}
		far := 0
		for i := range cfg.ReplicaCount {
			cfg.ReplicaIndex = i
			for _, s := range newHost(t, cfg, list...).b.endpoints.listed {
				if s.inSubset && s.Zone != 1 {
					far++
				}
			}
		}
		if (far > 0) != c.far {
			t.Errorf("%d endpoints in the own zone: got %d subset endpoints in other zones", c.own, far)
		}
	}
}
