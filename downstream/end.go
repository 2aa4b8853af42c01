package downstream

import (
	"errors"
	"os"
)

// endReason is the reason why a connection ended.
type endReason string

// The reasons, as the management endpoint reports them.
const (
	endAfterResponse  endReason = "closed after a response"
	endTruncated      endReason = "response not written whole"
	endWithheld       endReason = "response too long before the kill"
	endClientLeft     endReason = "client left before its response"
	endClosedByClient endReason = "closed by the client"
	endRejected       endReason = "request rejected"
	endIdle           endReason = "no request in time"
	endEvicted        endReason = "evicted or shut down"
	endUnread         endReason = "refused unread"
)

// idleEnd returns the reason why a connection ended whose wait for the next request failed with err.
func (c *conn) idleEnd(err error) endReason {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return endClosedByClient
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.evicted {
		return endEvicted
	}
	return endIdle
}

// finalReasonLocked returns the reason why the connection ended. Callers must hold server.mu.
func (c *conn) finalReasonLocked() endReason {
	switch {
	case c.truncated:
		return endTruncated
	case c.withheld:
		return endWithheld
	}
	return c.end
}
