package balancer

import (
	"slices"
	"time"
)

// attemptList is an intrusive doubly linked list of the requests of one class that have an attempt in flight,
// in the order in which the attempts were sent. Requests that are marked late come first.
type attemptList struct {
	first, last *request
	firstOnTime *request // the first request that is not marked late
}

// pushBack appends r, whose attempt has just been sent.
func (l *attemptList) pushBack(r *request) {
	r.prev = l.last
	r.next = nil
	r.late = false
	if l.last != nil {
		l.last.next = r
	} else {
		l.first = r
	}
	l.last = r
	if l.firstOnTime == nil {
		l.firstOnTime = r
	}
}

// remove removes r, whose attempt has ended.
func (l *attemptList) remove(r *request) {
	if l.firstOnTime == r {
		l.firstOnTime = r.next
	}
	if r.prev != nil {
		r.prev.next = r.next
	} else {
		l.first = r.next
	}
	if r.next != nil {
		r.next.prev = r.prev
	} else {
		l.last = r.prev
	}
	r.prev = nil
	r.next = nil
}

// newestLate returns the most recently sent request that is marked late, or nil. The other late requests
// follow through prev.
func (l *attemptList) newestLate() *request {
	if l.firstOnTime != nil {
		return l.firstOnTime.prev
	}
	return l.last
}

// attemptTable counts and orders the attempts in flight. A request has at most one.
type attemptTable struct {
	byClass          []attemptList
	inFlight         int
	siblingsInFlight int       // attempts in flight of the other processes of this replica
	busyEndpoints    int       // endpoints with attempts in flight
	lateEndpoints    int       // endpoints with attempts marked late
	ages             []float64 // scratch space of youngestLate
}

// occupied returns the number of attempts in flight of all processes of this replica, which share one limit.
func (t *attemptTable) occupied() int { return t.inFlight + t.siblingsInFlight }

// start records that an attempt of r is sent to e.
func (t *attemptTable) start(r *request, e *endpoint) {
	t.byClass[r.classIndex].pushBack(r)
	if e.inFlight == 0 {
		t.busyEndpoints++
	}
	e.inFlight++
	t.inFlight++
}

// end records that the attempt of r to e has ended.
func (t *attemptTable) end(r *request, e *endpoint) {
	t.byClass[r.classIndex].remove(r)
	e.inFlight--
	t.inFlight--
	if e.inFlight == 0 {
		t.busyEndpoints--
	}
	if r.late {
		e.lateInFlight--
		if e.lateInFlight == 0 {
			t.lateEndpoints--
		}
	}
}

// markLate marks the attempts that are older than maxAge, in latency objectives. An attempt is marked once.
func (t *attemptTable) markLate(now time.Duration, maxAge float64) {
	for class := range t.byClass {
		list := &t.byClass[class]
		for list.firstOnTime != nil && list.firstOnTime.age(now) > maxAge {
			t.mark(list.firstOnTime)
			list.firstOnTime = list.firstOnTime.next
		}
	}
}

func (t *attemptTable) mark(r *request) {
	r.late = true
	e := r.latest()
	if e.lateInFlight == 0 {
		t.lateEndpoints++
	}
	e.lateInFlight++
}

// youngestLate returns the ages of the late attempts in latency objectives, in ascending order, and at most
// limit of them. The result is valid until the next call.
func (t *attemptTable) youngestLate(now time.Duration, limit int) []float64 {
	ages := t.ages[:0]
	for class := range t.byClass {
		full := len(ages) + limit // at most limit ages of each class are needed, and the youngest come first
		for r := t.byClass[class].newestLate(); r != nil && len(ages) < full; r = r.prev {
			ages = append(ages, r.age(now))
		}
		slices.Sort(ages)
		ages = ages[:min(len(ages), limit)]
	}
	t.ages = ages[:0]
	return ages
}
