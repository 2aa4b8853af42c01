// Package membershipsim simulates a fleet's membership in virtual time: any number of
// replicas of package membership over the laboratory's unreliable network, with stops,
// kills, restarts and partitions, and an observer that sees all of it.
package membershipsim

import (
	"container/heap"
	"fmt"
	"time"

	"ryerill/fleet/membership"
	"ryerill/lab/faultnet"
)

const (
	noTick     = time.Duration(-1) // of a replica for which no tick is scheduled
	neverDue   = time.Duration(1 << 62)
	maxBacklog = 256 // events that the socket of a stopped replica holds
	zones      = 3
	seedShift  = 20 // separates the seeds of replicas from those of their restarts
)

// Change is a change in one replica's view of another.
type Change struct {
	At       time.Duration
	Observer string
	Record   membership.Record
	Previous membership.Status
	Reason   string
}

// Sim is a fleet in virtual time. It is not safe for concurrent use.
type Sim struct {
	Net      *faultnet.Network
	Replicas []*Replica
	Now      time.Duration

	// Configure changes the configuration with which a replica starts; nil changes nothing.
	Configure func(index int, c *membership.Config)
	// OnChange observes each change that a replica sees, and OnAction each other action
	// that the simulation doesn't execute. Both may be nil.
	OnChange func(Change)
	OnAction func(*Replica, membership.Action)

	byAddress map[string]*Replica
	events    eventQueue
	scheduled uint64 // events so far: they give the order of those due at one time
	seed      uint64
}

// Name returns the name of the replica of an index.
func Name(index int) string { return fmt.Sprintf("m%05d", index) }

// New returns a fleet of n replicas that are not started.
func New(n int, net *faultnet.Network, seed uint64) *Sim {
	s := &Sim{Net: net, byAddress: map[string]*Replica{}, seed: seed}
	for i := range n {
		replica := &Replica{Name: Name(i), Address: Name(i), tickAt: noTick}
		s.Replicas = append(s.Replicas, replica)
		s.byAddress[replica.Name] = replica
	}
	return s
}

// config is the configuration of a replica that starts now.
func (s *Sim) config(index int, seeds []string) membership.Config {
	replica := s.Replicas[index]
	cfg := membership.Config{
		Name:  replica.Name,
		Epoch: uint64(s.Now/time.Millisecond) + 1,
		Seed:  s.seed + uint64(index)<<seedShift + uint64(replica.generation),
		Seeds: seeds,
		Tags:  servingTags(replica.Name, fmt.Sprint("z", index%zones)),
	}
	if s.Configure != nil {
		s.Configure(index, &cfg)
	}
	return cfg
}

// servingTags are the tags of a replica that serves.
func servingTags(address, zone string) membership.Tags {
	return membership.Tags{
		Address:        address,
		Zone:           zone,
		Pools:          []string{poolName},
		ProgramVersion: "v1",
		SettingsHash:   "0123456789abcdef",
		Phase:          membership.Serving,
	}
}

// Start starts a replica, or starts it again under another epoch. It joins through seeds.
func (s *Sim) Start(index int, seeds ...string) {
	replica := s.Replicas[index]
	replica.generation++
	cfg := s.config(index, seeds)
	replica.Address = cfg.Tags.Address
	s.byAddress[replica.Address] = replica
	replica.start(membership.New(cfg))
	replica.wasMember = len(seeds) == 0 || len(replica.persisted) > 0 && !replica.hasLeft
	if len(replica.persisted) > 0 {
		s.handle(replica, membership.Event{Kind: membership.Restore, Records: replica.persisted})
	}
	s.handle(replica, membership.Event{Kind: membership.Start})
}

// Kill ends a replica's process.
func (s *Sim) Kill(index int) {
	replica := s.Replicas[index]
	replica.Up = false
	replica.generation++
}

// Stop makes a replica stand still, as SIGSTOP does: what it receives waits.
func (s *Sim) Stop(index int) { s.Replicas[index].Stopped = true }

