package baseline

import (
	"testing"
	"time"

	"ryerill/balancer"
)

func config() balancer.Config {
	return balancer.Config{ReplicaCount: 2, Classes: []balancer.Class{{Effect: balancer.Safe, LatencyObjective: time.Second, Deadline: 2 * time.Second},
		{Effect: balancer.Unsafe, LatencyObjective: time.Second, Deadline: 2 * time.Second}}, Limits: balancer.Limits{MaxAttempts: 6}}
}

func list(states ...balancer.EndpointState) balancer.Event {
	ev := balancer.Event{Kind: balancer.EndpointListUpdated, ListKind: balancer.ListFull}
	for i, s := range states {
		ev.Endpoints = append(ev.Endpoints, balancer.Endpoint{ID: balancer.EndpointID(i + 1), State: s})
	}
	return ev
}

func arrive(id balancer.RequestID, class int) balancer.Event {
	return balancer.Event{Kind: balancer.RequestArrived, Request: id, Class: class, Remaining: time.Second}
}

func TestPickersSpreadOverReadyEndpointsOnly(t *testing.T) {
	for _, picker := range Pickers {
		d, err := New(picker, config(), 1)
		if err != nil {
			t.Fatal(err)
		}
		d.Handle(0, list(balancer.Ready, balancer.Draining, balancer.Ready, balancer.Gone), nil)
		sent := map[balancer.EndpointID]int{}
		for id := range balancer.RequestID(40) {
			for _, a := range d.Handle(0, arrive(id, 0), nil) {
				sent[a.Endpoint]++
			}
		}
		if sent[1] < 5 || sent[3] < 5 || len(sent) != 2 {
			t.Errorf("%s sent %v", picker, sent)
		}
	}
}

func TestFixedLimitSheds(t *testing.T) {
	d, err := New("least/fixed:3", config(), 1)
	if err != nil {
		t.Fatal(err)
	}
	d.Handle(0, list(balancer.Ready, balancer.Ready), nil)
	kinds := map[balancer.ActionKind]int{}
	for id := range balancer.RequestID(5) {
		kinds[d.Handle(0, arrive(id, 0), nil)[0].Kind]++
	}
	// 3 for each of 2 endpoints, shared by 2 proxies.
	if kinds[balancer.Send] != 3 || kinds[balancer.Shed] != 2 {
		t.Errorf("got %v", kinds)
	}
}

func TestGradientFallsWithLatencyAndRecovers(t *testing.T) {
	g := newGradient()
	calls := func(n int, took time.Duration) float64 {
		for range n {
			g.ended(took, int(g.limit()), true)
		}
		return g.limit()
	}
	high := calls(2000, 100*time.Millisecond)
	low := calls(60, 900*time.Millisecond)
	if high < 100 || low > high/2 {
		t.Errorf("limit %v in calm, %v as latency climbs", high, low)
	}
	if back := calls(4000, 100*time.Millisecond); back < high/2 {
		t.Errorf("limit %v after the fault, %v before", back, high)
	}
}

func TestNothingIsSentAgainAgainstItsClass(t *testing.T) {
	for class, want := range []balancer.ActionKind{balancer.Send, balancer.Fail} {
		d, _ := New("random", config(), 1)
		d.Handle(0, list(balancer.Ready, balancer.Ready), nil)
		a := d.Handle(0, arrive(1, class), nil)[0]
		got := d.Handle(1, balancer.Event{Kind: balancer.AttemptEnded, Request: 1, Endpoint: a.Endpoint, Outcome: balancer.Reset}, nil)
		if len(got) != 1 || got[0].Kind != want {
			t.Errorf("class %d: %+v", class, got)
		}
	}
}

// The hosts ask for the limit and the calls in flight by a type assertion, which a renamed method would miss silently.
func TestEveryDeciderReportsItsConcurrency(t *testing.T) {
	for _, name := range []string{"ryerill", "random/gradient", "roundrobin", "least/fixed:3", "p2c/none"} {
		d, err := New(name, config(), 1)
		if err != nil {
			t.Fatal(err)
		}
		reporter, ok := d.(ConcurrencyReporter)
		if !ok {
			t.Errorf("%s does not report its concurrency", name)
			continue
		}
		d.Handle(0, list(balancer.Ready, balancer.Ready), nil)
		d.Handle(0, arrive(1, 0), nil)
		if _, inFlight := reporter.Concurrency(); inFlight != 1 {
			t.Errorf("%s reports %d calls in flight, want 1", name, inFlight)
		}
	}
}
