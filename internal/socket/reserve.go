package socket

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// OutOfDescriptors reports whether err says that this process or machine has no descriptor
// or memory to spare now: it says nothing of the other side.
func OutOfDescriptors(err error) bool {
	for _, fault := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, fault) {
			return true
		}
	}
	return false
}

// Reserve keeps descriptors aside for when the process has no other left. It is
// safe for concurrent use.
type Reserve struct {
	mu   sync.Mutex
	most int
	kept []int
}

// NewReserve keeps n descriptors, or as many as there are.
func NewReserve(n int) *Reserve {
	r := &Reserve{most: n}
	r.Fill()
	return r
}

// Lend lets one go, for the next call that needs a descriptor. It reports false
// if there is none left. Fill takes it back.
func (r *Reserve) Lend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := len(r.kept) - 1
	if last < 0 {
		return false
	}
	unix.Close(r.kept[last])
	r.kept = r.kept[:last]
	return true
}

// Fill takes back what was lent, as far as there are descriptors. It reports
// whether all is back.
func (r *Reserve) Fill() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.kept) < r.most {
		fd, err := unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
		if err != nil {
			return false
		}
		r.kept = append(r.kept, fd)
	}
	return true
}

// Close lets all of it go, for good.
func (r *Reserve) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, fd := range r.kept {
		unix.Close(fd)
	}
	r.kept, r.most = nil, 0
}

// How long a call that has failed for want of something waits before the next.
const (
	leastPause = time.Millisecond
	mostPause  = 50 * time.Millisecond
)

// Backoff is how long to wait after failures in a row. Its zero value is ready.
type Backoff struct{ last time.Duration }

// Next returns the pause after one more failure: twice the last, within bounds.
func (p *Backoff) Next() time.Duration {
	p.last = min(max(2*p.last, leastPause), mostPause)
	return p.last
}

// Reset notes a success.
func (p *Backoff) Reset() { p.last = 0 }
