package ryerill_test

import (
	"fmt"
	"time"

	"ryerill"
)

// A host hands its Balancer one event at a time and carries out the actions it gets back.
func Example() {
	b := ryerill.New(ryerill.Config{
		Classes: []ryerill.Class{{Name: "read", Aim: 300 * time.Millisecond, Deadline: time.Second, Worth: 1,
			Effect: ryerill.Safe}},
		GroupSize: 1,
		Limits:    ryerill.Limits{Attempts: 3},
	}, 42)

	now := 10 * time.Second // of the host's clock; only differences matter
	var actions []ryerill.Action
	actions = b.Handle(now, ryerill.Event{Kind: ryerill.ServerList, Servers: []ryerill.Server{
		{ID: 1, State: ryerill.Ready},
	}}, actions[:0])

	actions = b.Handle(now, ryerill.Event{Kind: ryerill.Arrival, Request: 7,
		Remaining: time.Second}, actions[:0])
	for _, a := range actions {
		if a.Kind == ryerill.Send {
			fmt.Printf("send request %d to server %d for up to %v\n", a.Request, a.Server, a.Wait)
		}
	}

	now += 20 * time.Millisecond
	actions = b.Handle(now, ryerill.Event{Kind: ryerill.AttemptEnded, Request: 7, Server: 1,
		Outcome: ryerill.ConnectFailed, Elapsed: 20 * time.Millisecond}, actions[:0])
	for _, a := range actions {
		if a.Kind == ryerill.Refuse {
			fmt.Printf("refuse request %d\n", a.Request)
		}
	}
	// Output:
	// send request 7 to server 1 for up to 291ms
	// refuse request 7
}
