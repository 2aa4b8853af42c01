package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"ryerill/discovery"
	"ryerill/internal/yamlfile"
	"ryerill/route"
)

// platformName is the name of the only listener, route and pool of the platform's form.
const platformName = "main"

// precedence selects the discovery address if both the environment and the file state one.
type precedence uint8

const (
	environmentFirst precedence = iota
	fileFirst
)

// platformFile is a configuration in the platform's JSON.
type platformFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Mgmt      string          `json:"mgmt"`
	Seed      string          `json:"seed"`
	Limits    platformLimits  `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
	Fleet     json.RawMessage `json:"fleet"`
}

type platformLimits struct {
	Cores    *float64 `json:"cores"`
	MemoryMB *float64 `json:"memory_mb"`
	Sockets  *int     `json:"sockets"`
}

// IsPlatformForm reports whether a text is in the platform's JSON: an object without the key pools. Invalid JSON
// counts if it begins with a brace or is empty.
func IsPlatformForm(text []byte) bool {
	trimmed := bytes.TrimSpace(text)
	if len(trimmed) > 0 && trimmed[0] != '{' {
		return false
	}
	var keys map[string]json.RawMessage
	if json.Unmarshal(text, &keys) != nil {
		return true // the text is then reported as invalid JSON
	}
	_, hasPools := keys["pools"]
	return !hasPools
}

// ParsePlatform reads a configuration from the platform's JSON and the environment. The result has one listener, one
// route that matches everything, and one pool.
func ParsePlatform(text []byte, getenv func(string) string) (Config, error) {
	return parsePlatform(text, getenv, environmentFirst)
}

func parsePlatform(text []byte, getenv func(string) string, discoveryPrecedence precedence) (Config, error) {
	var file platformFile
	if err := json.Unmarshal(text, &file); err != nil {
		var wrongType *json.UnmarshalTypeError
		if errors.As(err, &wrongType) {
			return Config{}, fmt.Errorf("%s: unexpected value of type %s", wrongType.Field, wrongType.Value)
		}
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	pool := Pool{Name: platformName, Weight: 1}
	if discoveryPrecedence == fileFirst {
		pool.Discovery = firstNonEmpty(file.Discovery, getenv(EnvDiscovery))
	} else {
		pool.Discovery = firstNonEmpty(getenv(EnvDiscovery), file.Discovery)
	}
	cfg := Config{
		Name:      firstNonEmpty(getenv(EnvName), file.Name),
		Admin:     firstNonEmpty(getenv(EnvAdmin), file.Mgmt),
		SharedDir: getenv(EnvTempDir),
		Listeners: []Listener{{Name: platformName, Address: firstNonEmpty(getenv(EnvListen), file.Listen)}},
		Routes:    []Route{{Rule: route.Rule{Name: platformName, Pool: platformName}}},
	}
	c := &platformChecker{}
	c.address("listen", cfg.Listeners[0].Address)
	c.address("discovery", pool.Discovery)
	if cfg.Admin != "" {
		c.address("mgmt", cfg.Admin)
	}
	if isStated(file.Fleet) {
		c.fault(errors.New("fleet, setting Limits.Peers: the platform's form has no fleet: " +
			"its proxies don't speak to each other; take fleet out, or write the configuration in YAML " +
			"(proxy config convert) where limits.peers does not forbid it"))
	}
	seed, err := parseSeed(file.Seed)
	if err != nil {
		c.bad("seed", file.Seed, "at most 16 hexadecimal digits")
	}
	cfg.Seed = seed
	cfg.Limits = file.Limits.build(cfg.Admin, c)
	if isStated(file.Known) {
		if pool.KnownEndpoints, err = discovery.Parse(file.Known); err != nil {
			c.fault(fmt.Errorf("known: %w", err))
		}
	}
	pool.Settings = file.buildSettings(c)
	for _, class := range pool.Settings.Balancer.Classes {
		pool.Drain = max(pool.Drain, class.Deadline+drainMargin)
	}
	cfg.Pools = []Pool{pool}
	return cfg, errors.Join(c.faults...)
}

// isStated reports whether a key of the file has a value.
func isStated(text json.RawMessage) bool { return len(text) > 0 && string(text) != "null" }

// platformChecker collects the faults of a configuration in the platform's form.
type platformChecker struct{ faults []error }

func (c *platformChecker) fault(err error) { c.faults = append(c.faults, err) }

func (c *platformChecker) bad(key string, value any, want string) {
	c.fault(yamlfile.Problem{Key: key, Value: value, Want: want})
}

func (c *platformChecker) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.bad(key, value, "an IP address and a port")
	}
}

func (l *platformLimits) build(adminAddress string, c *platformChecker) Limits {
	cores := valueOr(l.Cores, defaultCores)
	memoryMB := valueOr(l.MemoryMB, defaultMemoryMB)
	sockets := valueOr(l.Sockets, defaultSockets)
	if !(cores > 0 && cores <= maxCores) { // NaN is refused too
		c.bad("limits.cores", cores, "a number above 0")
	}
	if !(memoryMB >= minMemoryMB && memoryMB < maxMemoryMB) { // NaN is refused too
		c.bad("limits.memory_mb", memoryMB, fmt.Sprintf("%d or more", minMemoryMB))
	}
	if required := requiredSockets(adminAddress, false); sockets < required {
		c.bad("limits.sockets", sockets, fmt.Sprintf("%d or more", required))
	}
	return Limits{Cores: cores, Memory: int64(memoryMB * (1 << 20)), Sockets: sockets}
}

// buildSettings reads the settings of the only pool. After a fault it returns the settings read so far.
func (f *platformFile) buildSettings(c *platformChecker) Settings {
	if len(f.Settings) == 0 {
		c.fault(errors.New("settings: missing"))
		return Settings{}
	}
	settings, err := SettingsFromJSON(f.Settings)
	if err != nil {
		c.fault(err)
		return settings
	}
	settings.check(c)
	settings.complete()
	// The proxy must subscribe to a list unless an agent pushes it, even if the settings do not state that.
	settings.Balancer.Subscribe = !settings.PushedDiscovery
	return settings
}

// check records invalid settings.
func (s *Settings) check(c *platformChecker) {
	b := &s.Balancer
	if len(b.Classes) == 0 {
		c.bad("setting Classes", "", "one class or more")
	}
	for i, class := range b.Classes {
		key := "setting Classes." + strconv.Itoa(i)
		if class.Name == "" {
			c.bad(key+".Name", class.Name, "a name")
		}
		if class.Deadline <= 0 {
			c.bad(key+".Deadline", class.Deadline, "a time above 0")
		}
	}
	if b.Tier < 0 || b.Tiers > 0 && b.Tier >= b.Tiers {
		c.bad("setting Tier", b.Tier, "an index in Tiers")
	}
	if b.Zone < 0 || len(s.Zones) > 0 && b.Zone >= len(s.Zones) {
		c.bad("setting Zone", b.Zone, "an index in Areas")
	}
	if b.ReplicaIndex < 0 || b.ReplicaCount < 0 || b.ReplicaCount > 0 && b.ReplicaIndex >= b.ReplicaCount {
		c.bad("setting Me", b.ReplicaIndex, "a number below GroupSize")
	}
	for _, stated := range []struct {
		key   string
		value time.Duration
	}{
		{"setting Limits.IdleClose", s.IdleClose},
		{"setting Limits.ConnectTimeout", b.Limits.ConnectTimeout},
		{"setting Contract.AnswerSlack", b.Contract.AnswerSlack},
	} {
		if stated.value < 0 {
			c.bad(stated.key, stated.value, "a time")
		}
	}
}

// complete fills in the defaults of settings that a host on sockets needs.
func (s *Settings) complete() {
	setDefault(&s.IdleClose, defaultIdleClose)
	setDefault(&s.Balancer.Limits.ConnectTimeout, defaultConnectTimeout)
	setDefault(&s.Balancer.Contract.AnswerSlack, defaultAnswerSlack)
}

// valueOr returns the value of a pointer, or other if it is nil.
func valueOr[T any](value *T, other T) T {
	if value == nil {
		return other
	}
	return *value
}
