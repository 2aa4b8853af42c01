// Package relay plays the laboratory's bad network on loopback: between each pair
// of processes stands a relay, one for each direction, for datagrams and streams
// at one port. A process is told the relay's address for each other one, so that
// both ends of what passes are known.
package relay

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	badnet "ryerill/lab/faultnet"
)

const (
	most   = 64 << 10              // bytes of a datagram, and of a piece of a stream
	stuck  = 20 * time.Millisecond // between looks at a way that is cut, for streams
	dial   = time.Second
	linger = 30 * time.Second // a stream on which nothing passes for so long ends
)

// Relays are the ways among a number of processes. Methods are safe for
// concurrent use.
type Relays struct {
	start time.Time
	rng   uint64

	mu    sync.Mutex
	net   *badnet.Network
	real  map[string]netip.AddrPort
	ways  map[[2]string]*way
	conns map[net.Conn]struct{}
	ended bool
	all   sync.WaitGroup
}

// way is the relay from one process to another.
type way struct {
	r        *Relays
	from, to string
	udp      *net.UDPConn
	tcp      *net.TCPListener
	back     netip.AddrPort // where from's datagrams come from
}

// New returns relays that behave as n says. n must be changed by Do alone.
func New(n *badnet.Network) *Relays {
	return &Relays{start: time.Now(), net: n, real: map[string]netip.AddrPort{}, ways: map[[2]string]*way{}, conns: map[net.Conn]struct{}{}}
}

// Add tells where a process is.
func (r *Relays) Add(name string, at netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.real[name] = at
}

// Do changes or reads the network.
func (r *Relays) Do(change func(*badnet.Network)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.net)
}

// Way is the address by which one process reaches another.
func (r *Relays) Way(from, to string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.ways[[2]string{from, to}]; w != nil {
		return w.tcp.Addr().String(), nil
	}
	if r.ended {
		return "", errors.New("the relays have ended")
	}
	w := &way{r: r, from: from, to: to}
	for tries := 0; ; tries++ {
		var err error
		if w.tcp, err = net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
			return "", err
		}
		w.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: w.tcp.Addr().(*net.TCPAddr).Port})
		if err == nil {
			break
		}
		if w.tcp.Close(); tries > 20 {
			return "", fmt.Errorf("no port for both kinds: %w", err)
		}
	}
	r.ways[[2]string{from, to}] = w
	r.all.Add(2)
	go w.datagrams()
	go w.streams()
	return w.tcp.Addr().String(), nil
}

// Close ends all ways and what passes on them.
func (r *Relays) Close() {
	r.mu.Lock()
	r.ended = true
	for _, w := range r.ways {
		w.udp.Close()
		w.tcp.Close()
	}
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.all.Wait()
}

func (r *Relays) now() time.Duration { return time.Since(r.start) }

func (w *way) datagrams() {
	defer w.r.all.Done()
	buf := make([]byte, most)
	for {
		n, from, err := w.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an answer of the network to something sent
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		r := w.r
		r.mu.Lock()
		a, b, to := w.from, w.to, r.real[w.to]
		if from == to { // an answer to where a datagram came from
			a, b, to = w.to, w.from, w.back
		} else {
			w.back = from
		}
		copies := r.net.Send(r.now(), a, b, n)
		for _, c := range copies {
			text := append([]byte(nil), buf[:n]...)
			if c.Corrupt && n > 0 {
				r.rng = r.rng*6364136223846793005 + 1442695040888963407
				text[int(r.rng>>33)%n] ^= 1 << (r.rng >> 61)
			}
			r.all.Add(1)
			time.AfterFunc(c.At-r.now(), func() {
				defer r.all.Done()
				w.udp.WriteToUDPAddrPort(text, to)
			})
		}
		r.mu.Unlock()
	}
}

func (w *way) streams() {
	defer w.r.all.Done()
	for {
		in, err := w.tcp.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		w.r.all.Add(1)
		go w.stream(in)
	}
}

// hold notes a connection that Close is to end, and tells whether it may begin.
func (r *Relays) hold(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		r.conns[c] = struct{}{}
	}
	return !r.ended
}

func (r *Relays) drop(c net.Conn) {
	c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

func (w *way) stream(in *net.TCPConn) {
	r := w.r
	defer r.all.Done()
	defer r.drop(in)
	if !r.hold(in) {
		return
	}
	r.mu.Lock()
	to := r.real[w.to]
	r.mu.Unlock()
	out, err := net.DialTimeout("tcp", to.String(), dial)
	if err != nil {
		in.SetLinger(0)
		return
	}
	defer r.drop(out)
	if !r.hold(out) {
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); r.pump(out.(*net.TCPConn), in, w.from, w.to) }()
	go func() { defer both.Done(); r.pump(in, out.(*net.TCPConn), w.to, w.from) }()
	both.Wait()
}

// pump passes one direction on. While its way is cut it stands still.
func (r *Relays) pump(out, in *net.TCPConn, from, to string) {
	defer out.CloseWrite()
	buf := make([]byte, most)
	for {
		in.SetReadDeadline(time.Now().Add(linger))
		n, err := in.Read(buf)
		if n > 0 {
			for {
				r.mu.Lock()
				at, cut := r.net.Stream(r.now(), from, to, n)
				ended := r.ended
				r.mu.Unlock()
				if ended {
					return
				}
				if !cut {
					time.Sleep(at - r.now())
					break
				}
				time.Sleep(stuck)
			}
			if _, err := out.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
