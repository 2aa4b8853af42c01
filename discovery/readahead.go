package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
)

// maxBlocksAhead bounds what is read of an answer and not yet decoded: all of it, where its blocks are full.
const maxBlocksAhead = maxListBytes / readSize

// readAhead reads the body of an answer. What follows its first bytes is read in the background, so that the end of a
// long list is noticed before the list is decoded. One goroutine uses it.
type readAhead struct {
	body  io.Reader
	ctx   context.Context // ends the reading in the background
	ended func(start []byte)

	start   []byte      // of the body, at least readSize bytes if it is that long
	length  int         // bytes read
	blocks  chan []byte // nil until the reading in the background begins; closed at its end
	block   []byte      // what is left of the block that is being decoded
	failure error       // that ended the reading in the background; written before blocks is closed
	told    bool        // the failure has been returned
}

// newReadAhead reads body. Where that is longer than readSize, ended is called in the background with its start as soon
// as all of it has been read.
func newReadAhead(ctx context.Context, body io.Reader, ended func(start []byte)) *readAhead {
	return &readAhead{body: body, ctx: ctx, ended: ended}
}

// Read implements [io.Reader].
func (r *readAhead) Read(p []byte) (int, error) {
	if r.blocks == nil {
		n, err := r.body.Read(p)
		r.record(p[:n])
		if err == nil {
			r.blocks = make(chan []byte, maxBlocksAhead)
			go r.readBlocks()
		}
		return n, err
	}
	for len(r.block) == 0 {
		block, ok := <-r.blocks
		if !ok {
			r.told = true
			return 0, r.failure
		}
		r.block = block
	}
	n := copy(p, r.block)
	r.block = r.block[n:]
	return n, nil
}

// record notes bytes that were read.
func (r *readAhead) record(text []byte) {
	r.length += len(text)
	if len(r.start) < readSize {
		r.start = append(r.start, text...)
	}
}

// readBlocks reads the rest of the body.
func (r *readAhead) readBlocks() {
	defer close(r.blocks)
	buffer := make([]byte, readSize)
	for {
		n, err := r.body.Read(buffer)
		r.record(buffer[:n])
		if errors.Is(err, io.EOF) && r.length > readSize {
			r.ended(r.start)
		}
		if n > 0 && !r.queue(slices.Clone(buffer[:n])) {
			return
		}
		if err != nil {
			r.failure = err
			return
		}
	}
}

// queue adds a block to those that are to be decoded. It reports false if the reading has ended before.
func (r *readAhead) queue(block []byte) bool {
	select {
	case r.blocks <- block:
		return true
	case <-r.ctx.Done():
		r.failure = r.ctx.Err()
		return false
	}
}

// isRunning reports whether more of the body may still be read: Read has not returned its end.
func (r *readAhead) isRunning() bool { return r.blocks != nil && !r.told }

// wait waits for the end of the reading in the background.
func (r *readAhead) wait() {
	for range r.blocks {
		continue
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
