package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"ryerill/fleet/codec"
	"ryerill/fleet/membership"
	"ryerill/internal/socket"
)

const (
	maxListenAttempts = 50 // at ports that the system chooses
)

// The names of faults of messages that package codec does not find.
const (
	faultFlood   = "flood"
	faultRollout = "of a rollout, torn"
)

// Stats count frames and bytes since the start.
type Stats struct {
	FramesIn         uint64            `json:"FramesIn"`
	FramesOut        uint64            `json:"FramesOut"`
	BytesIn          uint64            `json:"BytesIn"`
	BytesOut         uint64            `json:"BytesOut"`
	Exchanges        uint64            `json:"Exchanges"`        // synchronizations that others started
	ExchangesRefused uint64            `json:"ExchangesRefused"` // connections beyond the bound
	ExchangeBytes    uint64            `json:"ExchangeBytes"`    // over connections, both ways
	Invalid          map[string]uint64 `json:"Bad"`              // dropped frames by their fault
	Unsent           uint64            `json:"Unsent"`
}

// transport sends and receives the messages of a fleet, as datagrams and over
// connections. It is safe for concurrent use.
type transport struct {
	log       *throttledLogger
	overrides map[string]string // addresses by name
	udp       *net.UDPConn
	tcp       *net.TCPListener

	mu      sync.Mutex // guards what follows
	codec   *codec.Codec
	stats   Stats
	sources *sourceCredits
}

// newTransport opens the sockets.
func newTransport(cfg *Config, log *throttledLogger) (*transport, error) {
	frames, err := codec.New(cfg.Fleet, cfg.Keys)
	if err != nil {
		return nil, fmt.Errorf("fleet: key: %w", err)
	}
	address, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet: listen: %w", err)
	}
	udp, tcp, err := listen(address)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return &transport{
		log:       log,
		overrides: cfg.AddressOverrides,
		udp:       udp,
		tcp:       tcp,
		codec:     frames,
		stats:     Stats{Invalid: map[string]uint64{}},
		sources:   newSourceCredits(),
	}, nil
}

// listen opens both sockets at one port. Where the system chooses the port, one that is
// free for datagrams may be taken for connections: then another is tried.
func listen(address netip.AddrPort) (udp *net.UDPConn, tcp *net.TCPListener, err error) {
	for attempts := 0; ; attempts++ {
		udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		if err != nil {
			return nil, nil, err
		}
		port := uint16(udp.LocalAddr().(*net.UDPAddr).Port)
		tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(address.Addr(), port)))
		if err == nil {
			return udp, tcp, nil
		}
		udp.Close()
		if address.Port() != 0 || attempts > maxListenAttempts {
			return nil, nil, err
		}
	}
}

func (t *transport) listenAddress() netip.AddrPort { return t.tcp.Addr().(*net.TCPAddr).AddrPort() }

func (t *transport) close() {
	t.udp.Close()
	t.tcp.Close()
}

func (t *transport) setKeys(keys [][]byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.codec.SetKeys(keys)
}

// statistics returns a copy of the counts.
func (t *transport) statistics() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.stats
	stats.Invalid = maps.Clone(t.stats.Invalid)
	return stats
}

// count changes the counts.
func (t *transport) count(change func(stats *Stats)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.stats)
}

// override returns the address by which this replica reaches another, which advertises
// address.
func (t *transport) override(name, address string) string {
	if own := t.overrides[name]; own != "" {
		return own
	}
	return address
}

// send sends a datagram. One that can't be sent counts as lost.
func (t *transport) send(name, address string, message *membership.Message) {
	address = t.override(name, address)
	size, err := t.sendDatagram(address, message)
	if err != nil {
		t.count(func(stats *Stats) { stats.Unsent++ })
		t.log.warnOccasionally("fleet datagram can't be sent",
			"replica", name, "address", address, "bytes", size, "err", err)
		return
	}
	t.count(func(stats *Stats) {
		stats.FramesOut++
		stats.BytesOut += uint64(size)
	})
}

