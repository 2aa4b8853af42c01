package processes

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Ledger is what the stand-ins have seen: the proxies have no part in it.
type Ledger struct {
	work  atomic.Int64 // nanoseconds that a provider takes
	bad   atomic.Int64 // the number of the provider that errs, and one; 0 is none
	spoil atomic.Int64 // errors that it answered
	lax   atomic.Bool  // failures are excused: settings that are meant to fail are on their way

	mu       sync.Mutex
	requests map[string]*Entry
	byWhom   map[string]int // runs by provider
}

// Entry is one request.
type Entry struct {
	Class    string
	Copy     int
	Asked    time.Time
	Answered time.Time
	Status   int // 0 is none
	Broken   bool
	Fault    string
	Excused  bool // its copy was killed, stopped or ended while it was open
	Runs     int
	Again    int // runs of a key within its memory that a provider dropped
}

func newLedger() *Ledger {
	l := &Ledger{requests: map[string]*Entry{}, byWhom: map[string]int{}}
	l.work.Store(int64(2 * time.Millisecond))
	return l
}

// Work changes how long a provider takes for a request.
func (l *Ledger) Work(d time.Duration) { l.work.Store(int64(d)) }

// Spoil makes a provider answer with errors; a number below 0 makes none.
func (l *Ledger) Spoil(i int) { l.bad.Store(int64(i + 1)) }

// Excuse has failures that come now be excused, or not any more.
func (l *Ledger) Excuse(on bool) { l.lax.Store(on) }

// Spoilt is how many errors were answered.
func (l *Ledger) Spoilt() int { return int(l.spoil.Load()) }

func (l *Ledger) provider(i int) http.Handler {
	name := fmt.Sprintf("p%02d", i)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Req-Id")
		io.Copy(io.Discard, r.Body)
		l.mu.Lock()
		if e := l.requests[id]; e != nil {
			e.Runs++
		}
		l.byWhom[name]++
		l.mu.Unlock()
		if l.bad.Load() == int64(i+1) {
			l.spoil.Add(1)
			http.Error(w, "no", http.StatusInternalServerError)
			return
		}
		time.Sleep(time.Duration(l.work.Load()))
		io.WriteString(w, id)
	})
}

// Drive sends so many requests a second to a copy until ctx ends, each class in
// turn, over connections that it keeps. What a copy that is not up can't answer
// is excused: a fleet that is switched off would lose it too.
func (f *Fleet) Drive(ctx context.Context, i, perSecond int) {
	c, l := f.Replicas[i], f.Ledger
	lanes := max(perSecond/20, 2)
	var all sync.WaitGroup
	for lane := range lanes {
		all.Add(1)
		go func() {
			defer all.Done()
			tick := time.NewTicker(time.Duration(lanes) * time.Second / time.Duration(perSecond))
			defer tick.Stop()
			var conn net.Conn
			var r *bufio.Reader
			ends := 0 // of the copy when conn was dialled
			defer func() {
				if conn != nil {
					conn.Close()
				}
			}()
			for n := lane; ; n++ {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
				}
				if !c.Up() {
					if conn != nil {
						conn.Close()
						conn = nil
					}
					continue
				}
				if conn == nil {
					var err error
					ends = c.Ends()
					if conn, err = net.DialTimeout("tcp", c.Address, time.Second); err != nil {
						conn = nil
						continue
					}
					r = bufio.NewReader(conn)
				}
				class := []string{"read", "pay", "burn"}[n%3]
				id := fmt.Sprintf("%016x", rand.Uint64())
				e := &Entry{Class: class, Copy: i, Asked: time.Now()}
				l.mu.Lock()
				l.requests[id] = e
				l.mu.Unlock()
				text := fmt.Sprintf("GET /read/1 HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Kind: read\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 4000\r\n\r\n", id)
				if class != "read" {
					key := ""
					if class == "pay" {
						key = "Idempotency-Key: " + id + "\r\n"
					}
					text = fmt.Sprintf("POST /%s/1 HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 4000\r\n%sContent-Length: 2\r\n\r\nhi", class, id, class, key)
				}
				conn.SetDeadline(time.Now().Add(6 * time.Second))
				_, err := io.WriteString(conn, text)
				var resp *http.Response
				if err == nil {
					resp, err = http.ReadResponse(r, nil)
				}
				var body []byte
				if err == nil {
					body, err = io.ReadAll(resp.Body)
				}
				l.mu.Lock()
				e.Answered = time.Now()
				if err != nil {
					e.Broken, e.Excused, e.Fault = true, !c.Up() || c.Ends() != ends, err.Error()
				} else if l.lax.Load() && resp.StatusCode >= 500 {
					e.Excused = true
				} else if e.Status = resp.StatusCode; e.Status == 200 && string(body) != id {
					e.Broken = true
				}
				l.mu.Unlock()
				if err != nil || resp.Close {
					conn.Close()
					conn = nil
				}
			}
		}()
	}
	all.Wait()
}

// Served is which part of the requests that were asked for in a time were answered well,
// and how many there were. What is excused does not count.
func (l *Ledger) Served(from, to time.Time) (part float64, of int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	good := 0
	for _, e := range l.requests {
		if e.Asked.Before(from) || !e.Asked.Before(to) || e.Excused || e.Answered.IsZero() {
			continue
		}
		if of++; e.Status == 200 && !e.Broken {
			good++
		}
	}
	return float64(good) / float64(max(of, 1)), of
}

// Sum is what a ledger comes to.
type Sum struct {
	Faults                                                        []string // of some that were lost
	Requests, Served, Shed, Failed, Lost, Late, Repeated, Excused int
	Copies                                                        map[int]int // served, by copy
}

// Sum adds the ledger up. Lost got no answer from a copy that was up, or a wrong
// one; Repeated are unsafe requests that ran more than once.
func (l *Ledger) Sum() Sum {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Sum{Copies: map[int]int{}}
	for _, e := range l.requests {
		s.Requests++
		if e.Class == "burn" && e.Runs > 1 {
			s.Repeated++
		}
		switch {
		case e.Answered.IsZero():
			s.Excused++ // the run ended
		case e.Excused:
			s.Excused++
		case e.Broken:
			if s.Lost++; len(s.Faults) < 5 {
				s.Faults = append(s.Faults, fmt.Sprintf("%s at copy %d, asked at %s, over after %v: %s", e.Class, e.Copy, e.Asked.Format("15:04:05.000"), e.Answered.Sub(e.Asked), e.Fault))
			}
		case e.Status == 200:
			s.Served++
			s.Copies[e.Copy]++
		case e.Status == 429 || e.Status == 503:
			s.Shed++
		default:
			s.Failed++
		}
		if !e.Answered.IsZero() && !e.Excused && e.Answered.Sub(e.Asked) > 4*time.Second+200*time.Millisecond {
			s.Late++
		}
	}
	return s
}
