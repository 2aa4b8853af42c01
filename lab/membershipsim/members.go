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
	"ryerill/lab/faultnet"
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

// Replica is one process.
type Replica struct {
	Name     string
	Address  string
	List     *membership.List
	Tracker  *placement.Tracker  // made by Look
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
	Net      *faultnet.Network
	Replicas []*Replica
	Now      time.Duration
	Config   func(i int, c *membership.Config) // changes what a copy is told at its start
	Seen     func(Change)                      // is told of each change that a copy sees
	Acted    func(*Replica, membership.Action) // is told of each other action

	byName map[string]*Replica // by address
	events queue
	count  uint64
	seed   uint64
	out    []membership.Action
	Events uint64
}

// Name is that of the copy of a number.
func Name(i int) string { return fmt.Sprintf("m%05d", i) }

// New returns a fleet of n copies that are not started.
func New(n int, net *faultnet.Network, seed uint64) *Sim {
	s := &Sim{Net: net, byName: map[string]*Replica{}, seed: seed}
	for i := range n {
		c := &Replica{Name: Name(i), Address: Name(i), wakes: -1}
		s.Replicas = append(s.Replicas, c)
		s.byName[c.Name] = c
	}
	return s
}

// Start starts a copy, or starts it anew under another epoch.
func (s *Sim) Start(i int, seeds ...string) {
	c := s.Replicas[i]
	c.life++
	cfg := membership.Config{Name: c.Name, Epoch: uint64(s.Now/time.Millisecond) + 1, Seed: s.seed + uint64(i)<<20 + uint64(c.life), Seeds: seeds,
		Tags: membership.Tags{Address: c.Name, Zone: fmt.Sprint("z", i%3), Pools: []string{"main"}, ProgramVersion: "v1", SettingsHash: "0123456789abcdef", Phase: membership.Serving}}
	if s.Config != nil {
		s.Config(i, &cfg)
	}
	c.Address = cfg.Tags.Address
	s.byName[c.Address] = c
	c.List, c.Tracker, c.Up, c.Stopped, c.backlog = membership.New(cfg), nil, true, false, nil
	c.wakes = -1
	if c.Broken {
		c.memory, c.sure = nil, false
	}
	if c.knew = len(seeds) == 0 || len(c.memory) > 0 && !c.left; len(c.memory) > 0 {
		s.tell(c, membership.Event{Kind: membership.Restore, Records: c.memory})
	}
	s.tell(c, membership.Event{Kind: membership.Start})
}

// Kill ends a copy.
func (s *Sim) Kill(i int) { s.Replicas[i].Up = false; s.Replicas[i].life++ }

// Stop makes a copy stand still, as SIGSTOP does: what comes waits.
func (s *Sim) Stop(i int) { s.Replicas[i].Stopped = true }

// Continue ends that.
func (s *Sim) Continue(i int) {
	c := s.Replicas[i]
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
func (s *Sim) Tell(i int, ev membership.Event) { s.tell(s.Replicas[i], ev) }

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

func (s *Sim) tell(c *Replica, ev membership.Event) {
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
	actions := c.List.Handle(s.Now, ev, outer[len(outer):])
	for i := range actions {
		s.carryOut(c, &actions[i])
	}
	if due := c.List.NextTick(); due < 1<<62 && (c.wakes < 0 || due < c.wakes) {
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
	for i := range msg.Updates {
		n += msg.Updates[i].Size()
	}
	for _, w := range msg.Requested {
		n += len(w) + 2
	}
	return n
}

func (s *Sim) carryOut(c *Replica, a *membership.Action) {
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
				s.push(event{at: copy.At, c: to, life: to.life, ev: membership.Event{Kind: membership.MessageReceived, Message: a.Message, From: c.Address}})
			}
		}
	case membership.StartSync:
		s.exchange(c, a)
	case membership.MemberChanged:
		if s.Seen != nil {
			s.Seen(Change{s.Now, c.Name, a.Record, a.PreviousStatus, a.Reason})
		}
	default:
		if s.Acted != nil {
			s.Acted(c, *a)
		}
	}
}

// exchange plays one connection: the view goes over, the difference comes back,
// and what was wanted goes over again.
func (s *Sim) exchange(c *Replica, a *membership.Action) {
	to, life, id := s.byName[a.Address], c.life, a.Exchange
	broken := func(after time.Duration) {
		s.push(event{at: s.Now + after, c: c, life: life, ev: membership.Event{Kind: membership.SyncFailed, Exchange: id}})
	}
	if to == nil || to == c || !to.Up {
		broken(time.Millisecond)
		return
	}
	over := func(from, to *Replica, msg *membership.Message, then func()) {
		size := Size(msg)
		c.Exchange += uint64(size)
		at, ok := s.Net.Stream(s.Now, from.Name, to.Name, size)
		if !ok || !to.Up || to.Stopped || c.life != life {
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
	ask := func(who *Replica, ev membership.Event) (reply *membership.Message) {
		for _, act := range who.List.Handle(s.Now, ev, nil) {
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
		delta := ask(to, membership.Event{Kind: membership.SyncRequested, Message: a.Message, Exchange: id})
		if delta == nil {
			broken(0)
			return
		}
		over(to, c, delta, func() {
			if rest := ask(c, membership.Event{Kind: membership.SyncAnswered, Message: delta, Exchange: id}); rest != nil && len(rest.Updates) > 0 {
				over(c, to, rest, func() { ask(to, membership.Event{Kind: membership.SyncFinished, Message: rest}) })
			}
		})
	})
}

// Look has every copy that is up and not stopped make its view, as the host does, of
// a fleet of which a person has written a number of copies.
func (s *Sim) Look(floor int) {
	for _, c := range s.Replicas {
		if !c.Up || c.Stopped {
			continue
		}
		if c.Tracker == nil {
			if c.Tracker = placement.New(map[string]int{"main": floor}); c.sure {
				c.Tracker.RestoreConfirmed()
			}
		}
		m := c.List
		c.Tracker.Update(s.Now, placement.Snapshot{Members: m.Members(), Joined: m.Joined() || c.knew, Displaced: m.Displaced(), Health: m.LocalHealth()})
		c.left = m.Self().Status == membership.Left
		if c.Broken {
			continue
		}
		c.sure, c.memory = c.Tracker.Confirmed() && !c.left, c.memory[:0]
		for _, other := range m.Members() {
			if !other.Self && other.Status != membership.Left {
				c.memory = append(c.memory, other.Record)
			}
		}
		m.SetReplicaSetDigest(c.Tracker.ReplicaSetDigest())
	}
}

// Views counts how many of the copies that are up hold a copy for each status.
func (s *Sim) Views(of int) map[membership.Status]int {
	out := map[membership.Status]int{}
	for _, c := range s.Replicas {
		if c.Up && c.Name != Name(of) {
			out[StatusOf(c.List, Name(of))]++
		}
	}
	return out
}

// StatusOf is what a member holds of another: 0 if nothing.
func StatusOf(m *membership.List, name string) membership.Status {
	r, _ := m.Find(name)
	return r.Status
}

// Equal tells whether all that are up have the same view.
func (s *Sim) Equal() bool {
	first := uint64(0)
	for _, c := range s.Replicas {
		if !c.Up {
			continue
		}
		if first == 0 {
			first = c.List.Digest()
		}
		if c.List.Digest() != first {
			return false
		}
	}
	return true
}

type event struct {
	at    time.Duration
	order uint64
	c     *Replica
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
func (c *Replica) Depart() { c.sure, c.left = false, true }
