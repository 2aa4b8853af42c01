// Package logging writes log lines without ever making their writer wait.
package logging

import (
	"io"
	"log/slog"
	"sync/atomic"
)

const (
	waiting = 256     // lines that may wait to be written
	most    = 4 << 20 // bytes in all: a log is no place for what repeats for ever
)

// New returns a logger to w. Lines that w is too slow for are dropped, and so
// is everything once the log has reached its size.
func New(w io.Writer) *slog.Logger {
	q := &queue{lines: make(chan []byte, waiting)}
	go func() {
		for line := range q.lines {
			w.Write(line)
		}
	}()
	return slog.New(slog.NewTextHandler(q, nil))
}

type queue struct {
	lines   chan []byte
	written atomic.Int64
}

// Write hands a line to the one that writes.
func (q *queue) Write(line []byte) (int, error) {
	if q.written.Add(int64(len(line))) < most {
		select {
		case q.lines <- append([]byte(nil), line...):
		default:
		}
	}
	return len(line), nil
}
