package quota

import (
	"testing"
	"time"

	"ryerill/lab/faultnet"
)

// Whatever way a fleet is split while quota is lent, all together never may spend more than the whole, each part goes
// on with the shares of its own once the leases are over, and once healed the busy replica borrows again.
func TestSplitFleetGoesOnWithItsShares(t *testing.T) {
	const replicas, total = 9, 90.0
	part := func(from, to int) (names []string) {
		for i := from; i < to; i++ {
			names = append(names, replicaName(i))
		}
		return names
	}
	for name, tc := range map[string]struct {
		split func(n *faultnet.Network)
		reach int  // replicas that the busy one can still borrow from, with itself
		deaf  bool // it hears nobody and is heard: others grant it what it asks for, and nobody spends that
	}{
		"in halves":     {func(n *faultnet.Network) { n.Split(part(0, 4)) }, 4, false},
		"three ways":    {func(n *faultnet.Network) { n.Split(part(0, 3), part(3, 6), part(6, 9)) }, 3, false},
		"the busy one":  {func(n *faultnet.Network) { n.Isolate(replicaName(0), false) }, 1, false},
		"what it sends": {func(n *faultnet.Network) { n.Isolate(replicaName(0), true) }, 1, false},
		"what it receives": {func(n *faultnet.Network) {
			n.Set("*", replicaName(0), faultnet.Link{Partitioned: true})
		}, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			m := newCluster(replicas, faultnet.New(faultnet.Link{Delay: time.Millisecond}, 1), total)
			m.demand[0] = total / 1.2
			run := func(d time.Duration) float64 {
				for end := m.now + d; m.now < end; {
					m.step(50 * time.Millisecond)
					if err := m.check(); err != nil {
						t.Fatal(err)
					}
				}
				return m.replicas[0].manager.Rate(m.clock(0), "quota")
			}
			if rate := run(10 * time.Second); rate < m.demand[0] {
				t.Fatalf("it has borrowed up to %v of %v", rate, m.demand[0])
			}
			tc.split(m.net)
			share := total / replicas
			if tc.deaf { // once it holds its peers for dead it asks nobody
				run(2 * Lease)
				m.replicas[0].manager.SetReplicaCount(m.clock(0), replicas, nil)
			}
			rate := run(3 * Lease)
			if most := share * float64(tc.reach); rate > most*1.0001 || rate < 0.9*most {
				t.Errorf("in its part it may spend %v, and that has %v", rate, most)
			}
			for i := 1; i < replicas; i++ {
				if own := m.replicas[i].manager.Rate(m.clock(i), "quota"); i >= tc.reach && own < 0.999*share {
					t.Errorf("%s may spend %v of its %v", replicaName(i), own, share)
				}
			}
			m.net.Heal()
			m.replicas[0].manager.SetReplicaCount(m.clock(0), replicas, part(1, replicas))
			if rate := run(10 * time.Second); rate < m.demand[0] {
				t.Errorf("once healed it may spend %v of %v", rate, m.demand[0])
			}
		})
	}
}

// A hundred replicas join while nearly all of a quota is lent. They get their shares once what is lent fits into the
// smaller ones, and at no time all together may spend more than the whole.
func TestReplicasJoinWhileQuotaIsLent(t *testing.T) {
	const before, joining, total = 12, 100, 1000.0
	lan := faultnet.Link{Delay: time.Millisecond, Jitter: time.Millisecond}
	m := newCluster(before+joining, faultnet.New(lan, 1), total)
	var first, all []string
	for i := range m.replicas {
		all = append(all, replicaName(i))
		if i < before {
			first = append(first, replicaName(i))
		}
	}
	divide := func(i, replicaCount int, peers []string) {
		m.replicas[i].manager.SetReplicaCount(m.clock(i), replicaCount, peers)
	}
	for i := range m.replicas {
		if i < before {
			divide(i, before, first)
		} else {
			divide(i, 0, nil) // they are not there yet
		}
	}
	run := func(d time.Duration, each func()) {
		for end := m.now + d; m.now < end; {
			m.step(50 * time.Millisecond)
			each()
			if err := m.check(); err != nil {
				t.Fatal(err)
			}
		}
	}
	m.demand[0] = 0.8 * total
	run(10*time.Second, func() {})
	if rate := m.replicas[0].manager.Rate(m.clock(0), "quota"); rate < m.demand[0] {
		t.Fatalf("it has borrowed up to %v", rate)
	}
	for i := range before { // they know of the others and divide among more at once
		divide(i, before+joining, all)
	}
	waited := time.Duration(0)
	joined := false
	began := m.now
	run(3*Lease, func() {
		fits := true
		for i := range before {
			fits = fits && m.replicas[i].manager.FitsWithin(m.clock(i), before+joining)
		}
		if joined || !fits {
			return
		}
		joined = true
		waited = m.now - began
		for i := before; i < before+joining; i++ {
			divide(i, before+joining, all)
		}
	})
	if !joined || waited == 0 || waited > 2*Lease {
		t.Errorf("joined %v, after %v", joined, waited)
	}
	run(10*time.Second, func() {})
	if rate := m.replicas[0].manager.Rate(m.clock(0), "quota"); rate < 0.95*m.demand[0] {
		t.Errorf("in the end it may spend %v of the %v that it demands", rate, m.demand[0])
	}
}
