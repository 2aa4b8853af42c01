// Package faultlog counts and logs calls of the system that fail, and why connections end.
package faultlog

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Consequence is what followed from a call that failed.
type Consequence string

// The consequences.
const (
	Retried   Consequence = "retried"    // the call is made again
	GivenUp   Consequence = "given up"   // what the call was for has failed
	PeerEnded Consequence = "peer ended" // the other side has ended the connection: nothing is wrong here
)

const (
	maxKinds    = 256             // of faults and of ends that are counted apart; further ones count as other
	quietPeriod = 2 * time.Second // a row of faults has ended when it has had none for so long
	otherKind   = "other"
)

// Fault is a kind of failed call.
type Fault struct {
	Place       string      `json:"place"` // the listener or pool, or what else made the call
	Call        string      `json:"call"`
	Error       string      `json:"error"` // its name, such as ENOBUFS
	Consequence Consequence `json:"consequence"`
}

// FaultCount is how often calls have failed in one way.
type FaultCount struct {
	Fault
	Count int64 `json:"count"`
}

// Counts are all counts since the start.
type Counts struct {
	Faults []FaultCount     `json:"failed_calls"`
	Ends   map[string]int64 `json:"connection_ends"` // by reason
}

// Recorder counts failed calls. It logs the first of several in a row, and their number when the row has ended. It is
// safe for concurrent use, and nil records nothing.
type Recorder struct {
	log *slog.Logger

	// mu guards what follows.
	mu     sync.Mutex
	counts map[Fault]int64
	rows   map[Fault]*row
	ends   map[string]int64
}

// row is several faults of a kind in a row.
type row struct {
	began time.Time
	count int64
	quiet *time.Timer // ends the row
}

// New returns a recorder that logs to log.
func New(log *slog.Logger) *Recorder {
	return &Recorder{
		log:    log,
		counts: make(map[Fault]int64),
		rows:   make(map[Fault]*row),
		ends:   make(map[string]int64),
	}
}

// Failed records a call that failed with err. id names the request that it was for, and may be empty.
func (r *Recorder) Failed(place, call string, err error, consequence Consequence, id string) {
	if r == nil {
		return
	}
	fault := Fault{Place: place, Call: call, Error: errorName(err), Consequence: consequence}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.counts[fault]; !known && len(r.counts) >= maxKinds {
		fault = Fault{Place: otherKind, Call: otherKind, Error: otherKind, Consequence: consequence}
	}
	r.counts[fault]++
	if consequence == PeerEnded {
		return // clients and endpoints come and go
	}
	current := r.rows[fault]
	if current != nil {
		current.count++
		current.quiet.Reset(quietPeriod)
		return
	}
	r.log.Warn("system call failed", "place", place, "call", call, "err", err, "consequence", string(consequence),
		"request", id)
	r.rows[fault] = &row{
		began: time.Now(),
		count: 1,
		quiet: time.AfterFunc(quietPeriod, func() { r.endRow(fault) }),
	}
}

// endRow logs how many faults a row had. One that a fault has just joined goes on.
func (r *Recorder) endRow(fault Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := r.rows[fault]
	if ended == nil {
		return
	}
	delete(r.rows, fault)
	r.log.Info("system call fails no more", "place", fault.Place, "call", fault.Call, "err", fault.Error,
		"consequence", string(fault.Consequence), "count", ended.count,
		"duration", time.Since(ended.began).Round(time.Millisecond))
}

// Ended records why a connection has ended.
func (r *Recorder) Ended(reason string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.ends[reason]; !known && len(r.ends) >= maxKinds {
		reason = otherKind
	}
	r.ends[reason]++
}

// Counts returns all counts, the faults in a fixed order.
func (r *Recorder) Counts() Counts {
	counts := Counts{Faults: []FaultCount{}, Ends: map[string]int64{}}
	if r == nil {
		return counts
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for fault, count := range r.counts {
		counts.Faults = append(counts.Faults, FaultCount{fault, count})
	}
	slices.SortFunc(counts.Faults, func(a, b FaultCount) int {
		return cmp.Compare(fmt.Sprint(a.Fault), fmt.Sprint(b.Fault))
	})
	for reason, count := range r.ends {
		counts.Ends[reason] = count
	}
	return counts
}

// errorName is the name of a system's error, or the text of another.
func errorName(err error) string {
	var number syscall.Errno
	if errors.As(err, &number) {
		if name := unix.ErrnoName(number); name != "" {
			return name
		}
	}
	for inner := errors.Unwrap(err); inner != nil; inner = errors.Unwrap(err) {
		err = inner
	}
	return err.Error()
}
