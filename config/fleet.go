package config

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"time"

	"ryerill/fleet"
	"ryerill/fleet/codec"
	"ryerill/fleet/membership"
)

// FleetFile switches the fleet on: what this proxy and its copies tell each other.
type FleetFile struct {
	Name             string            `yaml:"name" json:"name" jsonschema_description:"of the fleet; proxies of another one are not heard"`
	Listen           string            `yaml:"listen" json:"listen" jsonschema_description:"IP and port, for UDP and TCP"`
	Advertise        string            `yaml:"advertise,omitempty" json:"advertise,omitempty" jsonschema_description:"where the others reach this proxy; default listen"`
	Seeds            []string          `yaml:"seeds,omitempty" json:"seeds,omitempty" jsonschema_description:"addresses of others, as in 10.0.0.4:7946; one that is up is enough"`
	AddressOverrides map[string]string `yaml:"via,omitempty" json:"via,omitempty" jsonschema_description:"by name of a proxy, the address by which this one reaches it, where it differs from what that one says"`
	KeyFile          string            `yaml:"key_file" json:"key_file" jsonschema_description:"a key a line, of 16 characters or more: the first signs, two may be valid at once; proxy fleet key makes one"`
	StateFile        string            `yaml:"remember,omitempty" json:"remember,omitempty" jsonschema_description:"file that keeps the others' addresses over a restart; default none"`
	Zone             string            `yaml:"zone,omitempty" json:"zone,omitempty" jsonschema_description:"of this proxy; default that of its first pool"`
	Period           time.Duration     `yaml:"period,omitempty" json:"period,omitempty" jsonschema_description:"between probes, 50ms to 10s; default 200ms"`
	Sharing          *SharingFile      `yaml:"share,omitempty" json:"share,omitempty" jsonschema_description:"what the copies share beyond who is there; default nothing"`
	BytesPerSecond   int               `yaml:"bytes_per_s,omitempty" json:"bytes_per_s,omitempty" jsonschema_description:"of news beside probes; default 1200"`
}

// SharingFile says what copies share.
type SharingFile struct {
	Quotas         bool `yaml:"quotas,omitempty" json:"quotas,omitempty" jsonschema_description:"what one copy does not need of a tenant's quota another may use"`
	Counters       bool `yaml:"counts,omitempty" json:"counts,omitempty" jsonschema_description:"arrivals, calls in flight and how requests ended are counted over all copies"`
	Evidence       bool `yaml:"verdicts,omitempty" json:"verdicts,omitempty" jsonschema_description:"copies tell each other which providers fail, hang or are slow"`
	BytesPerSecond int  `yaml:"bytes_per_s,omitempty" json:"bytes_per_s,omitempty" jsonschema_description:"that a copy sends of it; default 1500"`
}

// Fleet is what the fleet's host is told.
type Fleet struct {
	fleet.Config
	KeyFile string
}

const (
	fleetDescriptors = fleet.Descriptors
	mostKeyFile      = 4 << 10
	mostFleetSeeds   = 64
)

// ReadKeys reads a key file: a key a line, the one that signs first. Empty lines
// and those that begin with # are passed over.
func ReadKeys(file string) (keys [][]byte, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if len(text) > mostKeyFile {
		return nil, fmt.Errorf("%d bytes, and %d are the most", len(text), mostKeyFile)
	}
	for line := range bytes.Lines(text) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != '#' {
			keys = append(keys, line)
		}
	}
	if _, err := codec.New("", keys); err != nil { // as the fleet would
		return nil, err
	}
	return keys, nil
}

// fleet checks the fleet's block and turns it into what its host is told.
func (f *File) fleet(cfg *Config, c *checker) {
	if f.Fleet == nil {
		return
	}
	for i, p := range f.Pools {
		if p.Limits.Peers != nil && !*p.Limits.Peers {
			c.bad(fmt.Sprintf("pools[%d].limits.peers", i), false, "true or nothing beside fleet: proxies that must not speak to each other are in none; take fleet or limits.peers out")
		}
	}
	b := f.Fleet
	if b.Name == "" || len(b.Name) > membership.MaxName {
		c.bad("fleet.name", b.Name, fmt.Sprintf("a name of at most %d bytes", membership.MaxName))
	}
	if f.Name == "" || len(f.Name) > membership.MaxName {
		c.bad("name", f.Name, fmt.Sprintf("a name of at most %d bytes that no other proxy of the fleet has", membership.MaxName))
	}
	c.address("fleet.listen", b.Listen)
	if b.Advertise != "" {
		c.address("fleet.advertise", b.Advertise)
	}
	if len(b.Seeds) > mostFleetSeeds {
		c.bad("fleet.seeds", len(b.Seeds), fmt.Sprintf("at most %d addresses", mostFleetSeeds))
	}
	for i, s := range b.Seeds {
		c.address(fmt.Sprintf("fleet.seeds[%d]", i), s)
	}
	for _, name := range sortedKeys(b.AddressOverrides) {
		c.address("fleet.via."+name, b.AddressOverrides[name])
	}
	if b.Period != 0 {
		c.span("fleet.period", b.Period, 50*time.Millisecond, 10*time.Second)
	}
	if b.BytesPerSecond != 0 {
		c.number("fleet.bytes_per_s", float64(b.BytesPerSecond), 100, 1e7)
	}
	keys, err := ReadKeys(b.KeyFile)
	if err != nil {
		c.bad("fleet.key_file", b.KeyFile, "a file of one key a line, each of 16 characters or more, as proxy fleet key makes them: "+err.Error())
	}
	var pools []string
	copies := map[string]int{}
	zone := b.Zone
	for _, p := range f.Pools {
		pools = append(pools, p.Name)
		copies[p.Name] = p.ReplicaCount
		if zone == "" {
			zone = p.Zone
		}
	}
	slices.Sort(pools)
	if !membership.PoolsFit(pools) {
		c.bad("fleet", len(pools), fmt.Sprintf("at most %d pools beside it, with %d bytes of names: each copy tells which it has", membership.MaxPools, membership.MaxPoolBytes))
	}
	tier := 0
	if len(f.Pools) > 0 {
		tier = f.Pools[0].Tier
	}
	var share *fleet.SharingConfig
	if sh := b.Sharing; sh != nil {
		if share = (*fleet.SharingConfig)(sh); !sh.Quotas && !sh.Counters && !sh.Evidence {
			c.bad("fleet.share", "nothing", "quotas, counts or verdicts to be true, or no share block")
		}
		if sh.BytesPerSecond != 0 {
			c.number("fleet.share.bytes_per_s", float64(sh.BytesPerSecond), 200, 1e7)
		}
	}
	cfg.Fleet = &Fleet{KeyFile: b.KeyFile, Config: fleet.Config{Name: f.Name, Fleet: b.Name, Listen: b.Listen, Advertise: b.Advertise, Seeds: b.Seeds, AddressOverrides: b.AddressOverrides,
		Keys: keys, StateFile: b.StateFile, ReplicaCounts: copies, Zone: zone, Tier: tier, Pools: pools, Seed: cfg.Seed, Period: b.Period, BytesPerSecond: b.BytesPerSecond, Sharing: share}}
}
