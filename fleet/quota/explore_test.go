package quota

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"ryerill/lab/modelcheck"
)

// lendingModel is a model of two or three replicas for state exploration. Each message arrives once, arrives twice or is
// lost; each replica may crash and restart; time passes.
type lendingModel struct {
	replicas   []*Manager
	epochs     []uint64
	up         []bool
	now        time.Duration
	inFlight   []delivery
	restarts   int
	duplicates int
	n          int
}

const total = 12.0

func newLendingModel(n int) func() modelcheck.System {
	return func() modelcheck.System {
		s := &lendingModel{n: n, epochs: make([]uint64, n), up: make([]bool, n)}
		s.replicas = make([]*Manager, n)
		for i := range n {
			s.start(i, false)
		}
		return s
	}
}

func (s *lendingModel) clock(i int) time.Duration {
	return time.Duration(float64(s.now) * (1 + MaxClockDrift*float64(i%3-1)))
}

func (s *lendingModel) start(i int, restarted bool) {
	s.epochs[i]++
	s.up[i] = true
	a := New(replicaName(i), s.epochs[i], uint64(i), restarted, s.clock(i))
	a.SetLimits(s.clock(i), []Limit{{"r", Rate, total}, {"s", Amount, total}})
	var others []string
	for j := range s.n {
		if j != i {
			others = append(others, replicaName(j))
		}
	}
	a.SetReplicaCount(s.clock(i), s.n, others)
	s.replicas[i] = a
}

func (s *lendingModel) Clone() modelcheck.System {
	c := *s
	c.replicas = slices.Clone(s.replicas)
	for i, a := range c.replicas {
		b := *a
		b.accounts = map[string]*account{}
		for name, p := range a.accounts {
			q := *p
			q.lent, q.borrowed, q.pending = slices.Clone(p.lent), slices.Clone(p.borrowed), slices.Clone(p.pending)
			for k := range q.lent {
				q.lent[k].previous = slices.Clone(q.lent[k].previous)
			}
			q.retryAt = maps.Clone(p.retryAt)
			b.accounts[name] = &q
		}
		b.answers.entries, b.order = slices.Clone(a.answers.entries), slices.Clone(a.order)
		c.replicas[i] = &b
	}
	c.epochs, c.up, c.inFlight = slices.Clone(s.epochs), slices.Clone(s.up), slices.Clone(s.inFlight)
	return &c
}

func (s *lendingModel) Moves() (out []string) {
	for i, p := range s.inFlight {
		out = append(out, fmt.Sprintf("%d arrives: %+v", i, p.message), fmt.Sprintf("%d is lost", i), fmt.Sprintf("%d arrives, and arrives again later", i))
	}
	for i := range s.n {
		if s.up[i] {
			out = append(out, replicaName(i)+" has demand", replicaName(i)+" crashes")
		} else {
			out = append(out, replicaName(i)+" restarts", replicaName(i)+" stays down")
		}
	}
	return append(out, "half a lease passes")
}

func (s *lendingModel) post(from int, actions []Action) {
	for _, a := range actions {
		to := slices.IndexFunc(s.replicas, func(c *Manager) bool { return c.name == a.To })
		if s.inFlight = append(s.inFlight, delivery{0, from, to, a.Message}); len(s.inFlight) > 3 {
			s.inFlight = s.inFlight[1:]
		}
	}
}

func (s *lendingModel) Do(move int) error {
	switch {
	case move < 3*len(s.inFlight):
		i := move / 3
		p := s.inFlight[i]
		if move%3 != 2 {
			s.inFlight = slices.Delete(slices.Clone(s.inFlight), i, i+1)
		} else if s.duplicates++; s.duplicates > 2 {
			s.inFlight = slices.Delete(slices.Clone(s.inFlight), i, i+1)
		}
		if move%3 != 1 && s.up[p.to] {
			s.post(p.to, s.replicas[p.to].Handle(s.clock(p.to), replicaName(p.from), p.message, nil))
		}
	case move < 3*len(s.inFlight)+2*s.n:
		i, which := (move-3*len(s.inFlight))/2, (move-3*len(s.inFlight))%2
		switch {
		case !s.up[i] && which == 0:
			s.start(i, true)
		case !s.up[i]:
		case which == 0:
			a := s.replicas[i]
			a.AddDemand(s.clock(i), "r", 30)
			a.AddDemand(s.clock(i), "s", 30)
			s.post(i, a.Tick(s.clock(i), nil))
		default:
			if s.restarts < 2 {
				s.up[i] = false
				s.restarts++
			}
		}
	default:
		s.now += Lease / 2
		for i, a := range s.replicas {
			if s.up[i] {
				s.post(i, a.Tick(s.clock(i), nil))
			}
		}
	}
	rate, sum := 0.0, 0.0
	for i, a := range s.replicas {
		if s.up[i] {
			// The borrower's credit must have ended right before the lease ends by the lender's clock.
			rate += a.Rate(s.clock(i), "r")
			sum += a.Left("s")
		}
	}
	if rate > total+1e-6 {
		return fmt.Errorf("got a combined rate of %v, want at most %v", rate, total)
	}
	if sum > total+1e-6 {
		return fmt.Errorf("got a combined amount of %v, want at most %v", sum, total)
	}
	return nil
}

func (s *lendingModel) Key() string {
	var b strings.Builder
	for i, a := range s.replicas {
		now := s.clock(i)
		fmt.Fprint(&b, s.up[i], a.epoch, a.restarted && now-a.startedAt < withMaxDrift(Lease), a.lastSeq, a.random, a.firstAt)
		for _, name := range a.order {
			p := a.accounts[name]
			fmt.Fprintf(&b, "%.2f %v %.1f", p.balance, p.assigned, p.demand.rate(a.now))
			for _, l := range p.lent {
				fmt.Fprintf(&b, "%s %.2f %v %d", l.borrower(), l.amount, l.expiresAt-now, len(l.previous))
			}
			for _, l := range p.borrowed {
				fmt.Fprintf(&b, "%s %.2f %v", l.lender, l.amount, l.expiresAt-now)
			}
			for _, k := range p.pending {
				fmt.Fprint(&b, k.seq, k.lender, now-k.sentAt)
			}
		}
		for _, r := range a.answers.entries {
			fmt.Fprint(&b, r.message.Request)
		}
	}
	for _, p := range s.inFlight {
		fmt.Fprint(&b, p.from, p.to, p.message)
	}
	fmt.Fprint(&b, s.duplicates, s.restarts)
	return b.String()
}

func TestExploreLending(t *testing.T) {
	for n, depth := range map[int]int{2: 7, 3: 5} {
		if testing.Short() {
			depth--
		}
		res := modelcheck.Explore(newLendingModel(n), modelcheck.Bounds{Depth: depth, States: 400_000})
		if t.Logf("%d replicas: %v", n, res); res.Err != nil || !res.Complete {
			t.Errorf("%d replicas: %v", n, res)
		}
		if res = modelcheck.Walk(newLendingModel(n), 1, 400, 60); res.Err != nil {
			t.Errorf("%d replicas, walks: %v", n, res)
		}
	}
}
