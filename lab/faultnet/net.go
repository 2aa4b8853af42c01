// Package badnet is the laboratory's one bad network: what becomes of each
// datagram and each piece of a stream on its way from one copy to another. It is
// pure, so that virtual time and relays on loopback (package relay) play the very
// same faults, and it keeps a record of what passed.
package badnet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"ryerill/internal/seedrand"
)

// Link is how the way from one copy to another behaves. The zero value passes
// everything on at once.
type Link struct {
	Cut       bool          `yaml:"cut,omitempty"`       // nothing passes, and nobody is told
	Drop      float64       `yaml:"drop,omitempty"`      // part of the datagrams that is lost
	Duplicate float64       `yaml:"duplicate,omitempty"` // part that comes twice
	Corrupt   float64       `yaml:"corrupt,omitempty"`   // part of which a byte is changed
	Reorder   float64       `yaml:"reorder,omitempty"`   // part that is held back by another delay and jitter
	Delay     time.Duration `yaml:"delay,omitempty"`
	Jitter    time.Duration `yaml:"jitter,omitempty"` // a delay is longer by up to this
	BytesPerS int           `yaml:"bytes_per_s,omitempty"`
}

// Check names what is impossible in a link.
func (l Link) Check() error {
	for name, part := range map[string]float64{"drop": l.Drop, "duplicate": l.Duplicate, "corrupt": l.Corrupt, "reorder": l.Reorder} {
		if !(part >= 0 && part <= 1) {
			return fmt.Errorf("%s: %v is no part of 1", name, part)
		}
	}
	if l.Delay < 0 || l.Jitter < 0 || l.BytesPerS < 0 {
		return fmt.Errorf("delay, jitter and bytes_per_s can't be below 0")
	}
	return nil
}

// Passed counts what one way has carried.
type Passed struct {
	Frames, Bytes, Dropped, Duplicated, Corrupted, Cut uint64
}

// Copy is one arrival of what was sent.
type Copy struct {
	At      time.Duration
	Corrupt bool // a byte is to be changed
}

type way struct{ from, to string }

// Network is the state of the network. It is not safe for concurrent use.
type Network struct {
	rng    seedrand.Source
	usual  Link
	links  map[way]Link
	groups map[string]int // by copy, while split
	split  bool
	free   map[way]time.Duration // when a throttled way is free again
	passed map[way]*Passed
	Total  Passed
}

// New returns a network in which every way behaves as usual does.
func New(usual Link, seed uint64) *Network {
	return &Network{rng: seedrand.Source(seed), usual: usual, links: map[way]Link{}, groups: map[string]int{}, free: map[way]time.Duration{}, passed: map[way]*Passed{}}
}

// Usual changes how ways behave that have no link of their own.
func (n *Network) Usual(l Link) { n.usual = l }

// Set changes the way from one copy to another. "*" stands for every copy.
func (n *Network) Set(from, to string, l Link) { n.links[way{from, to}] = l }

// CutOff cuts a copy off from all others, both ways or what goes out alone.
func (n *Network) CutOff(name string, oneWay bool) {
	n.Set(name, "*", Link{Cut: true})
	if !oneWay {
		n.Set("*", name, Link{Cut: true})
	}
}

// Split lets copies speak within their group alone. Those in no group are one
// group of their own.
func (n *Network) Split(groups ...[]string) {
	n.split = true
	clear(n.groups)
	for i, g := range groups {
		for _, name := range g {
			n.groups[name] = i + 1
		}
	}
}

// Heal takes all cuts, splits and links of single ways back.
func (n *Network) Heal() {
	n.split = false
	clear(n.links)
	clear(n.groups)
	clear(n.free)
}

// Link tells how the way from one copy to another behaves now.
func (n *Network) Link(from, to string) Link {
	l := n.usual
	for _, w := range []way{{"*", to}, {from, "*"}, {from, to}} {
		if own, ok := n.links[w]; ok {
			if own.Cut || !l.Cut {
				l = own
			}
		}
	}
	if n.split && n.groups[from] != n.groups[to] {
		l.Cut = true
	}
	return l
}

