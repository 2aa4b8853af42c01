package invariant

import (
	"strings"
	"testing"
	"time"

	"ryerill/balancer"
)

const second = time.Second

var (
	a1 = Endpoint{1, "a1", 0, 1}
	a2 = Endpoint{2, "a2", 0, 1} // of the same group
	b1 = Endpoint{3, "b1", 0, 2}
)

func watch() *Checker {
	return New(Config{Slack: 20 * time.Millisecond, Grace: second, Classes: []balancer.Class{
		{Name: "safe", Effect: balancer.Safe},
		{Name: "keyed", Effect: balancer.Keyed, Group: balancer.GroupCell, IdempotencyWindow: 10 * second},
		{Name: "unsafe", Effect: balancer.Unsafe}}})
}

const (
	safe = iota
	keyed
	unsafe
)

// Each rule is broken in some ways, and nearly broken in others.
func TestEachRuleIsNoticed(t *testing.T) {
	for _, tc := range []struct {
		name  string
		class int
		do    func(w *Checker)
		want  string // the rule that is broken; empty is none
	}{
		{"served once", safe, func(w *Checker) { w.Sent(0, 0, 1, a1); w.Ended(1, 0, 1, 0, false); w.Answered(1, 0, 1, Served, 1) }, ""},
		{"answered twice", safe, func(w *Checker) { w.Answered(1, 0, 1, Failed, 0); w.Answered(2, 0, 1, Failed, 0) }, OneAnswer},
		{"answered within the slack", safe, func(w *Checker) { w.Answered(second+20*time.Millisecond, 0, 1, Failed, 0) }, ""},
		{"answered after the slack", safe, func(w *Checker) { w.Answered(second+21*time.Millisecond, 0, 1, Failed, 0) }, OneAnswer},
		{"never answered", safe, func(w *Checker) {}, OneAnswer},
		{"left in time", safe, func(w *Checker) { w.Left(second/2, 0, 1) }, ""},
		{"left only after its time", safe, func(w *Checker) { w.Left(2*second, 0, 1) }, OneAnswer},
		{"answer of a request that was not taken", safe, func(w *Checker) { w.Left(1, 0, 1); w.Answered(1, 0, 9, Failed, 0) }, OneAnswer},
		{"sent after its answer", safe, func(w *Checker) { w.Answered(1, 0, 1, Failed, 0); w.Sent(2, 0, 1, a1) }, OneAnswer},
		{"killed proxy", safe, func(w *Checker) { w.Died(0) }, ""},
		{"safe repeat anywhere", safe, func(w *Checker) { w.Sent(0, 0, 1, a1); w.Sent(1, 0, 1, b1); w.Answered(2, 0, 1, Shed, 0) }, ""},
		{"keyed repeat in its group", keyed, func(w *Checker) { w.Sent(0, 0, 1, a1); w.Sent(1, 0, 1, a2); w.Answered(2, 0, 1, Failed, 0) }, ""},
		{"keyed repeat beyond its group", keyed, func(w *Checker) { w.Sent(0, 0, 1, a1); w.Sent(1, 0, 1, b1); w.Answered(2, 0, 1, Failed, 0) }, NoRepeat},
		{"keyed repeat beyond its memory", keyed, func(w *Checker) { w.Sent(0, 0, 1, a1); w.Sent(11*second, 0, 1, a2); w.Left(2, 0, 1) }, NoRepeat},
		{"keyed, never ran", keyed, func(w *Checker) {
			w.Sent(0, 0, 1, a1)
			w.Ended(1, 0, 1, 0, true)
			w.Sent(2, 0, 1, b1)
			w.Answered(3, 0, 1, Failed, 0)
		}, ""},
		{"keyed called harmless", keyed, func(w *Checker) { w.Sent(0, 0, 1, a1); w.Ended(1, 0, 1, 0, false); w.Answered(3, 0, 1, Shed, 0) }, NoRepeat},
		{"unsafe repeat", unsafe, func(w *Checker) { w.Sent(0, 0, 1, a1); w.Sent(1, 0, 1, a2); w.Answered(2, 0, 1, Failed, 0) }, NoRepeat},
		{"within the grace", safe, func(w *Checker) { w.Told(0, 0, 1, false); w.Sent(second, 0, 1, a1); w.Left(1, 0, 1) }, ""},
		{"after the grace", safe, func(w *Checker) { w.Told(0, 0, 1, false); w.Sent(second+1, 0, 1, a1); w.Left(1, 0, 1) }, Drained},
		{"told again as drained", safe, func(w *Checker) {
			w.Told(0, 0, 1, false)
			w.Told(second, 0, 1, false)
			w.Sent(second+1, 0, 1, a1)
			w.Left(1, 0, 1)
		}, Drained},
		{"ready again", safe, func(w *Checker) {
			w.Told(0, 0, 1, false)
			w.Told(1, 0, 1, true)
			w.Sent(2*second, 0, 1, a1)
			w.Left(1, 0, 1)
		}, ""},
		{"another proxy was told", safe, func(w *Checker) { w.Told(0, 1, 1, false); w.Sent(2*second, 0, 1, a1); w.Left(1, 0, 1) }, ""},
		{"pushed over", safe, func(w *Checker) { w.Tipped(0, "a1", 3, 2); w.Left(1, 0, 1) }, Pushed},
		{"a stranger's answer", safe, func(w *Checker) { w.Sent(0, 0, 1, a1); w.Answered(1, 0, 1, Served, 3) }, Foreign},
		{"spoilt answer", safe, func(w *Checker) { w.Spoilt(0, 0, 1, "noise"); w.Left(1, 0, 1) }, Foreign},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := watch()
			w.Took(0, 0, 1, tc.class, second)
			tc.do(w)
			kept, counts := w.Finish(time.Minute)
			if tc.want == "" && len(kept) > 0 {
				t.Fatalf("none is broken, found %v", kept)
			}
			if tc.want != "" && (counts[tc.want] != 1 || len(kept) != 1) {
				t.Fatalf("want %s once, found %v", tc.want, kept)
			}
		})
	}
}

func TestEvidenceIsBoundedAndNamesTheParties(t *testing.T) {
	w := watch()
	for range 3 * mostKept {
		w.Tipped(0, "a1", 3, 2)
	}
	kept, counts := w.Finish(0)
	if len(kept) != mostKept || counts[Pushed] != 3*mostKept {
		t.Errorf("kept %d, counted %d", len(kept), counts[Pushed])
	}
	if !strings.Contains(kept[0].Evidence, "a1") {
		t.Errorf("the evidence %q names nobody", kept[0].Evidence)
	}
}
