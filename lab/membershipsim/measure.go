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

// Known starts n copies that know each other, as after a restart of all of them, and
// lets them come to rest.
func Known(n int, link faultnet.Link, seed uint64) *Sim {
	s := New(n, faultnet.New(link, seed), seed)
	records := make([]membership.Record, n)
	for i := range records {
		tags := &membership.Tags{Address: Name(i), Zone: "z0", Pools: []string{"main"}, ProgramVersion: "v1", SettingsHash: "0123456789abcdef", Phase: membership.Serving}
		records[i] = membership.Record{State: membership.State{Name: Name(i), Epoch: 1, Status: membership.Alive}, Tags: tags}
	}
	for i, c := range s.Replicas {
		c.memory = append(slices.Clone(records[:i]), records[i+1:]...)
		s.Start(i, Name((i+1)%n))
		c.memory = nil
	}
	s.Run(5 * time.Second)
	return s
}

// Deaths is what one fleet's deaths were like.
type Deaths struct {
	First, All    []time.Duration // until the first knew, and until all did
	Bytes, Frames float64         // a member a second, at rest
	Exchange      float64         // bytes a member a second, at rest
}

// MeasureDeaths kills so many members one after the other.
func MeasureDeaths(n, kills int, seed uint64) (d Deaths) {
	s := Known(n, Lan, seed)
	rng := rand.New(rand.NewPCG(seed, 7))
	bytes, frames, exchange := s.sums()
	const rest = 10
	s.Run(s.Now + rest*time.Second)
	b, f, e := s.sums()
	each := float64(n) * rest
	d.Bytes, d.Frames, d.Exchange = float64(b-bytes)/each, float64(f-frames)/each, float64(e-exchange)/each
	for range min(kills, n-2) {
		i := rng.IntN(n)
		for !s.Replicas[i].Up {
			i = rng.IntN(n)
		}
		knows, first := 0, time.Duration(0)
		left := -1
		for _, c := range s.Replicas {
			if c.Up {
				left++
			}
		}
		at := s.Now
		s.Seen = func(c Change) {
			if c.Record.Name == Name(i) && c.Record.Status == membership.Dead {
				if knows++; knows == 1 {
					first = c.At - at
				}
				if knows == left {
					d.All = append(d.All, c.At-at)
				}
			}
		}
		s.Kill(i)
		for knows < left && s.Now < at+time.Minute {
			s.Run(s.Now + 100*time.Millisecond)
		}
		d.First = append(d.First, first)
		if knows < left {
			d.All = append(d.All, time.Minute)
		}
		s.Seen = nil
		s.Run(s.Now + time.Duration(rng.IntN(1000))*time.Millisecond)
	}
	return d
}

func (s *Sim) sums() (bytes, frames, exchange uint64) {
	for _, c := range s.Replicas {
		bytes, frames, exchange = bytes+c.Bytes, frames+c.Frames, exchange+c.Exchange
	}
	return
}

// Accused is what a fleet came to in which nobody died.
type Accused struct {
	Suspected, Deaths int // that anybody saw, each once for each life and count
	Bytes             float64
}

// MeasureAccusations plays a time of losses, or of members that stand still for up
// to a second now and then, in which nobody dies.
func MeasureAccusations(n int, drop float64, stalls bool, length time.Duration, seed uint64) (a Accused) {
	s := Known(n, Lan, seed)
	link := Lan
	link.Drop = drop
	s.Net.Usual(link)
	rng := rand.New(rand.NewPCG(seed, 8))
	suspected, dead := map[membership.State]bool{}, map[membership.State]bool{}
	s.Seen = func(c Change) {
		switch c.Record.Status {
		case membership.Suspect:
			suspected[c.Record.State] = true
		case membership.Dead:
			dead[c.Record.State] = true
		}
	}
	if stalls {
		for i := range s.Replicas {
			if i%10 != 0 {
				continue
			}
			var next func()
			next = func() {
				s.Stop(i)
				s.At(s.Now+time.Duration(100+rng.IntN(900))*time.Millisecond, func() {
					s.Continue(i)
					s.At(s.Now+time.Duration(2+rng.IntN(15))*time.Second, next)
				})
			}
			s.At(s.Now+time.Duration(rng.IntN(10_000))*time.Millisecond, next)
		}
	}
	bytes, _, _ := s.sums()
	from := s.Now
	s.Run(from + length)
	b, _, _ := s.sums()
	return Accused{len(suspected), len(dead), float64(b-bytes) / float64(n) / length.Seconds()}
}

// MeasureHeal splits a fleet into two halves until each holds the other for dead, and
// tells how long the healed one takes until all hold all for alive, and how many
// bytes a member sent meanwhile.
func MeasureHeal(n int, seed uint64) (took time.Duration, bytes float64) {
	s := Known(n, Lan, seed)
	var half []string
	for i := range n / 2 {
		half = append(half, Name(i))
	}
	s.Net.Split(half)
	s.Run(s.Now + 30*time.Second)
	s.Net.Heal()
	at := s.Now
	b0, _, e0 := s.sums()
	for s.Now < at+time.Minute {
		s.Run(s.Now + 50*time.Millisecond)
		whole := s.Equal()
		for i := 0; whole && i < n; i++ {
			alive, _, _ := s.Replicas[i].List.Count()
			whole = alive == n-1
		}
		if whole {
			break
		}
	}
	b1, _, e1 := s.sums()
	return s.Now - at, float64(b1-b0+e1-e0) / float64(n)
}

// MeasureJoin starts n copies within a second, all from one seed, and tells how long
// it takes until all know all.
func MeasureJoin(n int, seed uint64) (took time.Duration, bytes float64) {
	s := New(n, faultnet.New(Lan, seed), seed)
	rng := rand.New(rand.NewPCG(seed, 9))
	for i := range n {
		s.At(time.Duration(rng.IntN(1000))*time.Millisecond, func() { s.Start(i, Name(0)) })
	}
	s.Run(time.Second)
	for s.Now < 2*time.Minute {
		s.Run(s.Now + 100*time.Millisecond)
		if s.Equal() && len(s.Replicas[0].List.Members()) == n {
			break
		}
	}
	b, _, e := s.sums()
	return s.Now, float64(b+e) / float64(n)
}
