package membership

import "time"

// Config configures a List.
type Config struct {
	Name  string
	Epoch uint64 // must exceed the epoch of every earlier start; must not be 0
	Seed  uint64 // seeds the random numbers
	Tags  Tags
	Seeds []string // addresses of possible members, to join through

	ProbeInterval        time.Duration // between probes at local health 0
	ProbeTimeout         time.Duration // minimum wait for an ack before indirect probes are requested
	MaxMembers           int           // maximum number of other members tracked
	GossipBytesPerSecond int           // maximum byte rate of updates sent
	IndirectProbes       int           // members asked to probe a member that did not answer
}

// Defaults of a Config. In a fleet of 1,000 members, a member that dies is pinged within
// 4.6 intervals in 99 of 100 cases; the goal is that all members learn of it within 3 s.
const (
	DefaultProbeInterval        = 200 * time.Millisecond
	DefaultProbeTimeout         = 60 * time.Millisecond
	DefaultMaxMembers           = 8192
	DefaultGossipBytesPerSecond = 1200
	DefaultIndirectProbes       = 4
)

// setDefaults replaces unset fields with their defaults and truncates the tags to their bounds.
func (c *Config) setDefaults() {
	setDefault(&c.ProbeInterval, DefaultProbeInterval)
	setDefault(&c.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&c.MaxMembers, DefaultMaxMembers)
	setDefault(&c.GossipBytesPerSecond, DefaultGossipBytesPerSecond)
	setDefault(&c.IndirectProbes, DefaultIndirectProbes)
	c.Tags.Bound()
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
