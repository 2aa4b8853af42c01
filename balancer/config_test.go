package balancer

import (
	"math"
	"testing"
	"time"
)

func TestConfigIsCompletedByDefaults(t *testing.T) {
	cfg := Config{ReplicaIndex: 7, ReplicaCount: 3, Tier: 9, Tiers: 2,
		Classes: []Class{{LatencyObjective: 3 * time.Second, PriorityWeight: math.NaN()}, {Deadline: time.Second}}}
	given := cfg.Classes
	cfg.setDefaults()
	if cfg.ReplicaIndex != 1 || cfg.Tier != 1 {
		t.Errorf("got replica index %d and tier %d, want 1 and 1", cfg.ReplicaIndex, cfg.Tier)
	}
	first, second := cfg.Classes[0], cfg.Classes[1]
	if first.Deadline != 6*time.Second || first.PriorityWeight != 1 || second.LatencyObjective != 500*ms {
		t.Errorf("got classes %+v, want defaults for missing fields", cfg.Classes)
	}
	if given[0].Deadline != 0 {
		t.Error("setDefaults changed the caller's classes")
	}
	if cfg.Limits.MaxAttempts != 3 || cfg.Limits.MaxOpenRequests != math.MaxInt ||
		cfg.Contract.WarmUpPeriod != 30*time.Second {
		t.Errorf("got limits %+v, contract %+v, want defaults", cfg.Limits, cfg.Contract)
	}
}

func TestConfigWithoutClassesHasAnUnsafeOne(t *testing.T) {
	cfg := Config{}
	cfg.setDefaults()
	if len(cfg.Classes) != 1 || cfg.Classes[0].Effect != Unsafe || cfg.ReplicaCount != 1 || cfg.Tiers != 1 {
		t.Errorf("%+v", cfg)
	}
}

func TestConfigOverAllClasses(t *testing.T) {
	cfg := Config{Classes: []Class{{LatencyObjective: 2 * time.Second, PriorityWeight: 1, LateWeight: 0.25},
		{LatencyObjective: time.Second, PriorityWeight: 4}}}
	if cfg.maxPriorityWeight() != 4 || cfg.maxLateWeight() != 0.25 || cfg.shortestObjective() != time.Second {
		t.Errorf("got priority weight %v, late weight %v, objective %v, want 4, 0.25, 1s",
			cfg.maxPriorityWeight(), cfg.maxLateWeight(), cfg.shortestObjective())
	}
	for class, want := range map[int]int{-1: 0, 0: 0, 1: 1, 2: 0} {
		if got := cfg.classIndex(class); got != want {
			t.Errorf("class %d: got index %d, want %d", class, got, want)
		}
	}
}

func TestGroups(t *testing.T) {
	x, sameCell, sameZone, other := &Endpoint{Zone: 1, Cell: 1}, &Endpoint{Zone: 2, Cell: 1},
		&Endpoint{Zone: 1, Cell: 2}, &Endpoint{Zone: 2, Cell: 2}
	for _, c := range []struct {
		group Group
		want  [3]bool
	}{{GroupAll, [3]bool{true, true, true}}, {GroupZone, [3]bool{false, true, false}},
		{GroupCell, [3]bool{true, false, false}}} {
		if got := [3]bool{c.group.sameGroup(x, sameCell), c.group.sameGroup(x, sameZone),
			c.group.sameGroup(x, other)}; got != c.want {
			t.Errorf("group %d: got %v for the same cell, the same zone and neither, want %v", c.group, got, c.want)
		}
	}
}

func TestCapacityGrowsWithAge(t *testing.T) {
	contract := Contract{InitialCapacity: 0.5, WarmUpPeriod: 10 * time.Second}
	for age, want := range map[time.Duration]float64{0: 0.5, 5 * time.Second: 0.75, 10 * time.Second: 1} {
		if got := contract.capacity(age); got != want {
			t.Errorf("after %v: got capacity %v, want %v", age, got, want)
		}
	}
}
