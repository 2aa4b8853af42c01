package experiment

import (
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"ryerill/lab/metrics"
	"ryerill/lab/scenario"
)

const validExperiment = `name: tiny
seeds: 4
world:
  name: tiny
  length: 5s
  tiers: [{name: one, proxies: 1, providers: 2}]
  classes: [{name: read, share: 1, work: 10ms, aim: 100ms, deadline: 1s}]
  load: {rate: 10}
arms:
  - {name: a}
  - {name: b, decider: p2c, set: {load: {rate: 20}}}
short: {seeds: 2, set: {length: 2s}}
expect:
  - goodput(a) >= 1.1 * goodput(b)
`

func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "e.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestProblemsAreReportedWithTheirPosition(t *testing.T) {
	for _, tc := range []struct{ name, from, to, want string }{
		{"unknown key", "seeds: 4", "seed: 4", `e.yaml:2:1: unknown field "seed"`},
		{"unknown decider", "decider: p2c", "decider: guess", `e.yaml:11:24: arms[1].decider: unexpected value "guess"`},
		{"unknown limit", "decider: p2c", "decider: p2c/fixed:no", `fixed:N with N above 0`},
		{"doubled variant", "{name: b", "{name: a", `e.yaml:11:12: arms[1].name: unexpected value "a"`},
		{"variant with a reserved name", "{name: a}", "{name: late}", `expectations use it as a word`},
		{"unknown metric", "1.1 * goodput(b)", "luck(b)", `e.yaml:14:5: expect[0]: unexpected value`},
		{"unknown variant", "goodput(b)", "goodput(c)", `e.yaml:14:5: expect[0]`},
		{"no condition", "goodput(a) >= 1.1 * goodput(b)", "goodput(a)", `expect[0]`},
		{"invalid scenario", "rate: 10", "rate: 0", "load.rate"},
		{"invalid set", "rate: 20", "rat: 20", `unknown field "rat"`},
		{"no seeds", "seeds: 4", "seeds: 0", `e.yaml:2:8: seeds: unexpected value "0"`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Replace(validExperiment, tc.from, tc.to, 1)
			_, err := Read(write(t, text), false)
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("got %v, want %q", err, tc.want)
			}
		})
	}
}

// fake plays nothing: its goodput is that of a table, by variant and seed.
func fake(values map[string]float64) Host {
	return func(_ context.Context, s *scenario.Scenario, variant Variant, seed uint64) (*metrics.Result, error) {
		return &metrics.Result{Metrics: map[string]float64{"goodput": values[variant.Name] + float64(seed)/1000, "rate": s.Load.Rate}}, nil
	}
}

func TestVariantsAreSetAndPairedBySeed(t *testing.T) {
	e, err := Read(write(t, validExperiment), true)
	if err != nil {
		t.Fatal(err)
	}
	steps := 0
	res, err := e.Play(context.Background(), map[string]Host{Sim: fake(map[string]float64{"a": 0.9, "b": 0.5})}, func() { steps++ })
	if err != nil {
		t.Fatal(err)
	}
	if steps != 4 || len(res.Runs) != 4 {
		t.Errorf("%d steps, %d runs, want 4: two variants, two seeds in the short form", steps, len(res.Runs))
	}
	if got := res.Values("b", "rate"); got[0] != 20 {
		t.Errorf("what the variant sets does not hold: rate %v", got)
	}
	if d := res.Paired("goodput", "a", "b"); math.Abs(d.Mean-0.4) > 1e-9 || math.Abs(d.High-d.Low) > 1e-9 {
		t.Errorf("the seeds are not paired: %+v", d)
	}
	outcomes, held := e.Evaluate(res)
	if !held || !strings.Contains(outcomes[0].Figures(), "goodput(a) = 0.90") {
		t.Errorf("held %v, figures %s", held, outcomes[0].Figures())
	}
	res, _ = e.Play(context.Background(), map[string]Host{Sim: fake(map[string]float64{"a": 0.5, "b": 0.5})}, func() {})
	if _, held := e.Evaluate(res); held {
		t.Error("an expectation that falls short held")
	}
}

