package upstream

import (
	"io"
	"net"
	"testing"
	"time"

	"ryerill/balancer"
	"ryerill/internal/buffer"
	"ryerill/message"
)

// endlessUpload never ends.
type endlessUpload struct{}

func (endlessUpload) Read(p []byte) (int, error) { return len(p), nil }
func (endlessUpload) Consumed() bool             { return false }

// The write of an upload ends with its limit. It is evidence against the endpoint only if that has taken nothing: a
// slow one would be taken for one that is down, and get no requests.
func TestUploadEndsAtItsLimit(t *testing.T) {
	for _, tc := range []struct {
		name    string
		takes   bool // the endpoint takes bytes after the limit was set
		outcome balancer.Outcome
		end     UploadEnd
	}{
		{"slow endpoint", true, balancer.NotSent, UploadTooSlow},
		{"silent endpoint", false, balancer.ConnectFailed, UploadStalled},
	} {
		t.Run(tc.name, func(t *testing.T) {
			silent := make(chan struct{})
			defer close(silent)
			address, _ := serveRequests(t, func(c net.Conn) {
				if tc.takes {
					io.Copy(io.Discard, c)
				}
				<-silent
			})
			p := NewPool(newConnectionBudget(1), time.Minute, 5*time.Second, new(buffer.Pool))
			defer p.Close()
			a := newAttempt(address)
			a.Request.Method = "POST"
			a.Request.Stream = endlessUpload{}
			a.Request.Length = message.UnknownLength
			const limit = 500 * time.Millisecond
			began := time.Now()
			time.AfterFunc(limit, func() { a.LimitDeadline(began.Add(2 * limit)) })
			outcome, _ := p.Do(a)
			took := time.Since(began)
			if outcome != tc.outcome || a.Upload() != tc.end || took < 2*limit || took > 4*limit {
				t.Errorf("got outcome %v, upload end %d after %v, want %v and %d after %v", outcome, a.Upload(), took, tc.outcome, tc.end, 2*limit)
			}
		})
	}
}