// sendDatagram returns the size of the datagram.
func (t *transport) sendDatagram(address string, message *membership.Message) (size int, err error) {
	frame, err := t.encode(message)
	if err != nil {
		return 0, err
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return len(frame), err
	}
	if len(frame) > codec.MaxDatagram {
		return len(frame), codec.ErrLarge
	}
	_, err = t.udp.WriteToUDPAddrPort(frame, to)
	return len(frame), err
}

func (t *transport) encode(message *membership.Message) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.codec.Encode(message)
}

// readDatagrams hands each valid datagram to receive, until the transport is closed.
func (t *transport) readDatagrams(receive func(message *membership.Message, address string)) {
	buffer := make([]byte, codec.MaxDatagram+1)
	var backoff socket.Backoff
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // the network's answer to something that was sent, or a fault that passes
			time.Sleep(backoff.Next())
			continue
		}
		backoff.Reset()
		address := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
		if message := t.decodeDatagram(buffer[:n], address); message != nil {
			receive(message, address)
		}
	}
}

// decodeDatagram returns nil for a datagram that is dropped.
func (t *transport) decodeDatagram(frame []byte, from string) *membership.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.FramesIn++
	t.stats.BytesIn += uint64(len(frame))
	// Only what may be a member's takes of the rate: strangers must not have members' frames dropped.
	if err := t.codec.CheckHead(frame, codec.MaxDatagram); err != nil {
		t.drop(err, from)
		return nil
	}
	if !t.sources.spend(time.Now(), from) {
		t.stats.Invalid[faultFlood]++
		t.log.warnOccasionally("more fleet datagrams than are decoded are dropped",
			"limit", maxStrangerRate, "address", from)
		return nil
	}
	message, err := t.codec.Decode(frame, codec.MaxDatagram)
	if err != nil {
		t.drop(err, from)
		return nil
	}
	t.sources.addMember(from)
	return message
}

// drop counts a frame that is dropped. It is never answered. The mutex is held.
func (t *transport) drop(err error, from string) {
	for _, fault := range codec.Errors {
		if errors.Is(err, fault) {
			t.stats.Invalid[fault.Error()]++
			if t.log.occasionally(fault.Error()) {
				t.log.Warn("fleet frame dropped", "address", from, "reason", fault.Error(), "err", err)
			}
			return
		}
	}
}

// lengthSize is how many bytes the length of a message takes before it.
const lengthSize = 4

// write writes one message to a connection, after its length.
func (t *transport) write(w io.Writer, message *membership.Message) error {
	frame, err := t.encode(message)
	if err != nil {
		return err
	}
	t.count(func(stats *Stats) { stats.ExchangeBytes += uint64(len(frame)) })
	if len(frame) > codec.MaxSyncMessage {
		return codec.ErrLarge
	}
	text := binary.BigEndian.AppendUint32(make([]byte, 0, lengthSize+len(frame)), uint32(len(frame)))
	_, err = w.Write(append(text, frame...))
	return err
}

// read reads one message of the given kinds from a connection.
func (t *transport) read(conn net.Conn, kinds ...membership.MessageKind) (*membership.Message, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(conn, length[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(length[:]))
	if err := t.admit(size, conn); err != nil {
		return nil, err
	}
	// No more memory is taken than has arrived, whatever length was claimed.
	frame, err := io.ReadAll(io.LimitReader(conn, int64(size)))
	if err != nil || len(frame) < size {
		return nil, errors.Join(err, io.ErrUnexpectedEOF)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	message, err := t.codec.Decode(frame, codec.MaxSyncMessage)
	if err == nil && !slices.Contains(kinds, message.Kind) {
		err = codec.ErrMalformed
	}
	if err != nil {
		t.drop(err, conn.RemoteAddr().String())
		return nil, err
	}
	return message, nil
}

// admit counts the bytes of a message that is announced, and refuses one that is too
// large.
func (t *transport) admit(size int, conn net.Conn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.ExchangeBytes += uint64(min(size, codec.MaxSyncMessage))
	if size > codec.MaxSyncMessage {
		t.drop(codec.ErrLarge, conn.RemoteAddr().String())
		return codec.ErrLarge
	}
	return nil
}
