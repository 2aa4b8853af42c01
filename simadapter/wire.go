// Package simadapter speaks mesa-2a65: it turns frames into events of the
// ryerill package and its actions into frames. It decides nothing.
package simadapter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"ryerill/balancer"
)

// Codes of the records that are received.
const (
	codeInit       = 16
	codeTargets    = 17
	codeKnock      = 18
	codeBegun      = 19
	codeAttemptEnd = 20
	codeDropped    = 21
	codeTimer      = 22
	codeStatusBack = 23
	codeHeard      = 24
	codeStop       = 25
	codeDefineList = 26
)

// Codes of the records that are sent.
const (
	codePing          = 80
	codeRespondError  = 81
	codeRoute         = 82
	codeMemoTo        = 83
	codeShutIdle      = 84
	codeRemind        = 85
	codeBailOut       = 86
	codeStreamChanges = 87
	codeSayNo         = 88
	codeWithdraw      = 89
	codeLog           = 90
	codeRefresh       = 91
)

// Bits of KNOCK's StateBits.
const (
	bitHint  = 1
	bitRetry = 2
	bitWrite = 4
)

const (
	batchHeader = 16 // bytes of a batch header after its length
	replyHeader = 12
	entrySize   = 23
	banks       = 16
	readStep    = 1 << 20 // a frame is read in steps of this, whatever length it claims
	maxTimer    = 71 * time.Minute
	maxPayload  = 256 // bytes of a message to a peer
)

// RecordKind tells what a Record is.
type RecordKind uint8

// The kinds of record.
const (
	Event RecordKind = iota // an event for a running instance
	Start                   // an instance starts: Seed and Settings
	Stop                    // an instance was killed
)

// Record is one received record, for one instance.
type Record struct {
	Kind     RecordKind
	Instance uint16
	Seed     uint64
	Settings string
	Event    balancer.Event
}

// Reader reads batches. Its records are valid until the next batch.
type Reader struct {
	src   io.Reader
	frame []byte
	pos   int
	left  uint32
	banks [banks][]balancer.Endpoint
	known [banks]bool
	load  []float32

	Clock  time.Duration // clock of the present batch
	Number uint32        // number of the present batch
}

// NewReader returns a Reader of src.
func NewReader(src io.Reader) *Reader { return &Reader{src: src} }

// NextBatch reads the next frame. It returns io.EOF at the end of the input,
// provided that it does not end within a frame.
func (r *Reader) NextBatch() error {
	var head [4]byte
	if _, err := io.ReadFull(r.src, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return io.EOF
		}
		return fmt.Errorf("after batch %d: length of the next frame: %w", r.Number, err)
	}
	size := int(binary.LittleEndian.Uint32(head[:]))
	if size < batchHeader {
		return fmt.Errorf("after batch %d: a frame of %d bytes is shorter than its header", r.Number, size)
	}
	r.frame = r.frame[:0]
	for len(r.frame) < size {
		from := len(r.frame)
		to := min(size, from+readStep)
		if cap(r.frame) < to {
			r.frame = append(make([]byte, 0, min(2*to, size)), r.frame...)
		}
		r.frame = r.frame[:to]
		if n, err := io.ReadFull(r.src, r.frame[from:to]); err != nil {
			return fmt.Errorf("after batch %d: frame ends at byte %d of %d: %w",
				r.Number, from+n, size, io.ErrUnexpectedEOF)
		}
	}
	clock := binary.LittleEndian.Uint64(r.frame)
	if clock > math.MaxInt64/uint64(time.Microsecond) {
		return fmt.Errorf("after batch %d: clock %d is out of range", r.Number, clock)
	}
	r.Clock = time.Duration(clock) * time.Microsecond
	r.left = binary.LittleEndian.Uint32(r.frame[8:])
	r.Number = binary.LittleEndian.Uint32(r.frame[12:])
	r.pos = batchHeader
	r.load = r.load[:0]
	return nil
}

// NextRecord decodes the next record of the batch into rec, resolving list
// numbers on the way. It returns io.EOF after the last one.
func (r *Reader) NextRecord(rec *Record) error {
	for r.left > 0 {
		at := r.pos
		r.left--
		f := fields{data: r.frame, pos: r.pos}
		code := f.u8()
		*rec = Record{}
		listed, err := r.decode(code, &f, rec)
		if f.short {
			err = fmt.Errorf("ends early")
		}
		if err != nil {
			return fmt.Errorf("batch %d, byte %d, record code %d: %w", r.Number, at+4, code, err)
		}
		r.pos = f.pos
		if !listed {
			return nil
		}
	}
	if r.pos != len(r.frame) {
		return fmt.Errorf("batch %d: %d bytes after the last record", r.Number, len(r.frame)-r.pos)
	}
	return io.EOF
}

