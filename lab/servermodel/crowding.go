package servermodel

import (
	"time"

	"ryerill/lab/scenario"
)

// never stands for a time at which something begins that has not begun.
const never time.Duration = -1

// crowding slows a server down once too much has waited for its cores for a while, until it has rested.
type crowding struct {
	spec         *scenario.Crowd
	crowdedSince time.Duration // too much waits; never if it does not
	restingSince time.Duration // little waits, while it is slowed down; never if it does not
	slowedSince  time.Duration // it is slowed down; never if it is not
}

func newCrowding(spec *scenario.Crowd) crowding {
	return crowding{spec: spec, crowdedSince: never, restingSince: never, slowedSince: never}
}

func (c *crowding) slowed() bool { return c.slowedSince != never }

// isChanging reports whether it may begin or end with time alone.
func (c *crowding) isChanging() bool { return c.slowed() || c.crowdedSince != never }

// update takes the load, in requests for each core, that a server has from now on.
func (c *crowding) update(now time.Duration, load float64) {
	if c.spec.At == 0 {
		return
	}
	if !c.slowed() {
		trackSince(&c.crowdedSince, now, load > c.spec.At)
		if c.crowdedSince != never && now-c.crowdedSince >= c.spec.After {
			c.slowedSince = now
			c.restingSince = never
		}
		return
	}
	trackSince(&c.restingSince, now, load <= c.spec.Below)
	hasRested := c.restingSince != never && now-c.restingSince >= c.spec.Rest
	if hasRested || now-c.slowedSince >= c.spec.Most {
		c.slowedSince = never
		c.crowdedSince = never
		c.restingSince = never
	}
}

// trackSince keeps since when a condition holds.
func trackSince(since *time.Duration, now time.Duration, holds bool) {
	switch {
	case !holds:
		*since = never
	case *since == never:
		*since = now
	}
}
