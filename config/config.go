// Package config is the one place where a proxy's configuration is read,
// checked and given defaults. Its errors name the faulty key and its value.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"ryerill/discovery"
	"ryerill/route"
)

// The environment variables that a proxy reads. What they set goes before what
// the file says.
const (
	EnvFile      = "ROUTER_CONFIG"
	EnvName      = "ROUTER_NAME"
	EnvListen    = "ROUTER_LISTEN"
	EnvDiscovery = "ROUTER_DISCOVERY"
	EnvAdmin     = "ROUTER_MGMT"
	EnvTempDir   = "TMPDIR"
)

// Defaults of what a configuration may leave out.
const (
	defaultCores     = 1.0
	defaultMemoryMB  = 192
	defaultSockets   = 1024
	leastSockets     = 64
	leastMemoryMB    = 16
	defaultIdleClose = 5 * time.Second
	defaultConnect   = 100 * time.Millisecond
	defaultSlack     = 20 * time.Millisecond
)

// Config is all that a proxy is told at its start, whatever form it was written in.
type Config struct {
	Name      string
	Seed      uint64
	Limits    Limits
	Admin     string // address of the operators' door; empty is none
	SharedDir string // directory that the processes of this proxy share; empty is none
	Listeners []Listener
	Routes    []Route
	Pools     []Pool
	Fleet     *Fleet // nil is none: the proxy speaks to no other
	Text      []byte // as it was read, where it is a file of [File]'s form
}

// Listener is an address for consumers.
type Listener struct {
	Name    string
	Address string
}

// Route sends requests to a pool.
type Route struct {
	route.Rule
	Class string // of its requests, where they state none
}

// Pool is a set of providers with all that belongs to it.
type Pool struct {
	Name           string
	Discovery      string                 // address of the directory; empty is none, and Known is the whole list
	KnownEndpoints discovery.EndpointList // the providers as last heard of, perhaps long ago
	Settings       Settings
	Guarantee      Shares
	Weight         float64
	Drain          time.Duration // how long it may finish its calls once a reload has taken it away

	// PaysDirectory says that the connection to the directory is one of the pool's
	// sockets. In the platform's form the spare ones hold it.
	CountsDiscoverySocket bool
}

// AddressError says that an address that the configuration names can't be used.
type AddressError struct {
	Key, Value string
	Err        error
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("%s: %q can't be listened at: %v; name an address of this machine that is free", e.Key, e.Value, e.Err)
}

func (e *AddressError) Unwrap() error { return e.Err }

// Limits is what the machine allows the program.
type Limits struct {
	Cores   float64
	Memory  int64 // bytes
	Sockets int
	Work    int // a second, divided among pools; 0 is not
}

// Load reads the configuration that the environment names: the platform's JSON,
// or a file as [File] has it. It returns warnings too, which are no reason to
// refuse it.
func Load(getenv func(string) string) (Config, []string, error) { return load(getenv, false) }

// Reload reads the configuration anew while a proxy runs. The environment is
// still that of the start and cannot follow the file: in the platform's form a
// directory that the file names goes before it now.
func Reload(getenv func(string) string) (Config, []string, error) { return load(getenv, true) }

func load(getenv func(string) string, again bool) (Config, []string, error) {
	file := getenv(EnvFile)
	if file == "" {
		return Config{}, nil, fmt.Errorf("%s: not set", EnvFile)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return Config{}, nil, fmt.Errorf("%s: %w", EnvFile, err)
	}
	if !Platform(text) {
		return ParseFile(file, text, getenv)
	}
	cfg, err := parse(text, getenv, again)
	return cfg, nil, err
}

// Platform tells whether a text is the platform's JSON: an object that begins
// as JSON does and has no pools.
func Platform(text []byte) bool {
	if trimmed := bytes.TrimSpace(text); len(trimmed) > 0 && trimmed[0] != '{' {
		return false
	}
	var keys map[string]json.RawMessage
	if json.Unmarshal(text, &keys) != nil {
		return true // told as what it seems to be
	}
	_, pools := keys["pools"]
	return !pools
}

// Parse reads a configuration in the platform's JSON and the environment. It
// becomes one listener, one route that meets everything, and one pool.
func Parse(text []byte, getenv func(string) string) (Config, error) {
	return parse(text, getenv, false)
}

