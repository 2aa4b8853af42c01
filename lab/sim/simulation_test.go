package sim

import (
	"context"
	"encoding/json"
	"errors"
	"runtime"
	"testing"
	"time"

	"ryerill/balancer"
	"ryerill/lab/baseline"
	"ryerill/lab/invariant"
	"ryerill/lab/metrics"
	"ryerill/lab/scenario"
)

func readScenario(t testing.TB, file string) *scenario.Scenario {
	t.Helper()
	sc, err := scenario.Read("../scenarios/" + file)
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

func mustRun(t testing.TB, sc *scenario.Scenario, opt Options) *metrics.Result {
	t.Helper()
	result, err := Run(context.Background(), sc, opt)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestSameSeedGivesSameBytes(t *testing.T) {
	t.Parallel()
	sc := readScenario(t, "roster.yaml")
	sc.Length = 8 * time.Second
	text := func() string {
		b, err := json.Marshal(mustRun(t, sc, Options{Seed: 7}))
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	first, second := text(), text()
	if first != second {
		t.Error("two runs of one seed differ")
	}
}

func BenchmarkRoster(b *testing.B) {
	sc := readScenario(b, "roster.yaml")
	for i := range b.N {
		start := time.Now()
		result := mustRun(b, sc, Options{Seed: uint64(i)})
		b.ReportMetric(sc.Length.Seconds()/time.Since(start).Seconds(), "x-real-time")
		b.ReportMetric(result.Metrics["goodput"], "goodput")
	}
}

// tamper changes the actions that a decider answers an event with.
type tamper func(event *balancer.Event, actions []balancer.Action) []balancer.Action

// brokenDecider is a decider whose actions are changed.
type brokenDecider struct {
	baseline.Decider
	tamper tamper
}

func (b brokenDecider) Handle(
	now time.Duration, event balancer.Event, actions []balancer.Action,
) []balancer.Action {
	return b.tamper(&event, b.Decider.Handle(now, event, actions))
}

// holdSomeRequests never answers every fiftieth request.
func holdSomeRequests() tamper {
	arrived := 0
	return func(event *balancer.Event, actions []balancer.Action) []balancer.Action {
		if event.Kind != balancer.RequestArrived {
			return actions
		}
		arrived++
		if arrived%50 == 0 {
			return actions[:0]
		}
		return actions
	}
}

// repeatAnything sends what failed to the next endpoint, whatever its class.
func repeatAnything() tamper {
	var endpoints []balancer.EndpointID
	return func(event *balancer.Event, actions []balancer.Action) []balancer.Action {
		for _, e := range event.Endpoints {
			endpoints = append(endpoints, e.ID)
		}
		if event.Kind != balancer.AttemptEnded || event.Outcome != balancer.Reset || event.RequestClosed {
			return actions
		}
		next := endpoints[int(event.Request)%len(endpoints)]
		return []balancer.Action{{Kind: balancer.Send, Request: event.Request, Endpoint: next}}
	}
}

// sendToDraining sends all requests to endpoints that drain, once there are any.
func sendToDraining() tamper {
	var draining []balancer.EndpointID
	return func(event *balancer.Event, actions []balancer.Action) []balancer.Action {
		for _, e := range event.Endpoints {
			if e.State == balancer.Draining {
				draining = append(draining, e.ID)
			}
		}
		for i := range actions {
			if actions[i].Kind == balancer.Send && len(draining) > 0 {
				actions[i].Endpoint = draining[int(actions[i].Request)%len(draining)]
			}
		}
		return actions
	}
}

// sendToOneCold sends all requests to the first endpoint that has started anew.
func sendToOneCold() tamper {
	var cold []balancer.EndpointID
	return func(event *balancer.Event, actions []balancer.Action) []balancer.Action {
		for _, e := range event.Endpoints {
			if e.State == balancer.Ready && e.StartedAt > 0 {
				cold = append(cold, e.ID)
			}
		}
		for i := range actions {
			if actions[i].Kind == balancer.Send && len(cold) > 0 {
				actions[i].Endpoint = cold[0]
			}
		}
		return actions
	}
}

// Each rule is broken by a decider made for it, and the oracle reports that rule.
func TestBrokenDecidersAreReported(t *testing.T) {
	t.Parallel()
	const second = time.Second
	for _, tc := range []struct {
		rule      string
		faults    []scenario.Fault
		newTamper func() tamper
	}{
		{invariant.OneAnswer, nil, holdSomeRequests},
		{
			invariant.NoRepeat,
			[]scenario.Fault{{Kind: scenario.Corrupt, At: 2 * second, For: 4 * second, Fraction: 0.3, Factor: 0.5}},
			repeatAnything,
		},
		{
			invariant.Drained,
			[]scenario.Fault{{
				Kind: scenario.Release, At: second, For: second, Fraction: 0.5, Drain: 6 * second, Pause: second,
			}},
			sendToDraining,
		},
		{
			invariant.Overloaded,
			[]scenario.Fault{{
				Kind: scenario.Release, At: second, For: second, Fraction: 0.2, Drain: second,
				Pause: 200 * time.Millisecond,
			}},
			sendToOneCold,
		},
	} {
		t.Run(tc.rule, func(t *testing.T) {
			t.Parallel()
			sc := readScenario(t, "pair.yaml")
			sc.Length = 10 * second
			sc.Faults = tc.faults
			for i := range sc.Faults {
				sc.Faults[i].Tier = sc.Tiers[0].Name
			}
			honest := mustRun(t, sc, Options{Seed: 3})
			if n := honest.Metrics["violations"]; n != 0 {
				t.Errorf("the Balancer itself broke rules: %v", honest.Violations)
			}
			result := mustRun(t, sc, Options{Seed: 3, New: func(cfg balancer.Config, seed uint64) baseline.Decider {
				decider := balancer.New(cfg, seed)
				if cfg.Tier > 0 {
					return decider
				}
				return brokenDecider{decider, tc.newTamper()}
			}})
			if result.Metrics["broken."+tc.rule] == 0 {
				t.Errorf("%s was broken and not noticed; found %v", tc.rule, result.Violations)
			}
		})
	}
}

// Every kind of fault is simulated, with each decider, without a stuck run.
func TestEveryFaultIsSimulated(t *testing.T) {
	t.Parallel()
	for _, kind := range scenario.Kinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			sc := readScenario(t, "pair.yaml")
			sc.Length = 9 * time.Second
			fault := scenario.Fault{
				Kind: kind, At: 3 * time.Second, For: 3 * time.Second, Fraction: 0.4, Factor: 2, Zone: "west", Count: 1,
				Tenant: "everyone",
			}
			if kind == scenario.Corrupt || kind == scenario.Err {
				fault.Factor = 0.5
			}
			sc.Faults = []scenario.Fault{fault}
			sc.Complete()
			if problems := sc.Check(); len(problems) > 0 {
				t.Fatal(problems)
			}
			if kind == scenario.Reload { // there is nothing to reload in virtual time: it must be an error
				if _, err := Run(context.Background(), sc, Options{}); err == nil {
					t.Error("a scenario with reloads ran without an error")
				}
				return
			}
			for _, decider := range []string{"ryerill", "roundrobin", "least/fixed:10", "p2c/gradient"} {
				result := mustRun(t, sc, Options{Seed: 2, Decider: decider})
				broken := result.Metrics["broken.one-answer"] + result.Metrics["broken.no-repeat"] +
					result.Metrics["broken.foreign-answer"]
				if broken > 0 {
					t.Errorf("%s: %v", decider, result.Violations)
				}
				if result.Metrics["goodput"] < 0.2 {
					t.Errorf("%s: goodput %v: the run is stuck", decider, result.Metrics["goodput"])
				}
			}
		})
	}
}

func TestRunStopsWhenContextEnds(t *testing.T) {
	t.Parallel()
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if _, err := Run(ctx, readScenario(t, "roster.yaml"), Options{}); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}

// A thousand proxies and ten thousand endpoints in one process.
func BenchmarkLarge(b *testing.B) {
	sc := readScenario(b, "large.yaml")
	for i := range b.N {
		start := time.Now()
		result := mustRun(b, sc, Options{Seed: uint64(i)})
		b.ReportMetric(sc.Length.Seconds()/time.Since(start).Seconds(), "x-real-time")
		b.ReportMetric(result.Metrics["goodput"], "goodput")
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		b.ReportMetric(float64(memory.Sys)/(1<<30), "GiB")
	}
}
