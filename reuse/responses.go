package reuse

const (
	rememberedResponses = 1024 // of all connections of a pool
	maxCommon           = 16   // kinds of response; beyond that equality says nothing
	minResponses        = 4    // before equality is judged
)

// Digest stands for the bytes of a response.
type Digest uint64

// Responses remembers which connection has brought which response. A response that a connection brings for the second
// time is a copy of the first, unless another connection has brought it as well: then it is common to many requests,
// such as an empty one.
type Responses struct {
	latest [rememberedResponses]remembered
	common map[Digest]struct{}
	count  int
}

type remembered struct {
	digest     Digest
	connection uint64
}

// NewResponses returns a memory without any response.
func NewResponses() *Responses { return &Responses{common: make(map[Digest]struct{})} }

// Record records a response that a connection has brought.
func (r *Responses) Record(digest Digest, connection uint64) {
	r.count++
	slot := &r.latest[digest%rememberedResponses]
	if slot.digest == digest && slot.connection != connection && len(r.common) < maxCommon {
		r.common[digest] = struct{}{}
	}
	*slot = remembered{digest, connection}
}

// Suffice reports whether so many responses are known that those that are common stand out. Before that no connection
// is to be used twice.
func (r *Responses) Suffice() bool { return r.count >= minResponses }

// ToldApart reports whether a response that a connection brings for the second time is a copy.
func (r *Responses) ToldApart(digest Digest) bool {
	_, common := r.common[digest]
	return !common && len(r.common) < maxCommon
}

// History is the last responses that one connection has brought.
type History struct {
	digests [maxRemembered]Digest
	count   int // of all responses so far
}

// maxRemembered is how many responses of a connection are remembered.
const maxRemembered = 8

// Add adds a response.
func (h *History) Add(digest Digest) {
	h.digests[h.count%maxRemembered] = digest
	h.count++
}

// Holds reports whether a response is among those remembered.
func (h *History) Holds(digest Digest) bool {
	for _, known := range h.digests[:min(h.count, maxRemembered)] {
		if known == digest {
			return true
		}
	}
	return false
}
