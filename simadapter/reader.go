package simadapter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"ryerill/balancer"
)

// readStep is by how much a frame is read at a time, whatever length it claims.
const readStep = 1 << 20

// errShort means that a record is truncated.
var errShort = errors.New("ends early")

// Reader reads batches. Its records are valid until the next batch. It is not safe for concurrent use.
type Reader struct {
	// Clock is the time of the present batch.
	Clock time.Duration
	// Number is the number of the present batch.
	Number uint32

	source      io.Reader
	frame       []byte
	position    int    // of the next record in the frame
	recordsLeft uint32 // of the present batch
	lists       [maxLists][]balancer.Endpoint
	defined     [maxLists]bool
	loadReports []float32 // of the present batch, one after another
}

// NewReader returns a Reader of source.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// NextBatch reads the next frame. It returns io.EOF at the end of the input, provided that this is not within a frame.
func (r *Reader) NextBatch() error {
	size, err := r.readLength()
	if err != nil {
		return err
	}
	if err := r.readFrame(size); err != nil {
		return err
	}
	f := fields{data: r.frame}
	clock := f.uint64()
	if clock > maxClock {
		return fmt.Errorf("after batch %d: clock %d is out of range", r.Number, clock)
	}
	r.Clock = time.Duration(clock) * time.Microsecond
	r.recordsLeft = f.uint32()
	r.Number = f.uint32()
	r.position = f.position
	r.loadReports = r.loadReports[:0]
	return nil
}

// readLength reads the length of the next frame.
func (r *Reader) readLength() (int, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(r.source, length[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return 0, io.EOF
		}
		return 0, fmt.Errorf("after batch %d: length of the next frame: %w", r.Number, err)
	}
	size := int(binary.LittleEndian.Uint32(length[:]))
	if size < batchHeaderSize {
		return 0, fmt.Errorf("after batch %d: a frame of %d bytes is shorter than its header", r.Number, size)
	}
	return size, nil
}

// readFrame reads a frame of a size into r.frame.
func (r *Reader) readFrame(size int) error {
	r.frame = r.frame[:0]
	for len(r.frame) < size {
		from := len(r.frame)
		to := min(size, from+readStep)
		if cap(r.frame) < to {
			r.frame = append(make([]byte, 0, min(2*to, size)), r.frame...)
		}
		r.frame = r.frame[:to]
		if n, err := io.ReadFull(r.source, r.frame[from:to]); err != nil {
			return fmt.Errorf("after batch %d: frame ends at byte %d of %d: %w",
				r.Number, from+n, size, io.ErrUnexpectedEOF)
		}
	}
	return nil
}

// NextRecord decodes the next record of the batch into record, resolving list numbers on the way. It returns io.EOF
// after the last one.
func (r *Reader) NextRecord(record *Record) error {
	for r.recordsLeft > 0 {
		r.recordsLeft--
		f := fields{data: r.frame, position: r.position}
		code := f.uint8()
		*record = Record{}
		var err error
		if code == codeDefineList {
			err = r.defineList(&f)
		} else {
			err = r.decode(code, &f, record)
		}
		if f.short {
			err = errShort
		}
		if err != nil {
			return fmt.Errorf("batch %d, byte %d, record code %d: %w", r.Number, r.position+lengthSize, code, err)
		}
		r.position = f.position
		if code != codeDefineList {
			return nil
		}
	}
	if r.position != len(r.frame) {
		return fmt.Errorf("batch %d: %d bytes after the last record", r.Number, len(r.frame)-r.position)
	}
	return io.EOF
}
