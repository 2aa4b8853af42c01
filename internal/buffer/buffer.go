// Package buffer keeps blocks of one size and uses them again: for reading
// from connections and for holding bodies until they have been passed on.
package buffer

import (
	"bufio"
	"errors"
	"hash/maphash"
	"io"
	"net"
	"sync"
)

// Size is the size of every block.
const Size = 4 << 10

// ErrTooLarge says that a body is longer than the limit it was read with.
var ErrTooLarge = errors.New("body is too large")

// Pool hands out blocks and readers and takes them back. The zero value is
// ready, and a Pool may be used from many goroutines.
type Pool struct {
	blocks, readers sync.Pool
}

// Reader returns a buffered reader of src.
func (p *Pool) Reader(src io.Reader) *bufio.Reader {
	if r, ok := p.readers.Get().(*bufio.Reader); ok {
		r.Reset(src)
		return r
	}
	return bufio.NewReaderSize(src, Size)
}

// PutReader takes a reader back. It must not be used any more.
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

// ReadBody reads src to its end, limit bytes at most.
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

// ReadPart reads src to its end, or until it has so many bytes, or enough says
// after some that they will do; nil never does. It reports whether it has met the
// end. What was read before an error is returned with it.
func (p *Pool) ReadPart(src io.Reader, limit int, enough func() bool) (b *Body, whole bool, err error) {
	b = &Body{pool: p}
	for b.size < limit && (b.size == 0 || enough == nil || !enough()) {
		at := b.size % Size
		if at == 0 && len(b.blocks)*Size == b.size {
			b.blocks = append(b.blocks, p.block())
		}
		n, err := src.Read(b.blocks[len(b.blocks)-1][at:])
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

// Block returns a block of [Size] bytes, to be given back.
func (p *Pool) Block() *[Size]byte { return p.block() }

// PutBlock takes a block back. It must not be used any more.
func (p *Pool) PutBlock(b *[Size]byte) { p.blocks.Put(b) }

// Len returns the length of the body.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.size
}

// AppendTo appends the body's blocks to v. They are valid until Free.
func (b *Body) AppendTo(v net.Buffers) net.Buffers {
	for at := 0; at < b.Len(); at += Size {
		v = append(v, b.blocks[at/Size][:min(Size, b.size-at)])
	}
	return v
}

// Free gives the blocks back. The body is empty afterwards.
func (b *Body) Free() {
	if b == nil {
		return
	}
	for _, block := range b.blocks {
		b.pool.blocks.Put(block)
	}
	b.blocks, b.size = nil, 0
}

// Hash adds the body to a hash.
func (b *Body) Hash(hash *maphash.Hash) {
	for at := 0; at < b.Len(); at += Size {
		hash.Write(b.blocks[at/Size][:min(Size, b.size-at)])
	}
}
