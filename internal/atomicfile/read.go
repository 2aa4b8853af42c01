package atomicfile

import (
	"os"
	"time"
)

// Retries of reads that fail with a transient error.
const (
	readTimeout  = 3 * time.Second
	readInterval = 20 * time.Millisecond
)

// Read reads a whole file. It retries transient errors for at most 3 s; other errors, such as a missing file or missing
// permission, are returned immediately.
func Read(path string) ([]byte, error) {
	for deadline := time.Now().Add(readTimeout); ; time.Sleep(readInterval) {
		text, err := os.ReadFile(path)
		if err == nil || !isAnyOf(err, transientErrors) || time.Now().After(deadline) {
			return text, err
		}
	}
}
