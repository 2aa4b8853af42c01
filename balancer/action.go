package balancer

import (
	"fmt"
	"time"
)

// ActionKind determines which fields of an Action are set.
type ActionKind uint8

// The kinds of action, each with the fields that it sets.
const (
	// Send sends an attempt: Request, Endpoint, Timeout and WriteTimeout.
	Send ActionKind = iota + 1
	// Shed answers that the request was shed and that a retry is harmless: Request and RetryAfter.
	Shed
	// Fail answers that the request has failed, with no promise: Request.
	Fail
	// Cancel cancels an attempt in flight: Request and Attempt.
	Cancel
	// SetTimer schedules a TimerFired event: Delay and Token.
	SetTimer
	// Probe asks an endpoint for its state: Endpoint.
	Probe
	// CloseIdle closes the idle connections to an endpoint: Endpoint.
	CloseIdle
	// SendToPeer sends a message to a peer: Peer, 0xffff for every peer, and Payload.
	SendToPeer
	// Subscribe starts or stops watching the endpoint list: Enabled.
	Subscribe
	// FetchEndpoints requests the endpoint list once. It sets no field.
	FetchEndpoints
	// Log writes a line to the log: Text.
	Log
)

// Action is something that the host is to do.
type Action struct {
	Kind         ActionKind
	Enabled      bool
	Attempt      int // index among the attempts of the request
	Token        uint32
	Peer         uint16
	Request      RequestID
	Endpoint     EndpointID
	Timeout      time.Duration // Send: the attempt ends after this
	RetryAfter   time.Duration // Shed: how long the client is asked to wait; 0 states none
	Delay        time.Duration // SetTimer: when it fires, from now
	WriteTimeout time.Duration // Send: the last byte has to be written in this time
	Payload      []byte
	Text         string
}

// act adds an action to those of the event that is being handled.
func (b *Balancer) act(action *Action) { b.actions = append(b.actions, *action) }

// logf adds a line for the log.
func (b *Balancer) logf(format string, args ...any) {
	b.act(&Action{Kind: Log, Text: fmt.Sprintf(format, args...)})
}

// scheduleAdvance has the queue of a key advanced after a delay.
func (b *Balancer) scheduleAdvance(key uint64, delay time.Duration) {
	b.act(&Action{Kind: SetTimer, Delay: delay, Token: b.timers.add(key)})
}
