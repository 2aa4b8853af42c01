package metrics

import (
	"math"
	"time"

	"ryerill/lab/scenario"
)

// Figures of a run's recovery.
const (
	worstSpan      = 10 * time.Second // over which the worst goodput is taken
	recoveredSpan  = 2 * time.Second  // for which goodput is back once a run has recovered
	recoveredLevel = 0.95             // of the goodput before the first fault
	jammedLevel    = 0.8              // of the goodput before the first fault
	lowGoodput     = 0.5              // a run without faults that ends below it is jammed
)

// addRecovery adds how the run fared after the last fault: the time until goodput was back near its level before the
// first one, and whether the run was jammed, which is that goodput was far below that level in the last quarter of what
// remained. Where it never recovers, all that remained counts.
func (r *Recorder) addRecovery(metrics map[string]float64) {
	metrics["worst10"] = r.worstGoodput(windowsOf(worstSpan))
	metrics["recover"] = 0
	metrics["jammed"] = 0
	end := len(r.windows)
	firstFault, lastFault := Faulted(r.scenario)
	if lastFault == 0 {
		if r.goodput(end*3/4, end) < lowGoodput {
			metrics["jammed"] = 1
		}
		return
	}
	baseline := r.goodput(windowsOf(r.scenario.Warmup), windowsOf(firstFault))
	faultsEnd := int((lastFault + Step - 1) / Step)
	if baseline == 0 || faultsEnd >= end {
		return
	}
	if r.goodput(end-(end-faultsEnd)/4-1, end) < jammedLevel*baseline {
		metrics["jammed"] = 1
	}
	metrics["recover"] = float64(r.windowsToRecover(faultsEnd, recoveredLevel*baseline)) * Step.Seconds()
}

// windowsOf is how many whole windows a time has.
func windowsOf(span time.Duration) int { return int(span / Step) }

// goodput is that of the windows from one up to, but not including, another.
func (r *Recorder) goodput(from, to int) float64 {
	requested := 0.0
	earned := 0.0
	for i := max(from, 0); i < min(to, len(r.windows)); i++ {
		requested += r.windows[i].requestedWeight
		earned += r.windows[i].earnedWeight
	}
	return ratio(earned, requested)
}

// worstGoodput is the lowest goodput of so many windows in a row, after the warm-up.
func (r *Recorder) worstGoodput(count int) float64 {
	worst := 1.0
	for i := windowsOf(r.scenario.Warmup); i+count <= len(r.windows); i++ {
		worst = math.Min(worst, r.goodput(i, i+count))
	}
	return worst
}

// windowsToRecover is how many windows pass from an index on until goodput reaches a level, or all that remain.
func (r *Recorder) windowsToRecover(from int, level float64) int {
	count := windowsOf(recoveredSpan)
	for i := from; i+count <= len(r.windows); i++ {
		if r.goodput(i, i+count) >= level {
			return i - from
		}
	}
	return len(r.windows) - from
}

// Faulted returns when the first fault of a scenario begins and the last one ends; zeros if there is none. A release
// ends when its last endpoint is replaced.
func Faulted(s *scenario.Scenario) (first, last time.Duration) {
	for i, fault := range s.Faults {
		if i == 0 || fault.At < first {
			first = fault.At
		}
		last = max(last, faultEnd(s, &fault))
	}
	return first, last
}

func faultEnd(s *scenario.Scenario, fault *scenario.Fault) time.Duration {
	end := fault.At + fault.For
	switch fault.Kind {
	case scenario.Release, scenario.Replace:
		tier := &s.Tiers[max(s.TierIndex(fault.Tier), 0)]
		return max(end, fault.At+fault.Drain+fault.Pause+tier.Machine.Cold.For)
	case scenario.Restart:
		return max(end, fault.At+fault.Pause)
	}
	return end
}
