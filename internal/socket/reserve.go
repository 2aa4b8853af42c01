package socket

import (
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// OutOfDescriptors reports whether err means that this process or machine currently lacks descriptors or memory. Such
// an error does not concern the peer.
func OutOfDescriptors(err error) bool {
	for _, fault := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, fault) {
			return true
		}
	}
	return false
}

// Reserve holds open descriptors that can be freed when the process has no others left. It is safe for concurrent use.
type Reserve struct {
	// mu guards the following fields.
	mu          sync.Mutex
	size        int
	descriptors []int
}

// NewReserve returns a reserve of n descriptors, or of as many as are available now.
func NewReserve(n int) *Reserve {
	r := &Reserve{size: n}
	r.Fill()
	return r
}

// Lend frees one descriptor of the reserve for the next call that needs one. It reports false if none is left. Fill
// replaces lent descriptors.
func (r *Reserve) Lend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := len(r.descriptors) - 1
	if last < 0 {
		return false
	}
	closeDescriptor(r.descriptors[last])
	r.descriptors = r.descriptors[:last]
	return true
}

// Fill replaces lent descriptors as far as there are free ones, and moves the reserve to the lowest free numbers. After
// the descriptor limit is lowered, only numbers below it can be opened, so freeing a higher one would not help. Fill
// reports whether the reserve is full.
func (r *Reserve) Fill() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moveToLowNumbersLocked()
	for len(r.descriptors) < r.size {
		fd, err := openReserved()
		if err != nil {
			return false
		}
		r.descriptors = append(r.descriptors, fd)
	}
	return true
}

// Exhausted reports whether the process can't open one more descriptor now, or the reserve is not full. It
// distinguishes a persistent lack from a single failed call.
func (r *Reserve) Exhausted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.descriptors) < r.size {
		return true // the next free descriptor is used to fill the reserve
	}
	fd, err := openReserved()
	if err != nil {
		return true
	}
	closeDescriptor(fd)
	return false
}

// Close frees the whole reserve. Fill does not refill it afterwards.
func (r *Reserve) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, fd := range r.descriptors {
		closeDescriptor(fd)
	}
	r.descriptors = nil
	r.size = 0
}

// moveToLowNumbersLocked moves descriptors to lower free numbers, the highest first. Callers must hold r.mu.
func (r *Reserve) moveToLowNumbersLocked() {
	for range r.descriptors {
		slices.Sort(r.descriptors)
		highest := len(r.descriptors) - 1
		lowest, err := unix.FcntlInt(uintptr(r.descriptors[highest]), unix.F_DUPFD_CLOEXEC, 0)
		if err != nil { // no descriptor is free
			return
		}
		if lowest > r.descriptors[highest] {
			closeDescriptor(lowest)
			return
		}
		closeDescriptor(r.descriptors[highest])
		r.descriptors[highest] = lowest
	}
}

// openReserved opens a placeholder descriptor.
func openReserved() (int, error) { return unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0) }

// closeDescriptor closes a descriptor of /dev/null. Its errors are ignored: there is no data to lose.
func closeDescriptor(fd int) { _ = unix.Close(fd) }

// Bounds of the pause after a call that failed for lack of a resource.
const (
	minPause = time.Millisecond
	maxPause = 50 * time.Millisecond
)

// Backoff computes the pauses after consecutive failures. Its zero value is ready to use.
type Backoff struct {
	Max time.Duration // upper bound of the pause if below maxPause; 0 is none

	last time.Duration
}

// Next returns the pause after another failure: twice the previous one, within the bounds.
func (b *Backoff) Next() time.Duration {
	longest := maxPause
	if b.Max > 0 {
		longest = min(longest, b.Max)
	}
	b.last = min(max(2*b.last, minPause), longest)
	return b.last
}

// Reset records a success: the next pause is the shortest again.
func (b *Backoff) Reset() { b.last = 0 }
