package processes

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// OpenFiles returns how many file descriptors a process holds; 0 if that can't be read.
func OpenFiles(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// ResidentMB returns the memory that a process holds, in MB; 0 if that can't be read.
func ResidentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text)) // the size and the resident size come first, in pages
	if len(fields) < 2 {
		return 0
	}
	resident, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

// Fields of /proc/PID/stat, after the name of the program.
const (
	userTimeField   = 11
	systemTimeField = 12
	ticksASecond    = 100 // of processor time
)

// processorTime returns the processor time that a process has taken.
func processorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemTimeField {
		return 0, fmt.Errorf("process %d: its times can't be read", pid)
	}
	user, userErr := strconv.Atoi(fields[userTimeField])
	system, systemErr := strconv.Atoi(fields[systemTimeField])
	if userErr != nil || systemErr != nil {
		return 0, fmt.Errorf("process %d: its times can't be read", pid)
	}
	return time.Duration(user+system) * time.Second / ticksASecond, nil
}
