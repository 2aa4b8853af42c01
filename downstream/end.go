package downstream

import (
	"errors"
	"os"
)

// endReason is why a connection has ended.
type endReason string

// The reasons; the management endpoint names them.
const (
	endAfterResponse  endReason = "closed after a response"
	endTruncated      endReason = "response not written whole"
	endClientLeft     endReason = "client left before its response"
	endClosedByClient endReason = "closed by the client"
	endRejected       endReason = "request rejected"
	endIdle           endReason = "no request in time"
	endEvicted        endReason = "evicted or shut down"
	endUnread         endReason = "refused unread"
)

// idleEnd is why a connection ends that has brought no further request, but an error.
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

// finalReasonLocked is why the connection has ended. The server's mutex is held.
func (c *conn) finalReasonLocked() endReason {
	if c.truncated {
		return endTruncated
	}
	return c.end
}
