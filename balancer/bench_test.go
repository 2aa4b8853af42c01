package balancer

import (
	"fmt"
	"testing"
	"time"
)

// sizes are the numbers of endpoints at which costs are compared. The number of replicas, three per fourteen
// endpoints, and of attempts in flight grows in proportion.
var sizes = []int{14, 140, 700, 7000}

// BenchmarkDecision measures one request from arrival to end: admission, the choice of an endpoint and the limit,
// including windows that end meanwhile.
func BenchmarkDecision(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFlow(b, size)
			for range 4 * size {
				f.replaceOldest()
			}
			b.ReportAllocs()
			for b.Loop() {
				f.replaceOldest()
			}
		})
	}
}

// BenchmarkRefuse measures a request that is shed for lack of a free slot.
func BenchmarkRefuse(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFlow(b, size)
			f.h.b.limiter.maxIFR, f.h.b.limiter.ceiling, f.h.b.limiter.burstCredit = 1, 1, -1
			b.ReportAllocs()
			for b.Loop() {
				f.next++
				f.out = f.h.b.Handle(f.h.now, Event{Kind: RequestArrived, Request: f.next, Remaining: 2 * time.Second},
					f.out[:0])
			}
		})
	}
}

// BenchmarkWindow measures the end of a window in which most attempts are overdue.
func BenchmarkWindow(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFlow(b, size)
			for f.h.b.attempts.inFlight < 12 && f.h.b.attempts.inFlight < int(f.h.b.limiter.maxIFR) {
				f.arrive()
			}
			b.ReportAllocs()
			for b.Loop() {
				f.h.now += time.Second
				f.h.b.limiter.window.count = minRequests
				f.out = f.h.b.Handle(f.h.now, Event{Kind: TimerFired, Token: 1}, f.out[:0])
			}
		})
	}
}

// BenchmarkListChange measures a list update with one changed entry.
func BenchmarkListChange(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			f := newFlow(b, size)
			states := []EndpointState{Draining, Ready}
			list := []Endpoint{ready(1)}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				list[0].State = states[i%2]
				f.out = f.h.b.Handle(f.h.now, Event{Kind: EndpointListUpdated, ListKind: ListChanges, Endpoints: list},
					f.out[:0])
			}
		})
	}
}

// BenchmarkMemory measures the memory of a Balancer by its number of endpoints.
func BenchmarkMemory(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			list := readyList(size)
			b.ReportAllocs()
			for b.Loop() {
				newHost(b, testConfig(), list...)
			}
			b.ReportMetric(float64(size), "endpoints")
		})
	}
}
