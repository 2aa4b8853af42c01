package balancer_test

import (
	"fmt"
	"time"

	"ryerill/balancer"
)

// A host hands its Balancer one event at a time and carries out the actions it gets back.
func Example() {
	b := balancer.New(balancer.Config{
		Classes: []balancer.Class{{Name: "read", Aim: 300 * time.Millisecond, Deadline: time.Second, Worth: 1,
			Effect: balancer.Safe}},
		GroupSize: 1,
		Limits:    balancer.Limits{Attempts: 3},
	}, 42)

	now := 10 * time.Second // of the host's clock; only differences matter
	var actions []balancer.Action
	actions = b.Handle(now, balancer.Event{Kind: balancer.ServerList, Servers: []balancer.Server{
		{ID: 1, State: balancer.Ready},
	}}, actions[:0])

	actions = b.Handle(now, balancer.Event{Kind: balancer.Arrival, Request: 7,
		Remaining: time.Second}, actions[:0])
	for _, a := range actions {
		if a.Kind == balancer.Send {
			fmt.Printf("send request %d to server %d for up to %v\n", a.Request, a.Server, a.Wait)
		}
	}

	now += 20 * time.Millisecond
	actions = b.Handle(now, balancer.Event{Kind: balancer.AttemptEnded, Request: 7, Server: 1,
		Outcome: balancer.ConnectFailed, Elapsed: 20 * time.Millisecond}, actions[:0])
	for _, a := range actions {
		if a.Kind == balancer.Refuse {
			fmt.Printf("refuse request %d\n", a.Request)
		}
	}
	// Output:
	// send request 7 to server 1 for up to 291ms
	// refuse request 7
}
