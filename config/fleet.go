package config

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"

	"ryerill/fleet"
	"ryerill/fleet/codec"
	"ryerill/fleet/membership"
	"ryerill/internal/atomicfile"
)

// FleetFile enables the fleet: the proxies that exchange membership, and other state as configured, with this one.
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

// SharingFile selects the state that replicas share in addition to membership.
type SharingFile struct {
	Quotas         bool `yaml:"quotas,omitempty" json:"quotas,omitempty" jsonschema_description:"what one copy does not need of a tenant's quota another may use"`
	Counters       bool `yaml:"counts,omitempty" json:"counts,omitempty" jsonschema_description:"arrivals, calls in flight and how requests ended are counted over all copies"`
	Evidence       bool `yaml:"verdicts,omitempty" json:"verdicts,omitempty" jsonschema_description:"copies tell each other which providers fail, hang or are slow"`
	BytesPerSecond int  `yaml:"bytes_per_s,omitempty" json:"bytes_per_s,omitempty" jsonschema_description:"that a copy sends of it; default 1500"`
}

// Fleet is the configuration of the fleet's host, with the file of its keys.
type Fleet struct {
	fleet.Config
	KeyFile string
}

const (
	fleetDescriptors = fleet.Descriptors

	maxKeyFileBytes = 4 << 10
	maxSeeds        = 64

	minProbeInterval = 50 * time.Millisecond
	maxProbeInterval = 10 * time.Second

	minGossipBytesPerSecond  = 100
	minSharingBytesPerSecond = 200
	maxBytesPerSecond        = 1e7
)

// ReadKeys reads a key file: one key per line, the signing key first. Empty lines and lines that begin with # are
// skipped.
func ReadKeys(file string) (keys [][]byte, err error) {
	text, err := atomicfile.Read(file)
	if err != nil {
		return nil, err
	}
	if len(text) > maxKeyFileBytes {
		return nil, fmt.Errorf("%d bytes, and %d are the most", len(text), maxKeyFileBytes)
	}
	for line := range bytes.Lines(text) {
		line = bytes.TrimSpace(line)
		if len(line) > 0 && line[0] != '#' {
			keys = append(keys, line)
		}
	}
	if _, err := codec.New("", keys); err != nil { // applies the checks of the codec that uses the keys
		return nil, err
	}
	return keys, nil
}

// buildFleet checks the fleet block and adds the configuration of the fleet's host.
func (f *File) buildFleet(cfg *Config, c *checker) {
	if f.Fleet == nil {
		return
	}
	f.checkFleetNames(c)
	f.Fleet.checkAddresses(c)
	f.Fleet.checkRates(c)
	keys, err := ReadKeys(f.Fleet.KeyFile)
	if err != nil {
		c.Bad("fleet.key_file", f.Fleet.KeyFile,
			"a file of one key a line, each of 16 characters or more, as proxy fleet key makes them: "+err.Error())
	}
	host := fleet.Config{
		Name:             f.Name,
		Fleet:            f.Fleet.Name,
		Listen:           f.Fleet.Listen,
		Advertise:        f.Fleet.Advertise,
		Seeds:            f.Fleet.Seeds,
		AddressOverrides: f.Fleet.AddressOverrides,
		Keys:             keys,
		StateFile:        f.Fleet.StateFile,
		ReplicaCounts:    map[string]int{},
		Zone:             f.Fleet.Zone,
		Seed:             cfg.Seed,
		Period:           f.Fleet.Period,
		BytesPerSecond:   f.Fleet.BytesPerSecond,
	}
	for _, pool := range f.Pools {
		host.Pools = append(host.Pools, pool.Name)
		host.ReplicaCounts[pool.Name] = pool.ReplicaCount
		setDefault(&host.Zone, pool.Zone)
	}
	slices.Sort(host.Pools)
	if !membership.PoolsFit(host.Pools) {
		c.Bad("fleet", len(host.Pools), fmt.Sprintf(
			"at most %d pools beside it, with %d bytes of names: each copy tells which it has",
			membership.MaxPools, membership.MaxPoolBytes))
	}
	if len(f.Pools) > 0 {
		host.Tier = f.Pools[0].Tier
	}
	host.Sharing = f.Fleet.Sharing.build(c)
	cfg.Fleet = &Fleet{KeyFile: f.Fleet.KeyFile, Config: host}
}

func (f *File) checkFleetNames(c *checker) {
	for i, pool := range f.Pools {
		if pool.Limits.Peers != nil && !*pool.Limits.Peers {
			c.Bad(fmt.Sprintf("pools[%d].limits.peers", i), false, "true or nothing beside fleet: "+
				"proxies that must not speak to each other are in none; take fleet or limits.peers out")
		}
	}
	if f.Fleet.Name == "" || len(f.Fleet.Name) > membership.MaxName {
		c.Bad("fleet.name", f.Fleet.Name, fmt.Sprintf("a name of at most %d bytes", membership.MaxName))
	}
	if f.Name == "" || len(f.Name) > membership.MaxName {
		c.Bad("name", f.Name,
			fmt.Sprintf("a name of at most %d bytes that no other proxy of the fleet has", membership.MaxName))
	}
}

func (f *FleetFile) checkAddresses(c *checker) {
	c.address("fleet.listen", f.Listen)
	if f.Advertise != "" {
		c.address("fleet.advertise", f.Advertise)
	}
	if len(f.Seeds) > maxSeeds {
		c.Bad("fleet.seeds", len(f.Seeds), fmt.Sprintf("at most %d addresses", maxSeeds))
	}
	for i, seed := range f.Seeds {
		c.address(fmt.Sprintf("fleet.seeds[%d]", i), seed)
	}
	for _, name := range slices.Sorted(maps.Keys(f.AddressOverrides)) {
		c.address("fleet.via."+name, f.AddressOverrides[name])
	}
}

func (f *FleetFile) checkRates(c *checker) {
	if f.Period != 0 {
		c.Duration("fleet.period", f.Period, minProbeInterval, maxProbeInterval)
	}
	if f.BytesPerSecond != 0 {
		c.Number("fleet.bytes_per_s", float64(f.BytesPerSecond), minGossipBytesPerSecond, maxBytesPerSecond)
	}
}

// build checks the state that replicas share. A nil s shares nothing.
func (s *SharingFile) build(c *checker) *fleet.SharingConfig {
	if s == nil {
		return nil
	}
	if !s.Quotas && !s.Counters && !s.Evidence {
		c.Bad("fleet.share", "nothing", "quotas, counts or verdicts to be true, or no share block")
	}
	if s.BytesPerSecond != 0 {
		c.Number("fleet.share.bytes_per_s", float64(s.BytesPerSecond), minSharingBytesPerSecond, maxBytesPerSecond)
	}
	return (*fleet.SharingConfig)(s)
}
