package membershipsim

import (
	"math/rand/v2"
	"slices"
	"time"

	"ryerill/fleet/membership"
	"ryerill/lab/faultnet"
)

// Lan is the network of a site: well under a millisecond one way.
var Lan = faultnet.Link{Delay: 300 * time.Microsecond, Jitter: 400 * time.Microsecond}

const (
	startupTime = 5 * time.Second  // until a fleet of replicas that know each other is at rest
	restTime    = 10 * time.Second // over which traffic at rest is measured
	splitTime   = 30 * time.Second // until each half of a fleet holds the other for dead
	maxWait     = time.Minute      // for the whole fleet to agree
	joinTime    = time.Second      // in which all replicas of a new fleet start
	maxJoin     = 2 * time.Minute  // for a new fleet to agree
)

// Each measurement draws its own faults from the seed and its stream.
const (
	deathStream     = 7
	suspicionStream = 8
	joinStream      = 9
)

// startKnown starts n replicas that know each other, as after a restart of all of them,
// and runs until they are at rest.
func startKnown(n int, link faultnet.Link, seed uint64) *Sim {
	s := New(n, faultnet.New(link, seed), seed)
	records := make([]membership.Record, n)
	for i := range records {
		tags := servingTags(Name(i), "z0")
		records[i] = membership.Record{
			State: membership.State{Name: Name(i), Epoch: 1, Status: membership.Alive},
			Tags:  &tags,
		}
	}
	for i, replica := range s.Replicas {
		replica.persisted = append(slices.Clone(records[:i]), records[i+1:]...)
		s.Start(i, Name((i+1)%n))
		replica.persisted = nil
	}
	s.Run(startupTime)
	return s
}

// traffic is what all replicas together have sent.
type traffic struct{ bytes, frames, exchangeBytes uint64 }

func (s *Sim) traffic() (sum traffic) {
	for _, replica := range s.Replicas {
		sum.bytes += replica.Bytes
		sum.frames += replica.Frames
		sum.exchangeBytes += replica.ExchangeBytes
	}
	return sum
}

// minus returns what was sent since earlier.
func (t traffic) minus(earlier traffic) traffic {
	return traffic{
		bytes:         t.bytes - earlier.bytes,
		frames:        t.frames - earlier.frames,
		exchangeBytes: t.exchangeBytes - earlier.exchangeBytes,
	}
}

// Deaths is the result of MeasureDeaths.
type Deaths struct {
	// First and All are, for each death, the time until the first replica and until all
	// replicas held the dead one for dead.
	First, All []time.Duration
	// Bytes and Frames are datagrams a replica a second at rest, and Exchange the bytes of
	// exchanges.
	Bytes, Frames float64
	Exchange      float64
}

// MeasureDeaths kills replicas of a fleet of n one after the other, and measures the
// traffic at rest before.
func MeasureDeaths(n, kills int, seed uint64) (d Deaths) {
	s := startKnown(n, Lan, seed)
	rng := rand.New(rand.NewPCG(seed, deathStream))
	before := s.traffic()
	s.Run(s.Now + restTime)
	sent := s.traffic().minus(before)
	replicaSeconds := float64(n) * restTime.Seconds()
	d.Bytes = float64(sent.bytes) / replicaSeconds
	d.Frames = float64(sent.frames) / replicaSeconds
	d.Exchange = float64(sent.exchangeBytes) / replicaSeconds
	for range min(kills, n-2) {
		first, all := s.measureDeath(s.drawRunning(rng))
		d.First = append(d.First, first)
		d.All = append(d.All, all...)
		s.Run(s.Now + time.Duration(rng.IntN(1000))*time.Millisecond)
	}
	return d
}

// drawRunning draws the index of a replica that is up.
func (s *Sim) drawRunning(rng *rand.Rand) int {
	i := rng.IntN(len(s.Replicas))
	for !s.Replicas[i].Up {
		i = rng.IntN(len(s.Replicas))
	}
	return i
}

// measureDeath kills a replica and returns the times until the first other one and until
// all hold it for dead. Where they don't come to know within maxWait, that is the time.
func (s *Sim) measureDeath(index int) (first time.Duration, all []time.Duration) {
	const step = 100 * time.Millisecond
	others := -1
	for _, replica := range s.Replicas {
		if replica.Up {
			others++
		}
	}
	killedAt := s.Now
	informed := 0
	s.OnChange = func(c Change) {
		if c.Record.Name != Name(index) || c.Record.Status != membership.Dead {
			return
		}
		informed++
		if informed == 1 {
			first = c.At - killedAt
		}
		if informed == others {
			all = append(all, c.At-killedAt)
		}
	}
	s.Kill(index)
	for informed < others && s.Now < killedAt+maxWait {
		s.Run(s.Now + step)
	}
	if informed < others {
		all = append(all, maxWait)
	}
	s.OnChange = nil
	return first, all
}

