package reuse

const (
	maxResponses = 1024 // per pool
	maxCommon    = 16   // common responses; with more, a repetition proves nothing
	minResponses = 4    // recorded before connections are reused
)

// Digest is a hash of the bytes of a response.
type Digest uint64

// Responses records which responses were received on which connection. A response received twice on one connection is
// a copy, unless it was also received on another connection: then it is common to many requests, like an empty
// response.
type Responses struct {
	latest [maxResponses]responseRecord
	common map[Digest]struct{}
	count  int
}

type responseRecord struct {
	digest     Digest
	connection uint64
}

// NewResponses returns an empty record.
func NewResponses() *Responses { return &Responses{common: make(map[Digest]struct{})} }

// Record records a response received on a connection.
func (r *Responses) Record(digest Digest, connection uint64) {
	r.count++
	slot := &r.latest[digest%maxResponses]
	if slot.digest == digest && slot.connection != connection && len(r.common) < maxCommon {
		r.common[digest] = struct{}{}
	}
	*slot = responseRecord{digest, connection}
}

// Suffices reports whether enough responses are recorded to recognize the common ones. Until then no connection may be
// reused.
func (r *Responses) Suffices() bool { return r.count >= minResponses }

// IsDistinctive reports whether a second occurrence of a response on one connection must be a copy: the response is not
// a common one, and common ones are few.
func (r *Responses) IsDistinctive(digest Digest) bool {
	_, common := r.common[digest]
	return !common && len(r.common) < maxCommon
}

// History holds the latest responses received on one connection.
type History struct {
	digests [historySize]Digest
	count   int // all responses added so far
}

// historySize is the number of responses in a History.
const historySize = 8

// Add adds a response, and removes the oldest one if the history is full.
func (h *History) Add(digest Digest) {
	h.digests[h.count%historySize] = digest
	h.count++
}

// Contains reports whether the history contains a response.
func (h *History) Contains(digest Digest) bool {
	for _, known := range h.digests[:min(h.count, historySize)] {
		if known == digest {
			return true
		}
	}
	return false
}
