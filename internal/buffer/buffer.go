// Package buffer pools memory blocks of one size. They are used to read from connections and to hold message bodies
// until these have been forwarded.
package buffer

import (
	"bufio"
	"errors"
	"hash/maphash"
	"io"
	"net"
	"sync"
)

// Size is the size of every block in bytes.
const Size = 4 << 10

// ErrTooLarge is returned for a body longer than the limit that it is read with.
var ErrTooLarge = errors.New("body is too large")

// Pool allocates and reuses blocks and buffered readers. The zero value is ready to use. A Pool is safe for concurrent
// use.
type Pool struct {
	blocks, readers sync.Pool
}

// Reader returns a buffered reader of src, to be returned with [Pool.PutReader].
func (p *Pool) Reader(src io.Reader) *bufio.Reader {
	if r, ok := p.readers.Get().(*bufio.Reader); ok {
		r.Reset(src)
		return r
	}
	return bufio.NewReaderSize(src, Size)
}

// PutReader returns a reader to the pool. The caller must not use it afterwards.
func (p *Pool) PutReader(r *bufio.Reader) {
	r.Reset(nil)
	p.readers.Put(r)
}

func (p *Pool) block() *[Size]byte {
	if b, ok := p.blocks.Get().(*[Size]byte); ok {
		return b
	}
	return new([Size]byte)
}

// Body is a body held in blocks. A nil Body is empty.
type Body struct {
	pool   *Pool
	blocks []*[Size]byte
	size   int
}

// ReadBody reads src to its end. It returns [ErrTooLarge] if src holds more than limit bytes.
func (p *Pool) ReadBody(src io.Reader, limit int) (*Body, error) {
	b, whole, err := p.ReadPart(src, limit+1, nil)
	if err == nil && !whole {
		err = ErrTooLarge
	}
	if err != nil {
		b.Free()
		return nil, err
	}
	return b, nil
}

// ReadPart reads src until its end, until at least limit bytes are read, or until enough, called after each read that
// leaves the body nonempty, returns true; enough may be nil. complete reports whether the end of src was reached. On an
// error, ReadPart also returns what was read before.
func (p *Pool) ReadPart(src io.Reader, limit int, enough func() bool) (b *Body, complete bool, err error) {
	b = &Body{pool: p}
	for b.size < limit && (b.size == 0 || enough == nil || !enough()) {
		offset := b.size % Size
		if offset == 0 && len(b.blocks)*Size == b.size {
			b.blocks = append(b.blocks, p.block())
		}
		n, err := src.Read(b.blocks[len(b.blocks)-1][offset:])
		b.size += n
		if errors.Is(err, io.EOF) {
			return b, true, nil
		}
		if err != nil {
			return b, false, err
		}
	}
	return b, false, nil
}

// Block returns a block of [Size] bytes, to be returned with [Pool.PutBlock].
func (p *Pool) Block() *[Size]byte { return p.block() }

// PutBlock returns a block to the pool. The caller must not use it afterwards.
func (p *Pool) PutBlock(b *[Size]byte) { p.blocks.Put(b) }

// Len returns the length of the body.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.size
}

// AppendTo appends the body's blocks to v without copying their bytes. They are valid until Free.
func (b *Body) AppendTo(v net.Buffers) net.Buffers {
	for offset := 0; offset < b.Len(); offset += Size {
		v = append(v, b.blocks[offset/Size][:min(Size, b.size-offset)])
	}
	return v
}

// Free returns the body's blocks to the pool. The body is empty afterwards.
func (b *Body) Free() {
	if b == nil {
		return
	}
	for _, block := range b.blocks {
		b.pool.blocks.Put(block)
	}
	b.blocks, b.size = nil, 0
}

// Hash writes the body's bytes to hash.
func (b *Body) Hash(hash *maphash.Hash) {
	for offset := 0; offset < b.Len(); offset += Size {
		hash.Write(b.blocks[offset/Size][:min(Size, b.size-offset)])
	}
}
