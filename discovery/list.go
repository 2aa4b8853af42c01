// Package discovery asks the directory for the list of providers and watches
// its changes.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
)

// The states of an endpoint.
const (
	Ready       = "Ready"
	Terminating = "Terminating" // completes what it has and wants nothing new
	Gone        = "Gone"        // only among changes
)

// Endpoint is one provider as the directory lists it.
type Endpoint struct {
	Name    string  `json:"name"`    // the same at every proxy
	Address string  `json:"address"` // as this proxy reaches it
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"` // its last start in Unix milliseconds; 0 is long ago
}

// EndpointList is an answer of the directory: the whole list or changes of it.
type EndpointList struct {
	Index     uint64     `json:"index"`
	Snapshot  bool       `json:"snapshot"` // the whole list
	Endpoints []Endpoint `json:"endpoints"`
}

// Parse reads a list and checks each of its entries, so that a damaged answer
// is a failed call and never half a list.
func Parse(text []byte) (EndpointList, error) {
	var shape struct {
		EndpointList
		Index     *uint64     `json:"index"`
		Endpoints *[]Endpoint `json:"endpoints"`
	}
	if err := json.Unmarshal(text, &shape); err != nil {
		return EndpointList{}, fmt.Errorf("list of providers: %w", err)
	}
	if shape.Index == nil || shape.Endpoints == nil {
		return EndpointList{}, errors.New("list of providers: index or endpoints are missing")
	}
	list := EndpointList{Index: *shape.Index, Snapshot: shape.Snapshot, Endpoints: *shape.Endpoints}
	for i, e := range list.Endpoints {
		if err := e.check(); err != nil {
			return EndpointList{}, fmt.Errorf("list of providers: endpoints.%d: %w", i, err)
		}
	}
	return list, nil
}

func (e *Endpoint) check() error {
	if e.Name == "" {
		return errors.New("name is missing")
	}
	switch e.Status {
	case Gone:
		return nil // its address concerns nobody any more
	case Ready, Terminating:
	default:
		return fmt.Errorf("status: unexpected value %q", e.Status)
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		return fmt.Errorf("address: unexpected value %q", e.Address)
	}
	if e.SinceMS < 0 || e.SinceMS > math.MaxInt64/2_000_000 {
		return fmt.Errorf("since_ms: unexpected value %d", e.SinceMS)
	}
	return nil
}
