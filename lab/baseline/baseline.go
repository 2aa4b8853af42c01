// Package baseline holds what an engineer would pick instead of ryerill: textbook ways to choose an endpoint and to
// limit what is in flight, behind the interface that a balancer has. They are here to be compared with, never in the
// product.
//
// All keep the rules on drains and repeats as well as a careful team would: nothing goes to an endpoint that the list
// doesn't call ready, and nothing is sent again against its class. None of them spares endpoints that warm up.
package baseline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"ryerill/balancer"
)

// Decider decides for one proxy, as a balancer.Balancer does.
type Decider interface {
	Handle(now time.Duration, event balancer.Event, out []balancer.Action) []balancer.Action
}

// ConcurrencyReporter is a decider that reports its limit and the attempts in flight; a limit of 0 is none.
type ConcurrencyReporter interface {
	Concurrency() (limit float64, inFlight int)
}

// The ways to choose an endpoint.
const (
	random           = "random"
	roundRobin       = "roundrobin"
	leastInFlight    = "least"
	powerOfTwoChoice = "p2c"
)

// Pickers lists the ways to choose an endpoint.
var Pickers = []string{random, roundRobin, leastInFlight, powerOfTwoChoice}

// Limits lists the ways to limit what is in flight; fixed takes a number for each endpoint, shared evenly by the
// proxies, as in fixed:20.
var Limits = []string{"none", "fixed:N", "gradient"}

// New returns a decider by name: "ryerill", or a picker and, after a slash, a limit, as in "p2c/gradient". Without a
// limit it is "none".
func New(name string, config balancer.Config, seed uint64) (Decider, error) {
	if name == "" || name == "ryerill" {
		return balancer.New(config, seed), nil
	}
	picker, limit, _ := strings.Cut(name, "/")
	if !slices.Contains(Pickers, picker) {
		return nil, fmt.Errorf("decider %q: unknown way to pick %q, want ryerill or one of %s",
			name, picker, strings.Join(Pickers, ", "))
	}
	limiter, err := newLimiter(limit, config.ReplicaCount)
	if err != nil {
		return nil, fmt.Errorf("decider %q: %w", name, err)
	}
	return &textbook{
		config:    config,
		limiter:   limiter,
		rng:       rand.New(rand.NewPCG(seed, 1)),
		picker:    picker,
		endpoints: endpointList{byID: map[balancer.EndpointID]*endpoint{}},
		requests:  map[balancer.RequestID]*request{},
	}, nil
}

// newLimiter returns the limit of a name for one of so many proxies.
func newLimiter(name string, proxies int) (limiter, error) {
	kind, number, _ := strings.Cut(name, ":")
	switch kind {
	case "", "none":
		return unlimited{}, nil
	case "fixed":
		perEndpoint, err := strconv.ParseFloat(number, 64)
		if err != nil || !(perEndpoint > 0) {
			return nil, fmt.Errorf("unexpected limit %q, want fixed:N with N above 0", name)
		}
		return &fixed{perEndpoint: perEndpoint, fraction: 1 / float64(max(proxies, 1))}, nil
	case "gradient":
		return newGradient(), nil
	}
	return nil, fmt.Errorf("unknown limit %q, want one of %s", name, strings.Join(Limits, ", "))
}
