package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
)

// States of an endpoint.
const (
	Ready       = "Ready"
	Terminating = "Terminating" // completes its open requests and wants no new ones
	Gone        = "Gone"        // only in lists of changes
)

// maxSinceMS bounds the start time of an endpoint, so that it fits a time.Duration with room to spare.
const maxSinceMS = math.MaxInt64 / 2_000_000

// Endpoint is an entry of the list of a discovery service.
type Endpoint struct {
	Name    string  `json:"name"`    // identical at all proxies
	Address string  `json:"address"` // IP address and port at which this proxy reaches it
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"` // Ready, Terminating or Gone
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"` // last start in Unix milliseconds; 0 if unknown or long ago
}

// EndpointList is an answer of the discovery service: the full list, or changes to the previous one.
type EndpointList struct {
	Index     uint64     `json:"index"`    // version of the list
	Snapshot  bool       `json:"snapshot"` // whether this is the full list
	Endpoints []Endpoint `json:"endpoints"`
}

// Errors of invalid lists.
var (
	errListIncomplete = errors.New("index or endpoints are missing")
	errTrailingText   = errors.New("text after the list")
	errUnexpectedEnd  = fmt.Errorf("unexpected end of the list: %w", io.ErrUnexpectedEOF)
)

// Parse decodes a complete list and checks each entry.
func Parse(text []byte) (EndpointList, error) { return decodeList(bytes.NewReader(text), nil) }

func (e *Endpoint) check() error {
	if e.Name == "" {
		return errors.New("name is missing")
	}
	switch e.Status {
	case Gone:
		return nil // the address is not used
	case Ready, Terminating:
	default:
		return fmt.Errorf("status: unexpected value %q", e.Status)
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		return fmt.Errorf("address: unexpected value %q", e.Address)
	}
	if e.SinceMS < 0 || e.SinceMS > maxSinceMS {
		return fmt.Errorf("since_ms: unexpected value %d", e.SinceMS)
	}
	return nil
}
