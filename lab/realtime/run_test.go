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

// tiny is a world of two tiers that a busy machine plays too: nothing here
// judges how fast it is.
func tiny(t *testing.T, troubles ...scenario.Fault) *scenario.Scenario {
	t.Helper()
	w, err := scenario.Parse("tiny", []byte(`name: tiny
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
	w.Faults = troubles
	w.Complete()
	if p := w.Check(); len(p) > 0 {
		t.Fatal(p)
	}
	return w
}

func play(t *testing.T, w *scenario.Scenario) *metrics.Result {
	t.Helper()
	r, err := Run(context.Background(), w, Options{Seed: 1, Build: Embedded})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The rules hold on sockets through each trouble, and nothing is left over.
func TestRulesHoldThroughTroubles(t *testing.T) {
	for _, tr := range []scenario.Fault{
		{Kind: scenario.Spoil, At: 200 * time.Millisecond, For: time.Second, Fraction: 1, Factor: 0.3},
		{Kind: scenario.Release, At: 200 * time.Millisecond, For: 800 * time.Millisecond, Fraction: 1, Drain: 300 * time.Millisecond, Pause: 50 * time.Millisecond},
		{Kind: scenario.Replace, At: 300 * time.Millisecond, Fraction: 0.5, Pause: 100 * time.Millisecond},
		{Kind: scenario.Err, At: 200 * time.Millisecond, For: time.Second, Fraction: 0.5, Factor: 0.4},
		{Kind: scenario.Hang, At: 300 * time.Millisecond, For: 500 * time.Millisecond, Fraction: 0.25},
		{Kind: scenario.Silent, At: 300 * time.Millisecond, For: 800 * time.Millisecond, Fraction: 0.25},
		{Kind: scenario.Restart, At: 300 * time.Millisecond, Fraction: 0.5, Pause: 200 * time.Millisecond},
		{Kind: scenario.DiscoverySilent, At: 300 * time.Millisecond, For: 800 * time.Millisecond},
	} {
		t.Run(tr.Kind, func(t *testing.T) {
			defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
			r := play(t, tiny(t, tr))
			// A machine too busy to keep time may miss deadlines; answers and repeats must be right on any.
			for _, rule := range []string{invariant.NoRepeat, invariant.Foreign} {
				if r.Metrics["broken."+rule] > 0 {
					t.Errorf("%s: %v", rule, r.Violations)
				}
			}
			if r.Metrics["served"] = r.Metrics["in_aim"] + r.Metrics["late"]; r.Metrics["served"] < 0.3 {
				t.Errorf("served %v: %v", r.Metrics["served"], r.Metrics)
			}
			if tr.Kind == scenario.Spoil && r.Metrics["spoilt"] == 0 {
				t.Error("no answer was spoilt")
			}
		})
	}
}

// A proxy that answers with what no provider made is named.
func TestAProxyThatInventsAnswersIsCaught(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					body := "made up"
					if strings.Contains(req.URL.Path, "/pay/") {
						body = req.Header.Get("Req-Id") + " shop-0 0.1"
					}
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				}
			}()
		}
	}()
	w := tiny(t)
	r := &run{scenario: w, began: time.Now(), proxyNames: []string{"inventor"}, executedBy: map[uint64]string{}, recorder: metrics.New(w)}
	r.oracle = invariant.New(invariant.Config{Classes: w.Balancer(0, 0, 0).Classes, Name: func(int) string { return "inventor" }})
	client := newTransport()
	defer client.close()
	for class := range w.Classes {
		id := r.newID(0)
		now := time.Now()
		r.recordReceived(0, id, class, now, time.Minute)
		spec := &w.Classes[class]
		request := formatRequest(&requestHeader{
			class: spec.Name, effect: spec.EffectKind(), id: id, tenant: "everyone", timeout: time.Minute, key: 7, work: 0.1,
		})
		answer, err := client.roundTrip(context.Background(), l.Addr().String(), request, now.Add(time.Minute))
		r.recordAnswered(0, id, answer, err, false)
	}
	if _, counts := r.oracle.Finish(0); counts[invariant.Foreign] != 2 {
		t.Errorf("found %v, want two foreign answers", counts)
	}
}

// A proxy that ends by itself ends the run with its last words, and leaves nothing behind.
func TestAProxyThatCrashesEndsTheRunPlainly(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	script := filepath.Join(t.TempDir(), "crash")
	if err := os.WriteFile(script, []byte("#!/bin/sh\necho it hurts >&2\nexit 3\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	_, err := Run(context.Background(), tiny(t), Options{Build: script})
	if err == nil || !strings.Contains(err.Error(), "ended by itself") || !strings.Contains(err.Error(), "it hurts") {
		t.Errorf("got %v", err)
	}
	if _, err := Run(context.Background(), tiny(t), Options{Build: "/no/such/program"}); err == nil || !strings.Contains(err.Error(), "/no/such/program") {
		t.Errorf("got %v", err)
	}
}

func TestARunStopsWhenItsContextEnds(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	w := tiny(t)
	w.Length = time.Hour
	w.Load.Rate = 5
	ctx, stop := context.WithCancel(context.Background())
	asked := make(chan struct{}, 1)
	go func() { <-asked; stop() }()
	_, err := Run(ctx, w, Options{Build: Embedded, Tell: func(m Moment) {
		if m.Asked > 0 {
			select {
			case asked <- struct{}{}:
			default:
			}
		}
	}})
	if err == nil || !strings.Contains(err.Error(), "stopped after") {
		t.Errorf("got %v", err)
	}
}

func TestAPortThatIsTakenIsSaid(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if _, err := listen(l.Addr().String()); err == nil || !strings.Contains(err.Error(), "a port is taken") {
		t.Errorf("got %v", err)
	}
}

func TestUsageIsRead(t *testing.T) {
	u, err := readUsage(os.Getpid())
	if err != nil || u.Memory == 0 || u.Sockets == 0 {
		t.Errorf("%+v, %v", u, err)
	}
}
