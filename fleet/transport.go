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
	maxListenAttempts = 50 // with ports chosen by the system
)

// Names of message faults that package codec does not detect.
const (
	faultFlood   = "flood"
	faultRollout = "of a rollout, torn"
)

// Stats counts frames and bytes since the start.
type Stats struct {
	FramesIn         uint64            `json:"FramesIn"`
	FramesOut        uint64            `json:"FramesOut"`
	BytesIn          uint64            `json:"BytesIn"`
	BytesOut         uint64            `json:"BytesOut"`
	Exchanges        uint64            `json:"Exchanges"`        // synchronizations started by other replicas
	ExchangesRefused uint64            `json:"ExchangesRefused"` // inbound connections beyond the limit
	ExchangeBytes    uint64            `json:"ExchangeBytes"`    // bytes over connections, in both directions
	Invalid          map[string]uint64 `json:"Bad"`              // dropped frames, by fault
	Unsent           uint64            `json:"Unsent"`
}

// transport sends and receives fleet messages in datagrams and over connections. It is safe for
// concurrent use.
type transport struct {
	log       *throttledLogger
	overrides map[string]string // addresses by replica name
	udp       *net.UDPConn
	tcp       *net.TCPListener

	mu      sync.Mutex // guards the fields below
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

// listen opens a UDP and a TCP socket with the same port. If the system chooses the port, a free
// UDP port may be in use for TCP: listen then tries another.
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

// statistics returns a copy of the counters.
func (t *transport) statistics() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := t.stats
	stats.Invalid = maps.Clone(t.stats.Invalid)
	return stats
}

// count updates the counters.
func (t *transport) count(change func(stats *Stats)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.stats)
}

// override returns the configured address of a replica, or else the address it advertises.
func (t *transport) override(name, address string) string {
	if own := t.overrides[name]; own != "" {
		return own
	}
	return address
}

// send sends a message as a datagram. A failure is counted and logged, and the datagram is lost.
func (t *transport) send(name, address string, message *membership.Message) {
	address = t.override(name, address)
	size, err := t.sendDatagram(address, message)
	if err != nil {
		t.count(func(stats *Stats) { stats.Unsent++ })
		t.log.warnThrottled("fleet datagram not sent",
			"replica", name, "address", address, "bytes", size, "err", err)
		return
	}
	t.count(func(stats *Stats) {
		stats.FramesOut++
		stats.BytesOut += uint64(size)
	})
}

// sendDatagram encodes and sends a message and returns the size of the datagram.
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

// readDatagrams passes each valid datagram to receive until the transport is closed.
func (t *transport) readDatagrams(receive func(message *membership.Message, address string)) {
	buffer := make([]byte, codec.MaxDatagram+1)
	var backoff socket.Backoff
	for {
		n, from, err := t.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an ICMP error for a datagram sent earlier, or a temporary error
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

// decodeDatagram returns nil if it drops the datagram.
func (t *transport) decodeDatagram(frame []byte, from string) *membership.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.FramesIn++
	t.stats.BytesIn += uint64(len(frame))
	// Frames that no member can have sent must not use up the credit for members' frames.
	if err := t.codec.CheckHead(frame, codec.MaxDatagram); err != nil {
		t.drop(err, from)
		return nil
	}
	if !t.sources.spend(time.Now(), from) {
		t.stats.Invalid[faultFlood]++
		t.log.warnThrottled("fleet datagrams dropped: rate limit exceeded",
			"limit", maxUnverifiedRate, "address", from)
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

// drop counts and logs a dropped frame, which is never answered. Callers must hold mu.
func (t *transport) drop(err error, from string) {
	for _, fault := range codec.Errors {
		if errors.Is(err, fault) {
			t.stats.Invalid[fault.Error()]++
			if t.log.allow(fault.Error()) {
				t.log.Warn("fleet frame dropped", "address", from, "reason", fault.Error(), "err", err)
			}
			return
		}
	}
}

// lengthSize is the number of bytes of the length prefix of a message.
const lengthSize = 4

// write writes one message with its length prefix to a connection.
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

// read reads one message from a connection, which must be of one of the given kinds.
func (t *transport) read(conn net.Conn, kinds ...membership.MessageKind) (*membership.Message, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(conn, length[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(length[:]))
	if err := t.admit(size, conn); err != nil {
		return nil, err
	}
	// ReadAll allocates memory only for bytes that arrive, whatever length the peer claims.
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

// admit counts the bytes of an announced message and rejects a message that is too large.
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