// Suspicions is the result of MeasureAccusations.
type Suspicions struct {
	// Suspected and Deaths count the members that any replica suspected or held for dead,
	// each once for each epoch and incarnation.
	Suspected, Deaths int
	Bytes             float64 // of datagrams, a replica a second
}

// MeasureAccusations measures false suspicions in a fleet of n in which nobody dies, but a
// fraction of the datagrams is dropped, or, with stalls, every tenth replica stands still
// for up to a second now and then.
func MeasureAccusations(n int, drop float64, stalls bool, length time.Duration, seed uint64) Suspicions {
	s := startKnown(n, Lan, seed)
	link := Lan
	link.Drop = drop
	s.Net.Usual(link)
	rng := rand.New(rand.NewPCG(seed, suspicionStream))
	suspected := map[membership.State]bool{}
	dead := map[membership.State]bool{}
	s.OnChange = func(c Change) {
		switch c.Record.Status {
		case membership.Suspect:
			suspected[c.Record.State] = true
		case membership.Dead:
			dead[c.Record.State] = true
		}
	}
	if stalls {
		const stalledOneIn = 10
		for i := 0; i < n; i += stalledOneIn {
			s.scheduleStalls(i, rng)
		}
	}
	before := s.traffic()
	s.Run(s.Now + length)
	sent := s.traffic().minus(before)
	return Suspicions{
		Suspected: len(suspected),
		Deaths:    len(dead),
		Bytes:     float64(sent.bytes) / float64(n) / length.Seconds(),
	}
}

// scheduleStalls has a replica stand still for 0.1 to 1 s, every 2 to 16 s.
func (s *Sim) scheduleStalls(index int, rng *rand.Rand) {
	var stall func()
	stall = func() {
		s.Stop(index)
		s.At(s.Now+time.Duration(100+rng.IntN(900))*time.Millisecond, func() {
			s.Continue(index)
			s.At(s.Now+time.Duration(2+rng.IntN(15))*time.Second, stall)
		})
	}
	s.At(s.Now+time.Duration(rng.IntN(10_000))*time.Millisecond, stall)
}

// MeasureHeal splits a fleet of n into two halves until each holds the other for dead, and
// heals it. It returns how long all take from then on to hold all for alive, and how many
// bytes a replica has sent meanwhile.
func MeasureHeal(n int, seed uint64) (took time.Duration, bytes float64) {
	const step = 50 * time.Millisecond
	s := startKnown(n, Lan, seed)
	var half []string
	for i := range n / 2 {
		half = append(half, Name(i))
	}
	s.Net.Split(half)
	s.Run(s.Now + splitTime)
	s.Net.Heal()
	healedAt := s.Now
	before := s.traffic()
	for s.Now < healedAt+maxWait {
		s.Run(s.Now + step)
		if s.allAlive() {
			break
		}
	}
	sent := s.traffic().minus(before)
	return s.Now - healedAt, float64(sent.bytes+sent.exchangeBytes) / float64(n)
}

// allAlive reports whether all replicas have the same view, and hold all for alive.
func (s *Sim) allAlive() bool {
	if !s.Equal() {
		return false
	}
	for _, replica := range s.Replicas {
		alive, _, _ := replica.List.Count()
		if alive != len(s.Replicas)-1 {
			return false
		}
	}
	return true
}

// MeasureJoin starts n replicas within a second, all from one seed replica. It returns how
// long it takes until all know all, and how many bytes a replica has sent by then.
func MeasureJoin(n int, seed uint64) (took time.Duration, bytes float64) {
	const step = 100 * time.Millisecond
	s := New(n, faultnet.New(Lan, seed), seed)
	rng := rand.New(rand.NewPCG(seed, joinStream))
	for i := range n {
		startAt := time.Duration(rng.IntN(int(joinTime/time.Millisecond))) * time.Millisecond
		s.At(startAt, func() { s.Start(i, Name(0)) })
	}
	s.Run(joinTime)
	for s.Now < maxJoin {
		s.Run(s.Now + step)
		if s.Equal() && len(s.Replicas[0].List.Members()) == n {
			break
		}
	}
	sent := s.traffic()
	return s.Now, float64(sent.bytes+sent.exchangeBytes) / float64(n)
}
