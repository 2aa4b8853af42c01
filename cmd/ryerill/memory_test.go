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
	"testing"
	"time"
)

// Many answers of 32 MB at a time, to consumers some of whom take them slowly,
// arrive whole and leave the program far within its memory limit.
func TestMemoryWithManyLargeAnswers(t *testing.T) {
	const size, consumers, limit = 32 << 20, 24, 64
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
					if _, err := http.ReadRequest(r); err != nil {
						return
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
	p := launch(t, build(t), text, t.TempDir())
	p.waitReady(t)
	var all sync.WaitGroup
	for i := range consumers {
		all.Go(func() {
			c, err := net.Dial("tcp", listen)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(4 * patience))
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
			if i%2 == 0 { // they stand still until others have had theirs
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
	t.Logf("%d answers of %d MB at a time: %d MB at most, of %d", consumers, size>>20, kb>>10, limit)
	if kb>>10 > limit*3/4 {
		t.Errorf("the program took %d MB", kb>>10)
	}
}
