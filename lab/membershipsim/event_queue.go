package membershipsim

import (
	"time"

	"ryerill/fleet/membership"
)

// event is something that is due at a time: a call of do, or else an event for a replica
// if its process is still that of the generation.
type event struct {
	at    time.Duration
	order uint64 // of events that are due at one time

	do func()

	replica    *Replica
	generation int
	event      membership.Event
}

// eventQueue is a heap of events by time and order.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := len(old) - 1
	x := old[last]
	old[last] = event{} // so that the heap holds no message any longer
	*q = old[:last]
	return x
}
