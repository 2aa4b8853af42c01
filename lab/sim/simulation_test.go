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

func read(t testing.TB, file string) *scenario.Scenario {
	t.Helper()
	w, err := scenario.Read("../scenarios/" + file)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func play(t testing.TB, w *scenario.Scenario, opt Options) *metrics.Result {
	t.Helper()
	r, err := Run(context.Background(), w, opt)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The same seed gives the same bytes.
func TestARunIsItsSeed(t *testing.T) {
	t.Parallel()
	w := read(t, "roster.yaml")
	w.Length = 8 * time.Second
	text := func() string {
		b, err := json.Marshal(play(t, w, Options{Seed: 7}))
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
	w := read(b, "roster.yaml")
	for i := range b.N {
		start := time.Now()
		r := play(b, w, Options{Seed: uint64(i)})
		b.ReportMetric(w.Length.Seconds()/time.Since(start).Seconds(), "x-real-time")
		b.ReportMetric(r.Metrics["goodput"], "goodput")
	}
}

// broken does something wrong to a decider's actions.
type broken struct {
	baseline.Decider
	spoil func(ev *balancer.Event, out []balancer.Action) []balancer.Action
}

func (b broken) Handle(now time.Duration, ev balancer.Event, out []balancer.Action) []balancer.Action {
	return b.spoil(&ev, b.Decider.Handle(now, ev, out))
}

// Each rule is broken by a decider made for it, and the oracle names that rule.
func TestBrokenDecidersAreCaught(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		rule     string
		troubles []scenario.Fault
		spoil    func(cfg balancer.Config) func(ev *balancer.Event, out []balancer.Action) []balancer.Action
	}{
		{invariant.OneAnswer, nil, func(balancer.Config) func(*balancer.Event, []balancer.Action) []balancer.Action {
			n := 0
			return func(ev *balancer.Event, out []balancer.Action) []balancer.Action {
				if ev.Kind == balancer.RequestArrived {
					if n++; n%50 == 0 { // holds a request for ever
						return out[:0]
					}
				}
				return out
			}
		}},
		{invariant.NoRepeat, []scenario.Fault{{Kind: scenario.Spoil, At: 2 * time.Second, For: 4 * time.Second, Fraction: 0.3, Factor: 0.5}},
			func(balancer.Config) func(*balancer.Event, []balancer.Action) []balancer.Action {
				var servers []balancer.EndpointID
				return func(ev *balancer.Event, out []balancer.Action) []balancer.Action {
					for _, s := range ev.Endpoints {
						servers = append(servers, s.ID)
					}
					// Sends what failed to whoever comes next, whatever its class.
					if ev.Kind == balancer.AttemptEnded && ev.Outcome == balancer.Reset && !ev.RequestClosed {
						return []balancer.Action{{Kind: balancer.Send, Request: ev.Request, Endpoint: servers[int(ev.Request)%len(servers)]}}
					}
					return out
				}
			}},
		{invariant.Drained, []scenario.Fault{{Kind: scenario.Release, At: time.Second, For: time.Second, Fraction: 0.5, Drain: 6 * time.Second, Pause: time.Second}},
			func(balancer.Config) func(*balancer.Event, []balancer.Action) []balancer.Action {
				var drains []balancer.EndpointID
				return func(ev *balancer.Event, out []balancer.Action) []balancer.Action {
					for _, s := range ev.Endpoints {
						if s.State == balancer.Draining {
							drains = append(drains, s.ID)
						}
					}
					for i := range out {
						if out[i].Kind == balancer.Send && len(drains) > 0 {
							out[i].Endpoint = drains[int(out[i].Request)%len(drains)]
						}
					}
					return out
				}
			}},
		{invariant.Pushed, []scenario.Fault{{Kind: scenario.Release, At: time.Second, For: time.Second, Fraction: 0.2, Drain: time.Second, Pause: 200 * time.Millisecond}},
			func(balancer.Config) func(*balancer.Event, []balancer.Action) []balancer.Action {
				var cold []balancer.EndpointID
				return func(ev *balancer.Event, out []balancer.Action) []balancer.Action {
					for _, s := range ev.Endpoints {
						if s.State == balancer.Ready && s.StartedAt > 0 {
							cold = append(cold, s.ID)
						}
					}
					for i := range out { // the newest gets everything
						if out[i].Kind == balancer.Send && len(cold) > 0 {
							out[i].Endpoint = cold[0]
						}
					}
					return out
				}
			}},
	} {
		t.Run(tc.rule, func(t *testing.T) {
			t.Parallel()
			w := read(t, "pair.yaml")
			w.Length, w.Faults = 10*time.Second, tc.troubles
			for i := range w.Faults {
				w.Faults[i].Tier = w.Tiers[0].Name
			}
			honest := play(t, w, Options{Seed: 3})
			if n := honest.Metrics["violations"]; n != 0 {
				t.Errorf("the Balancer itself broke rules: %v", honest.Violations)
			}
			r := play(t, w, Options{Seed: 3, New: func(cfg balancer.Config, seed uint64) baseline.Decider {
				d := balancer.New(cfg, seed)
				if cfg.Tier > 0 {
					return d
				}
				return broken{d, tc.spoil(cfg)}
			}})
			if r.Metrics["broken."+tc.rule] == 0 {
				t.Errorf("%s was broken and not noticed; found %v", tc.rule, r.Violations)
			}
		})
	}
}

// Every kind of trouble is played, by each decider, without a stuck run.
func TestEveryTroubleIsPlayed(t *testing.T) {
	t.Parallel()
	for _, kind := range scenario.Kinds {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			w := read(t, "pair.yaml")
			w.Length = 9 * time.Second
			tr := scenario.Fault{Kind: kind, At: 3 * time.Second, For: 3 * time.Second, Fraction: 0.4, Factor: 2, Zone: "west", Count: 1, Tenant: "everyone"}
			if kind == scenario.Spoil || kind == scenario.Err {
				tr.Factor = 0.5
			}
			w.Faults = []scenario.Fault{tr}
			w.Complete()
			if p := w.Check(); len(p) > 0 {
				t.Fatal(p)
			}
			if kind == scenario.Reload { // there is nothing to reload in virtual time, and it says so
				if _, err := Run(context.Background(), w, Options{}); err == nil {
					t.Error("it is played as if it were nothing")
				}
				return
			}
			for _, d := range []string{"ryerill", "roundrobin", "least/fixed:10", "p2c/gradient"} {
				r := play(t, w, Options{Seed: 2, Decider: d})
				if n := r.Metrics["broken.one-answer"] + r.Metrics["broken.no-repeat"] + r.Metrics["broken.foreign-answer"]; n > 0 {
					t.Errorf("%s: %v", d, r.Violations)
				}
				if r.Metrics["goodput"] < 0.2 {
					t.Errorf("%s: goodput %v: the run is stuck", d, r.Metrics["goodput"])
				}
			}
		})
	}
}

func TestARunStopsWhenItsContextEnds(t *testing.T) {
	t.Parallel()
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if _, err := Run(ctx, read(t, "roster.yaml"), Options{}); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}

// A thousand proxies and ten thousand providers in one process.
func BenchmarkLarge(b *testing.B) {
	w := read(b, "large.yaml")
	for i := range b.N {
		start := time.Now()
		r := play(b, w, Options{Seed: uint64(i)})
		b.ReportMetric(w.Length.Seconds()/time.Since(start).Seconds(), "x-real-time")
		b.ReportMetric(r.Metrics["goodput"], "goodput")
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		b.ReportMetric(float64(m.Sys)/(1<<30), "GiB")
	}
}
