package quota

import (
	"fmt"
	"math"
	"testing"
)

// Messages with impossible amounts are counted as invalid and change nothing.
func TestInvalidAmountsAreIgnored(t *testing.T) {
	for _, amount := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1), 2 * maxUnits} {
		for name, message := range map[string]Message{
			"request": {Request: RequestID{"b", 1, 7}, Quota: "r", Amount: amount},
			"renewal": {Request: RequestID{"b", 1, 7}, Quota: "r", Amount: amount, Renews: 1},
			"grant":   {Grant: true, From: "b", Request: RequestID{"l", 1, 1}, Quota: "r", Amount: amount},
			"sum":     {Request: RequestID{"b", 1, 7}, Quota: "s", Amount: amount},
		} {
			t.Run(fmt.Sprintf("%s of %v", name, amount), func(t *testing.T) {
				l, _ := newLenderAndBorrower(1)
				l.AddDemand(0, "r", 100)
				l.Tick(0, nil) // its request 1 is pending
				if answers := l.Handle(0, "b", message, nil); len(answers) > 0 {
					t.Errorf("got answers %+v, want none", answers)
				}
				if rate, left := l.Rate(0, "r"), l.Left("s"); rate != 5 || left != 5 || l.Stats.Invalid != 1 {
					t.Errorf("got rate %v, amount %v, %d invalid messages; want 5, 5, 1", rate, left, l.Stats.Invalid)
				}
			})
		}
	}
	l, b := newLenderAndBorrower(1)
	for _, units := range []float64{-1, math.NaN(), math.Inf(1), 2 * maxUnits} {
		b.AddDemand(0, "r", units)
		if b.Spend(0, "s", units) {
			t.Errorf("Spend of %v units succeeded", units)
		}
	}
	if sent := b.Tick(0, nil); len(sent) > 0 {
		t.Errorf("after impossible demand: got requests %+v, want none", sent)
	}
	l.SetLimits(0, []Limit{{"r", Rate, math.NaN()}, {"x", Rate, math.Inf(1)}, {"y", Rate, -1}, {"z", Rate, 0}})
	for _, name := range []string{"r", "x", "y", "z"} {
		if rate := l.Rate(0, name); rate != 0 {
			t.Errorf("limit %s: got rate %v, want 0", name, rate)
		}
	}
}
