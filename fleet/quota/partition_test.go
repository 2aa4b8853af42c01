package quota

import (
	"testing"
	"time"

	"ryerill/lab/faultnet"
)

// In a partition of any kind while quota is lent, all replicas together never may spend more than the total. Once the
// leases are over each side has the shares of its own replicas, and after healing the busy replica borrows again.
func TestPartitionKeepsSharesOfEachSide(t *testing.T) {
	const replicas, total = 9, 90.0
	part := func(from, to int) (names []string) {
		for i := from; i < to; i++ {
			names = append(names, replicaName(i))
		}
		return names
	}
	for name, tc := range map[string]struct {
		split           func(n *faultnet.Network)
		reach           int  // replicas on the busy one's side, itself included
		receivesNothing bool // it sends but receives nothing: peers debit grants that it never gets
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
				t.Fatalf("before the partition: got rate %v, want %v", rate, m.demand[0])
			}
			tc.split(m.net)
			share := total / replicas
			if tc.receivesNothing { // once it considers its peers dead it sends no requests
				run(2 * Lease)
				m.replicas[0].manager.SetReplicaCount(m.clock(0), replicas, nil)
			}
			rate := run(3 * Lease)
			if most := share * float64(tc.reach); rate > most*1.0001 || rate < 0.9*most {
				t.Errorf("in the partition: got rate %v, want about %v", rate, most)
			}
			for i := 1; i < replicas; i++ {
				if own := m.replicas[i].manager.Rate(m.clock(i), "quota"); i >= tc.reach && own < 0.999*share {
					t.Errorf("replica %s: got rate %v, want its share of %v", replicaName(i), own, share)
				}
			}
			m.net.Heal()
			m.replicas[0].manager.SetReplicaCount(m.clock(0), replicas, part(1, replicas))
			if rate := run(10 * time.Second); rate < m.demand[0] {
				t.Errorf("after healing: got rate %v, want %v", rate, m.demand[0])
			}
		})
	}
}

// A hundred replicas join while nearly all of a quota is lent. They get their shares once the loans fit into the smaller
// shares, and at no time may all replicas together spend more than the total.
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
			divide(i, 0, nil) // not joined yet
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
		t.Fatalf("before the join: got rate %v, want the demand", rate)
	}
	for i := range before { // they learn of the new replicas and divide by the new count at once
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
		t.Errorf("got joined %v after %v, want true after more than 0 and at most two leases", joined, waited)
	}
	run(10*time.Second, func() {})
	if rate := m.replicas[0].manager.Rate(m.clock(0), "quota"); rate < 0.95*m.demand[0] {
		t.Errorf("after the join: got rate %v, want about the demand of %v", rate, m.demand[0])
	}
}
