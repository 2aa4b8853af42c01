package membershipsim

import (
	"time"

	"ryerill/fleet/membership"
)

const (
	exchangeTimeout = 2 * time.Second  // after which an exchange without an answer has failed
	refusalDelay    = time.Millisecond // until a connection is refused
)

// exchange is one anti-entropy exchange over a connection: the initiator's view goes to
// the peer, the difference comes back, and what the peer has requested goes over last.
type exchange struct {
	sim        *Sim
	initiator  *Replica
	generation int // of the initiator at the start
	peer       *Replica
	id         uint64
}

func (s *Sim) startExchange(initiator *Replica, action *membership.Action) {
	x := &exchange{
		sim:        s,
		initiator:  initiator,
		generation: initiator.generation,
		peer:       s.byAddress[action.Address],
		id:         action.Exchange,
	}
	if x.peer == nil || x.peer == initiator || !x.peer.Up {
		x.failAfter(refusalDelay)
		return
	}
	view := action.Message
	x.send(initiator, x.peer, view, func() { x.answer(view) })
}

// answer has the peer answer the initiator's view.
func (x *exchange) answer(view *membership.Message) {
	request := membership.Event{Kind: membership.SyncRequested, Message: view, Exchange: x.id}
	delta := x.sim.handleAndReply(x.peer, request)
	if delta == nil {
		x.failAfter(0)
		return
	}
	x.send(x.peer, x.initiator, delta, func() { x.finish(delta) })
}

// finish has the initiator send the peer what the difference requests.
func (x *exchange) finish(delta *membership.Message) {
	answer := membership.Event{Kind: membership.SyncAnswered, Message: delta, Exchange: x.id}
	rest := x.sim.handleAndReply(x.initiator, answer)
	if rest == nil || len(rest.Updates) == 0 {
		return
	}
	x.send(x.initiator, x.peer, rest, func() {
		x.sim.handleAndReply(x.peer, membership.Event{Kind: membership.SyncFinished, Message: rest})
	})
}

// send passes a message over the connection and then calls arrived, or lets the exchange
// fail.
func (x *exchange) send(from, to *Replica, msg *membership.Message, arrived func()) {
	s := x.sim
	size := Size(msg)
	x.initiator.ExchangeBytes += uint64(size)
	at, ok := s.Net.Stream(s.Now, from.Name, to.Name, size)
	if !ok || !to.Up || to.Stopped || x.initiator.generation != x.generation {
		x.failAfter(exchangeTimeout)
		return
	}
	generation := to.generation
	s.At(at, func() {
		if to.generation != generation || !to.Up || to.Stopped {
			x.failAfter(exchangeTimeout)
			return
		}
		arrived()
	})
}

// failAfter reports the exchange to its initiator as failed.
func (x *exchange) failAfter(delay time.Duration) {
	x.sim.schedule(event{
		at:         x.sim.Now + delay,
		replica:    x.initiator,
		generation: x.generation,
		event:      membership.Event{Kind: membership.SyncFailed, Exchange: x.id},
	})
}

// handleAndReply has a replica handle an event of an exchange. Its reply is returned
// instead of executed, as the host does.
func (s *Sim) handleAndReply(replica *Replica, ev membership.Event) (reply *membership.Message) {
	for _, action := range replica.List.Handle(s.Now, ev, nil) {
		if action.Kind == membership.Reply {
			reply = action.Message
		} else {
			s.execute(replica, &action)
		}
	}
	s.handle(replica, membership.Event{Kind: membership.Tick})
	return reply
}
