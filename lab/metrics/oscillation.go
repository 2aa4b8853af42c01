package metrics

import (
	"math"
	"math/cmplx"

	"gonum.org/v1/gonum/dsp/fourier"
	"gonum.org/v1/gonum/stat"
)

const (
	minOscillationLength = 24 // values that a series has at least
	minCycles            = 3  // in a series; a slower change is a trend
	maxPeriod            = 8  // seconds; a slower change is a trend
	negligiblePower      = 1e-9
)

// addOscillation adds how much the calls in flight oscillate after the warm-up.
func (r *Recorder) addOscillation(metrics map[string]float64, inFlight []float64) {
	from := min(windowsOf(r.scenario.Warmup), len(inFlight))
	settled := inFlight[from:]
	metrics["beat"], metrics["beat_period"] = Oscillation(settled)
	metrics["swing"] = variation(settled)
}

// Oscillation returns how much a series oscillates: the fraction of its variance that lies at one period, with its
// neighbours, and that period in seconds. Periods over 8 s, or over a third of the series, are a trend. Noise without
// an oscillation has about ln(n)/n at its highest, and replicas that cut and regrow in step have most of it.
func Oscillation(series []float64) (fraction, period float64) {
	if len(series) < minOscillationLength {
		return 0, 0
	}
	length := float64(len(series)) * Step.Seconds()
	firstBin := max(minCycles, int(math.Ceil(length/maxPeriod)))
	power, total := spectrum(series, firstBin)
	if total <= negligiblePower*float64(len(series)) {
		return 0, 0
	}
	for bin := firstBin; bin < len(power); bin++ {
		sum := power[bin]
		if bin > firstBin {
			sum += power[bin-1]
		}
		if bin+1 < len(power) {
			sum += power[bin+1]
		}
		if sum/total > fraction {
			fraction = sum / total
			period = float64(len(series)) / float64(bin) * Step.Seconds()
		}
	}
	return fraction, period
}

// spectrum returns the power of a series by frequency, and its sum, from a bin on.
func spectrum(series []float64, firstBin int) (power []float64, total float64) {
	flat := withoutTrend(series)
	coefficients := fourier.NewFFT(len(flat)).Coefficients(nil, flat)
	power = make([]float64, len(coefficients))
	for bin := firstBin; bin < len(power); bin++ {
		amplitude := cmplx.Abs(coefficients[bin])
		power[bin] = amplitude * amplitude
		total += power[bin]
	}
	return power, total
}

// withoutTrend takes the linear trend out of a series and fades its ends (a Hann window), so that they make no
// frequencies of their own.
func withoutTrend(series []float64) []float64 {
	indexes := make([]float64, len(series))
	for i := range indexes {
		indexes[i] = float64(i)
	}
	start, slope := stat.LinearRegression(indexes, series, nil, false)
	flat := make([]float64, len(series))
	for i, value := range series {
		hann := 0.5 - 0.5*math.Cos(2*math.Pi*(float64(i)+0.5)/float64(len(series)))
		flat[i] = (value - start - slope*indexes[i]) * hann
	}
	return flat
}

// variation is a series' standard deviation as a fraction of its mean.
func variation(series []float64) float64 {
	if len(series) < 2 {
		return 0
	}
	mean, deviation := stat.MeanStdDev(series, nil)
	return ratio(deviation, mean)
}