// decode reads the fields after a record's code. It reports true for a
// DEFINE_LIST, which concerns no instance.
func (r *Reader) decode(code uint8, f *fields, rec *Record) (listed bool, err error) {
	if code == codeDefineList {
		return true, r.defineList(f)
	}
	rec.Instance = f.u16()
	ev := &rec.Event
	switch code {
	case codeInit:
		rec.Kind = Start
		rec.Seed = f.u64()
		rec.Settings = string(f.bytes(int(f.u32())))
	case codeStop:
		rec.Kind = Stop
	case codeTargets:
		ev.Kind = balancer.EndpointListUpdated
		form := f.u8()
		ev.Version = f.u64()
		bank := f.u8()
		if f.short {
			return false, nil
		}
		kinds := [...]balancer.ListKind{balancer.ListFull, balancer.ListCached,
			balancer.ListFailed, balancer.ListChanges}
		if int(form) >= len(kinds) {
			return false, fmt.Errorf("unknown form %d of a list", form)
		}
		ev.ListKind = kinds[form]
		if ev.ListKind != balancer.ListFailed {
			if int(bank) >= banks || !r.known[bank] {
				return false, fmt.Errorf("list %d was never defined", bank)
			}
			ev.Endpoints = r.banks[bank]
		}
	case codeKnock:
		ev.Kind = balancer.RequestArrived
		ev.Request = balancer.RequestID(f.u64())
		ev.Class = int(f.u8())
		ev.Tenant = int(f.u32())
		ev.Key = f.u64()
		ev.Remaining = f.micros()
		work := f.micros()
		bits := f.u8()
		if bits&bitHint != 0 {
			ev.ExpectedWork = work
		}
		ev.ClientRetry = bits&bitRetry != 0
		ev.Write = bits&bitWrite != 0
	case codeBegun:
		ev.Kind = balancer.StreamStarted
		ev.Request = balancer.RequestID(f.u64())
		ev.Attempt = int(f.u8())
		ev.Endpoint = f.server()
		ev.Elapsed = f.micros()
	case codeAttemptEnd:
		ev.Kind = balancer.AttemptEnded
		ev.Request = balancer.RequestID(f.u64())
		verdict := f.u8()
		ev.RequestClosed = f.u8() != 0
		ev.Attempt = int(f.u8())
		ev.Elapsed = f.micros()
		ev.Endpoint = f.server()
		r.metrics(f, ev)
		return false, outcome(f, verdict, ev)
	case codeDropped:
		ev.Kind = balancer.ClientLeft
		ev.Request = balancer.RequestID(f.u64())
	case codeTimer:
		ev.Kind = balancer.TimerFired
		ev.Token = f.u32()
	case codeStatusBack:
		ev.Kind = balancer.ProbeEnded
		ev.Endpoint = f.server()
		verdict := f.u8()
		ev.Elapsed = f.micros()
		r.metrics(f, ev)
		return false, outcome(f, verdict, ev)
	case codeHeard:
		ev.Kind = balancer.PeerMessageReceived
		ev.Peer = f.u32()
		ev.Payload = f.bytes(int(f.u16()))
	default:
		return false, errors.New("unknown code")
	}
	return false, nil
}

var outcomes = [...]balancer.Outcome{balancer.OK, balancer.Error, balancer.Rejected, balancer.Timeout,
	balancer.ConnectFailed, balancer.Reset, balancer.Cancelled, balancer.NotSent}

func outcome(f *fields, verdict uint8, ev *balancer.Event) error {
	if f.short {
		return nil // told by the caller
	}
	if int(verdict) >= len(outcomes) {
		return fmt.Errorf("unknown outcome %d", verdict)
	}
	ev.Outcome = outcomes[verdict]
	return nil
}

func (r *Reader) defineList(f *fields) error {
	bank := f.u8()
	n := int(f.u32())
	if f.short {
		return nil
	}
	if int(bank) >= banks {
		return fmt.Errorf("list number %d is above %d", bank, banks-1)
	}
	if n > (len(f.data)-f.pos)/entrySize {
		f.short = true
		return nil
	}
	// A list is made anew: events decoded earlier may still hold the one it replaces.
	list := make([]balancer.Endpoint, n)
	for i := range list {
		e := &list[i]
		e.Kind = int(f.u8())
		e.Weight = float64(math.Float32frombits(f.u32()))
		e.Zone = int(f.u8())
		e.Cell = int(f.u16())
		e.StartedAt = f.clock()
		e.ID = f.server()
		switch state := f.u8(); state {
		case 0:
			e.State = balancer.Gone
		case 1:
			e.State = balancer.Ready
		case 2:
			e.State = balancer.Draining
		default:
			return fmt.Errorf("entry %d: unknown state %d", i, state)
		}
	}
	r.banks[bank], r.known[bank] = list, true
	return nil
}

func (r *Reader) metrics(f *fields, ev *balancer.Event) {
	n := int(f.u8())
	if n == 0 || n*4 > len(f.data)-f.pos {
		f.short = f.short || n > 0
		return
	}
	from := len(r.load)
	for range n {
		r.load = append(r.load, math.Float32frombits(f.u32()))
	}
	ev.LoadReport = r.load[from:len(r.load):len(r.load)]
}

// fields reads the fields of a record in turn. After a field that is not
// wholly there, short is set and all that follows is zero.
type fields struct {
	data  []byte
	pos   int
	short bool
}

