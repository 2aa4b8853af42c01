package main

import (
	"fmt"
	"testing"
	"time"

	"ryerill/config"
	"ryerill/lab/repeater"
)

const (
	repeatingEndpoints = 14
	lateResponseLoad   = 1500 * time.Millisecond
	sparseLoad         = 9 * time.Second
)

// lateResponse is what endpoints send unasked beside one load.
type lateResponse struct {
	name     string
	behavior repeater.Behavior
	pause    time.Duration // of each client between two requests
}

const ms = time.Millisecond

// heavy is a load under which connections are used again at once, sparse one under which they rest for a second.
const (
	loadClients = 24
	heavy       = 0
	sparse      = 2 * time.Second
)

var lateResponses = []lateResponse{
	{"nothing unasked", declining(2*ms, repeater.Fault{}), heavy},
	{"nothing unasked, no declines", repeater.Behavior{Work: 2 * ms}, heavy},
	{"copies of 5%, 1 to 50 ms, no declines", repeater.Behavior{Work: 2 * ms, Fault: late(0.05, ms, 50*ms)}, heavy},
	{"copies of 1%, 100 to 300 ms, no declines", repeater.Behavior{Work: 2 * ms, Fault: late(0.01, 100*ms, 300*ms)}, heavy},
	{"all forms, 5%, up to 50 ms, no declines", repeater.Behavior{Work: 3 * ms,
		Fault: late(0.05, 0, 50*ms, repeater.AllForms...)}, heavy},
	{"copies of 1%, 1 ms after the next request, no declines", repeater.Behavior{Work: 10 * ms,
		Fault: atNextRequest(0.01, ms)}, heavy},
	{"nothing unasked, 450 requests a second", declining(2*ms, repeater.Fault{}), 50 * ms},
	{"copies of 5%, 1 to 10 ms", declining(2*ms, late(0.05, ms, 10*ms)), heavy},
	{"copies of 1%, 1 to 2 ms", declining(2*ms, late(0.01, ms, 2*ms)), heavy},
	{"copies of 1%, 5 to 10 ms", declining(2*ms, late(0.01, 5*ms, 10*ms)), heavy},
	{"copies of 1%, 20 to 50 ms", declining(2*ms, late(0.01, 20*ms, 50*ms)), heavy},
	{"copies of 5%, 1 to 10 ms, clients that pause", declining(2*ms, late(0.05, ms, 10*ms)), 50 * ms},
	{"copies of half, 1 to 10 ms, sparse", declining(20*ms, late(0.5, ms, 10*ms)), sparse},
	{"copies of 5%, up to 20 ms, work of 60 ms", declining(60*ms, late(0.05, 0, 20*ms)), heavy},
	{"copies of 2%, up to 50 ms, with resets", repeater.Behavior{Work: 2 * ms, DeclineShare: 0.1, ResetShare: 0.02,
		Fault: late(0.02, 0, 50*ms)}, heavy},
	{"all forms, 5%, up to 50 ms", declining(3*ms, late(0.05, 0, 50*ms, repeater.AllForms...)), heavy},
	{"copies of half, 5 ms after the next request, sparse", declining(40*ms, atNextRequest(0.5, 5*ms)), sparse},
	{"copies of 5%, 1 ms after the next request", declining(10*ms, atNextRequest(0.05, ms)), heavy},
	{"declines of 5%, 5 ms after the next request", declining(20*ms, declinesAtNextRequest(0.05, 5*ms)), heavy},
	{"declines of half, 5 ms after the next request, sparse", declining(40*ms, declinesAtNextRequest(0.5, 5*ms)), sparse},
}

func declining(work time.Duration, fault repeater.Fault) repeater.Behavior {
	return repeater.Behavior{Work: work, DeclineShare: 0.1, Fault: fault}
}

