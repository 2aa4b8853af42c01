package realtime

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// usage is what a process has used.
type usage struct {
	CPU     time.Duration
	Memory  int64 // bytes, its peak
	Sockets int   // descriptors; the most seen
}

// max returns the greater figure of both, each for itself.
func (u usage) max(other usage) usage {
	return usage{
		CPU:     max(u.CPU, other.CPU),
		Memory:  max(u.Memory, other.Memory),
		Sockets: max(u.Sockets, other.Sockets),
	}
}

// clockTick is the unit of CPU times in /proc: USER_HZ, 100 on all of Linux's platforms that Go has.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat after the name of the program, by proc(5).
const (
	statUserTime   = 11
	statSystemTime = 12
)

// readUsage reads what a process has used until now.
func readUsage(pid int) (usage, error) {
	cpu, err := readCPUTime(pid)
	if err != nil {
		return usage{}, err
	}
	memory, err := readPeakMemory(pid)
	if err != nil {
		return usage{}, err
	}
	read := usage{CPU: cpu, Memory: memory}
	if descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		read.Sockets = len(descriptors)
	}
	return read, nil
}

func readCPUTime(pid int) (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= statSystemTime {
		return 0, errors.New("unknown form of /proc/PID/stat")
	}
	user, err := strconv.ParseInt(fields[statUserTime], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("unknown form of /proc/PID/stat: %w", err)
	}
	system, err := strconv.ParseInt(fields[statSystemTime], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("unknown form of /proc/PID/stat: %w", err)
	}
	return time.Duration(user+system) * clockTick, nil
}

// readPeakMemory reads the peak of a process's resident memory, in bytes; 0 if the system doesn't state it.
func readPeakMemory(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		value, ok := strings.CutPrefix(line, "VmHWM:")
		if !ok {
			continue
		}
		number := strings.TrimSuffix(strings.TrimSpace(value), "kB")
		kilobytes, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("unknown form of /proc/PID/status: %w", err)
		}
		return kilobytes << 10, nil
	}
	return 0, nil
}

// measure reads what the proxy's process uses, if it has one, and returns the greatest figures until now.
func (i *instance) measure() usage {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil && i.cmd.Process != nil {
		if used, err := readUsage(i.cmd.Process.Pid); err == nil {
			i.usage = i.usage.max(used)
		}
	}
	return i.usage
}

// descriptors returns how many the proxy's process holds now; 0 for an embedded proxy.
func (i *instance) descriptors() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil || i.cmd.Process == nil {
		return 0
	}
	used, err := readUsage(i.cmd.Process.Pid)
	if err != nil {
		return 0
	}
	return used.Sockets
}
