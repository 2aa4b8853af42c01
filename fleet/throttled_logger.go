package fleet

import (
	"log/slog"
	"sync"
	"time"
)

// throttleInterval is the minimum time between two log lines of the same message, which could
// otherwise be logged for each frame.
const throttleInterval = 10 * time.Second

// throttledLogger is a logger that can also limit the rate of each message.
type throttledLogger struct {
	*slog.Logger

	mu       sync.Mutex           // guards loggedAt
	loggedAt map[string]time.Time // time of the latest log line, by message
}

func newThrottledLogger(log *slog.Logger) *throttledLogger {
	return &throttledLogger{Logger: log, loggedAt: map[string]time.Time{}}
}

// allow reports whether a message, identified by key, may be logged now.
func (l *throttledLogger) allow(key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.loggedAt[key]) < throttleInterval {
		return false
	}
	l.loggedAt[key] = now
	return true
}

// warnThrottled logs a warning at most once per throttleInterval.
func (l *throttledLogger) warnThrottled(message string, args ...any) {
	if l.allow(message) {
		l.Warn(message, args...)
	}
}

// errorThrottled logs an error at most once per throttleInterval.
func (l *throttledLogger) errorThrottled(message string, args ...any) {
	if l.allow(message) {
		l.Error(message, args...)
	}
}
