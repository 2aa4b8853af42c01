package proxy

import "sync/atomic"

// unbounded is the allowance of a pool that shares the resource with no other pool.
const unbounded = 1 << 40

// budget tracks the usage of one resource by one pool, and its allowance until the next rebalancing. Requests access
// only budgets, so pools share no lock on the request path.
type budget struct {
	used    atomic.Int64
	allowed atomic.Int64
	denied  atomic.Int64 // since the last rebalancing
}

// Take reserves n units and reports whether the allowance covers them.
func (b *budget) Take(n int) bool {
	if b.used.Add(int64(n)) > b.allowed.Load() {
		b.used.Add(-int64(n))
		b.denied.Add(int64(n))
		return false
	}
	return true
}

// Give returns n units.
func (b *budget) Give(n int) { b.used.Add(-int64(n)) }

// poolResources holds the budgets of one pool. It outlives a reload that replaces the pool.
type poolResources struct {
	sockets      budget
	bodies       budget // bytes
	openRequests budget
	work         budget // used in the current interval; reset to 0 each interval instead of given back

	// trimIdle closes up to n idle connections to endpoints; nil until the pool has its connections.
	trimIdle atomic.Pointer[func(n int)]
}
