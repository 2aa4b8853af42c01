package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
)

// readAhead reads the body of an answer. After the first bytes it reads in the background, so that the end of a long
// list is noticed before the list is decoded. It is not safe for concurrent use.
type readAhead struct {
	body  io.Reader
	onEnd func(start []byte)

	start  []byte // of the body; at least readSize bytes of a longer one
	length int    // bytes read so far

	block   []byte // rest of the block that is being decoded
	started bool   // the background reads have started: start and length belong to them
	running bool   // the background reads have started, and Read has not returned their error

	mu      sync.Mutex
	changed sync.Cond // on mu: signals a new block or the end of the body
	blocks  [][]byte  // read and not yet decoded; guarded by mu, bounded by the body's length
	failure error     // that ended the background reads; guarded by mu
}

// newReadAhead returns a reader of body. If body is longer than readSize, the reader calls onEnd in the background,
// with the start of body, as soon as all of it has been read.
func newReadAhead(body io.Reader, onEnd func(start []byte)) *readAhead {
	r := &readAhead{body: body, onEnd: onEnd}
	r.changed.L = &r.mu
	return r
}

// Read implements [io.Reader].
func (r *readAhead) Read(p []byte) (int, error) {
	if !r.started {
		n, err := r.body.Read(p)
		r.record(p[:n])
		if n > 0 && err == nil {
			r.started = true
			r.running = true
			go r.readBlocks()
		}
		return n, err
	}
	if len(r.block) == 0 {
		var err error
		if r.block, err = r.nextBlock(); err != nil {
			r.running = false
			return 0, err
		}
	}
	n := copy(p, r.block)
	r.block = r.block[n:]
	return n, nil
}

// nextBlock waits for the next block or the end of the body.
func (r *readAhead) nextBlock() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.blocks) == 0 && r.failure == nil {
		r.changed.Wait()
	}
	if len(r.blocks) == 0 {
		return nil, r.failure
	}
	block := r.blocks[0]
	r.blocks = r.blocks[1:]
	return block, nil
}

// record counts bytes that were read and keeps those at the start of the body.
func (r *readAhead) record(text []byte) {
	r.length += len(text)
	if len(r.start) < readSize {
		r.start = append(r.start, text...)
	}
}

// readBlocks reads the rest of the body, until it or its call ends.
func (r *readAhead) readBlocks() {
	buffer := make([]byte, readSize)
	for {
		n, err := r.body.Read(buffer)
		r.record(buffer[:n])
		if errors.Is(err, io.EOF) && r.length > readSize {
			r.onEnd(r.start)
		}
		r.queue(slices.Clone(buffer[:n]), err)
		if err != nil {
			return
		}
	}
}

// queue adds a block to those waiting to be decoded, with the error of its read, if any.
func (r *readAhead) queue(block []byte, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(block) > 0 {
		r.blocks = append(r.blocks, block)
	}
	r.failure = err
	r.changed.Signal()
}

// wait waits until the background reads have ended.
func (r *readAhead) wait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.failure == nil {
		r.changed.Wait()
	}
}

// leadingVersion returns the version of a list whose text begins with it, from the start of the text.
func leadingVersion(text []byte) (version uint64, ok bool) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	if open, err := decoder.Token(); err != nil || open != json.Delim('{') {
		return 0, false
	}
	token, err := decoder.Token()
	name, isName := token.(string)
	if err != nil || !isName || !strings.EqualFold(name, "index") {
		return 0, false
	}
	var index *uint64
	if err := decoder.Decode(&index); err != nil || index == nil {
		return 0, false
	}
	return *index, true
}
