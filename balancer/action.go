package balancer

import (
	"fmt"
	"time"
)

// ActionKind determines which fields of an Action are set.
type ActionKind uint8

// The kinds of action. Each comment lists the fields that are set.
const (
	// Send sends an attempt. Sets Request, Endpoint, Timeout and WriteTimeout.
	Send ActionKind = iota + 1
	// Shed rejects the request and tells the client that a retry is harmless. Sets Request and RetryAfter.
	Shed
	// Fail answers that the request has failed. The client can't tell whether it was executed. Sets Request.
	Fail
	// Cancel cancels an attempt in flight. Sets Request and Attempt.
	Cancel
	// SetTimer schedules a TimerFired event. Sets Delay and Token.
	SetTimer
	// Probe requests the state of an endpoint. Sets Endpoint.
	Probe
	// CloseIdle closes the idle connections to an endpoint. Sets Endpoint.
	CloseIdle
	// SendToPeer sends a message to a peer. Sets Peer (0xffff for all peers) and Payload.
	SendToPeer
	// Subscribe starts or stops watching the endpoint list. Sets Enabled.
	Subscribe
	// FetchEndpoints requests the endpoint list once. Sets no field.
	FetchEndpoints
	// Log writes a line to the log. Sets Text.
	Log
)

// Action is an instruction to the host.
type Action struct {
	Kind         ActionKind
	Enabled      bool
	Attempt      int // index among the attempts of the request
	Token        uint32
	Peer         uint16
	Request      RequestID
	Endpoint     EndpointID
	Timeout      time.Duration // Send: maximum duration of the attempt
	RetryAfter   time.Duration // Shed: retry-after for the client; 0 means none is sent
	Delay        time.Duration // SetTimer: time from now until the timer fires
	WriteTimeout time.Duration // Send: time within which the last byte must be written
	Payload      []byte
	Text         string
}

// emit appends an action to the actions of the current event.
func (b *Balancer) emit(action *Action) { b.actions = append(b.actions, *action) }

// logf emits a Log action with the formatted text.
func (b *Balancer) logf(format string, args ...any) {
	b.emit(&Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// scheduleAdvance sets a timer that advances the queue of a key.
func (b *Balancer) scheduleAdvance(key uint64, delay time.Duration) {
	b.emit(&Action{Kind: SetTimer, Delay: delay, Token: b.timers.add(key)})
}