func late(share float64, from, to time.Duration, forms ...repeater.Form) repeater.Fault {
	return repeater.Fault{Share: share, MinDelay: from, MaxDelay: to, Forms: forms}
}

func atNextRequest(share float64, delay time.Duration) repeater.Fault {
	return repeater.Fault{Share: share, MinDelay: delay, MaxDelay: delay, AtNextRequest: true}
}

func declinesAtNextRequest(share float64, delay time.Duration) repeater.Fault {
	fault := atNextRequest(share, delay)
	fault.Declines = true
	return fault
}

// Guards against responses of endpoints that come late being taken for the response to the next request on their
// connection: wrong responses to clients, and unsafe and keyed requests executed again as another's decline was taken
// for theirs.
func TestLateResponsesServeNoOtherRequest(t *testing.T) {
	program := build(t)
	for _, c := range lateResponses {
		t.Run(c.name, func(t *testing.T) {
			if c.pause == sparse {
				t.Parallel()
			}
			playLateResponses(t, program, c)
		})
	}
}

func playLateResponses(t *testing.T, program string, c lateResponse) {
	endpoints, ledger := startRepeaters(t, c.behavior, repeatingEndpoints)
	address, _, _ := serving(t, prepare(t, program, repeaterConfiguration(t, endpoints), "serve"))
	load := repeater.Load{Address: address, Clients: loadClients, Pause: c.pause, Length: lateResponseLoad}
	if c.pause == sparse {
		load.Length = sparseLoad
	}
	account := load.Play(ledger)
	connections := 0
	for _, endpoint := range endpoints {
		connections += endpoint.Connections()
	}
	t.Logf("%d requests, %d served in %v, %d failed, %d lost, %d connections, %d times something unasked",
		account.Requests, account.Served, account.Latency.Round(time.Microsecond), account.Failed, account.Lost,
		connections, ledger.Unsolicited())
	if account.Wrong > 0 || account.Unsafe > 0 || account.Keyed > 0 || account.Lost > 0 {
		t.Errorf("%d wrong responses, %d unsafe requests executed again, %d keyed ones outside their group (%d of "+
			"these without a response to the first execution), %d lost; wrong "+
			"ones after %v: %q",
			account.Wrong, account.Unsafe, account.Keyed, account.Cut, account.Lost,
			account.WrongLatency, account.Examples)
	}
	if c.behavior.Fault.Share > 0 && ledger.Unsolicited() == 0 {
		t.Error("nothing was sent unasked: the test shows nothing")
	}
}

// startRepeaters starts endpoints that behave alike.
func startRepeaters(t *testing.T, behavior repeater.Behavior, count int) ([]*repeater.Endpoint, *repeater.Ledger) {
	t.Helper()
	ledger := repeater.NewLedger()
	var endpoints []*repeater.Endpoint
	for i := range count {
		endpoint, err := repeater.Start(i, behavior, ledger)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(endpoint.Close)
		endpoints = append(endpoints, endpoint)
	}
	return endpoints, ledger
}

// repeaterConfiguration is that of a proxy with a class of each effect before endpoints each of which is a group.
func repeaterConfiguration(t *testing.T, endpoints []*repeater.Endpoint) string {
	t.Helper()
	var listed []config.EndpointFile
	for i, endpoint := range endpoints {
		listed = append(listed, config.EndpointFile{Name: fmt.Sprint("s", i), Address: endpoint.Address(), Zone: "a", Group: i + 1})
	}
	return poolConfiguration(t, config.MachineFile{Sockets: 2048, MemoryMB: 256}, listed, []config.ClassFile{
		{Name: string(repeater.Safe), Effect: "safe", Deadline: 6 * time.Second},
		{Name: string(repeater.Keyed), Effect: "keyed", Deadline: 6 * time.Second, Group: "cell", IdempotencyWindow: 2 * time.Second},
		{Name: string(repeater.Unsafe), Effect: "unsafe", Deadline: 6 * time.Second},
	})
}
