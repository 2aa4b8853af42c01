// Package config alone reads a proxy's configuration, checks it and completes
// it with defaults. Its errors name the faulty key and its value.
package config

import (
	"fmt"
	"strconv"
	"time"

	"ryerill/discovery"
	"ryerill/internal/atomicfile"
	"ryerill/route"
)

// Config is all that a proxy is configured with, whatever form it was written in.
type Config struct {
	Name      string
	Seed      uint64
	Limits    Limits
	Admin     string // address of the management endpoint; empty is none
	SharedDir string // directory that the processes of this proxy share; empty is none
	Listeners []Listener
	Routes    []Route
	Pools     []Pool
	Fleet     *Fleet // nil is none: the proxy exchanges messages with no other
	Text      []byte // text of the file, where it is of [File]'s form
}

// Listener is an address at which clients are served.
type Listener struct {
	Name    string
	Address string
}

// Route leads requests to a pool.
type Route struct {
	route.Rule
	Class string // class of its requests, where they state none
}

// Pool is a set of endpoints with all that belongs to it.
type Pool struct {
	Name           string
	Discovery      string                 // address of the discovery service; empty: KnownEndpoints is the whole list
	KnownEndpoints discovery.EndpointList // endpoints of the start, perhaps long out of date where there is discovery
	Settings       Settings
	Guarantee      Shares        // what no other pool can take
	Weight         float64       // its part of what is lent, against other pools' weights
	Drain          time.Duration // how long it may finish its requests once a reload has removed it

	// CountsDiscoverySocket is whether the connection to the discovery service is one of the pool's guaranteed sockets.
	// In the platform's form it is one of the reserved descriptors.
	CountsDiscoverySocket bool
}

// AddressError is the error for an address of the configuration that can't be listened at.
type AddressError struct {
	Key, Value string
	Err        error
}

// Error names the key, the address and the remedy.
func (e *AddressError) Error() string {
	return fmt.Sprintf("%s: %q can't be listened at: %v; name an address of this machine that is free",
		e.Key, e.Value, e.Err)
}

// Unwrap returns the error of the system.
func (e *AddressError) Unwrap() error { return e.Err }

// Limits is what the machine allows the process.
type Limits struct {
	Cores   float64
	Memory  int64 // bytes
	Sockets int   // descriptors
	Work    int   // units of work a second that are divided among pools, see [Cost]; 0 divides none
}

// Load reads the configuration that the environment names: the platform's JSON, or a file of [File]'s form. It returns
// warnings too, which are no reason to reject it.
func Load(getenv func(string) string) (Config, []string, error) {
	return load(getenv, environmentFirst)
}

// Reload reads the configuration anew while a proxy runs. The environment is still that of the start and cannot follow
// the file: in the platform's form the discovery address of the file takes precedence now.
func Reload(getenv func(string) string) (Config, []string, error) {
	return load(getenv, fileFirst)
}

func load(getenv func(string) string, discovery precedence) (Config, []string, error) {
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
	cfg, err := parsePlatform(text, getenv, discovery)
	return cfg, nil, err
}

// parseSeed reads a seed of random numbers, in hexadecimal; an empty one is 0.
func parseSeed(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 16, 64)
}

// firstNonEmpty returns value, or other where value is empty.
func firstNonEmpty(value, other string) string {
	if value == "" {
		return other
	}
	return value
}
