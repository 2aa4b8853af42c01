package membershipsim

import (
	"testing"
	"time"

	"ryerill/lab/faultnet"
)

// Three hundred replicas that start in the same second from one seed soon know each other. Halves that held each other
// for dead find each other within 5 s, and neither takes a storm of exchanges.
func TestThreeHundredReplicasStartAndHeal(t *testing.T) {
	const (
		n                = 300
		maxExchangeBytes = 256 << 10 // that a replica passes over connections, at the start and at the heal
		maxRate          = 2048      // bytes a second that a replica sends at rest, on average
		rest             = 3 * time.Second
	)
	s := New(n, faultnet.New(lan, 1), 1)
	for i := range n {
		s.At(time.Duration(i)*time.Second/n, func() { s.Start(i, Name(0)) })
	}
	allKnow := func() bool {
		for _, r := range s.Replicas {
			if r.List == nil {
				return false
			}
			if alive, _, _ := r.List.Count(); alive != n-1 {
				return false
			}
		}
		return s.Equal()
	}
	exchanged := func() (most, sum uint64) {
		for _, r := range s.Replicas {
			most = max(most, r.ExchangeBytes)
			sum += r.ExchangeBytes
		}
		return most, sum
	}
	t.Log("joined after", s.until(t, 15*time.Second, "all to know all", allKnow))
	most, before := exchanged()
	t.Logf("%d bytes a replica over connections, %d at most", before/n, most)
	if before/n > maxExchangeBytes {
		t.Errorf("%d bytes a replica over connections while they joined", before/n)
	}
	s.Run(s.Now + rest) // until all updates have been sent
	sent := s.bytes()
	s.Run(s.Now + rest)
	if rate := float64(s.bytes()-sent) / n / rest.Seconds(); rate > maxRate {
		t.Errorf("%.0f bytes a second a replica at rest", rate)
	} else {
		t.Logf("%.0f bytes a second a replica at rest", rate)
	}
	var half []string
	for i := range n / 2 {
		half = append(half, Name(i))
	}
	s.Net.Split(half)
	s.until(t, 30*time.Second, "the halves to hold each other for dead", func() bool {
		_, _, dead := s.Replicas[0].List.Count()
		_, _, others := s.Replicas[n-1].List.Count()
		return dead == n/2 && others == n/2
	})
	_, before = exchanged()
	s.Net.Heal()
	if took := s.until(t, 15*time.Second, "them to heal", allKnow); took > 5*time.Second {
		t.Errorf("healed after %v", took)
	} else {
		t.Log("healed after", took)
	}
	_, after := exchanged()
	t.Logf("%d bytes a replica over connections meanwhile", (after-before)/n)
	if (after-before)/n > maxExchangeBytes {
		t.Errorf("%d bytes a replica over connections while they healed", (after-before)/n)
	}
}

// bytes is what all replicas have sent as datagrams.
func (s *Sim) bytes() (sum uint64) {
	for _, r := range s.Replicas {
		sum += r.Bytes
	}
	return sum
}
