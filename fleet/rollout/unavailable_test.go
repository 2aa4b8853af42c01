package rollout

import (
	"strings"
	"testing"
	"time"
)

// The evidence of a blocked plan, and the reason for its expiry, name the replicas that it waits for.
func TestEvidenceNamesUnavailableReplicas(t *testing.T) {
	plan := Plan{Stages: quickPlan.Stages, MaxUnavailable: 2, ExpiresAfter: 30 * time.Second}
	c := newFleet(10, plan)
	c.members[4].up, c.members[7].up = false, false // as many as may be away
	c.step(4 * time.Second)
	c.startPlan(t, 0)
	for range 10 {
		c.step(100 * time.Millisecond)
	}
	const want = "not there or not ready: c04, c07; at most 2 may be away at once"
	if explanation, _ := c.leader().participant.Evidence(); explanation != want {
		t.Errorf("got explanation %q while waiting, want the unavailable replicas", explanation)
	}
	c.until(t, "end", func() bool { return c.members[0].participant.State().Phase == Expired })
	state := c.members[0].participant.State()
	if !strings.HasSuffix(state.Reason, want) || c.countVersion(target) > 0 {
		t.Errorf("got %d changed replicas and reason %q, want 0 and the awaited replicas", c.countVersion(target), state.Reason)
	}
}

func TestEvidenceNamesChangingReplica(t *testing.T) {
	c := newFleet(3, quickPlan)
	c.step(4 * time.Second)
	c.startPlan(t, 0)
	c.until(t, "order", func() bool { return len(c.leader().participant.stages.orderedAt) > 0 })
	want := "waiting for " + c.leader().participant.state.Selected[0]
	if explanation, _ := c.leader().participant.Evidence(); explanation != want {
		t.Errorf("got explanation %q, want %q", explanation, want)
	}
}

func TestListNames(t *testing.T) {
	for want, names := range map[string][]string{
		"a":                        {"a"},
		"a, b, c, d, e":            {"a", "b", "c", "d", "e"},
		"a, b, c, d, e and 2 more": {"a", "b", "c", "d", "e", "f", "g"},
	} {
		if got := listNames(names); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
