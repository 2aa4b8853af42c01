package proxy

import "sync/atomic"

// unbounded is the allowance of a pool that shares a resource with nobody.
const unbounded = 1 << 40

// budget is what one pool uses of one resource, and may use until the next rebalancing.
// It is all of the division that a request touches: no lock is shared among pools.
type budget struct {
	used    atomic.Int64
	allowed atomic.Int64
	denied  atomic.Int64 // since the last rebalancing
}

// Take takes n, if the allowance covers them.
func (b *budget) Take(n int) bool {
	if b.used.Add(int64(n)) > b.allowed.Load() {
		b.used.Add(-int64(n))
		b.denied.Add(int64(n))
		return false
	}
	return true
}

// Give gives n back.
func (b *budget) Give(n int) { b.used.Add(-int64(n)) }

// poolResources are the budgets of one pool. They outlive a reload that replaces the pool.
type poolResources struct {
	sockets      budget
	bodies       budget // bytes
	openRequests budget
	work         budget // used in the present span; never given back, each span starts from 0

	// trimIdle closes up to n idle connections to endpoints; nil until the pool has some.
	trimIdle atomic.Pointer[func(n int)]
}
