package logging

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// lines passes on what is written, line by line.
type lines chan string

func (l lines) Write(p []byte) (int, error) {
	for line := range bytes.Lines(p) {
		l <- string(line)
	}
	return len(p), nil
}

// A log that has had its size must not be silent for good: what happens in the
// months after matters too. And it says what is missing.
func TestTheLogComesBack(t *testing.T) {
	now := time.Unix(1000, 0)
	out := make(lines, 8192)
	log := newLogger(out, slog.LevelInfo, func() time.Time { return now })
	long := strings.Repeat("x", 64<<10)
	for range 2 * burstBytes / len(long) {
		log.Info(long)
	}
	now = now.Add(time.Hour)
	log.Info("after an hour")
	for {
		select {
		case line := <-out:
			if strings.Contains(line, "after an hour") {
				return
			}
			if strings.Contains(line, "lines dropped") && !strings.Contains(line, "lines=0") {
				t.Log(strings.TrimSpace(line))
			}
		case <-time.After(20 * time.Second):
			t.Fatal("the log stays silent")
		}
	}
}

// A reader that stalls holds up nobody, and one that is gone ends nothing.
func TestNobodyWaitsForTheReader(t *testing.T) {
	r, w := io.Pipe()
	log := New(w, slog.LevelInfo)
	for range 4 * maxQueuedLines { // nobody reads
		log.Info("a line")
	}
	r.Close()
	for range 4 * maxQueuedLines {
		log.Info("a line")
	}
}