func TestExpectationOfUnmeasuredMetricDoesNotHold(t *testing.T) {
	e, err := Read(write(t, strings.Replace(validExperiment, "goodput(a) >= 1.1 * goodput(b)", "p99(a) < 1", 1)), false)
	if err != nil {
		t.Fatal(err)
	}
	res, err := e.Play(context.Background(), map[string]Host{Sim: fake(nil)}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	if outcomes, held := e.Evaluate(res); held || !strings.Contains(outcomes[0].Fault, "not measured") {
		t.Errorf("held %v: %+v", held, outcomes)
	}
}

// What was measured before a host failed is in the results, which say that they are not all.
func TestFailureKeepsWhatWasMeasured(t *testing.T) {
	if _, err := Read(write(t, strings.ReplaceAll(validExperiment, "arms:", "host: sockets\narms:")), false); err == nil {
		t.Fatal("a textbook decider plays on sockets")
	}
	e, err := Read(write(t, strings.NewReplacer("arms:", "host: sockets\narms:", "decider: p2c, ", "").Replace(validExperiment)), false)
	if err != nil {
		t.Fatal(err)
	}
	n, crash := 0, errors.New("the proxy crashed")
	res, err := e.Play(context.Background(), map[string]Host{Sockets: func(context.Context, *scenario.Scenario, Variant, uint64) (*metrics.Result, error) {
		if n++; n == 4 {
			return nil, crash
		}
		return &metrics.Result{Metrics: map[string]float64{"goodput": 1}}, nil
	}}, func() {})
	if !errors.Is(err, crash) || len(res.Runs) != 3 || res.CutOff == "" {
		t.Errorf("error %v, %d runs kept, cut off %q", err, len(res.Runs), res.CutOff)
	}
}

func TestVoidRunsAreRepeatedAndLeftOut(t *testing.T) {
	e, err := Read(write(t, validExperiment), false)
	if err != nil {
		t.Fatal(err)
	}
	res, err := e.Play(context.Background(), map[string]Host{Sim: func(_ context.Context, _ *scenario.Scenario, variant Variant, seed uint64) (*metrics.Result, error) {
		r := &metrics.Result{Metrics: map[string]float64{"goodput": 1}}
		if variant.Name == "a" && seed == 2 {
			r.Void = "late"
		}
		return r, nil
	}}, func() {})
	if err != nil || len(res.Values("a", "goodput")) != 3 || len(res.Of("a")) != 4 {
		t.Errorf("%v: %d values of %d runs", err, len(res.Values("a", "goodput")), len(res.Of("a")))
	}
}

// The interval contains the true mean about as often as it states.
func TestIntervalContainsTheMean(t *testing.T) {
	held := 0
	for trial := range 200 {
		var v []float64
		for i := range 30 {
			v = append(v, math.Mod(float64(trial*7919+i*104729)*0.618033988749895, 1))
		}
		if low, high := Interval(v); low <= 0.5 && 0.5 <= high {
			held++
		}
	}
	if held < 180 {
		t.Errorf("held the mean in %d of 200", held)
	}
}

func TestExperimentFilesAreValid(t *testing.T) {
	files, _ := filepath.Glob("../experiments/*.yaml")
	if len(files) < 7 {
		t.Fatalf("found %d", len(files))
	}
	for _, f := range files {
		for _, short := range []bool{false, true} {
			if _, err := Read(f, short); err != nil {
				t.Error(err)
			}
		}
	}
}

func TestNoVariantsAreReportedWhateverIsExpected(t *testing.T) {
	start, _, _ := strings.Cut(validExperiment, "arms:")
	_, err := Read(write(t, start+"arms: []\nexpect:\n  - goodput(a) >= 0.5\n"), false)
	if err == nil || !strings.Contains(err.Error(), `arms: unexpected value "0", want one arm or more`) {
		t.Errorf("got %v", err)
	}
}

// Results hold the limit and the attempts in flight of each decider, those whose replicas share state among them.
func TestResultsHoldTheConcurrencyOfEveryDecider(t *testing.T) {
	for _, decider := range append([]string{productDecider, "p2c/fixed:20"}, sharingDeciders...) {
		e, err := Read(write(t, strings.Replace(validExperiment, "decider: p2c", "decider: "+decider, 1)), true)
		if err != nil {
			t.Fatal(err)
		}
		result, err := Virtual(t.Context(), e.Scenarios[1], e.Variants[1], 1)
		if err != nil {
			t.Fatal(err)
		}
		if limits := result.Series.Limit; len(limits) == 0 || slices.Max(limits) <= 0 {
			t.Errorf("%s: limits %v", decider, limits)
		}
		if inFlight := result.Series.InFlight; len(inFlight) == 0 || slices.Max(inFlight) <= 0 {
			t.Errorf("%s: in flight %v", decider, inFlight)
		}
	}
}