// Continue resumes a stopped replica, which then handles what has waited.
func (s *Sim) Continue(index int) {
	replica := s.Replicas[index]
	if !replica.Stopped || !replica.Up {
		return
	}
	replica.Stopped = false
	s.handle(replica, membership.Event{Kind: membership.Tick})
	for _, event := range replica.backlog {
		s.handle(replica, event)
	}
	replica.backlog = nil
}

// Deliver has a replica handle an event now.
func (s *Sim) Deliver(index int, event membership.Event) { s.handle(s.Replicas[index], event) }

// At calls a function at a time, or at the next step if that has passed.
func (s *Sim) At(at time.Duration, do func()) {
	s.schedule(event{at: max(at, s.Now), do: do})
}

func (s *Sim) schedule(e event) {
	s.scheduled++
	e.order = s.scheduled
	heap.Push(&s.events, e)
}

// Run dispatches all events that are due until a time.
func (s *Sim) Run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		next := heap.Pop(&s.events).(event)
		s.Now = next.at
		s.dispatch(next)
	}
	s.Now = until
}

// dispatch passes over what is for a process that has ended, and ticks that an earlier
// one has replaced.
func (s *Sim) dispatch(next event) {
	switch {
	case next.do != nil:
		next.do()
	case next.replica.generation != next.generation:
	case next.event.Kind == membership.Tick:
		if next.replica.tickAt == next.at {
			next.replica.tickAt = noTick
			s.handle(next.replica, next.event)
		}
	default:
		s.handle(next.replica, next.event)
	}
}

// handle has a replica handle an event, executes its actions and schedules its next tick.
func (s *Sim) handle(replica *Replica, ev membership.Event) {
	if !replica.Up {
		return
	}
	if replica.Stopped {
		if ev.Kind != membership.Tick && len(replica.backlog) < maxBacklog {
			replica.backlog = append(replica.backlog, ev)
		}
		return
	}
	actions := replica.List.Handle(s.Now, ev, nil)
	for i := range actions {
		s.execute(replica, &actions[i])
	}
	due := replica.List.NextTick()
	if due < neverDue && (replica.tickAt == noTick || due < replica.tickAt) {
		replica.tickAt = max(due, s.Now+1)
		s.schedule(event{
			at:         replica.tickAt,
			replica:    replica,
			generation: replica.generation,
			event:      membership.Event{Kind: membership.Tick},
		})
	}
}

func (s *Sim) execute(replica *Replica, action *membership.Action) {
	switch action.Kind {
	case membership.Send:
		s.send(replica, action)
	case membership.StartSync:
		s.startExchange(replica, action)
	case membership.MemberChanged:
		if s.OnChange != nil {
			s.OnChange(Change{
				At:       s.Now,
				Observer: replica.Name,
				Record:   action.Record,
				Previous: action.PreviousStatus,
				Reason:   action.Reason,
			})
		}
	default:
		if s.OnAction != nil {
			s.OnAction(replica, *action)
		}
	}
}

// send puts a datagram on the network.
func (s *Sim) send(from *Replica, action *membership.Action) {
	size := Size(action.Message)
	from.Bytes += uint64(size)
	from.Frames++
	to := s.byAddress[action.Address]
	if to == nil {
		return
	}
	for _, delivery := range s.Net.Send(s.Now, from.Name, to.Name, size) {
		if delivery.Corrupt { // its authentication code does not fit, and the receiver drops it
			continue
		}
		s.schedule(event{
			at:         delivery.At,
			replica:    to,
			generation: to.generation,
			event: membership.Event{
				Kind:    membership.MessageReceived,
				Message: action.Message,
				From:    from.Address,
			},
		})
	}
}

// frameOverhead is the size of a datagram without its updates, in bytes: version, name of
// the fleet, authentication code and the fixed fields of a message.
const frameOverhead = 96

// Size returns how many bytes a message takes.
func Size(msg *membership.Message) int {
	const lengthPrefix = 2 // bytes before each name
	size := frameOverhead + len(msg.Target)
	for i := range msg.Updates {
		size += msg.Updates[i].Size()
	}
	for _, name := range msg.Requested {
		size += len(name) + lengthPrefix
	}
	return size
}
