package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Many requests and answers of 32 MB at a time, from and to clients some of whom
// are slow, arrive whole and leave the program far within its memory limit.
func TestMemoryWithManyLargeBodies(t *testing.T) {
	const size, clients, limit = 32 << 20, 24, 64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	block := make([]byte, 64<<10)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if req.Method == "POST" {
						if n, err := io.Copy(io.Discard, req.Body); err == nil && n == size {
							io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
						}
						continue
					}
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
					for sent := 0; sent < size; sent += len(block) {
						if _, err := c.Write(block); err != nil {
							return
						}
					}
				}
			}()
		}
	}()
	listen := freeAddress(t)
	text := strings.Replace(configuration(listen, l.Addr().String()), `"memory_mb":192`, fmt.Sprintf(`"memory_mb":%d`, limit), 1)
	text = strings.Replace(text, `"Classes":[`, `"Classes":[{"Name":"put","Slo":2000000,"Deadline":30000000,"Effect":"side_effect","Worth":1,"LateWorth":0.5},`, 1)
	p := launch(t, build(t), text, t.TempDir())
	p.waitReady(t)
	var all sync.WaitGroup
	var uploads atomic.Int64
	for i := range clients {
		all.Go(func() {
			for end := time.Now().Add(testTimeout); i%3 == 0; { // a client that finds no slot is refused
				if put(listen, fmt.Sprintf("up-%d-%d", i, time.Now().UnixNano()), size, i%2 == 0) {
					uploads.Add(1)
					return
				}
				if time.Now().After(end) {
					t.Error("an upload is never served")
					return
				}
			}
			c, err := net.Dial("tcp", listen)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(4 * testTimeout))
			r := bufio.NewReader(c)
			var resp *http.Response
			for resp == nil || resp.StatusCode == 503 && err == nil { // its limit lets some in at a time
				io.WriteString(c, ask())
				resp, err = http.ReadResponse(r, nil)
			}
			if err != nil || resp.StatusCode != 200 {
				t.Error(resp, err)
				return
			}
			if i%2 == 0 { // they pause until others have read theirs
				io.CopyN(io.Discard, resp.Body, size/4)
				time.Sleep(100 * time.Millisecond)
			}
			n, err := io.Copy(io.Discard, resp.Body)
			if err != nil || i%2 == 1 && n != size {
				t.Errorf("%d bytes, %v", n, err)
			}
		})
	}
	all.Wait()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, line, _ := strings.Cut(string(status), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(line)[0])
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bodies of %d MB at a time, %d uploads served: %d MB at most, of %d", clients, size>>20, uploads.Load(), kb>>10, limit)
	if kb>>10 > limit*3/4 {
		t.Errorf("the program took %d MB", kb>>10)
	}
}

// put sends a request of so many bytes, with pauses if it is slow, and reports
// whether it was served.
func put(address, id string, size int, slow bool) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(c, "POST /put HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nContent-Length: %d\r\n\r\n", id, size)
	block := make([]byte, 64<<10)
	for sent := 0; sent < size; sent += len(block) {
		if _, err := c.Write(block); err != nil {
			return false // refused before its end
		}
		if slow && sent%(8<<20) == 0 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil && resp.StatusCode == 200
}
