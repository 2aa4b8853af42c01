package proxy

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"ryerill/balancer"
	"ryerill/discovery"
	"ryerill/upstream"
)

// benchmarkSizes are numbers of endpoints: a usual deployment, the largest one and a multiple of that.
var benchmarkSizes = []int{200, 3200, 10000}

// benchmarkReplicas is the replica count, the same for all sizes, so that a replica uses a similar part of the endpoints.
const benchmarkReplicas = 20

// newListCore returns a pool with count known endpoints, and their list.
func newListCore(tb testing.TB, count int) (*core, discovery.EndpointList) {
	tb.Helper()
	c := &core{
		log: slog.New(slog.DiscardHandler),
		decisions: decisionLoop{
			clock:    clock{time.Now()},
			balancer: balancer.New(balancer.Config{ReplicaCount: benchmarkReplicas * count / benchmarkSizes[0]}, 1),
		},
		connections: upstream.NewPool(&(&poolResources{}).sockets, time.Second, time.Second, nil),
		endpoints:   newEndpointTable(),
	}
	list := discovery.EndpointList{Index: 1, Snapshot: true}
	for i := range count {
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{
			Name:    fmt.Sprintf("endpoint-%05d", i),
			Address: fmt.Sprintf("127.77.%d.%d:7070", i/200, i%200),
			Zone:    "a",
			Type:    "m2",
			Group:   i / 8,
			Status:  discovery.Ready,
			Weight:  1,
		})
	}
	c.applyListLocked(balancer.ListFull, list)
	return c, list
}

func BenchmarkParseWholeList(b *testing.B) {
	for _, count := range benchmarkSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			_, list := newListCore(b, count)
			text, err := json.MarshalIndent(list, "", "    ")
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := discovery.Parse(text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkApplyWholeList(b *testing.B) {
	for _, count := range benchmarkSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			c, list := newListCore(b, count)
			b.ReportAllocs()
			for b.Loop() {
				c.applyListLocked(balancer.ListFull, list)
			}
		})
	}
}

// Measures a change of one entry, as discovery sends it while endpoints are replaced one by one.
func BenchmarkApplyOneChange(b *testing.B) {
	for _, count := range benchmarkSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			c, list := newListCore(b, count)
			statuses := []string{discovery.Terminating, discovery.Ready}
			changes := 0
			b.ReportAllocs()
			for b.Loop() {
				entry := list.Endpoints[changes/2%count]
				entry.Status = statuses[changes%2]
				changes++
				c.applyListLocked(balancer.ListChanges, discovery.EndpointList{
					Index:     uint64(1 + changes),
					Endpoints: []discovery.Endpoint{entry},
				})
			}
		})
	}
}

// Measures the decisions on one request: an attempt at an idle endpoint and its end.
func BenchmarkDecision(b *testing.B) {
	for _, count := range benchmarkSizes {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			c, _ := newListCore(b, count)
			decisions := &c.decisions
			request := balancer.RequestID(0)
			b.ReportAllocs()
			for b.Loop() {
				request++
				decisions.actions = decisions.balancer.Handle(decisions.clock.now(), balancer.Event{
					Kind:      balancer.RequestArrived,
					Request:   request,
					Remaining: time.Second,
				}, decisions.actions[:0])
				if len(decisions.actions) == 0 || decisions.actions[0].Kind != balancer.Send {
					b.Fatalf("not sent: %+v", decisions.actions)
				}
				decisions.actions = decisions.balancer.Handle(decisions.clock.now(), balancer.Event{
					Kind:          balancer.AttemptEnded,
					Request:       request,
					Endpoint:      decisions.actions[0].Endpoint,
					Outcome:       balancer.OK,
					RequestClosed: true,
					Elapsed:       time.Millisecond,
				}, decisions.actions[:0])
			}
		})
	}
}
