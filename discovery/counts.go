package discovery

import (
	"errors"
	"maps"
	"sync"
	"time"
)

// CallStage is the stage at which a call to a discovery service failed.
type CallStage string

// Stages of a call.
const (
	StageConnect   CallStage = "connect"    // the connection was not opened
	StageFirstByte CallStage = "first byte" // the request was not sent, or no answer began
	StageRejected  CallStage = "rejected"   // the status of the answer was not 200
	StageBody      CallStage = "body"       // the answer was incomplete
	StageContent   CallStage = "content"    // not a list, or changes to an unknown list
)

// rejectedError is the error for an answer with a status other than 200.
type rejectedError struct{ status string }

func (e *rejectedError) Error() string { return "answered " + e.status }

// failedStage returns the stage at which a call failed after its connection was open.
func (r *pacedReader) failedStage(err error) CallStage {
	var rejected *rejectedError
	switch {
	case errors.As(err, &rejected):
		return StageRejected
	case !r.hasBegun():
		return StageFirstByte
	case r.failed:
		return StageBody
	}
	return StageContent
}

// CallCounts counts the calls of a client since it was created.
type CallCounts struct {
	Answered    int64               `json:"answered"`
	Failed      map[CallStage]int64 `json:"failed"` // by stage; without calls that the client itself ended
	Bytes       int64               `json:"bytes"`  // of all answers, including truncated ones
	Withdrawn   int64               `json:"withdrawn_before_the_end"`
	Watches     int64               `json:"watches"`         // started
	WatchesLost int64               `json:"watches_lost"`    // ended by a failed call
	LongestRead time.Duration       `json:"longest_read_ns"` // from the first to the last byte of an answer
	AnsweredAt  time.Time           `json:"-"`               // last accepted list; zero if none
}

// callCounter counts the calls of a client. It is safe for concurrent use.
type callCounter struct {
	mu     sync.Mutex
	counts CallCounts
}

// answered counts a call whose list was accepted.
func (c *callCounter) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Answered++
	c.counts.AnsweredAt = time.Now()
}

// failed counts a call that failed at a stage.
func (c *callCounter) failed(stage CallStage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts.Failed == nil {
		c.counts.Failed = make(map[CallStage]int64)
	}
	c.counts.Failed[stage]++
}

// read counts the bytes of an answer and the time it took to read.
func (c *callCounter) read(answer *pacedReader) {
	if !answer.hasBegun() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Bytes += int64(answer.received)
	c.counts.LongestRead = max(c.counts.LongestRead, answer.lastReadAt.Sub(answer.began))
}

// withdrawn counts endpoints withdrawn by a list before all of it had been read.
func (c *callCounter) withdrawn(endpoints int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Withdrawn += int64(endpoints)
}

// watchBegan counts a started watch.
func (c *callCounter) watchBegan() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Watches++
}

// watchLost counts a watch that was ended by a failed call.
func (c *callCounter) watchLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.WatchesLost++
}

// Counts returns a copy of the counts so far.
func (c *Client) Counts() CallCounts {
	c.calls.mu.Lock()
	defer c.calls.mu.Unlock()
	counts := c.calls.counts
	counts.Failed = maps.Clone(counts.Failed)
	return counts
}
