package scenario

import (
	"time"

	badnet "ryerill/lab/faultnet"
)

// The kinds of fault. Factor, Count, Tenant and Link are fields of Fault.
const (
	Slow            = "slow"      // endpoints run Factor times slower
	Silent          = "silent"    // machines go silent, and restart cold
	Hang            = "hang"      // endpoints accept work and answer nothing
	Burst           = "burst"     // the rate is multiplied by Factor
	Release         = "release"   // endpoints are replaced one after another, with drains
	Replace         = "replace"   // endpoints end, and others start at their addresses under new names
	Restart         = "restart"   // proxies of the first tier restart
	Corrupt         = "spoil"     // Factor is the part of an endpoint's answers that are corrupt
	DiscoverySilent = "directory" // the discovery service answers nothing
	ZoneLoss        = "zone-loss" // a zone's machines go silent
	Reload          = "reload"    // proxies load Count new configurations; sockets only
	Err             = "err"       // Factor is the part of requests that endpoints answer with an error at once
	Heavy           = "heavy"     // requests of Tenant are Factor times as much work

	// Between proxies that share state, in virtual time only. Fraction is that of the proxies, from the first one on.
	Cut    = "cut"     // they are partitioned from all others, and from each other
	OneWay = "one-way" // no other receives what they send
	Split  = "split"   // they are partitioned from the others, but not from each other
	Lossy  = "lossy"   // every connection between proxies behaves as Link states
)

// Kinds lists the kinds of fault.
var Kinds = []string{
	Slow, Silent, Hang, Burst, Release, Replace, Restart, Corrupt, DiscoverySilent, ZoneLoss, Reload, Err, Heavy,
	Cut, OneWay, Split, Lossy,
}

// Fault is something that goes wrong for a time.
type Fault struct {
	//nolint:lll // a struct tag is one line by the language
	Kind     string        `yaml:"kind" json:"kind" jsonschema:"enum=slow,enum=silent,enum=hang,enum=burst,enum=release,enum=replace,enum=restart,enum=spoil,enum=directory,enum=zone-loss,enum=reload,enum=err,enum=heavy,enum=cut,enum=one-way,enum=split,enum=lossy"`
	At       time.Duration `yaml:"at" json:"at"`
	For      time.Duration `yaml:"for" json:"for,omitempty"`
	Tier     string        `yaml:"tier" json:"tier,omitempty" jsonschema_description:"default: the first; for slow with part 1 'all' is every tier"`
	Fraction float64       `yaml:"part" json:"part,omitempty" jsonschema_description:"part of the tier's machines, one at least; default 0.1"`
	Factor   float64       `yaml:"factor" json:"factor,omitempty"`
	Zone     string        `yaml:"zone" json:"zone,omitempty"`
	Tenant   string        `yaml:"tenant" json:"tenant,omitempty" jsonschema_description:"heavy: whose requests"`
	Count    int           `yaml:"count" json:"count,omitempty" jsonschema_description:"reload: how many, evenly over the time"`
	Drain    time.Duration `yaml:"drain" json:"drain,omitempty" jsonschema_description:"release: how long each drains; default 4s"`
	Link     badnet.Link   `yaml:"link" json:"link,omitempty" jsonschema_description:"lossy: drop, duplicate, corrupt, reorder, delay, jitter, bytes_per_s"`
	Pause    time.Duration `yaml:"pause" json:"pause,omitempty" jsonschema_description:"release, restart: until the next process runs; default 500ms"`
}

// BetweenProxies reports whether a fault is one of the network between proxies.
func (f *Fault) BetweenProxies() bool {
	return f.Kind == Cut || f.Kind == OneWay || f.Kind == Split || f.Kind == Lossy
}

// hasLength reports whether a fault lasts for the time that it states. Others end by themselves.
func (f *Fault) hasLength() bool {
	return f.Kind != Release && f.Kind != Restart && f.Kind != Replace
}
