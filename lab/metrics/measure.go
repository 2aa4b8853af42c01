// Package metrics books what happened in a run and sums it up. Both hosts of
// the laboratory use it, so that their figures mean the same. A Recorder is not
// safe for concurrent use; hosts with goroutines lock round it.
package metrics

import (
	"fmt"
	"math"
	"math/cmplx"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/dsp/fourier"
	"gonum.org/v1/gonum/stat"

	"ryerill/lab/invariant"
	"ryerill/lab/load"
	"ryerill/lab/scenario"
)

// Step is the width of a window of the series.
const Step = 500 * time.Millisecond

// Outcome is how a first try ended, with all its retries.
type Outcome uint8

// The verdicts.
const (
	OnTime Outcome = iota
	Late
	Shed
	Failed
	TimedOut // given up by its consumer
)

var verdictNames = [...]string{"in_aim", "late", "refused", "failed", "overdue"}

// Recorder books one run.
type Recorder struct {
	w       *scenario.Scenario
	windows []window
	classes []group
	tenants []group
	counts  map[string]float64
	from    time.Duration
}

type window struct {
	asked, good    float64
	limit, flight  float64
	samples        int
	latency        *hdrhistogram.Histogram
	attempts       float64
	served, firsts int
}

type group struct {
	name     string
	asked    float64
	good     float64
	verdicts [len(verdictNames)]float64
	n        float64
	latency  *hdrhistogram.Histogram
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(10, int64(time.Hour/time.Microsecond), 3) // microseconds
}

// New returns a recorder for a world.
func New(w *scenario.Scenario) *Recorder {
	r := &Recorder{w: w, counts: map[string]float64{}, from: w.Warmup, windows: make([]window, int((w.Length+Step-1)/Step))}
	for _, c := range w.Classes {
		r.classes = append(r.classes, group{name: c.Name, latency: histogram()})
	}
	for _, t := range w.Tenants {
		r.tenants = append(r.tenants, group{name: t.Name, latency: histogram()})
	}
	for i := range r.windows {
		r.windows[i].latency = hdrhistogram.New(100, int64(10*time.Minute/time.Microsecond), 2)
	}
	return r
}

func (r *Recorder) window(at time.Duration) *window {
	return &r.windows[min(max(int(at/Step), 0), len(r.windows)-1)]
}

// Final books how a first try ended. Latency counts from when it was meant to be sent.
func (r *Recorder) Final(q *load.Request, v Outcome, latency time.Duration) {
	earned := 0.0
	switch v {
	case OnTime:
		earned = q.Weight
	case Late:
		earned = q.Weight * r.w.Classes[q.Class].LateWeight
	}
	win := r.window(q.At)
	win.asked += q.Weight
	win.good += earned
	win.firsts++
	us := max(int64(latency/time.Microsecond), 1)
	if v <= Late {
		win.served++
		win.latency.RecordValue(us)
	}
	if q.At < r.from {
		return
	}
	for _, g := range []*group{&r.classes[q.Class], &r.tenants[q.Tenant]} {
		g.n++
		g.asked += q.Weight
		g.good += earned
		g.verdicts[v]++
		if v <= Late {
			g.latency.RecordValue(us)
		}
	}
}

// Count adds to a counter of the run.
func (r *Recorder) Count(name string, n float64) { r.counts[name] += n }

// Attempt books an attempt at the first tier, in time.
func (r *Recorder) Attempt(at time.Duration) { r.window(at).attempts++ }

// Sample books the sum of limits and of calls in flight of the first tier's proxies.
func (r *Recorder) Sample(at time.Duration, limit, flight float64) {
	w := r.window(at)
	w.limit, w.flight, w.samples = w.limit+limit, w.flight+flight, w.samples+1
}

// Series are figures over time, a value a Step.
type Series struct {
	Goodput  []float64 `json:"goodput"`
	Asked    []float64 `json:"asked"` // first tries a second
	P95      []float64 `json:"p95"`   // seconds
	Limit    []float64 `json:"limit"`
	InFlight []float64 `json:"in_flight"`
	Attempts []float64 `json:"attempts"` // a second, first tier
}

