package realtime

import (
	"bytes"
	"strings"
	"sync"
	"sync/atomic"
)

// maxLogTail is how many bytes of a proxy's log are kept, its last ones.
const maxLogTail = 8 << 10

// logTail keeps the end of a log. It is safe for concurrent use.
type logTail struct {
	reloads atomic.Int64 // reloads that were logged

	mu   sync.Mutex // guards text
	text []byte
}

// reloadedMessage is what a proxy logs when it has a new configuration.
var reloadedMessage = []byte("configuration reloaded")

// Write appends to the log; it never fails.
func (t *logTail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reloads.Add(int64(bytes.Count(b, reloadedMessage)))
	t.text = append(t.text, b...)
	if excess := len(t.text) - maxLogTail; excess > 0 {
		t.text = append(t.text[:0], t.text[excess:]...)
	}
	return len(b), nil
}

// String returns the end of the log, without white space around it.
func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.TrimSpace(string(t.text))
}
