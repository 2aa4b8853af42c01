// Package config reads the configuration of a proxy, checks it and fills in defaults. No other package reads it.
// Errors state the key and the value at fault.
package config

import (
	"fmt"
	"strconv"
	"time"

	"ryerill/discovery"
	"ryerill/internal/atomicfile"
	"ryerill/route"
)

// Config is the complete configuration of a proxy, whichever form it was read from.
type Config struct {
	Name      string
	Seed      uint64
	Limits    Limits
	Admin     string // address of the management endpoint; empty if there is none
	SharedDir string // directory that the processes of this proxy share; empty if there is none
	Listeners []Listener
	Routes    []Route
	Pools     []Pool
	Fleet     *Fleet // nil if the proxy is in no fleet and exchanges messages with no other
	Text      []byte // text of the file, if it has [File]'s form
}

// Listener is an address at which the proxy serves clients.
type Listener struct {
	Name    string
	Address string
}

// Route selects the pool of the requests that match it.
type Route struct {
	route.Rule
	Class string // class of the requests that state none
}

// Pool is a set of endpoints with its settings.
type Pool struct {
	Name           string
	Discovery      string                 // address of the discovery service; if empty, KnownEndpoints is the full list
	KnownEndpoints discovery.EndpointList // endpoints at startup; with discovery, possibly long outdated
	Settings       Settings
	Guarantee      Resources     // resources that no other pool can take
	Weight         float64       // share of lent resources, relative to the weights of other pools
	Drain          time.Duration // how long requests may continue after a reload has removed the pool

	// CountsDiscoverySocket is whether the connection to the discovery service is one of the pool's guaranteed
	// sockets. In the platform's form it is one of the reserved descriptors.
	CountsDiscoverySocket bool
}

// AddressError is the error for an address of the configuration that the proxy cannot listen at.
type AddressError struct {
	Key, Value string
	Err        error
}

// Error states the key, the address and the remedy.
func (e *AddressError) Error() string {
	return fmt.Sprintf("%s: %q can't be listened at: %v; name an address of this machine that is free",
		e.Key, e.Value, e.Err)
}

// Unwrap returns the error of the system call.
func (e *AddressError) Unwrap() error { return e.Err }

// Limits are the resources of the machine that the process may use.
type Limits struct {
	Cores   float64
	Memory  int64 // bytes
	Sockets int   // file descriptors
	Work    int   // units of work a second, see [Cost], that are divided among pools; 0 divides none
}

// Load reads the configuration file that the environment names: the platform's JSON, or a file of [File]'s form. It
// also returns warnings, which do not prevent its use.
func Load(getenv func(string) string) (Config, []string, error) {
	return load(getenv, environmentFirst)
}

// Reload reads the configuration again while a proxy runs. The environment variables still have their values of the
// start, so in the platform's form the discovery address of the file takes precedence over them.
func Reload(getenv func(string) string) (Config, []string, error) {
	return load(getenv, fileFirst)
}

func load(getenv func(string) string, discoveryPrecedence precedence) (Config, []string, error) {
	file := getenv(EnvFile)
	if file == "" {
		return Config{}, nil, fmt.Errorf("%s: not set", EnvFile)
	}
	text, err := atomicfile.Read(file)
	if err != nil {
		return Config{}, nil, fmt.Errorf("%s: %w", EnvFile, err)
	}
	if !IsPlatformForm(text) {
		return ParseFile(file, text, getenv)
	}
	cfg, err := parsePlatform(text, getenv, discoveryPrecedence)
	return cfg, nil, err
}

// parseSeed parses the hexadecimal seed of the random numbers; an empty text is 0.
func parseSeed(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 16, 64)
}

// firstNonEmpty returns value, or other if value is empty.
func firstNonEmpty(value, other string) string {
	if value == "" {
		return other
	}
	return value
}
