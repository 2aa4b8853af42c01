package balancer

import (
	"slices"
	"time"
)

// keyQueue holds the requests with one key in order of arrival. They are sent one at a time.
type keyQueue struct {
	requests         []*request
	quarantinedUntil time.Duration // no first attempt is sent before this time
}

// all returns a copy of the list of requests.
func (q *keyQueue) all() []*request { return slices.Clone(q.requests) }

// keyQueues maps keys to their queues.
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

// remove removes a request from the queue of its key, if it is there.
func (q keyQueues) remove(r *request) {
	if queue := q[r.key]; queue != nil {
		queue.requests = slices.DeleteFunc(queue.requests, func(other *request) bool { return other == r })
	}
}
