// Package logging writes log lines without ever making their writer wait.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	waiting = 256     // lines that may wait to be written
	burst   = 4 << 20 // bytes at once; a log is no place for what repeats for ever,
	pace    = 64      // but it must not fall silent: bytes a second that come back, 5 MB a day
)

// New returns a logger to w. Lines that w is too slow for are dropped, and so is
// what comes faster than the log's pace; the next line that passes says how many.
func New(w io.Writer) *slog.Logger { return newLogger(w, time.Now) }

func newLogger(w io.Writer, now func() time.Time) *slog.Logger {
	q := &queue{lines: make(chan []byte, waiting), now: now, room: burst, at: now()}
	go func() {
		for line := range q.lines {
			w.Write(line) // to nobody, perhaps: that is no reason to end
		}
	}()
	return slog.New(slog.NewTextHandler(q, nil))
}

type queue struct {
	lines chan []byte
	now   func() time.Time

	mu      sync.Mutex
	room    float64 // bytes
	at      time.Time
	dropped int // lines since the last that passed
}

// Write hands a line to the one that writes.
func (q *queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.room = min(q.room+pace*now.Sub(q.at).Seconds(), burst)
	q.at = now
	text := append([]byte(nil), line...)
	if q.dropped > 0 {
		text = append(fmt.Appendf(nil, "time=%s level=WARN msg=\"lines dropped\" lines=%d\n", now.Format(time.RFC3339), q.dropped), text...)
	}
	if float64(len(text)) > q.room {
		q.dropped++
		return len(line), nil
	}
	select {
	case q.lines <- text:
		q.room -= float64(len(text))
		q.dropped = 0
	default:
		q.dropped++
	}
	return len(line), nil
}
