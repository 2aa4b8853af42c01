// Package membershipsim plays a fleet's membership in virtual time: any number of
// copies of package member over the laboratory's bad network, with stops, kills,
// restarts and cuts, and somebody who sees all of it.
package membershipsim

import (
	"container/heap"
	"fmt"
	"time"

	"ryerill/fleet/membership"
	"ryerill/fleet/placement"
	badnet "ryerill/lab/faultnet"
)

// connect is how long an exchange waits for an answer until it is given up.
const connect = 2 * time.Second

// Change is one that somebody's view saw.
type Change struct {
	At     time.Duration
	Who    string
	Record membership.Record
	Was    membership.Status
	Why    string
}

// Copy is one process.
type Copy struct {
	Name     string
	Address  string
	Member   *membership.Member
	View     *placement.View     // made by Look
	memory   []membership.Record // what it would remember after a restart, and whether it was sure
	sure     bool
	left     bool
	knew     bool
	Up       bool
	Stopped  bool
	Broken   bool // its disk: nothing is remembered, and it tells nobody whom it counts anew
	life     int
	wakes    time.Duration // the tick that is set; never if none
	backlog  []membership.Event
	Bytes    uint64 // of datagrams sent
	Frames   uint64
	Exchange uint64 // bytes of exchanges, both ways, booked on who began them
}

// Sim is a fleet in virtual time.
type Sim struct {
	Net    *badnet.Net
	Copies []*Copy
	Now    time.Duration
	Config func(i int, c *membership.Config) // changes what a copy is told at its start
	Seen   func(Change)                      // is told of each change that a copy sees
	Acted  func(*Copy, membership.Action)    // is told of each other action

	byName map[string]*Copy // by address
	events queue
	count  uint64
	seed   uint64
	out    []membership.Action
	Events uint64
}

// Name is that of the copy of a number.
func Name(i int) string { return fmt.Sprintf("m%05d", i) }

// New returns a fleet of n copies that are not started.
func New(n int, net *badnet.Net, seed uint64) *Sim {
	s := &Sim{Net: net, byName: map[string]*Copy{}, seed: seed}
	for i := range n {
		c := &Copy{Name: Name(i), Address: Name(i), wakes: -1}
		s.Copies = append(s.Copies, c)
		s.byName[c.Name] = c
	}
	return s
}

// Start starts a copy, or starts it anew under another epoch.
func (s *Sim) Start(i int, seeds ...string) {
	c := s.Copies[i]
	c.life++
	cfg := membership.Config{Name: c.Name, Epoch: uint64(s.Now/time.Millisecond) + 1, Seed: s.seed + uint64(i)<<20 + uint64(c.life), Seeds: seeds,
		Tags: membership.Tags{Address: c.Name, Zone: fmt.Sprint("z", i%3), Pools: []string{"main"}, Program: "v1", Settings: "0123456789abcdef", Phase: membership.Serving}}
	if s.Config != nil {
		s.Config(i, &cfg)
	}
	c.Address = cfg.Tags.Address
	s.byName[c.Address] = c
	c.Member, c.View, c.Up, c.Stopped, c.backlog = membership.New(cfg), nil, true, false, nil
	c.wakes = -1
	if c.Broken {
		c.memory, c.sure = nil, false
	}
	if c.knew = len(seeds) == 0 || len(c.memory) > 0 && !c.left; len(c.memory) > 0 {
		s.tell(c, membership.Event{Kind: membership.Recall, Records: c.memory})
	}
	s.tell(c, membership.Event{Kind: membership.Begin})
}

// Kill ends a copy.
func (s *Sim) Kill(i int) { s.Copies[i].Up = false; s.Copies[i].life++ }

// Stop makes a copy stand still, as SIGSTOP does: what comes waits.
func (s *Sim) Stop(i int) { s.Copies[i].Stopped = true }

// Continue ends that.
func (s *Sim) Continue(i int) {
	c := s.Copies[i]
	if !c.Stopped || !c.Up {
		return
	}
	c.Stopped = false
	s.tell(c, membership.Event{Kind: membership.Tick})
	for _, ev := range c.backlog {
		s.tell(c, ev)
	}
	c.backlog = nil
}

// Tell hands an event to a copy.
func (s *Sim) Tell(i int, ev membership.Event) { s.tell(s.Copies[i], ev) }

// At does something at a time.
func (s *Sim) At(at time.Duration, do func()) {
	s.count++
	heap.Push(&s.events, event{at: max(at, s.Now), order: s.count, do: do})
}

// Run plays until a time.
func (s *Sim) Run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		ev := heap.Pop(&s.events).(event)
		s.Now = ev.at
		s.Events++
		switch {
		case ev.do != nil:
			ev.do()
		case ev.c.life != ev.life:
		case ev.ev.Kind == membership.Tick:
			if ev.c.wakes == ev.at {
				ev.c.wakes = -1
				s.tell(ev.c, ev.ev)
			}
		default:
			s.tell(ev.c, ev.ev)
		}
	}
	s.Now = until
}

// mostBacklog is what a stopped copy's socket holds.
const mostBacklog = 256

func (s *Sim) tell(c *Copy, ev membership.Event) {
	if !c.Up {
		return
	}
	if c.Stopped {
		if ev.Kind != membership.Tick && len(c.backlog) < mostBacklog {
			c.backlog = append(c.backlog, ev)
		}
		return
	}
	outer := s.out
	actions := c.Member.Handle(s.Now, ev, outer[len(outer):])
	for i := range actions {
		s.carryOut(c, &actions[i])
	}
	if due := c.Member.Due(); due < 1<<62 && (c.wakes < 0 || due < c.wakes) {
		c.wakes = max(due, s.Now+1)
		s.push(event{at: c.wakes, c: c, life: c.life, ev: membership.Event{Kind: membership.Tick}})
	}
}

