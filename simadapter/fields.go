package simadapter

import (
	"encoding/binary"
	"math"
	"time"

	"ryerill/balancer"
)

// fields reads the fields of a record one after another. After a field that is not wholly there, short is set and all
// that follows is zero.
type fields struct {
	data     []byte
	position int
	short    bool
}

// remaining is how many bytes are left.
func (f *fields) remaining() int { return len(f.data) - f.position }

// bytes returns the next n bytes, or nil if there are fewer. They alias the frame.
func (f *fields) bytes(n int) []byte {
	if f.short || n > f.remaining() {
		f.short = true
		return nil
	}
	end := f.position + n
	b := f.data[f.position:end:end]
	f.position = end
	return b
}

func (f *fields) uint8() uint8 {
	if b := f.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (f *fields) uint16() uint16 {
	if b := f.bytes(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (f *fields) uint32() uint32 {
	if b := f.bytes(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (f *fields) uint64() uint64 {
	if b := f.bytes(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (f *fields) float32() float32 { return math.Float32frombits(f.uint32()) }

func (f *fields) requestID() balancer.RequestID { return balancer.RequestID(f.uint64()) }

// endpointID reads an address and a port into one opaque number.
func (f *fields) endpointID() balancer.EndpointID {
	address := f.uint32()
	port := f.uint16()
	return balancer.EndpointID(address)<<16 | balancer.EndpointID(port)
}

// duration reads a time span in microseconds.
func (f *fields) duration() time.Duration { return time.Duration(f.uint32()) * time.Microsecond }

// clockTime reads a time of the clock in microseconds. One that is out of range is as late as can be.
func (f *fields) clockTime() time.Duration {
	return time.Duration(min(f.uint64(), maxClock)) * time.Microsecond
}

// maxClock is the latest time of the clock, in microseconds.
const maxClock = math.MaxInt64 / uint64(time.Microsecond)
