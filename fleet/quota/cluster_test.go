package quota

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryerill/lab/faultnet"
)

// cluster simulates replicas with clocks of different rates on a faulty network in virtual time.
type cluster struct {
	now      time.Duration
	replicas []*replica
	limits   []Limit
	net      *faultnet.Network
	inFlight []delivery
	spent    float64 // of the amount limit
	budget   float64 // of each replica's messages, in bytes a second; 0 is no limit
	demand   []float64
}

type replica struct {
	manager   *Manager
	clockRate float64
	skew      time.Duration
	up        bool
	suspended bool
	epoch     uint64
}

type delivery struct {
	at      time.Duration
	from    int
	to      int
	message Message
}

func replicaName(i int) string { return fmt.Sprintf("c%03d", i) }

func (m *cluster) clock(i int) time.Duration {
	t := m.replicas[i]
	return t.skew + time.Duration(float64(m.now)*t.clockRate)
}

func (m *cluster) start(i int, restarted bool) {
	t := m.replicas[i]
	t.epoch++
	t.up = true
	now := m.clock(i)
	t.manager = New(replicaName(i), t.epoch, uint64(i)*7919+t.epoch, restarted, now)
	t.manager.SetByteBudget(now, m.budget)
	t.manager.SetLimits(now, m.limits)
	var others []string
	for j := range m.replicas {
		if j != i {
			others = append(others, replicaName(j))
		}
	}
	t.manager.SetReplicaCount(now, len(m.replicas), others)
}

func newCluster(n int, net *faultnet.Network, total float64) *cluster {
	m := &cluster{net: net, limits: []Limit{{"quota", Rate, total}, {"cold", Amount, total}}, demand: make([]float64, n)}
	for i := range n {
		m.replicas = append(m.replicas, &replica{clockRate: 1 + MaxClockDrift*float64(i%3-1), skew: time.Duration(i%5) * 40 * time.Millisecond})
	}
	for i := range n {
		m.start(i, false)
	}
	return m
}

func (m *cluster) send(i int, actions []Action) {
	for _, act := range actions {
		to := slices.IndexFunc(m.replicas, func(t *replica) bool { return t.manager.name == act.To })
		for _, c := range m.net.Send(m.now, replicaName(i), replicaName(to), 80) {
			m.inFlight = append(m.inFlight, delivery{c.At, i, to, act.Message})
		}
	}
}

// step advances the time by d, delivers due messages and ticks each replica with its demand.
func (m *cluster) step(d time.Duration) {
	m.now += d
	slices.SortStableFunc(m.inFlight, func(a, b delivery) int { return int(a.at - b.at) })
	for len(m.inFlight) > 0 && m.inFlight[0].at <= m.now {
		p := m.inFlight[0]
		m.inFlight = m.inFlight[1:]
		if t := m.replicas[p.to]; t.up && !t.suspended {
			m.send(p.to, t.manager.Handle(m.clock(p.to), replicaName(p.from), p.message, nil))
		}
	}
	for i, t := range m.replicas {
		if t.up && !t.suspended {
			t.manager.AddDemand(m.clock(i), "quota", m.demand[i]*d.Seconds())
			m.send(i, t.manager.Tick(m.clock(i), nil))
		}
	}
}

// rates returns the sum of the rates of all live replicas. A suspended replica counts with its rate if resumed now.
func (m *cluster) rates() (sum float64) {
	for i, t := range m.replicas {
		if t.up {
			sum += t.manager.Rate(m.clock(i), "quota")
		}
	}
	return sum
}

func (m *cluster) check() error {
	if sum := m.rates(); sum > m.limits[0].Total*(1+1e-6) {
		text := ""
		for i, t := range m.replicas {
			text += fmt.Sprintf("\n%s up %v: %+v", replicaName(i), t.up, t.manager.Status(m.clock(i)))
		}
		return fmt.Errorf("at %v: got a combined rate of %v, want at most %v%s", m.now, sum, m.limits[0].Total, text)
	}
	left := m.spent
	for _, t := range m.replicas {
		if t.up {
			left += t.manager.Left("cold")
		}
	}
	if left > m.limits[1].Total*(1+1e-6) {
		return fmt.Errorf("at %v: got a spent and remaining amount of %v, want at most %v", m.now, left, m.limits[1].Total)
	}
	return nil
}

// All replicas together never may spend more than the total, under any schedule of losses, duplicates, delays of an hour,
// partitions, crashes, restarts, suspensions and clock drift.
func TestReplicasNeverExceedTheTotal(t *testing.T) {
	rapid.Check(t, neverExceedTheTotal(faults))
}

// The total also holds while the byte budget prevents most messages.
func TestReplicasNeverExceedTheTotalWithFewBytes(t *testing.T) {
	rapid.Check(t, neverExceedTheTotal(append(slices.Clone(faults), "few bytes", "few bytes", "many bytes")))
}

