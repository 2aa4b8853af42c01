package fleet

import (
	"log/slog"
	"sync"
	"time"
)

// throttleInterval is how often a message is logged at most, where it could be for each
// frame.
const throttleInterval = 10 * time.Second

// throttledLogger is a logger that can also limit how often each message is logged.
type throttledLogger struct {
	*slog.Logger

	mu       sync.Mutex           // guards loggedAt
	loggedAt map[string]time.Time // by message, when it was logged last
}

func newThrottledLogger(log *slog.Logger) *throttledLogger {
	return &throttledLogger{Logger: log, loggedAt: map[string]time.Time{}}
}

// occasionally reports whether a message, or one kind of it, may be logged now.
func (l *throttledLogger) occasionally(message string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.loggedAt[message]) < throttleInterval {
		return false
	}
	l.loggedAt[message] = now
	return true
}

// warnOccasionally logs a warning, but not too often.
func (l *throttledLogger) warnOccasionally(message string, args ...any) {
	if l.occasionally(message) {
		l.Warn(message, args...)
	}
}

// errorOccasionally logs an error, but not too often.
func (l *throttledLogger) errorOccasionally(message string, args ...any) {
	if l.occasionally(message) {
		l.Error(message, args...)
	}
}
