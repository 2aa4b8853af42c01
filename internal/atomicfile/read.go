package atomicfile

import (
	"os"
	"time"
)

// A file that can't be read for a fault that may pass is read again for so long, at these intervals.
const (
	readTimeout  = 3 * time.Second
	readInterval = 20 * time.Millisecond
)

// Read reads a whole file. While the disk or the machine fails in a way that may pass, it tries again, for 3 s at most;
// a file that is missing or not permitted is an error at once.
func Read(path string) ([]byte, error) {
	for deadline := time.Now().Add(readTimeout); ; time.Sleep(readInterval) {
		text, err := os.ReadFile(path)
		if err == nil || !isOneOf(err, passingFaults) || time.Now().After(deadline) {
			return text, err
		}
	}
}
