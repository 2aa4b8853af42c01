package repeater

import (
	"sync"
	"time"
)

// Execution is one execution of a request.
type Execution struct {
	Endpoint int
	At       time.Time
	EndedAt  time.Time // zero while it runs
	Whole    bool      // its response was sent whole, before the proxy had ended the connection
}

// Ledger records which endpoints have executed which requests, and how often. It is safe for concurrent use.
type Ledger struct {
	mu          sync.Mutex
	executions  map[string][]*Execution // by the request's id
	unsolicited int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{executions: make(map[string][]*Execution)} }

// begin records that an endpoint begins to execute a request.
func (l *Ledger) begin(id string, endpoint int) *Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	execution := &Execution{Endpoint: endpoint, At: time.Now()}
	l.executions[id] = append(l.executions[id], execution)
	return execution
}

// end records the end of an execution.
func (l *Ledger) end(execution *Execution, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	execution.EndedAt = time.Now()
	execution.Whole = whole
}

func (l *Ledger) sentUnsolicited() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unsolicited++
}

// Unsolicited returns how often an endpoint has sent what nobody asked for.
func (l *Ledger) Unsolicited() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unsolicited
}

// Executions returns the executions of a request, in their order.
func (l *Ledger) Executions(id string) (all []Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, execution := range l.executions[id] {
		all = append(all, *execution)
	}
	return all
}
