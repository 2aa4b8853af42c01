package balancer

import (
	"slices"
	"time"
)

// keyQueue holds the requests with one key in the order of their arrival. They are sent one at a time.
type keyQueue struct {
	requests         []*request
	quarantinedUntil time.Duration // no request is sent for the first time before
}

// all returns the requests, in a slice of its own.
func (q *keyQueue) all() []*request { return slices.Clone(q.requests) }

// keyQueues holds the queues by key.
type keyQueues map[uint64]*keyQueue

// push appends a request to the queue of its key.
func (q keyQueues) push(r *request) {
	queue := q[r.key]
	if queue == nil {
		queue = &keyQueue{}
		q[r.key] = queue
	}
	queue.requests = append(queue.requests, r)
}

// remove takes a request out of the queue of its key, if it is in one.
func (q keyQueues) remove(r *request) {
	if queue := q[r.key]; queue != nil {
		queue.requests = slices.DeleteFunc(queue.requests, func(other *request) bool { return other == r })
	}
}
