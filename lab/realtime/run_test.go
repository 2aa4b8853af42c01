package realtime

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"ryerill/lab/invariant"
	"ryerill/lab/metrics"
	"ryerill/lab/scenario"
)

// tinyScenario is a scenario of two tiers that a busy machine can run too: nothing here judges how fast it is.
func tinyScenario(t *testing.T, faults ...scenario.Fault) *scenario.Scenario {
	t.Helper()
	sc, err := scenario.Parse("tiny", []byte(`name: tiny
length: 2s
network: {zones: [east, west], cross: 1ms, consumer: 200us}
tiers:
  - {name: shop, proxies: 2, providers: 4, work: 0.4, calls: 1, group: 2}
  - {name: store, providers: 4, work: 0.4, group: 2}
classes:
  - {name: browse, share: 1, work: 4ms, aim: 3s, deadline: 8s}
  - {name: pay, share: 1, work: 4ms, aim: 3s, deadline: 8s, effect: keyed}
load: {rate: 60}
consumers: {retries: 2, wait: 20ms}
directory: {lag: 100ms, add: 100ms, silent: 300ms}
`))
	if err != nil {
		t.Fatal(err)
	}
	sc.Faults = faults
	sc.Complete()
	if problems := sc.Check(); len(problems) > 0 {
		t.Fatal(problems)
	}
	return sc
}

func mustRun(t *testing.T, sc *scenario.Scenario) *metrics.Result {
	t.Helper()
	result, err := Run(context.Background(), sc, Options{Seed: 1, Build: Embedded})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// The rules hold on sockets through each kind of fault, and no goroutine is left over.
func TestRulesHoldThroughFaults(t *testing.T) {
	const ms = time.Millisecond
	for _, fault := range []scenario.Fault{
		{Kind: scenario.Corrupt, At: 200 * ms, For: time.Second, Fraction: 1, Factor: 0.3},
		{Kind: scenario.Release, At: 200 * ms, For: 800 * ms, Fraction: 1, Drain: 300 * ms, Pause: 50 * ms},
		{Kind: scenario.Replace, At: 300 * ms, Fraction: 0.5, Pause: 100 * ms},
		{Kind: scenario.Err, At: 200 * ms, For: time.Second, Fraction: 0.5, Factor: 0.4},
		{Kind: scenario.Hang, At: 300 * ms, For: 500 * ms, Fraction: 0.25},
		{Kind: scenario.Silent, At: 300 * ms, For: 800 * ms, Fraction: 0.25},
		{Kind: scenario.Restart, At: 300 * ms, Fraction: 0.5, Pause: 200 * ms},
		{Kind: scenario.DiscoverySilent, At: 300 * ms, For: 800 * ms},
	} {
		t.Run(fault.Kind, func(t *testing.T) {
			defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
			result := mustRun(t, tinyScenario(t, fault))
			// A machine too busy to keep time may miss deadlines; responses and repeats must be right on any.
			for _, rule := range []string{invariant.NoRepeat, invariant.Foreign} {
				if result.Metrics["broken."+rule] > 0 {
					t.Errorf("%s: %v", rule, result.Violations)
				}
			}
			if served := result.Metrics["in_aim"] + result.Metrics["late"]; served < 0.3 {
				t.Errorf("served %v: %v", served, result.Metrics)
			}
			if fault.Kind == scenario.Corrupt && result.Metrics["spoilt"] == 0 {
				t.Error("no response was corrupted")
			}
		})
	}
}

// serveInvented answers requests with what no endpoint made: text of its own, or the id with an endpoint's name.
func serveInvented(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body := "made up"
		if strings.Contains(req.URL.Path, "/pay/") {
			body = req.Header.Get("Req-Id") + " shop-0 0.1"
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

func TestInventedResponsesAreReported(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveInvented(conn)
		}
	}()
	sc := tinyScenario(t)
	r := &run{}
	a := newAudit(sc, time.Now(), nil)
	a.addProxy("inventor", 0)
	client := newTransport()
	defer client.close()
	for class := range sc.Classes {
		id := r.newID(0)
		now := time.Now()
		a.received(0, id, class, now, time.Minute)
		spec := &sc.Classes[class]
		request := formatRequest(&requestHeader{
			class: spec.Name, effect: spec.EffectKind(), id: id, tenant: "everyone", timeout: time.Minute, key: 7, work: 0.1,
		})
		answer, err := client.roundTrip(context.Background(), l.Addr().String(), request, now.Add(time.Minute))
		a.answered(0, id, answer, err, false)
	}
	if _, counts := a.oracle.Finish(0); counts[invariant.Foreign] != 2 {
		t.Errorf("found %v, want two foreign answers", counts)
	}
}

// A proxy that ends by itself ends the run with the end of its log, and no goroutine is left over.
func TestCrashedProxyEndsRun(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	script := filepath.Join(t.TempDir(), "crash")
	if err := os.WriteFile(script, []byte("#!/bin/sh\necho it hurts >&2\nexit 3\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	_, err := Run(context.Background(), tinyScenario(t), Options{Build: script})
	if err == nil || !strings.Contains(err.Error(), "ended by itself") || !strings.Contains(err.Error(), "it hurts") {
		t.Errorf("got %v", err)
	}
	_, err = Run(context.Background(), tinyScenario(t), Options{Build: "/no/such/program"})
	if err == nil || !strings.Contains(err.Error(), "/no/such/program") {
		t.Errorf("got %v", err)
	}
}

func TestRunStopsWhenContextEnds(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	sc := tinyScenario(t)
	sc.Length = time.Hour
	sc.Load.Rate = 5
	ctx, stop := context.WithCancel(context.Background())
	sent := make(chan struct{}, 1)
	go func() { <-sent; stop() }()
	_, err := Run(ctx, sc, Options{Build: Embedded, OnProgress: func(progress Progress) {
		if progress.Sent > 0 {
			select {
			case sent <- struct{}{}:
			default:
			}
		}
	}})
	if err == nil || !strings.Contains(err.Error(), "stopped after") {
		t.Errorf("got %v", err)
	}
}

func TestTakenPortIsReported(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if _, err := listen(l.Addr().String()); err == nil || !strings.Contains(err.Error(), "a port is taken") {
		t.Errorf("got %v", err)
	}
}

func TestUsageOfProcessIsRead(t *testing.T) {
	used, err := readUsage(os.Getpid())
	if err != nil || used.Memory == 0 || used.Sockets == 0 {
		t.Errorf("%+v, %v", used, err)
	}
}
