package admin

import (
	"encoding/json"
	"errors"
)

// Errors of a [Controller] with a status of their own. Their texts are sent to clients.
var (
	ErrUnknownEndpoint = errors.New("no backend has this id: see the directory's list for those that there are")
	ErrNoFleet         = errors.New("this proxy is in no fleet: its configuration has no fleet block")
	ErrFleetNotJoined  = errors.New("the fleet's address is still held by the process before this one: ask again")
	ErrNothingShared   = errors.New("this proxy shares nothing with others: " +
		"its configuration has no fleet.share block, or it is not in the fleet yet")
	ErrNoRollouts = errors.New("this proxy takes no part in rollouts: its configuration has no fleet block")
)

// Controller executes requests. Its methods are called concurrently and must return soon under any load: none may wait
// for an endpoint or for discovery.
type Controller interface {
	// Readiness returns nil if the proxy is ready to serve, else the reason why it is not.
	Readiness() error
	// Stats returns the counters of this process.
	Stats() Stats
	// Faults returns the counts of failed system calls and of the reasons why connections ended, in JSON.
	Faults() (json.RawMessage, error)
	// TakeDown takes an endpoint administratively down. The status of [ErrUnknownEndpoint] is 404, that of any other
	// error 503; this also applies to the next three methods.
	TakeDown(endpoint string) error
	// Restore puts an endpoint that is administratively down back in use.
	Restore(endpoint string) error
	// StartDrain drains the proxy until StopDrain.
	StartDrain() error
	// StopDrain ends a drain.
	StopDrain() error
	// Fleet returns the state of the fleet as this proxy knows it, in JSON. The error is [ErrNoFleet] or
	// [ErrFleetNotJoined].
	Fleet() (json.RawMessage, error)
	// SharedState returns the state that the replicas share, in JSON. The error is [ErrNothingShared].
	SharedState() (json.RawMessage, error)
	// Rollout returns the state of the current rollout, in JSON. The error is [ErrNoRollouts].
	Rollout() (json.RawMessage, error)
	// StartRollout starts a rollout from a plan in YAML. The status of its errors is 409.
	StartRollout(plan []byte) error
	// RolloutCommand executes pause, resume, abort, back or refused; only refused has an argument. The status of its
	// errors is 409.
	RolloutCommand(command, argument string) error
	// ForgetReplica removes a dead replica from the fleet. The status of its errors is 404.
	ForgetReplica(name string) error
}

// Stats are the counters of one process since its start.
type Stats struct {
	Requests        map[string]RequestCounts `json:"calls"`           // by class
	Attempts        int64                    `json:"backend_calls"`   // written completely to an endpoint
	InFlight        int64                    `json:"inflight"`        // requests without a final result, currently
	EndpointsListed int                      `json:"hosts_listed"`    // currently
	EndpointsDown   int                      `json:"hosts_down"`      // currently listed and avoided by a pool
	ReloadsOK       int64                    `json:"reconfig_ok"`     // reloads of the configuration
	ReloadsFailed   int64                    `json:"reconfig_failed"` // which left the old configuration in force
}

// RequestCounts counts requests by outcome.
type RequestCounts struct {
	Served int64 `json:"success"`
	Shed   int64 `json:"busy"`
	Failed int64 `json:"failure"`
}
