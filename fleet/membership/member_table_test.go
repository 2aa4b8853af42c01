package membership

import (
	"fmt"
	"testing"
	"time"
)

// tableOf returns a table of n alive members.
func tableOf(n int, rng *random) memberTable {
	table := newMemberTable()
	for i := range n {
		m := table.add(fmt.Sprint("m", i))
		m.Name = fmt.Sprint("m", i)
		m.Status = Alive
		table.statusChanged(m, 0, rng)
	}
	return table
}

// Each round visits each reachable member once.
func TestEachMemberIsProbedOncePerRound(t *testing.T) {
	rng := newRandom(1, "a")
	table := tableOf(10, &rng)
	for round := range 20 {
		probed := map[*member]int{}
		for range len(table.reachable) {
			probed[table.next(&rng)]++
		}
		if len(probed) != len(table.reachable) {
			t.Fatalf("round %d: got %d members probed, want %d", round, len(probed), len(table.reachable))
		}
	}
}

func TestMemberIsInListOfItsStatus(t *testing.T) {
	rng := newRandom(1, "a")
	table := tableOf(5, &rng)
	m := table.byName["m2"]
	for _, status := range []Status{Suspect, Dead, Alive, Dead, Left} {
		previous := m.Status
		m.Status = status
		table.statusChanged(m, previous, &rng)
		for _, listed := range []struct {
			name string
			list []*member
			want bool
		}{{"reachable", table.reachable, status.reachable()}, {"unreachable", table.unreachable, status == Dead}} {
			found := false
			for i, other := range listed.list {
				if other.index != i {
					t.Errorf("%v: %s is at %d in %s but has index %d", status, other.Name, i, listed.name, other.index)
				}
				found = found || other == m
			}
			if found != listed.want {
				t.Errorf("%v: got member in %s: %v, want the opposite", status, listed.name, found)
			}
		}
	}
}

func TestSampleDrawsDistinctMembers(t *testing.T) {
	rng := newRandom(1, "a")
	table := tableOf(6, &rng)
	except := table.byName["m3"]
	for range 100 {
		drawn := table.sample(3, except, &rng)
		seen := map[*member]bool{}
		for _, m := range drawn {
			if m == except || seen[m] {
				t.Fatalf("drew %s, which is excluded or was drawn before", m.Name)
			}
			seen[m] = true
		}
	}
	empty := newMemberTable()
	if drawn := empty.sample(3, nil, &rng); len(drawn) != 0 {
		t.Errorf("drew %d members from an empty table, want 0", len(drawn))
	}
}

func TestLeftMemberIsRemovedAfterRetention(t *testing.T) {
	rng := newRandom(1, "a")
	table := tableOf(2, &rng)
	left := table.byName["m0"]
	left.Status = Left
	table.statusChanged(left, Alive, &rng)
	table.forgetLeft(leftRetention - time.Second)
	if len(table.byName) != 2 {
		t.Error("member that left was removed before leftRetention")
	}
	table.forgetLeft(leftRetention)
	if len(table.byName) != 1 {
		t.Error("member that left was not removed after leftRetention")
	}
}