// Result is one run summed up.
type Result struct {
	Metrics    map[string]float64    `json:"metrics"`
	Series     Series                `json:"series"`
	CDF        map[string][]float64  `json:"cdf"` // by class: latency in seconds at each of Quantiles
	Violations []invariant.Violation `json:"violations,omitempty"`
	Void       string                `json:"void,omitempty"` // why the run must not be used
}

// Quantiles are those of a CDF.
var Quantiles = func() (q []float64) {
	for i := 0; i <= 100; i++ {
		q = append(q, float64(i)/100)
	}
	return append(q, 0.995, 0.999)
}()

// Result sums the run up, with what the oracle found.
func (r *Recorder) Result(broken []invariant.Violation, counts map[string]int) *Result {
	res := &Result{Metrics: map[string]float64{}, CDF: map[string][]float64{}, Violations: broken}
	m := res.Metrics
	all := histogram()
	var asked, good, n float64
	var verdicts [len(verdictNames)]float64
	worst := 1.0
	for i := range r.classes {
		g := &r.classes[i]
		asked, good, n = asked+g.asked, good+g.good, n+g.n
		for v := range verdicts {
			verdicts[v] += g.verdicts[v]
		}
		all.Merge(g.latency)
		r.group(m, "class."+g.name, g)
		worst = math.Min(worst, ratio(g.good, g.asked))
		for _, q := range Quantiles {
			res.CDF[g.name] = append(res.CDF[g.name], seconds(g.latency, q))
		}
	}
	for i := range r.tenants {
		r.group(m, "tenant."+r.tenants[i].name, &r.tenants[i])
	}
	m["goodput"], m["worst_class"], m["firsts"] = ratio(good, asked), worst, n
	for v, name := range verdictNames {
		m[name] = ratio(verdicts[v], n)
	}
	m["p50"], m["p95"], m["p99"] = seconds(all, 0.5), seconds(all, 0.95), seconds(all, 0.99)
	for name, c := range r.counts {
		m[name] = c
	}
	if f := r.counts["first_tries"]; f > 0 {
		m["attempts"] = r.counts["attempts_first"] / f
		m["tries"] = r.counts["tries"] / f
		m["crossings"] = r.counts["crossed"] / f
		m["connections"] = r.counts["opened"] / f
	}
	// Attempts at the last tier against those that the first tries would make if nothing were tried twice.
	if calls := r.counts["first_tries"]; calls > 0 && r.counts["attempts_last"] > 0 {
		for _, t := range r.w.Tiers {
			if t.Calls > 0 {
				calls *= t.Calls
			}
		}
		m["amplified"] = r.counts["attempts_last"] / calls
	}
	m["waste"] = 1 - ratio(r.counts["work_useful"], r.counts["work_done"])
	if r.counts["work_done"] == 0 {
		m["waste"] = 0
	}
	total := 0
	for _, rule := range invariant.All {
		m["broken."+rule] = float64(counts[rule])
		total += counts[rule]
	}
	m["violations"] = float64(total)
	s := &res.Series
	for i := range r.windows {
		w := &r.windows[i]
		s.Goodput = append(s.Goodput, ratio(w.good, w.asked))
		s.Asked = append(s.Asked, float64(w.firsts)/Step.Seconds())
		s.P95 = append(s.P95, seconds(w.latency, 0.95))
		s.Limit = append(s.Limit, ratio(w.limit, float64(w.samples)))
		s.InFlight = append(s.InFlight, ratio(w.flight, float64(w.samples)))
		s.Attempts = append(s.Attempts, w.attempts/Step.Seconds())
	}
	r.recovery(m)
	from := min(int(r.from/Step), len(s.InFlight))
	m["beat"], m["beat_period"] = Beat(s.InFlight[from:])
	m["swing"] = swing(s.InFlight[from:])
	return res
}

func (r *Recorder) group(m map[string]float64, at string, g *group) {
	m[at+".goodput"] = ratio(g.good, g.asked)
	m[at+".p50"], m[at+".p95"], m[at+".p99"] = seconds(g.latency, 0.5), seconds(g.latency, 0.95), seconds(g.latency, 0.99)
	for v, name := range verdictNames {
		m[fmt.Sprintf("%s.%s", at, name)] = ratio(g.verdicts[v], g.n)
	}
}

