package experiment

import (
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Mean is the mean; NaN of nothing.
func Mean(v []float64) float64 {
	if len(v) == 0 {
		return math.NaN()
	}
	return stat.Mean(v, nil)
}

// Deviation is the standard deviation; 0 of one value.
func Deviation(v []float64) float64 {
	if len(v) < 2 {
		return 0
	}
	return stat.StdDev(v, nil)
}

func least(v []float64) float64 {
	if len(v) == 0 {
		return math.NaN()
	}
	return slices.Min(v)
}

func most(v []float64) float64 {
	if len(v) == 0 {
		return math.NaN()
	}
	return slices.Max(v)
}

// Quantile is a quantile of v; NaN of nothing.
func Quantile(p float64, v []float64) float64 {
	if len(v) == 0 {
		return math.NaN()
	}
	s := slices.Sorted(slices.Values(v))
	return stat.Quantile(p, stat.LinInterp, s, nil)
}

// resamples of a bootstrap: its 95% interval then moves by about a hundredth of its width.
const resamples = 4000

// Interval is the 95% interval of the mean, by the percentile bootstrap. It is
// the same for the same values.
func Interval(v []float64) (low, high float64) {
	if len(v) == 0 {
		return math.NaN(), math.NaN()
	}
	rng := rand.New(rand.NewPCG(1, uint64(len(v))))
	means := make([]float64, resamples)
	for i := range means {
		sum := 0.0
		for range v {
			sum += v[rng.IntN(len(v))]
		}
		means[i] = sum / float64(len(v))
	}
	slices.Sort(means)
	return stat.Quantile(0.025, stat.LinInterp, means, nil), stat.Quantile(0.975, stat.LinInterp, means, nil)
}

// Difference is a paired difference with its 95% interval.
type Difference struct {
	Mean, Low, High float64
	N               int
}

// Differ pairs values by their place.
func Differ(a, b []float64) Difference {
	var d []float64
	for i := range min(len(a), len(b)) {
		if !math.IsNaN(a[i]) && !math.IsNaN(b[i]) {
			d = append(d, a[i]-b[i])
		}
	}
	low, high := Interval(d)
	return Difference{Mean(d), low, high, len(d)}
}
