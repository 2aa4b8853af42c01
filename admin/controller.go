package admin

import (
	"encoding/json"
	"errors"
)

// Errors of a [Controller] that have a status of their own. Their texts are the responses'.
var (
	ErrUnknownEndpoint = errors.New("no backend has this id: see the directory's list for those that there are")
	ErrNoFleet         = errors.New("this proxy is in no fleet: its configuration has no fleet block")
	ErrFleetNotJoined  = errors.New("the fleet's address is still held by the process before this one: ask again")
	ErrNothingShared   = errors.New("this proxy shares nothing with others: " +
		"its configuration has no fleet.share block, or it is not in the fleet yet")
	ErrNoRollouts = errors.New("this proxy takes no part in rollouts: its configuration has no fleet block")
)

// Controller executes the requests. Its methods are called concurrently, and must return
// soon, whatever the load: none may wait for an endpoint or for discovery.
type Controller interface {
	// Readiness returns nil if the proxy is ready to serve, and else why it is not.
	Readiness() error
	// Stats returns the counters of this process.
	Stats() Stats
	// Faults returns, in JSON, the counts of calls of the system that failed, and of why connections ended.
	Faults() (json.RawMessage, error)
	// TakeDown takes an endpoint administratively down. [ErrUnknownEndpoint] is
	// answered by 404, any other error by 503, here and in the next three.
	TakeDown(endpoint string) error
	// Restore ends that an endpoint is administratively down.
	Restore(endpoint string) error
	// StartDrain empties the proxy until StopDrain.
	StartDrain() error
	// StopDrain ends a drain.
	StopDrain() error
	// Fleet returns the state of the fleet, as this proxy sees it, in JSON. The error is
	// [ErrNoFleet] or [ErrFleetNotJoined].
	Fleet() (json.RawMessage, error)
	// SharedState returns, in JSON, what the replicas share. The error is [ErrNothingShared].
	SharedState() (json.RawMessage, error)
	// Rollout returns the state of the present rollout in JSON. The error is [ErrNoRollouts].
	Rollout() (json.RawMessage, error)
	// StartRollout starts a rollout by a plan in YAML. Its errors are answered by 409.
	StartRollout(plan []byte) error
	// RolloutCommand executes pause, resume, abort, back or refused; only the last has an
	// argument. Its errors are answered by 409.
	RolloutCommand(command, argument string) error
	// ForgetReplica removes a dead replica from the fleet. Its errors are answered by 404.
	ForgetReplica(name string) error
}

// Stats are the counters of one process since its start.
type Stats struct {
	Requests        map[string]RequestCounts `json:"calls"`           // by class
	Attempts        int64                    `json:"backend_calls"`   // written whole to an endpoint
	InFlight        int64                    `json:"inflight"`        // requests without a final result, now
	EndpointsListed int                      `json:"hosts_listed"`    // now
	EndpointsDown   int                      `json:"hosts_down"`      // now: listed, and avoided by one pool at least
	ReloadsOK       int64                    `json:"reconfig_ok"`     // of the configuration
	ReloadsFailed   int64                    `json:"reconfig_failed"` // which left the old one in force
}

// RequestCounts counts requests by how they ended.
type RequestCounts struct {
	Served int64 `json:"success"`
	Shed   int64 `json:"busy"`
	Failed int64 `json:"failure"`
}
