package simadapter

import (
	"errors"
	"fmt"

	"ryerill/balancer"
)

// RecordKind is the kind of a Record.
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
	Settings string // as ParseSettings reads them
	Event    balancer.Event
}

// The protocol's codes of enumerated fields, in the order of their numbers.
var (
	listKinds = [...]balancer.ListKind{balancer.ListFull, balancer.ListCached, balancer.ListFailed,
		balancer.ListChanges}
	endpointStates = [...]balancer.EndpointState{balancer.Gone, balancer.Ready, balancer.Draining}
	outcomes       = [...]balancer.Outcome{balancer.OK, balancer.Error, balancer.Rejected, balancer.Timeout,
		balancer.ConnectFailed, balancer.Reset, balancer.Cancelled, balancer.NotSent}
)

// decode reads the fields after a record's code. Where fields are missing, f.short is set and what it returns does not
// count.
func (r *Reader) decode(code uint8, f *fields, record *Record) error {
	record.Instance = f.uint16()
	event := &record.Event
	switch code {
	case codeInstanceStarted:
		record.Kind = Start
		record.Seed = f.uint64()
		record.Settings = string(f.bytes(int(f.uint32())))
	case codeInstanceStopped:
		record.Kind = Stop
	case codeEndpointList:
		return r.decodeEndpointList(f, event)
	case codeRequestArrived:
		decodeRequestArrived(f, event)
	case codeStreamStarted:
		event.Kind = balancer.StreamStarted
		event.Request = f.requestID()
		event.Attempt = int(f.uint8())
		event.Endpoint = f.endpointID()
		event.Elapsed = f.duration()
	case codeAttemptEnded:
		return r.decodeAttemptEnded(f, event)
	case codeClientLeft:
		event.Kind = balancer.ClientLeft
		event.Request = f.requestID()
	case codeTimerFired:
		event.Kind = balancer.TimerFired
		event.Token = f.uint32()
	case codeProbeEnded:
		return r.decodeProbeEnded(f, event)
	case codePeerMessage:
		event.Kind = balancer.PeerMessageReceived
		event.Peer = f.uint32()
		event.Payload = f.bytes(int(f.uint16()))
	default:
		return errors.New("unknown code")
	}
	return nil
}

func (r *Reader) decodeEndpointList(f *fields, event *balancer.Event) error {
	event.Kind = balancer.EndpointListUpdated
	kind := f.uint8()
	event.Version = f.uint64()
	list := f.uint8()
	if f.short {
		return nil
	}
	if int(kind) >= len(listKinds) {
		return fmt.Errorf("unknown form %d of a list", kind)
	}
	event.ListKind = listKinds[kind]
	if event.ListKind == balancer.ListFailed {
		return nil
	}
	if int(list) >= maxLists || !r.defined[list] {
		return fmt.Errorf("list %d was never defined", list)
	}
	event.Endpoints = r.lists[list]
	return nil
}

func decodeRequestArrived(f *fields, event *balancer.Event) {
	event.Kind = balancer.RequestArrived
	event.Request = f.requestID()
	event.Class = int(f.uint8())
	event.Tenant = int(f.uint32())
	event.Key = f.uint64()
	event.Remaining = f.duration()
	expectedWork := f.duration()
	flags := f.uint8()
	if flags&flagExpectedWork != 0 {
		event.ExpectedWork = expectedWork
	}
	event.ClientRetry = flags&flagClientRetry != 0
	event.Write = flags&flagWrite != 0
}

func (r *Reader) decodeAttemptEnded(f *fields, event *balancer.Event) error {
	event.Kind = balancer.AttemptEnded
	event.Request = f.requestID()
	outcome := f.uint8()
	event.RequestClosed = f.uint8() != 0
	event.Attempt = int(f.uint8())
	event.Elapsed = f.duration()
	event.Endpoint = f.endpointID()
	r.decodeLoadReport(f, event)
	return decodeOutcome(outcome, event)
}

func (r *Reader) decodeProbeEnded(f *fields, event *balancer.Event) error {
	event.Kind = balancer.ProbeEnded
	event.Endpoint = f.endpointID()
	outcome := f.uint8()
	event.Elapsed = f.duration()
	r.decodeLoadReport(f, event)
	return decodeOutcome(outcome, event)
}

func decodeOutcome(code uint8, event *balancer.Event) error {
	if int(code) >= len(outcomes) {
		return fmt.Errorf("unknown outcome %d", code)
	}
	event.Outcome = outcomes[code]
	return nil
}

// decodeLoadReport reads a load report, if there is one.
func (r *Reader) decodeLoadReport(f *fields, event *balancer.Event) {
	count := int(f.uint8())
	if count == 0 {
		return
	}
	if count*4 > f.remaining() {
		f.short = true
		return
	}
	from := len(r.loadReports)
	for range count {
		r.loadReports = append(r.loadReports, f.float32())
	}
	to := len(r.loadReports)
	event.LoadReport = r.loadReports[from:to:to]
}

// defineList reads a list for later records to name.
func (r *Reader) defineList(f *fields) error {
	number := f.uint8()
	count := int(f.uint32())
	if f.short {
		return nil
	}
	if int(number) >= maxLists {
		return fmt.Errorf("list number %d is above %d", number, maxLists-1)
	}
	if count > f.remaining()/listEntrySize {
		f.short = true
		return nil
	}
	// A list gets a slice of its own: events decoded earlier may still hold the one that it replaces.
	list := make([]balancer.Endpoint, count)
	for i := range list {
		if err := decodeEndpoint(f, &list[i]); err != nil {
			return fmt.Errorf("entry %d: %w", i, err)
		}
	}
	r.lists[number] = list
	r.defined[number] = true
	return nil
}

func decodeEndpoint(f *fields, e *balancer.Endpoint) error {
	e.Kind = int(f.uint8())
	e.Weight = float64(f.float32())
	e.Zone = int(f.uint8())
	e.Cell = int(f.uint16())
	e.StartedAt = f.clockTime()
	e.ID = f.endpointID()
	state := f.uint8()
	if int(state) >= len(endpointStates) {
		return fmt.Errorf("unknown state %d", state)
	}
	e.State = endpointStates[state]
	return nil
}
