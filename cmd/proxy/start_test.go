package main

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// readyWithin is a fifth of the time that a restarted proxy is given.
const readyWithin = 2 * time.Second

// In whatever state the discovery service is when a proxy starts, it is ready with the list known before,
// and serves; without one it says no at once.
func TestReadyWhateverDiscoveryDoes(t *testing.T) {
	program := build(t)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "fine") }))
	t.Cleanup(backend.Close)
	listen := func(then func(net.Conn)) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go then(c)
			}
		}()
		return l.Addr().String()
	}
	for name, directory := range map[string]string{
		"refuses": "127.0.0.1:1",
		"silent":  listen(func(c net.Conn) { io.Copy(io.Discard, c) }),
		"resets":  listen(func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }),
		"down": listen(func(c net.Conn) {
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			c.Close()
		}),
		"slow": listen(func(c net.Conn) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{")
			io.Copy(io.Discard, c)
		}),
	} {
		for _, mode := range []string{"subscribe", "automatic"} {
			for _, known := range []bool{true, false} {
				t.Run(strings.Join([]string{name, mode, map[bool]string{true: "known", false: "nothing known"}[known]}, " "), func(t *testing.T) {
					t.Parallel()
					text := strings.NewReplacer(`"127.0.0.1:1"`, `"`+directory+`"`, `"subscribe"`, `"`+mode+`"`).Replace(configuration("127.0.0.1:0", backend.Listener.Addr().String()))
					want := http.StatusOK
					if !known {
						before, rest, _ := strings.Cut(text, `"endpoints":[`)
						_, after, _ := strings.Cut(rest, "]}")
						text, want = before+`"endpoints":[]}`+after, http.StatusServiceUnavailable
					}
					began := time.Now()
					address, _, _ := serving(t, prepare(t, program, text, "serve"))
					c, r, err := connect(t, address)
					if err != nil {
						t.Fatal(err)
					}
					io.WriteString(c, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
					if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
						t.Fatalf("ready: %v, %v", resp, err)
					}
					if took := time.Since(began); took > readyWithin {
						t.Errorf("ready after %v", took)
					}
					began = time.Now()
					io.WriteString(c, ask())
					if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != want {
						t.Errorf("a request: %v, %v", resp, err)
					}
					if took := time.Since(began); took > time.Second {
						t.Errorf("answered after %v", took)
					}
				})
			}
		}
	}
}

// Settings at the limits of what is valid start, serve, and reject what they must.
func TestSettingsAtTheEdge(t *testing.T) {
	program := build(t)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "fine") }))
	t.Cleanup(backend.Close)
	for _, tc := range []struct {
		name     string
		from, to string
		class    string
		request  string // "" asks for the class
		want     int
	}{
		{"no zones", `"Areas":["a"],`, ``, "read", "", http.StatusOK},
		{"another zone than the providers'", `"Areas":["a"]`, `"Areas":["b"]`, "read", "", http.StatusOK},
		{"one tenant", `"GroupSize":1,`, `"GroupSize":1,"Customers":[{"Name":"only","Share":1,"QuotaPerS":0.001}],`, "read", "", http.StatusOK},
		{"many copies", `"GroupSize":1,`, `"GroupSize":5000,`, "read", "", http.StatusOK},
		{"one try", `"TryLimit":3`, `"TryLimit":1`, "read", "", http.StatusOK},
		{"idle connections close at once", `"IdleClose":5000000`, `"IdleClose":1`, "read", "", http.StatusOK},
		{"a connection may take no time", `"ConnectTimeout":1000000`, `"ConnectTimeout":0`, "read", "", http.StatusOK},
		{"a deadline shorter than a round trip", `"Deadline":30000000`, `"Deadline":1`, "read", "", http.StatusServiceUnavailable},
		{"an aim beyond the deadline", `"Slo":2000000`, `"Slo":90000000`, "read", "", http.StatusOK},
		{"keyed, no window", `"Effect":"pure"`, `"Effect":"token","Group":"cell","MemorySpan":0`, "read",
			"POST /read HTTP/1.1\r\nHost: x\r\nReq-Id: 77\r\nIdempotency-Key: 5\r\nContent-Length: 0\r\n\r\n", http.StatusOK},
		{"unsafe", `"Effect":"pure"`, `"Effect":"side_effect"`, "read",
			"POST /read HTTP/1.1\r\nHost: x\r\nReq-Id: 78\r\nContent-Length: 0\r\n\r\n", http.StatusOK},
		{"unsafe, asked as if safe", `"Effect":"pure"`, `"Effect":"side_effect"`, "read", "", http.StatusMethodNotAllowed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			text := configuration("127.0.0.1:0", backend.Listener.Addr().String())
			if !strings.Contains(text, tc.from) {
				t.Fatalf("%s isn't there", tc.from)
			}
			address, _, _ := serving(t, prepare(t, program, strings.Replace(text, tc.from, tc.to, 1), "serve"))
			request := tc.request
			if request == "" {
				request = ask()
			}
			for range 2 { // on a new and on a kept connection to the endpoint
				c, r, err := connect(t, address)
				if err != nil {
					t.Fatal(err)
				}
				began := time.Now()
				io.WriteString(c, request)
				if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != tc.want {
					t.Errorf("%v, %v, want %d", resp, err, tc.want)
				}
				if took := time.Since(began); took > 2*time.Second {
					t.Errorf("answered after %v", took)
				}
			}
		})
	}
}
