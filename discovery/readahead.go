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

// readAhead reads the body of an answer. What follows its first bytes is read in the background, so that the end of a
// long list is noticed before the list is decoded. One goroutine uses it.
type readAhead struct {
	body  io.Reader
	ended func(start []byte)

	start  []byte // of the body, at least readSize bytes if it is that long
	length int    // bytes read

	block   []byte // what is left of the block that is being decoded
	begun   bool   // the reading in the background has: start and length belong to it
	running bool   // it has begun, and Read has not returned its end

	mu      sync.Mutex
	changed sync.Cond // of mu: a block has been read, or the end
	blocks  [][]byte  // read and not yet decoded; guarded by mu, bounded by the body's length
	failure error     // that ended the reading in the background; guarded by mu
}

// newReadAhead reads body. Where that is longer than readSize, ended is called in the background with its start as soon
// as all of it has been read.
func newReadAhead(body io.Reader, ended func(start []byte)) *readAhead {
	r := &readAhead{body: body, ended: ended}
	r.changed.L = &r.mu
	return r
}

// Read implements [io.Reader].
func (r *readAhead) Read(p []byte) (int, error) {
	if !r.begun {
		n, err := r.body.Read(p)
		r.record(p[:n])
		if n > 0 && err == nil {
			r.begun = true
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

// nextBlock waits for the next block that has been read, or for the end.
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

// record notes bytes that were read.
func (r *readAhead) record(text []byte) {
	r.length += len(text)
	if len(r.start) < readSize {
		r.start = append(r.start, text...)
	}
}

// readBlocks reads the rest of the body, until its end or that of its call.
func (r *readAhead) readBlocks() {
	buffer := make([]byte, readSize)
	for {
		n, err := r.body.Read(buffer)
		r.record(buffer[:n])
		if errors.Is(err, io.EOF) && r.length > readSize {
			r.ended(r.start)
		}
		r.queue(slices.Clone(buffer[:n]), err)
		if err != nil {
			return
		}
	}
}

// queue adds a block to those that are to be decoded, and the error that came with it, if any.
func (r *readAhead) queue(block []byte, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(block) > 0 {
		r.blocks = append(r.blocks, block)
	}
	r.failure = err
	r.changed.Signal()
}

// wait waits for the end of the reading in the background.
func (r *readAhead) wait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.failure == nil {
		r.changed.Wait()
	}
}

// leadingVersion returns the version of a list whose text begins with it.
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
