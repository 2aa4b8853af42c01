package balancer

import (
	"slices"
	"time"
)

// attemptList holds the requests of one class that have an attempt in flight, in the order in which the
// attempts were sent. It is a doubly linked list through the requests themselves. Those first in it may be
// marked late.
type attemptList struct {
	first, last *request
	firstOnTime *request // the first that is not marked late
}

// pushBack appends a request whose attempt is sent now.
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

// remove takes a request out whose attempt has ended.
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

// newestLate is the request sent last among those marked late, or nil. Those sent before it are its prev.
func (l *attemptList) newestLate() *request {
	if l.firstOnTime != nil {
		return l.firstOnTime.prev
	}
	return l.last
}

// attemptTable counts and orders the attempts in flight. A request has one at most.
type attemptTable struct {
	byClass       []attemptList
	inFlight      int
	siblings      int // in flight from other processes of the same replica
	busyEndpoints int // with attempts in flight
	lateEndpoints int // with attempts marked late
	ages          []float64
}

// occupied is how many attempts are in flight, siblings' included: one limit is for all.
func (t *attemptTable) occupied() int { return t.inFlight + t.siblings }

// start counts an attempt of r to e that is sent now.
func (t *attemptTable) start(r *request, e *endpoint) {
	t.byClass[r.classIndex].pushBack(r)
	if e.inFlight == 0 {
		t.busyEndpoints++
	}
	e.inFlight++
	t.inFlight++
}

// end counts the attempt of r to e as ended.
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

// markLate marks the attempts that are older than maxAge, in latency objectives. Each is marked once.
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

// youngestLate returns the ages of the late attempts, in latency objectives and ascending: the least late if
// there are more than limit. The result is valid until the next call.
func (t *attemptTable) youngestLate(now time.Duration, limit int) []float64 {
	ages := t.ages[:0]
	for class := range t.byClass {
		full := len(ages) + limit // of a class no more than limit are of use, and its least late come first
		for r := t.byClass[class].newestLate(); r != nil && len(ages) < full; r = r.prev {
			ages = append(ages, r.age(now))
		}
		slices.Sort(ages)
		ages = ages[:min(len(ages), limit)]
	}
	t.ages = ages[:0]
	return ages
}