func (s *Sim) push(e event) {
	s.count++
	e.order = s.count
	heap.Push(&s.events, e)
}

// overhead is what a datagram has beside its news: version, name of the fleet,
// authentication code, the fixed fields of a message.
const overhead = 96

// Size is how many bytes a message takes.
func Size(msg *membership.Message) int {
	n := overhead + len(msg.Target)
	for i := range msg.News {
		n += msg.News[i].Size()
	}
	for _, w := range msg.Want {
		n += len(w) + 2
	}
	return n
}

func (s *Sim) carryOut(c *Copy, a *membership.Action) {
	switch a.Kind {
	case membership.Send:
		size := Size(a.Message)
		c.Bytes += uint64(size)
		c.Frames++
		to := s.byName[a.Address]
		if to == nil {
			return
		}
		for _, copy := range s.Net.Send(s.Now, c.Name, to.Name, size) {
			if !copy.Corrupt { // its authentication code does not fit
				s.push(event{at: copy.At, c: to, life: to.life, ev: membership.Event{Kind: membership.Heard, Message: a.Message, From: c.Address}})
			}
		}
	case membership.Dial:
		s.exchange(c, a)
	case membership.Changed:
		if s.Seen != nil {
			s.Seen(Change{s.Now, c.Name, a.Record, a.Was, a.Why})
		}
	default:
		if s.Acted != nil {
			s.Acted(c, *a)
		}
	}
}

// exchange plays one connection: the view goes over, the difference comes back,
// and what was wanted goes over again.
func (s *Sim) exchange(c *Copy, a *membership.Action) {
	to, life, id := s.byName[a.Address], c.life, a.Exchange
	broken := func(after time.Duration) {
		s.push(event{at: s.Now + after, c: c, life: life, ev: membership.Event{Kind: membership.Broken, Exchange: id}})
	}
	if to == nil || to == c || !to.Up {
		broken(time.Millisecond)
		return
	}
	over := func(from, to *Copy, msg *membership.Message, then func()) {
		size := Size(msg)
		c.Exchange += uint64(size)
		at, cut := s.Net.Stream(s.Now, from.Name, to.Name, size)
		if cut || !to.Up || to.Stopped || c.life != life {
			broken(connect)
			return
		}
		lifeTo := to.life
		s.At(at, func() {
			if to.life == lifeTo && to.Up && !to.Stopped {
				then()
			} else {
				broken(connect)
			}
		})
	}
	// The replies of the pure part are taken out of its actions here, as a host does.
	ask := func(who *Copy, ev membership.Event) (reply *membership.Message) {
		for _, act := range who.Member.Handle(s.Now, ev, nil) {
			if act.Kind == membership.Reply {
				reply = act.Message
			} else {
				s.carryOut(who, &act)
			}
		}
		s.tell(who, membership.Event{Kind: membership.Tick})
		return reply
	}
	over(c, to, a.Message, func() {
		delta := ask(to, membership.Event{Kind: membership.Asked, Message: a.Message, Exchange: id})
		if delta == nil {
			broken(0)
			return
		}
		over(to, c, delta, func() {
			if rest := ask(c, membership.Event{Kind: membership.Answered, Message: delta, Exchange: id}); rest != nil && len(rest.News) > 0 {
				over(c, to, rest, func() { ask(to, membership.Event{Kind: membership.Finished, Message: rest}) })
			}
		})
	})
}

// Look has every copy that is up and not stopped make its view, as the host does, of
// a fleet of which a person has written a number of copies.
func (s *Sim) Look(floor int) {
	for _, c := range s.Copies {
		if !c.Up || c.Stopped {
			continue
		}
		if c.View == nil {
			if c.View = placement.New(map[string]int{"main": floor}); c.sure {
				c.View.Trust()
			}
		}
		m := c.Member
		c.View.Update(s.Now, placement.Snapshot{Members: m.Members(), Joined: m.Joined() || c.knew, Displaced: m.Displaced(), Health: m.Health()})
		c.left = m.Self().Status == membership.Left
		if c.Broken {
			continue
		}
		c.sure, c.memory = c.View.Sure() && !c.left, c.memory[:0]
		for _, other := range m.Members() {
			if !other.Self && other.Status != membership.Left {
				c.memory = append(c.memory, other.Record)
			}
		}
		m.Counted(c.View.Counted())
	}
}

// Views counts how many of the copies that are up hold a copy for each status.
func (s *Sim) Views(of int) map[membership.Status]int {
	out := map[membership.Status]int{}
	for _, c := range s.Copies {
		if c.Up && c.Name != Name(of) {
			out[StatusOf(c.Member, Name(of))]++
		}
	}
	return out
}

// StatusOf is what a member holds of another: 0 if nothing.
func StatusOf(m *membership.Member, name string) membership.Status {
	r, _ := m.Find(name)
	return r.Status
}

// Equal tells whether all that are up have the same view.
func (s *Sim) Equal() bool {
	first := uint64(0)
	for _, c := range s.Copies {
		if !c.Up {
			continue
		}
		if first == 0 {
			first = c.Member.Digest()
		}
		if c.Member.Digest() != first {
			return false
		}
	}
	return true
}

type event struct {
	at    time.Duration
	order uint64
	c     *Copy
	life  int
	ev    membership.Event
	do    func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	n := len(old) - 1
	x := old[n]
	old[n] = event{}
	*q = old[:n]
	return x
}

// Depart books that a copy says that it goes for good: it will not come back as one
// that all count.
func (c *Copy) Depart() { c.sure, c.left = false, true }
