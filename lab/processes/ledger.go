package processes

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	endpointTime  = 2 * time.Millisecond   // that an endpoint takes for a request at first
	lateTolerance = 200 * time.Millisecond // beyond a deadline, for the machine
	maxFaults     = 5                      // lost requests that a sum describes
)

// Ledger records the requests of the simulated clients, and what the simulated endpoints
// executed of them: the proxies have no part in it. Methods are safe for concurrent use.
type Ledger struct {
	serviceTime     atomic.Int64 // nanoseconds that an endpoint takes
	failingEndpoint atomic.Int64 // its index and one; 0 is none
	injectedErrors  atomic.Int64 // that the failing endpoint has answered
	excuseFailures  atomic.Bool

	mu      sync.Mutex // guards entries and what they hold
	entries map[string]*entry
}

// entry is one request.
type entry struct {
	class      string
	replica    int
	sentAt     time.Time
	answeredAt time.Time // zero while it is open
	status     int       // 0 without a whole answer
	isBroken   bool      // it got no whole answer, or a wrong one
	fault      string    // why
	isExcused  bool      // its replica was killed, stopped or asked to end while it was open
	wasStopped bool      // its replica stood still while it was open: its answer may be late
	executions int
}

func newLedger() *Ledger {
	l := &Ledger{entries: map[string]*entry{}}
	l.SetServiceTime(endpointTime)
	return l
}

// SetServiceTime sets how long an endpoint takes for a request.
func (l *Ledger) SetServiceTime(d time.Duration) { l.serviceTime.Store(int64(d)) }

// FailEndpoint makes one endpoint answer all requests with errors; an index below 0 makes
// none.
func (l *Ledger) FailEndpoint(index int) { l.failingEndpoint.Store(int64(index + 1)) }

// InjectedErrors returns how many errors the failing endpoint has answered.
func (l *Ledger) InjectedErrors() int { return int(l.injectedErrors.Load()) }

// ExcuseFailures excuses the failures that are answered from now on, or no more: settings
// that are meant to fail are rolled out.
func (l *Ledger) ExcuseFailures(on bool) { l.excuseFailures.Store(on) }

// endpoint returns the handler of the simulated endpoint of an index. It answers a request
// with its id.
func (l *Ledger) endpoint(index int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Req-Id")
		// What can't be read or written any more shows in the entry of the client.
		_, _ = io.Copy(io.Discard, r.Body)
		l.recordExecution(id)
		if l.failingEndpoint.Load() == int64(index+1) {
			l.injectedErrors.Add(1)
			http.Error(w, "no", http.StatusInternalServerError)
			return
		}
		time.Sleep(time.Duration(l.serviceTime.Load()))
		_, _ = io.WriteString(w, id)
	})
}

func (l *Ledger) recordExecution(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil {
		e.executions++
	}
}

// recordSent records a request that is about to be sent.
func (l *Ledger) recordSent(id, class string, replica int) *entry {
	e := &entry{class: class, replica: replica, sentAt: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[id] = e
	return e
}

// recordBroken records that a request got no whole answer.
func (l *Ledger) recordBroken(e *entry, err error, isExcused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.answeredAt = time.Now()
	e.isBroken = true
	e.isExcused = isExcused
	e.fault = err.Error()
}

// recordAnswer records an answer. That of a served request has to be its id. wasStopped is whether the replica stood
// still meanwhile.
func (l *Ledger) recordAnswer(e *entry, status int, isID, wasStopped bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.wasStopped = wasStopped
	e.answeredAt = time.Now()
	if l.excuseFailures.Load() && status >= http.StatusInternalServerError {
		e.isExcused = true
		return
	}
	e.status = status
	e.isBroken = status == http.StatusOK && !isID
}

// Served returns the fraction of the requests sent in a period that were served, of those
// that were answered, and the count of these. What is excused does not count.
func (l *Ledger) Served(from, to time.Time) (fraction float64, answered int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	served := 0
	for _, e := range l.entries {
		if e.sentAt.Before(from) || !e.sentAt.Before(to) || e.isExcused || e.answeredAt.IsZero() {
			continue
		}
		answered++
		if e.status == http.StatusOK && !e.isBroken {
			served++
		}
	}
	return float64(served) / float64(max(answered, 1)), answered
}

// Sum is the sum of a ledger. Failures print it with the names of its fields.
type Sum struct {
	Faults   []string // of the first requests that were lost
	Requests int
	Served   int
	Shed     int
	Failed   int
	Lost     int // no answer, or a wrong one, of a replica that was up
	Late     int
	Repeated int         // unsafe requests that were executed more than once
	Excused  int         // and those that are still open
	Copies   map[int]int // served, by replica
}

// Sum adds the ledger up.
func (l *Ledger) Sum() Sum {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := Sum{Copies: map[int]int{}}
	for _, e := range l.entries {
		sum.add(e)
	}
	return sum
}

func (s *Sum) add(e *entry) {
	s.Requests++
	if e.class == unsafeClass && e.executions > 1 {
		s.Repeated++
	}
	if e.answeredAt.IsZero() || e.isExcused {
		s.Excused++
		return
	}
	switch {
	case e.isBroken:
		s.Lost++
		if len(s.Faults) < maxFaults {
			s.Faults = append(s.Faults, e.describeFault())
		}
	case e.status == http.StatusOK:
		s.Served++
		s.Copies[e.replica]++
	case e.status == http.StatusTooManyRequests || e.status == http.StatusServiceUnavailable:
		s.Shed++
	default:
		s.Failed++
	}
	if !e.wasStopped && e.answeredAt.Sub(e.sentAt) > requestTimeout+lateTolerance {
		s.Late++
	}
}

func (e *entry) describeFault() string {
	return fmt.Sprintf("%s at copy %d, asked at %s, over after %v: %s",
		e.class, e.replica, e.sentAt.Format("15:04:05.000"), e.answeredAt.Sub(e.sentAt), e.fault)
}
