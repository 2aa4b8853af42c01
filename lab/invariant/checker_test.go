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

func newChecker() *Checker {
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

// Each rule is violated in some ways, and nearly violated in others.
func TestViolationsOfEachRuleAreFound(t *testing.T) {
	for _, tc := range []struct {
		name  string
		class int
		do    func(c *Checker)
		want  string // the rule that is violated; empty is none
	}{
		{"served once", safe, func(c *Checker) { c.Sent(0, 0, 1, a1); c.Ended(1, 0, 1, 0, false); c.Answered(1, 0, 1, Served, 1) }, ""},
		{"answered twice", safe, func(c *Checker) { c.Answered(1, 0, 1, Failed, 0); c.Answered(2, 0, 1, Failed, 0) }, OneAnswer},
		{"answered within the slack", safe, func(c *Checker) { c.Answered(second+20*time.Millisecond, 0, 1, Failed, 0) }, ""},
		{"answered after the slack", safe, func(c *Checker) { c.Answered(second+21*time.Millisecond, 0, 1, Failed, 0) }, OneAnswer},
		{"never answered", safe, func(c *Checker) {}, OneAnswer},
		{"left in time", safe, func(c *Checker) { c.ClientLeft(second/2, 0, 1) }, ""},
		{"left only after its time", safe, func(c *Checker) { c.ClientLeft(2*second, 0, 1) }, OneAnswer},
		{"answer of an unknown request", safe, func(c *Checker) { c.ClientLeft(1, 0, 1); c.Answered(1, 0, 9, Failed, 0) }, OneAnswer},
		{"sent after its answer", safe, func(c *Checker) { c.Answered(1, 0, 1, Failed, 0); c.Sent(2, 0, 1, a1) }, OneAnswer},
		{"killed proxy", safe, func(c *Checker) { c.ProxyKilled(0) }, ""},
		{"safe repeat anywhere", safe, func(c *Checker) { c.Sent(0, 0, 1, a1); c.Sent(1, 0, 1, b1); c.Answered(2, 0, 1, Shed, 0) }, ""},
		{"keyed repeat in its group", keyed, func(c *Checker) { c.Sent(0, 0, 1, a1); c.Sent(1, 0, 1, a2); c.Answered(2, 0, 1, Failed, 0) }, ""},
		{"keyed repeat beyond its group", keyed, func(c *Checker) { c.Sent(0, 0, 1, a1); c.Sent(1, 0, 1, b1); c.Answered(2, 0, 1, Failed, 0) }, NoRepeat},
		{"keyed repeat beyond its idempotency window", keyed, func(c *Checker) { c.Sent(0, 0, 1, a1); c.Sent(11*second, 0, 1, a2); c.ClientLeft(2, 0, 1) }, NoRepeat},
		{"keyed, never ran", keyed, func(c *Checker) {
			c.Sent(0, 0, 1, a1)
			c.Ended(1, 0, 1, 0, true)
			c.Sent(2, 0, 1, b1)
			c.Answered(3, 0, 1, Failed, 0)
		}, ""},
		{"keyed called retryable", keyed, func(c *Checker) { c.Sent(0, 0, 1, a1); c.Ended(1, 0, 1, 0, false); c.Answered(3, 0, 1, Shed, 0) }, NoRepeat},
		{"unsafe repeat", unsafe, func(c *Checker) { c.Sent(0, 0, 1, a1); c.Sent(1, 0, 1, a2); c.Answered(2, 0, 1, Failed, 0) }, NoRepeat},
		{"within the grace", safe, func(c *Checker) { c.EndpointUpdated(0, 0, 1, false); c.Sent(second, 0, 1, a1); c.ClientLeft(1, 0, 1) }, ""},
		{"after the grace", safe, func(c *Checker) { c.EndpointUpdated(0, 0, 1, false); c.Sent(second+1, 0, 1, a1); c.ClientLeft(1, 0, 1) }, Drained},
		{"drain reported again", safe, func(c *Checker) {
			c.EndpointUpdated(0, 0, 1, false)
			c.EndpointUpdated(second, 0, 1, false)
			c.Sent(second+1, 0, 1, a1)
			c.ClientLeft(1, 0, 1)
		}, Drained},
		{"ready again", safe, func(c *Checker) {
			c.EndpointUpdated(0, 0, 1, false)
			c.EndpointUpdated(1, 0, 1, true)
			c.Sent(2*second, 0, 1, a1)
			c.ClientLeft(1, 0, 1)
		}, ""},
		{"another proxy knows of the drain", safe, func(c *Checker) { c.EndpointUpdated(0, 1, 1, false); c.Sent(2*second, 0, 1, a1); c.ClientLeft(1, 0, 1) }, ""},
		{"overloaded while warming up", safe, func(c *Checker) { c.EndpointOverloaded(0, "a1", 3, 2); c.ClientLeft(1, 0, 1) }, Overloaded},
		{"answer of another endpoint", safe, func(c *Checker) { c.Sent(0, 0, 1, a1); c.Answered(1, 0, 1, Served, 3) }, Foreign},
		{"corrupt answer", safe, func(c *Checker) { c.ServedCorrupt(0, 0, 1, "noise"); c.ClientLeft(1, 0, 1) }, Foreign},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newChecker()
			c.Accepted(0, 0, 1, tc.class, second)
			tc.do(c)
			kept, counts := c.Finish(time.Minute)
			if tc.want == "" && len(kept) > 0 {
				t.Fatalf("none is violated, found %v", kept)
			}
			if tc.want != "" && (counts[tc.want] != 1 || len(kept) != 1) {
				t.Fatalf("want %s once, found %v", tc.want, kept)
			}
		})
	}
}

func TestEvidenceIsBoundedAndNamesTheEndpoint(t *testing.T) {
	c := newChecker()
	for range 3 * maxKept {
		c.EndpointOverloaded(0, "a1", 3, 2)
	}
	kept, counts := c.Finish(0)
	if len(kept) != maxKept || counts[Overloaded] != 3*maxKept {
		t.Errorf("kept %d, counted %d", len(kept), counts[Overloaded])
	}
	if !strings.Contains(kept[0].Evidence, "a1") {
		t.Errorf("the evidence %q names nobody", kept[0].Evidence)
	}
}
