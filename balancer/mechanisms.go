package balancer

import (
	"slices"
	"time"
)

// The parts that decisions are made with: chance, allowances, and what is kept in
// order so that no decision needs a scan. Nothing is decided here.

// random returns a number in [0, 1), from the instance's own generator (splitmix64).
func (b *Balancer) random() float64 {
	b.rng += 0x9e3779b97f4a7c15
	return float64(mix(b.rng)>>11) / (1 << 53)
}

func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// flight holds the calls of one class that are out, in the order in which they
// were sent.
type flight struct {
	first, last *request
	young       *request // the first that is not counted late
}

func (f *flight) add(r *request) {
	if r.prev, r.next, r.late = f.last, nil, false; f.last != nil {
		f.last.next = r
	} else {
		f.first = r
	}
	if f.last = r; f.young == nil {
		f.young = r
	}
}

func (f *flight) remove(r *request) {
	if f.young == r {
		f.young = r.next
	}
	if r.prev != nil {
		r.prev.next = r.next
	} else {
		f.first = r.next
	}
	if r.next != nil {
		r.next.prev = r.prev
	} else {
		f.last = r.prev
	}
	r.prev, r.next = nil, nil
}

// newestLate is the call sent last among those counted late, or nil. Those sent
// before it are its prev.
func (f *flight) newestLate() *request {
	if f.young != nil {
		return f.young.prev
	}
	return f.last
}

// shelves hold servers by level, each on one at most.
type shelves [][]*server

// move puts s on the shelf of a level; -1 is none.
func (l *shelves) move(s *server, level int) {
	if level == s.level {
		return
	}
	if s.level >= 0 { // the last on its shelf takes its spot
		shelf := (*l)[s.level]
		end := len(shelf) - 1
		shelf[s.spot], shelf[end].spot = shelf[end], s.spot
		shelf[end], (*l)[s.level] = nil, shelf[:end]
	}
	if s.level = level; level >= 0 {
		for len(*l) <= level {
			*l = append(*l, nil)
		}
		s.spot, (*l)[level] = len((*l)[level]), append((*l)[level], s)
	}
}

// empty takes all servers off. Whoever is put on next must be on no level.
func (l *shelves) empty() {
	for level, shelf := range *l {
		clear(shelf)
		(*l)[level] = shelf[:0]
	}
}

// credit is an allowance that fills at a rate.
type credit struct {
	n  float64
	at time.Duration

	part, after float64 // see Balancer.Quota
	until       time.Duration
	shared      bool
}

// fill adds what has come since the last time, at a rate a second, up to most.
func (c *credit) fill(now time.Duration, rate, most float64) float64 {
	c.n, c.at = min(c.n+rate*(now-c.at).Seconds(), most), now
	return c.n
}

// turn is the queue of a key whose requests run one at a time: see Balancer.advance.
type turn struct {
	queue []*request
	rest  time.Duration // nothing is sent for the next request before
}

// drop takes a request out.
func (t *turn) drop(r *request) {
	if t != nil {
		t.queue = slices.DeleteFunc(t.queue, func(other *request) bool { return other == r })
	}
}

// mostSpare bounds the requests that are kept to be used again.
const mostSpare = 1024

// spares are requests that are over.
type spares []*request

// take returns one, which may hold anything but keeps the room of its attempts.
func (s *spares) take() *request {
	last := len(*s) - 1
	if last < 0 {
		return new(request)
	}
	r := (*s)[last]
	*s = (*s)[:last]
	return r
}

// put keeps one, but nothing of the servers that it met: they may leave.
func (s *spares) put(r *request) {
	clear(r.attempts)
	if r.ran = nil; len(*s) < mostSpare {
		*s = append(*s, r)
	}
}