// The total also holds while reloads remove a tenant from the settings and add it back.
func TestReplicasNeverExceedTheTotalThroughReloads(t *testing.T) {
	rapid.Check(t, neverExceedTheTotal(append(slices.Clone(faults), "reload", "reload")))
}

// faults are the possible steps of a schedule.
var faults = []string{
	"want", "want", "want", "spend", "kill", "restart", "stop", "continue", "cut", "one way", "split", "heal",
	"bad", "old", "good",
}

func neverExceedTheTotal(steps []string) func(t *rapid.T) {
	return func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "replicas")
		m := newCluster(n, faultnet.New(faultnet.Link{Delay: time.Millisecond}, rapid.Uint64().Draw(t, "seed")), 100)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "whom")
			c := m.replicas[i]
			switch what := rapid.SampledFrom(steps).Draw(t, "what"); what {
			case "want":
				m.demand[i] = rapid.SampledFrom([]float64{0, 1, 20, 300}).Draw(t, "units")
			case "spend":
				if c.up && !c.suspended {
					c.manager.AddDemand(m.clock(i), "cold", 30)
					if c.manager.Spend(m.clock(i), "cold", 5) {
						m.spent += 5
					}
				}
			case "kill":
				c.up = false
			case "restart":
				if !c.up {
					m.start(i, true)
					c.suspended = false
				}
			case "stop":
				c.suspended = true
			case "continue":
				c.suspended = false
			case "cut":
				m.net.Isolate(replicaName(i), false)
			case "one way":
				m.net.Isolate(replicaName(i), true)
			case "split":
				m.net.Split([]string{replicaName(0), replicaName(i)})
			case "heal":
				m.net.Heal()
			case "bad":
				m.net.Usual(faultnet.Link{Drop: 0.3, Duplicate: 0.3, Reorder: 0.5, Delay: 200 * time.Millisecond, Jitter: time.Second})
			case "old": // duplicates of messages in flight arrive an hour later
				for _, p := range slices.Clone(m.inFlight) {
					p.at += time.Hour
					m.inFlight = append(m.inFlight, p)
				}
				m.net.Usual(faultnet.Link{Duplicate: 0.5, Delay: 3 * time.Second, Jitter: 5 * time.Second})
			case "reload":
				if c.up && !c.suspended {
					c.manager.SetLimits(m.clock(i), m.limits[1:])
					c.manager.SetLimits(m.clock(i), m.limits)
				}
			case "few bytes", "many bytes":
				m.budget = map[string]float64{"few bytes": 40, "many bytes": 0}[what]
				if c.up {
					c.manager.SetByteBudget(m.clock(i), m.budget)
				}
			case "good":
				m.net.Usual(faultnet.Link{Delay: time.Millisecond})
			}
			for range rapid.IntRange(1, 40).Draw(t, "tenths") {
				m.step(100 * time.Millisecond)
				if err := m.check(); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
}

// A connected fleet with uneven demand grants nearly as much as one central limit would.
func TestUnevenDemandNearCentralLimit(t *testing.T) {
	for _, n := range []int{3, 12, 100} {
		for _, tc := range []struct {
			name string
			want func(i int, second int) float64
		}{
			{"one demands ten times as much as the others", func(i, _ int) float64 {
				if i == 0 {
					return 700 * 10 / float64(n+9)
				}
				return 700 / float64(n+9)
			}},
			{"one demands all", func(i, _ int) float64 {
				if i == 1 {
					return 1000
				}
				return 0
			}},
			{"it moves from replica to replica every 30 s", func(i, second int) float64 {
				if i == second/30%n {
					return 800
				}
				return 5 / float64(n)
			}},
		} {
			t.Run(fmt.Sprintf("%d replicas, %s", n, tc.name), func(t *testing.T) {
				m := newCluster(n, faultnet.New(faultnet.Link{Delay: time.Millisecond, Jitter: time.Millisecond}, 1), 1000)
				granted, central := 0.0, 0.0
				for step := range 1200 {
					all := 0.0
					for i := range m.replicas {
						m.demand[i] = tc.want(i, step/10)
						all += m.demand[i]
					}
					m.step(100 * time.Millisecond)
					if step < 100 { // demand is not measured yet
						continue
					}
					for i, c := range m.replicas {
						granted += min(m.demand[i], c.manager.Rate(m.clock(i), "quota")) / 10
					}
					central += min(all, 1000) / 10
				}
				minimum := 0.95
				if strings.HasPrefix(tc.name, "it moves") {
					minimum = 0.9 // loans follow a move of demand in 1 to 2 s, every 30 s
				}
				if got := granted / central; got < minimum {
					t.Errorf("got a fraction of %.3f of the grants of a central limit", got)
				} else {
					t.Logf("%.3f", got)
				}
			})
		}
	}
}
