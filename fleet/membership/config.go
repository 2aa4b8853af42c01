package membership

import "time"

// Config configures a List.
type Config struct {
	Name  string
	Epoch uint64 // greater than that of any earlier start; 0 is not allowed
	Seed  uint64 // of the random numbers
	Tags  Tags
	Seeds []string // addresses where a member may be found

	ProbeInterval        time.Duration // between probes, in good health
	ProbeTimeout         time.Duration // shortest wait for an ack before indirect probes
	MaxMembers           int           // members that are kept track of
	GossipBytesPerSecond int           // bytes of updates that may be sent a second
	IndirectProbes       int           // members that are asked to probe one that does not answer
}

// Defaults of a Config. With 1,000 members one that dies is pinged within 4.6
// intervals in 99 of 100 cases, and all members are to know of it within 3 s.
const (
	DefaultProbeInterval        = 200 * time.Millisecond
	DefaultProbeTimeout         = 60 * time.Millisecond
	DefaultMaxMembers           = 8192
	DefaultGossipBytesPerSecond = 1200
	DefaultIndirectProbes       = 4
)

// complete sets what is missing to the defaults.
func (c *Config) complete() {
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
