package balancer_test

import (
	"fmt"
	"time"

	"ryerill/balancer"
)

// A host passes events to its Balancer one at a time and carries out the returned actions.
func Example() {
	b := balancer.New(balancer.Config{
		Classes: []balancer.Class{{
			Name:             "read",
			LatencyObjective: 300 * time.Millisecond,
			Deadline:         time.Second,
			PriorityWeight:   1,
			Effect:           balancer.Safe,
		}},
		ReplicaCount: 1,
		Limits:       balancer.Limits{MaxAttempts: 3},
	}, 42)

	now := 10 * time.Second // of the host's clock; only differences matter
	var actions []balancer.Action
	actions = b.Handle(now, balancer.Event{Kind: balancer.EndpointListUpdated, Endpoints: []balancer.Endpoint{
		{ID: 1, State: balancer.Ready},
	}}, actions[:0])

	actions = b.Handle(now, balancer.Event{Kind: balancer.RequestArrived, Request: 7,
		Remaining: time.Second}, actions[:0])
	for _, a := range actions {
		if a.Kind == balancer.Send {
			fmt.Printf("send request %d to endpoint %d for up to %v\n", a.Request, a.Endpoint, a.Timeout)
		}
	}

	now += 20 * time.Millisecond
	actions = b.Handle(now, balancer.Event{Kind: balancer.AttemptEnded, Request: 7, Endpoint: 1,
		Outcome: balancer.ConnectFailed, Elapsed: 20 * time.Millisecond}, actions[:0])
	for _, a := range actions {
		if a.Kind == balancer.Shed {
			fmt.Printf("shed request %d\n", a.Request)
		}
	}
	// Output:
	// send request 7 to endpoint 1 for up to 291ms
	// shed request 7
}
