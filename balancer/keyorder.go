package balancer

import "time"

// enqueue appends r to the queue of its key, where it waits while it can still be answered in time.
func (b *Balancer) enqueue(r *request, key uint64) {
	r.key = key
	r.startBy = r.deadline - b.minTime(r)
	b.queues.push(r)
	b.advance(key)
	if len(r.attempts) == 0 && !r.answered {
		b.scheduleAdvance(key, r.startBy-b.now+1)
	}
}

// advance sends the first request of a key's queue once the previous one has ended and the quarantine, if
// any, is over. Waiting requests don't count against the limit. Requests that by the typical latencies can't
// be answered in time are shed at once, as the first may hang. Drawback: requests with popular keys are shed.
func (b *Balancer) advance(key uint64) {
	queue := b.queues[key]
	if queue == nil {
		return
	}
	for len(queue.requests) > 0 && len(queue.requests[0].attempts) == 0 && b.now >= queue.quarantinedUntil {
		b.sendFirst(queue.requests[0])
	}
	start := max(b.now, queue.quarantinedUntil)
	for _, r := range queue.all() {
		typical := time.Duration(b.stats.typicalLatency[r.classIndex] * float64(time.Second))
		switch {
		case len(r.attempts) > 0:
			start += max(0, typical-(b.now-r.sentAt))
		case start > r.startBy:
			b.answer(r)
			b.release(r)
		default:
			start += typical
		}
	}
	if len(queue.requests) == 0 && b.now >= queue.quarantinedUntil {
		delete(b.queues, key)
	}
}

// quarantineKey pauses the queue of r's key after an attempt that may still be running.
func (b *Balancer) quarantineKey(r *request, outcome Outcome) {
	queue := b.queues[r.key]
	if queue == nil || !outcome.mayBeRunning() {
		return
	}
	queue.quarantinedUntil = b.now + b.cfg.Contract.KeyQuarantine
	b.scheduleAdvance(r.key, b.cfg.Contract.KeyQuarantine)
}