func parse(text []byte, getenv func(string) string, again bool) (Config, error) {
	var file struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Mgmt      string `json:"mgmt"`
		Seed      string `json:"seed"`
		Limits    struct {
			Cores    *float64 `json:"cores"`
			MemoryMB *float64 `json:"memory_mb"`
			Sockets  *int     `json:"sockets"`
		} `json:"limits"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
		Fleet    json.RawMessage `json:"fleet"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return Config{}, fmt.Errorf("%s: unexpected value of type %s", wrong.Field, wrong.Value)
		}
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	pool := Pool{Name: only, Discovery: orElse(getenv(EnvDiscovery), file.Discovery), Weight: 1}
	if again {
		pool.Discovery = orElse(file.Discovery, pool.Discovery)
	}
	cfg := Config{Name: orElse(getenv(EnvName), file.Name), Admin: orElse(getenv(EnvAdmin), file.Mgmt), SharedDir: getenv(EnvTempDir),
		Listeners: []Listener{{Name: only, Address: orElse(getenv(EnvListen), file.Listen)}},
		Routes:    []Route{{Rule: route.Rule{Name: only, Pool: only}}}}
	var problems []error
	bad := func(key string, value any, want string) {
		problems = append(problems, fmt.Errorf("%s: unexpected value %q, want %s", key, fmt.Sprint(value), want))
	}
	address := func(key, value string) {
		if _, err := netip.ParseAddrPort(value); err != nil {
			bad(key, value, "an IP address and a port")
		}
	}
	address("listen", cfg.Listeners[0].Address)
	address("discovery", pool.Discovery)
	if cfg.Admin != "" {
		address("mgmt", cfg.Admin)
	}
	if len(file.Fleet) > 0 && string(file.Fleet) != "null" {
		problems = append(problems, errors.New("fleet, setting Limits.Peers: the platform's form has no fleet: its proxies don't speak to each other; "+
			"take fleet out, or write the configuration in YAML (proxy config convert) where limits.peers does not forbid it"))
	}
	var err error
	if cfg.Seed, err = parseSeed(file.Seed); err != nil {
		bad("seed", file.Seed, "at most 16 hexadecimal digits")
	}
	cores, memory := valueOr(file.Limits.Cores, defaultCores), valueOr(file.Limits.MemoryMB, defaultMemoryMB)
	if !(cores > 0 && cores <= 1024) {
		bad("limits.cores", cores, "a number above 0")
	}
	if !(memory >= leastMemoryMB && memory < 1<<30) {
		bad("limits.memory_mb", memory, fmt.Sprintf("%d or more", leastMemoryMB))
	}
	cfg.Limits = Limits{Cores: cores, Memory: int64(memory * (1 << 20)), Sockets: valueOr(file.Limits.Sockets, defaultSockets)}
	if least := leastSocketsWith(cfg.Admin, false); cfg.Limits.Sockets < least {
		bad("limits.sockets", cfg.Limits.Sockets, fmt.Sprintf("%d or more", least))
	}
	if len(file.Known) > 0 && string(file.Known) != "null" {
		if pool.KnownEndpoints, err = discovery.Parse(file.Known); err != nil {
			problems = append(problems, fmt.Errorf("known: %w", err))
		}
	}
	if len(file.Settings) == 0 {
		problems = append(problems, errors.New("settings: missing"))
	} else if pool.Settings, err = SettingsFromJSON(file.Settings); err != nil {
		problems = append(problems, err)
	} else {
		pool.Settings.complete(bad)
		// On sockets a list that nobody pushes has to be asked for, also where nothing is stated.
		pool.Settings.Balancer.Subscribe = !pool.Settings.PushedDiscovery
	}
	for _, c := range pool.Settings.Balancer.Classes {
		pool.Drain = max(pool.Drain, c.Deadline+time.Second)
	}
	cfg.Pools = []Pool{pool}
	return cfg, errors.Join(problems...)
}

// leastSocketsWith is the least number of descriptors that leaves room to serve.
func leastSocketsWith(mgmt string, fleet bool) int {
	return leastSockets - sparedAlways + spareSockets(mgmt, fleet)
}

// LimitSockets lowers the descriptors to what the process may hold. It returns how many
// it needs at least if these are too few, else 0.
func (c *Config) LimitSockets(descriptors int) (least int) {
	c.Limits.Sockets = min(c.Limits.Sockets, descriptors)
	if least = leastSocketsWith(c.Admin, c.Fleet != nil); c.Limits.Sockets < least {
		return least
	}
	return 0
}

// only names the one listener, route and pool of the platform's form.
const only = "main"

func parseSeed(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 16, 64)
}

// complete checks what the settings say and fills in what they leave out.
func (s *Settings) complete(bad func(key string, value any, want string)) {
	b := &s.Balancer
	if len(b.Classes) == 0 {
		bad("setting Classes", "", "one class or more")
	}
	for i, c := range b.Classes {
		at := "setting Classes." + strconv.Itoa(i)
		if c.Name == "" {
			bad(at+".Name", c.Name, "a name")
		}
		if c.Deadline <= 0 {
			bad(at+".Deadline", c.Deadline, "a time above 0")
		}
	}
	if b.Tier < 0 || b.Tiers > 0 && b.Tier >= b.Tiers {
		bad("setting Tier", b.Tier, "an index in Tiers")
	}
	if b.Zone < 0 || len(s.Zones) > 0 && b.Zone >= len(s.Zones) {
		bad("setting Zone", b.Zone, "an index in Areas")
	}
	if b.ReplicaIndex < 0 || b.ReplicaCount < 0 || b.ReplicaCount > 0 && b.ReplicaIndex >= b.ReplicaCount {
		bad("setting Me", b.ReplicaIndex, "a number below GroupSize")
	}
	for _, d := range []struct {
		key   string
		value *time.Duration
		other time.Duration
	}{
		{"setting Limits.IdleClose", &s.IdleClose, defaultIdleClose},
		{"setting Limits.ConnectTimeout", &b.Limits.ConnectTimeout, defaultConnect},
		{"setting Contract.AnswerSlack", &b.Contract.AnswerSlack, defaultSlack},
	} {
		if *d.value < 0 {
			bad(d.key, *d.value, "a time")
		}
		if *d.value == 0 {
			*d.value = d.other
		}
	}
}

func orElse(value, other string) string {
	if value == "" {
		return other
	}
	return value
}

func valueOr[T any](value *T, other T) T {
	if value == nil {
		return other
	}
	return *value
}
