package experiment

import (
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Mean returns the mean; NaN of nothing.
func Mean(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	return stat.Mean(values, nil)
}

// Deviation returns the standard deviation; 0 of one value.
func Deviation(values []float64) float64 {
	if len(values) < 2 {
		return 0
	}
	return stat.StdDev(values, nil)
}

// lowest is the smallest value; NaN of nothing.
func lowest(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	return slices.Min(values)
}

// highest is the largest value; NaN of nothing.
func highest(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	return slices.Max(values)
}

// Quantile returns the quantile p, from 0 to 1, of values; NaN of nothing.
func Quantile(p float64, values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return stat.Quantile(p, stat.LinInterp, sorted, nil)
}

// resamples is how often a bootstrap draws: its interval then moves by about a hundredth of its width.
const resamples = 4000

// Ends of a 95% interval.
const (
	lowQuantile  = 0.025
	highQuantile = 0.975
)

// Interval returns the 95% interval of the mean, by the percentile bootstrap; NaNs of nothing. It is the same for the
// same values in the same order.
func Interval(values []float64) (low, high float64) {
	if len(values) == 0 {
		return math.NaN(), math.NaN()
	}
	rng := rand.New(rand.NewPCG(1, uint64(len(values))))
	means := make([]float64, resamples)
	for i := range means {
		sum := 0.0
		for range values {
			sum += values[rng.IntN(len(values))]
		}
		means[i] = sum / float64(len(values))
	}
	slices.Sort(means)
	low = stat.Quantile(lowQuantile, stat.LinInterp, means, nil)
	high = stat.Quantile(highQuantile, stat.LinInterp, means, nil)
	return low, high
}

// Difference is a paired difference with its 95% interval.
type Difference struct {
	Mean, Low, High float64
	N               int // pairs
}

// Differ returns the difference of a minus b, whose values are paired by index. Pairs with a NaN are left out.
func Differ(a, b []float64) Difference {
	var differences []float64
	for i := range min(len(a), len(b)) {
		if !math.IsNaN(a[i]) && !math.IsNaN(b[i]) {
			differences = append(differences, a[i]-b[i])
		}
	}
	low, high := Interval(differences)
	return Difference{Mean: Mean(differences), Low: low, High: high, N: len(differences)}
}
