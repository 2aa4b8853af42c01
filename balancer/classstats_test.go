package balancer

import (
	"math"
	"slices"
	"testing"
	"time"
)

func TestClassStatsStartAtFractionOfObjective(t *testing.T) {
	stats := newClassStats([]Class{{LatencyObjective: time.Second}, {LatencyObjective: 4 * time.Second}}, 0.5)
	if !slices.Equal(stats.typicalLatency, []float64{0.5, 2}) || !slices.Equal(stats.errorRate, []float64{0, 0}) {
		t.Errorf("%+v", stats)
	}
}

func TestErrorRateFollowsResults(t *testing.T) {
	stats := classStats{errorRate: []float64{0.5, 0.25}}
	stats.addResult(0, true, 0.5)
	stats.addResult(1, false, 0.5)
	if !slices.Equal(stats.errorRate, []float64{0.75, 0.125}) || stats.lowestErrorRate() != 0.125 {
		t.Errorf("%+v", stats)
	}
}

func TestClassStatsRestoreIgnoresInvalidValues(t *testing.T) {
	stats := classStats{typicalLatency: []float64{1, 1, 1, 1}, errorRate: []float64{0.5, 0.5, 0.5, 0.5}}
	stats.restore([]float64{2, -1, math.NaN()}, []float64{0, 1, math.NaN()})
	if !slices.Equal(stats.typicalLatency, []float64{2, 1, 1, 1}) ||
		!slices.Equal(stats.errorRate, []float64{0, 0.5, 0.5, 0.5}) {
		t.Errorf("%+v", stats)
	}
}
