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
	maxQueuedLines = 256 // that may wait to be written

	// Bytes that may be written at once. A log is no place for what repeats for ever, but it must not fall silent
	// either: the allowance refills at so many bytes a second, 5 MB a day.
	burstBytes           = 4 << 20
	refillBytesPerSecond = 64
)

// New returns a logger to w that lives as long as the process, of lines of a level and above it. Lines that w is too
// slow for are dropped, and so is what exceeds the log's allowance; the next line that passes says how many.
func New(w io.Writer, level slog.Leveler) *slog.Logger { return newLogger(w, level, time.Now) }

func newLogger(w io.Writer, level slog.Leveler, now func() time.Time) *slog.Logger {
	q := &queue{lines: make(chan []byte, maxQueuedLines), now: now, allowance: burstBytes, refilledAt: now()}
	go func() {
		for line := range q.lines {
			_, _ = w.Write(line) // the reader may have gone: that is no reason to end
		}
	}()
	return slog.New(slog.NewTextHandler(q, &slog.HandlerOptions{Level: level}))
}

// queue passes lines on to the goroutine that writes them.
type queue struct {
	lines chan []byte
	now   func() time.Time

	// mu guards what follows.
	mu         sync.Mutex
	allowance  float64 // bytes
	refilledAt time.Time
	dropped    int // lines since the last that passed
}

// Write queues a line, or drops it. It never waits and never fails.
func (q *queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.allowance = min(q.allowance+refillBytesPerSecond*now.Sub(q.refilledAt).Seconds(), burstBytes)
	q.refilledAt = now
	var text []byte
	if q.dropped > 0 {
		text = fmt.Appendf(text, "time=%s level=WARN msg=\"lines dropped\" lines=%d\n",
			now.Format(time.RFC3339), q.dropped)
	}
	text = append(text, line...)
	if float64(len(text)) > q.allowance {
		q.dropped++
		return len(line), nil
	}
	select {
	case q.lines <- text:
		q.allowance -= float64(len(text))
		q.dropped = 0
	default:
		q.dropped++
	}
	return len(line), nil
}
