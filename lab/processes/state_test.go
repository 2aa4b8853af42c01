package processes

import (
	"slices"
	"testing"
	"time"

	"ryerill/fleet"
)

// statusOf returns the status that a replica holds of another, or the error that hides it.
func (r *Replica) statusOf(name string) string {
	s, err := r.Status()
	if err != nil {
		return err.Error()
	}
	i := slices.IndexFunc(s.Members, func(m fleet.MemberStatus) bool { return m.Name == name })
	if i < 0 {
		return "unknown"
	}
	return s.Members[i].Status
}

// agree reports whether all replicas that are up hold all others that are up for alive,
// and have the same view.
func (f *Fleet) agree() bool {
	up := 0
	for _, c := range f.Replicas {
		if c.Up() {
			up++
		}
	}
	digest := ""
	for _, c := range f.Replicas {
		if !c.Up() {
			continue
		}
		s, err := c.Status()
		alive := 0
		for _, m := range s.Members {
			if m.Status == "alive" {
				alive++
			}
		}
		if err != nil || alive != up || digest != "" && s.Digest != digest {
			return false
		}
		digest = s.Digest
	}
	return true
}

func (f *Fleet) allHold(i int, status string) func() bool {
	return func() bool {
		for j, c := range f.Replicas {
			if j != i && c.Up() && c.statusOf(f.Replicas[i].Name) != status {
				return false
			}
		}
		return true
	}
}

// quotaFractions adds up the fractions of the pool's quotas that replicas hold.
func (f *Fleet) quotaFractions(t *testing.T) (sum float64) {
	t.Helper()
	for _, c := range f.Replicas {
		if s, err := c.Status(); c.Up() && err == nil {
			sum += s.Pools["main"].QuotaFraction
		}
	}
	if sum > 1.0001 {
		t.Errorf("the quota fractions come to %v", sum)
	}
	return sum
}

func names(replicas []*Replica) (out []string) {
	for _, c := range replicas {
		out = append(out, c.Name)
	}
	return out
}

func sum(m map[string]uint64) (n uint64) {
	for _, v := range m {
		n += v
	}
	return n
}

// rates adds up what all replicas may spend of a quota a second. A loan shows with its
// lender before it does with its borrower, so lenders are read last; what moves
// between two reads is read again.
func (f *Fleet) rates(t *testing.T) (sum float64) {
	t.Helper()
	for attempt := 0; ; attempt++ {
		sum = 0
		borrowed := map[string]float64{}
		for _, c := range f.Replicas {
			s, err := c.Shared()
			if !c.Up() || err != nil {
				continue
			}
			for _, b := range s.Quotas {
				sum += b.Rate
				borrowed[c.Name] = b.Borrowed
			}
		}
		if sum <= 1000.001 || attempt > 20 {
			if sum > 1000.001 {
				t.Errorf("all replicas together may spend %v of 1000, borrowed %v", sum, borrowed)
			}
			return sum
		}
		time.Sleep(50 * time.Millisecond)
	}
}
