package fleet

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"slices"
	"time"

	"ryerill/fleet/codec"
	"ryerill/fleet/membership"
)

// accept takes in the exchanges that others begin.
func (f *Fleet) accept() {
	defer f.all.Done()
	for {
		conn, err := f.tcp.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // short of descriptors: the others try again
			continue
		}
		select {
		case f.slots <- struct{}{}:
			f.all.Add(1)
			go f.answer(conn)
		default:
			f.mu.Lock()
			f.figures.ExchangesRefused++
			f.mu.Unlock()
			conn.SetLinger(0)
			conn.Close()
		}
	}
}

// answer answers one exchange: a view comes in, the difference goes out, and what
// was wanted comes in.
func (f *Fleet) answer(conn *net.TCPConn) {
	defer f.all.Done()
	defer func() { <-f.slots }()
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(exchangeTime))
	heads, err := f.receive(conn, membership.SyncRequest, membership.RolloutFetch)
	if err != nil {
		return
	}
	if heads.Kind == membership.RolloutFetch {
		f.answerFetch(conn)
		return
	}
	f.mu.Lock()
	f.figures.Exchanges++
	replies := f.handle(membership.Event{Kind: membership.SyncRequested, Message: heads})
	f.mu.Unlock()
	if len(replies) == 0 || f.deliver(conn, replies[0]) != nil {
		return
	}
	if len(replies[0].Requested) == 0 {
		return
	}
	if rest, err := f.receive(conn, membership.SyncFinal); err == nil {
		f.mu.Lock()
		f.handle(membership.Event{Kind: membership.SyncFinished, Message: rest})
		f.mu.Unlock()
	}
}

// exchange carries out one that begins here.
func (f *Fleet) exchange(address string, heads *membership.Message, number uint64) {
	defer f.all.Done()
	broken := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.handle(membership.Event{Kind: membership.SyncFailed, Exchange: number})
	}
	conn, err := net.DialTimeout("tcp", address, dialTime)
	if err != nil {
		broken()
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(exchangeTime))
	if f.deliver(conn, heads) != nil {
		broken()
		return
	}
	delta, err := f.receive(conn, membership.SyncResponse)
	if err != nil {
		broken()
		return
	}
	f.mu.Lock()
	replies := f.handle(membership.Event{Kind: membership.SyncAnswered, Message: delta, Exchange: number})
	f.mu.Unlock()
	if len(replies) > 0 && len(delta.Requested) > 0 {
		f.deliver(conn, replies[0])
	}
}

// deliver writes one message, after its length.
func (f *Fleet) deliver(w io.Writer, m *membership.Message) error {
	f.mu.Lock()
	text, err := f.codec.Encode(m)
	f.figures.ExchangeBytes += uint64(len(text))
	f.mu.Unlock()
	if err != nil {
		return err
	}
	if len(text) > codec.MaxSyncMessage {
		return codec.ErrLarge
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(text)), uint32(len(text))), text...))
	return err
}

// receive reads one message of some kinds.
func (f *Fleet) receive(conn net.Conn, kinds ...membership.MessageKind) (*membership.Message, error) {
	var size [4]byte
	if _, err := io.ReadFull(conn, size[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(size[:]))
	f.mu.Lock()
	f.figures.ExchangeBytes += uint64(min(n, codec.MaxSyncMessage))
	if n > codec.MaxSyncMessage {
		f.bad(codec.ErrLarge, conn.RemoteAddr().String())
	}
	f.mu.Unlock()
	if n > codec.MaxSyncMessage {
		return nil, codec.ErrLarge
	}
	// No more memory than has come, whatever length was claimed.
	text, err := io.ReadAll(io.LimitReader(conn, int64(n)))
	if err != nil || len(text) < n {
		return nil, errors.Join(err, io.ErrUnexpectedEOF)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m, err := f.codec.Decode(text, codec.MaxSyncMessage)
	if err == nil && !slices.Contains(kinds, m.Kind) {
		err = codec.ErrMalformed
	}
	if err != nil {
		f.bad(err, conn.RemoteAddr().String())
		return nil, err
	}
	return m, nil
}