func (f *fields) bytes(n int) []byte {
	if f.short || n > len(f.data)-f.pos {
		f.short = true
		return nil
	}
	b := f.data[f.pos : f.pos+n : f.pos+n]
	f.pos += n
	return b
}

func (f *fields) u8() uint8 {
	if b := f.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (f *fields) u16() uint16 {
	if b := f.bytes(2); b != nil {
		return binary.LittleEndian.Uint16(b)
	}
	return 0
}

func (f *fields) u32() uint32 {
	if b := f.bytes(4); b != nil {
		return binary.LittleEndian.Uint32(b)
	}
	return 0
}

func (f *fields) u64() uint64 {
	if b := f.bytes(8); b != nil {
		return binary.LittleEndian.Uint64(b)
	}
	return 0
}

func (f *fields) micros() time.Duration { return time.Duration(f.u32()) * time.Microsecond }

func (f *fields) clock() time.Duration {
	return time.Duration(min(f.u64(), math.MaxInt64/uint64(time.Microsecond))) * time.Microsecond
}

// server reads an address and a port into one opaque number.
func (f *fields) server() balancer.EndpointID {
	addr := f.u32()
	return balancer.EndpointID(addr)<<16 | balancer.EndpointID(f.u16())
}

// Reply builds the reply to one batch in a buffer of its own.
type Reply struct {
	buf   []byte
	count uint32
}

// Begin starts the reply to batch number.
func (w *Reply) Begin(number uint32) {
	w.buf = append(w.buf[:0], make([]byte, replyHeader)...)
	binary.LittleEndian.PutUint32(w.buf[8:], number)
	w.count = 0
}

// Bytes returns the whole reply, valid until the next Begin.
func (w *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(w.buf, w.count)
	binary.LittleEndian.PutUint32(w.buf[4:], uint32(len(w.buf)-8))
	return w.buf
}

// Add appends one action of an instance. It reports an action that the wire
// cannot carry.
func (w *Reply) Add(instance uint16, a *balancer.Action) error {
	switch a.Kind {
	case balancer.Send:
		w.record(codeRoute, instance)
		w.u64(uint64(a.Request))
		w.micros(a.Timeout)
		w.server(a.Endpoint)
	case balancer.Shed:
		w.record(codeSayNo, instance)
		w.u64(uint64(a.Request))
		w.micros(a.RetryAfter)
	case balancer.Fail:
		w.record(codeRespondError, instance)
		w.u64(uint64(a.Request))
	case balancer.Cancel:
		w.record(codeWithdraw, instance)
		w.u64(uint64(a.Request))
		w.buf = append(w.buf, uint8(a.Attempt))
	case balancer.SetTimer:
		w.record(codeRemind, instance)
		w.micros(min(a.Delay, maxTimer))
		w.u32(a.Token)
	case balancer.Probe:
		w.record(codePing, instance)
		w.server(a.Endpoint)
	case balancer.CloseIdle:
		w.record(codeShutIdle, instance)
		w.server(a.Endpoint)
	case balancer.SendToPeer:
		if len(a.Payload) > maxPayload {
			return fmt.Errorf("a message of %d bytes to a peer is over %d", len(a.Payload), maxPayload)
		}
		w.record(codeMemoTo, instance)
		w.buf = binary.LittleEndian.AppendUint16(w.buf, a.Peer)
		w.text(string(a.Payload))
	case balancer.Subscribe:
		w.record(codeStreamChanges, instance)
		on := uint8(0)
		if a.Enabled {
			on = 1
		}
		w.buf = append(w.buf, on)
	case balancer.FetchEndpoints:
		w.record(codeRefresh, instance)
	case balancer.Log:
		w.record(codeLog, instance)
		w.text(a.Text)
	default:
		return fmt.Errorf("unknown kind of action %d", a.Kind)
	}
	return nil
}

// Abort appends the word that an instance's decision code broke down.
func (w *Reply) Abort(instance uint16, text string) {
	w.record(codeBailOut, instance)
	w.text(text)
}

func (w *Reply) record(code uint8, instance uint16) {
	w.count++
	w.buf = append(w.buf, code)
	w.buf = binary.LittleEndian.AppendUint16(w.buf, instance)
}

func (w *Reply) u32(v uint32) { w.buf = binary.LittleEndian.AppendUint32(w.buf, v) }
func (w *Reply) u64(v uint64) { w.buf = binary.LittleEndian.AppendUint64(w.buf, v) }

// micros rounds up, so that a short wait never becomes the wire's "absent".
func (w *Reply) micros(d time.Duration) {
	us := (max(d, 0) + time.Microsecond - 1) / time.Microsecond
	w.u32(uint32(min(us, math.MaxInt32)))
}

func (w *Reply) server(id balancer.EndpointID) {
	w.u32(uint32(id >> 16))
	w.buf = binary.LittleEndian.AppendUint16(w.buf, uint16(id))
}

func (w *Reply) text(s string) {
	s = s[:min(len(s), math.MaxUint16)]
	w.buf = binary.LittleEndian.AppendUint16(w.buf, uint16(len(s)))
	w.buf = append(w.buf, s...)
}