// recovery tells how the run fared after the last trouble: the time until
// goodput was back at 95% of its level before the first one for 2 s on end, and
// whether it was jammed: in the last quarter of what remained it stayed under
// 0.8 of that level. What did not recover counts all that remained.
func (r *Recorder) recovery(m map[string]float64) {
	level := func(from, to int) float64 {
		asked, good := 0.0, 0.0
		for i := max(from, 0); i < min(to, len(r.windows)); i++ {
			asked, good = asked+r.windows[i].asked, good+r.windows[i].good
		}
		return ratio(good, asked)
	}
	worst, span := 1.0, int(10*time.Second/Step)
	for i := int(r.from / Step); i+span <= len(r.windows); i++ {
		worst = math.Min(worst, level(i, i+span))
	}
	m["worst10"] = worst
	m["recover"], m["jammed"] = 0, 0
	first, last := Faulted(r.w)
	if last == 0 {
		if level(len(r.windows)*3/4, len(r.windows)) < 0.5 {
			m["jammed"] = 1
		}
		return
	}
	before, end := level(int(r.from/Step), int(first/Step)), int((last+Step-1)/Step)
	if before == 0 || end >= len(r.windows) {
		return
	}
	if level(len(r.windows)-(len(r.windows)-end)/4-1, len(r.windows)) < 0.8*before {
		m["jammed"] = 1
	}
	hold := int(2 * time.Second / Step)
	for i := end; ; i++ {
		if i+hold > len(r.windows) {
			m["recover"] = float64(len(r.windows)-end) * Step.Seconds()
			return
		}
		if level(i, i+hold) >= 0.95*before {
			m["recover"] = float64(i-end) * Step.Seconds()
			return
		}
	}
}

// Faulted returns when the first trouble of a world begins and the last one
// ends; zeros if there is none. A release ends when its last provider is
// replaced.
func Faulted(w *scenario.Scenario) (first, last time.Duration) {
	for i, t := range w.Faults {
		end := t.At + t.For
		switch t.Kind {
		case scenario.Release, scenario.Replace:
			end = max(end, t.At+t.Drain+t.Pause+w.Tiers[max(w.TierIndex(t.Tier), 0)].Node.Cold.For)
		case scenario.Restart:
			end = max(end, t.At+t.Pause)
		}
		if i == 0 || t.At < first {
			first = t.At
		}
		last = max(last, end)
	}
	return first, last
}

// Beat tells whether a series has a common beat: the part of its variance that lies at one
// period, with its neighbours, and that period in seconds. Periods over 8 s, or a third of
// the series, are a trend.
// Noise without a beat has about ln(n)/n at its highest, and copies that cut and regrow in
// step most of it.
func Beat(series []float64) (part, period float64) {
	if len(series) < 24 {
		return 0, 0
	}
	leastBins := max(3, int(math.Ceil(float64(len(series))*Step.Seconds()/8)))
	xs := make([]float64, len(series))
	for i := range xs {
		xs[i] = float64(i)
	}
	from, slope := stat.LinearRegression(xs, series, nil, false)
	flat := make([]float64, len(series))
	for i, v := range series {
		hann := 0.5 - 0.5*math.Cos(2*math.Pi*(float64(i)+0.5)/float64(len(series)))
		flat[i] = (v - from - slope*xs[i]) * hann
	}
	coefficients := fourier.NewFFT(len(flat)).Coefficients(nil, flat)
	power := make([]float64, len(coefficients))
	total := 0.0
	for i := leastBins; i < len(power); i++ {
		a := cmplx.Abs(coefficients[i])
		power[i] = a * a
		total += power[i]
	}
	if total <= 1e-9*float64(len(flat)) {
		return 0, 0
	}
	for i := leastBins; i < len(power); i++ {
		here := power[i]
		if i > leastBins {
			here += power[i-1]
		}
		if i+1 < len(power) {
			here += power[i+1]
		}
		if here/total > part {
			part, period = here/total, float64(len(flat))/float64(i)*Step.Seconds()
		}
	}
	return part, period
}

// swing is a series' standard deviation against its mean.
func swing(series []float64) float64 {
	if len(series) < 2 {
		return 0
	}
	mean, deviation := stat.MeanStdDev(series, nil)
	return ratio(deviation, mean)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func seconds(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(100*q)) / 1e6
}

// Names returns the names of a result's metrics in order.
func (r *Result) Names() []string {
	var names []string
	for n := range r.Metrics {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
