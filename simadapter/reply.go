package simadapter

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"ryerill/balancer"
)

// Reply builds the reply to one batch in a buffer of its own. It is not safe for concurrent use.
type Reply struct {
	buffer  []byte
	records uint32
}

// Begin starts the reply to a batch.
func (r *Reply) Begin(batch uint32) {
	r.buffer = append(r.buffer[:0], make([]byte, replyHeaderSize)...)
	binary.LittleEndian.PutUint32(r.buffer[8:], batch)
	r.records = 0
}

// Bytes returns the whole reply, valid until the next Begin.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.buffer, r.records)
	binary.LittleEndian.PutUint32(r.buffer[4:], uint32(len(r.buffer)-8))
	return r.buffer
}

// Add appends one action of an instance. It fails for an action that the protocol cannot carry.
func (r *Reply) Add(instance uint16, action *balancer.Action) error {
	switch action.Kind {
	case balancer.Send:
		r.record(codeSend, instance)
		r.requestID(action.Request)
		r.duration(action.Timeout)
		r.endpointID(action.Endpoint)
	case balancer.Shed:
		r.record(codeShed, instance)
		r.requestID(action.Request)
		r.duration(action.RetryAfter)
	case balancer.Fail:
		r.record(codeFail, instance)
		r.requestID(action.Request)
	case balancer.Cancel:
		r.record(codeCancel, instance)
		r.requestID(action.Request)
		r.uint8(uint8(action.Attempt))
	case balancer.SetTimer:
		r.record(codeSetTimer, instance)
		r.duration(min(action.Delay, maxTimer))
		r.uint32(action.Token)
	case balancer.Probe:
		r.record(codeProbe, instance)
		r.endpointID(action.Endpoint)
	case balancer.CloseIdle:
		r.record(codeCloseIdle, instance)
		r.endpointID(action.Endpoint)
	case balancer.SendToPeer:
		return r.sendToPeer(instance, action)
	case balancer.Subscribe:
		r.record(codeSubscribe, instance)
		r.bool(action.Enabled)
	case balancer.FetchEndpoints:
		r.record(codeFetchEndpoints, instance)
	case balancer.Log:
		r.record(codeLog, instance)
		r.text(action.Text)
	default:
		return fmt.Errorf("unknown kind of action %d", action.Kind)
	}
	return nil
}

func (r *Reply) sendToPeer(instance uint16, action *balancer.Action) error {
	if len(action.Payload) > maxPeerMessage {
		return fmt.Errorf("a message of %d bytes to a peer is over %d", len(action.Payload), maxPeerMessage)
	}
	r.record(codeSendToPeer, instance)
	r.uint16(action.Peer)
	r.text(string(action.Payload))
	return nil
}

// Abort appends that an instance's decision code panicked.
func (r *Reply) Abort(instance uint16, text string) {
	r.record(codeInstancePanicked, instance)
	r.text(text)
}

// record begins a record.
func (r *Reply) record(code uint8, instance uint16) {
	r.records++
	r.uint8(code)
	r.uint16(instance)
}

func (r *Reply) uint8(v uint8)   { r.buffer = append(r.buffer, v) }
func (r *Reply) uint16(v uint16) { r.buffer = binary.LittleEndian.AppendUint16(r.buffer, v) }
func (r *Reply) uint32(v uint32) { r.buffer = binary.LittleEndian.AppendUint32(r.buffer, v) }
func (r *Reply) uint64(v uint64) { r.buffer = binary.LittleEndian.AppendUint64(r.buffer, v) }

func (r *Reply) bool(v bool) {
	if v {
		r.uint8(1)
		return
	}
	r.uint8(0)
}

func (r *Reply) requestID(id balancer.RequestID) { r.uint64(uint64(id)) }

// duration writes a time span in microseconds. It rounds up, so that a short one never becomes 0, which means that
// there is none.
func (r *Reply) duration(d time.Duration) {
	microseconds := (max(d, 0) + time.Microsecond - 1) / time.Microsecond
	r.uint32(uint32(min(microseconds, math.MaxInt32)))
}

// endpointID writes the address and the port that fields.endpointID has read.
func (r *Reply) endpointID(id balancer.EndpointID) {
	r.uint32(uint32(id >> 16))
	r.uint16(uint16(id))
}

// text writes a text with its length before it. What is too long is cut off.
func (r *Reply) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	r.uint16(uint16(len(s)))
	r.buffer = append(r.buffer, s...)
}
