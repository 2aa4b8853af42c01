package sim

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"ryerill/lab/measure"
	"ryerill/lab/world"
)

func read(t testing.TB, file string) *world.World {
	t.Helper()
	w, err := world.Read("../worlds/" + file)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func play(t testing.TB, w *world.World, opt Options) *measure.Result {
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
	if text() != text() {
		t.Error("two runs of one seed differ")
	}
}

func BenchmarkRoster(b *testing.B) {
	w := read(b, "roster.yaml")
	for i := range b.N {
		start := time.Now()
		r := play(b, w, Options{Seed: uint64(i)})
		b.ReportMetric(w.Length.Seconds()/time.Since(start).Seconds(), "x-real-time")
		b.Logf("%v", r.Metrics)
	}
}