// Send tells when a datagram of so many bytes arrives: never, once or twice.
func (n *Network) Send(now time.Duration, from, to string, bytes int) []Copy {
	l, p := n.Link(from, to), n.book(from, to)
	p.Frames++
	p.Bytes += uint64(bytes)
	n.Total.Frames++
	n.Total.Bytes += uint64(bytes)
	switch {
	case l.Cut:
		p.Cut++
		n.Total.Cut++
		return nil
	case n.rng.Float64() < l.Drop:
		p.Dropped++
		n.Total.Dropped++
		return nil
	}
	one := Copy{At: n.arrival(now, way{from, to}, l, bytes)}
	if n.rng.Float64() < l.Reorder {
		one.At += l.Delay + n.part(l.Jitter) + time.Millisecond
	}
	if one.Corrupt = n.rng.Float64() < l.Corrupt; one.Corrupt {
		p.Corrupted++
		n.Total.Corrupted++
	}
	out := []Copy{one}
	if n.rng.Float64() < l.Duplicate {
		p.Duplicated++
		n.Total.Duplicated++
		out = append(out, Copy{At: n.arrival(now, way{from, to}, l, bytes)})
	}
	return out
}

// Stream tells when a piece of a stream arrives: streams lose and reorder nothing,
// but stand still while their way is cut.
func (n *Network) Stream(now time.Duration, from, to string, bytes int) (at time.Duration, cut bool) {
	l := n.Link(from, to)
	if l.Cut {
		return 0, true
	}
	p := n.book(from, to)
	p.Bytes += uint64(bytes)
	n.Total.Bytes += uint64(bytes)
	return n.arrival(now, way{from, to}, l, bytes), false
}

func (n *Network) arrival(now time.Duration, w way, l Link, bytes int) time.Duration {
	if l.BytesPerS > 0 {
		start := max(now, n.free[w])
		n.free[w] = start + time.Duration(float64(bytes)/float64(l.BytesPerS)*float64(time.Second))
		now = n.free[w]
	}
	return now + l.Delay + n.part(l.Jitter)
}

func (n *Network) book(from, to string) *Passed {
	w := way{from, to}
	p := n.passed[w]
	if p == nil {
		p = new(Passed)
		n.passed[w] = p
	}
	return p
}

// Passed tells what the ways out of a copy have carried.
func (n *Network) Passed(from string) (sum Passed) {
	for w, p := range n.passed {
		if w.from == from {
			sum.Frames += p.Frames
			sum.Bytes += p.Bytes
			sum.Dropped += p.Dropped
			sum.Duplicated += p.Duplicated
			sum.Corrupted += p.Corrupted
			sum.Cut += p.Cut
		}
	}
	return sum
}

// Forget throws away what was recorded by way: in large fleets it is large.
func (n *Network) Forget() { clear(n.passed) }

func (n *Network) part(d time.Duration) time.Duration {
	return time.Duration(n.rng.Float64() * float64(d))
}

// Step is one line of a script: what happens to the network or to a copy, and when.
type Step struct {
	At     time.Duration `yaml:"at"`
	Kind   string        `yaml:"kind"` // see Kinds
	From   []string      `yaml:"from,omitempty"`
	To     []string      `yaml:"to,omitempty"`
	Groups [][]string    `yaml:"groups,omitempty"`
	Link   Link          `yaml:"link,omitempty"`
}

// Kinds are the kinds of step. The last four are for whoever holds the processes.
var kinds = []string{"link", "usual", "cut", "cut-one-way", "split", "heal", "stop", "continue", "kill", "restart"}

// Check names what is at fault in a script.
func Check(script []Step) error {
	var last time.Duration
	for i, s := range script {
		if !slices.Contains(kinds, s.Kind) {
			return fmt.Errorf("script[%d].kind: %q is none of %s", i, s.Kind, strings.Join(kinds, ", "))
		}
		if s.At < last {
			return fmt.Errorf("script[%d].at: %v lies before the step before it", i, s.At)
		}
		last = s.At
		if err := s.Link.Check(); err != nil {
			return fmt.Errorf("script[%d].link.%w", i, err)
		}
		if len(s.From) == 0 && s.Kind != "heal" && s.Kind != "usual" && s.Kind != "split" {
			return fmt.Errorf("script[%d].from: names nobody", i)
		}
	}
	return nil
}

// Do carries out a step that is for the network, and tells whether it was.
func (n *Network) Do(s Step) bool {
	switch s.Kind {
	case "link":
		for _, from := range s.From {
			for _, to := range orAll(s.To) {
				n.Set(from, to, s.Link)
			}
		}
	case "usual":
		n.Usual(s.Link)
	case "cut", "cut-one-way":
		for _, from := range s.From {
			for _, to := range orAll(s.To) {
				if n.Set(from, to, Link{Cut: true}); s.Kind == "cut" {
					n.Set(to, from, Link{Cut: true})
				}
			}
		}
	case "split":
		n.Split(s.Groups...)
	case "heal":
		n.Heal()
	default:
		return false
	}
	return true
}

func orAll(names []string) []string {
	if len(names) == 0 {
		return []string{"*"}
	}
	return names
}
