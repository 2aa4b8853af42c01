package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// request holds the flags that all clients have.
type request struct {
	flags    *flag.FlagSet
	target   *string
	record   *string
	id       *string
	class    *string
	key      *string
	deadline *time.Duration
	patience *time.Duration
	rec      *record
}

func newRequest(name string) *request {
	flags := flag.NewFlagSet(name, flag.ExitOnError)
	return &request{
		flags:    flags,
		target:   flags.String("target", "", "address of the proxy"),
		record:   flags.String("record", "", "record file"),
		id:       flags.String("id", "", "Req-Id"),
		class:    flags.String("class", "", "Req-Kind"),
		key:      flags.String("key", "", "Idempotency-Key"),
		deadline: flags.Duration("deadline", 4*time.Second, "how long the client waits for the answer"),
		patience: flags.Duration("patience", 0, "how much longer it stays, to see whether an answer comes at all"),
	}
}

func (r *request) parse(args []string) (err error) {
	_ = r.flags.Parse(args)
	r.rec, err = openRecord(*r.record, "client")
	return err
}

// head returns the head of the request; the body comes in chunks if length is negative.
func (r *request) head(method string, length int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/x HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Deadline-Ms: %d\r\n",
		method, *r.class, *r.id, *r.class, r.deadline.Milliseconds())
	if *r.key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", *r.key)
	}
	switch {
	case length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case length > 0:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	return b.String() + "\r\n"
}

// await reads the answer and records it with its time since the request's last byte.
func (r *request) await(conn net.Conn, sent time.Time) {
	conn.SetReadDeadline(sent.Add(*r.deadline + *r.patience))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		if err == nil {
			r.rec.event("answer", "id", *r.id, "status", response.StatusCode, "after",
				fmt.Sprintf("%.3f", time.Since(sent).Seconds()), "body", fmt.Sprintf("%q", strings.TrimSpace(string(body))))
			return
		}
	}
	r.rec.event("no-answer", "id", *r.id, "after", fmt.Sprintf("%.3f", time.Since(sent).Seconds()),
		"err", fmt.Sprintf("%q", err))
}

// runGet sends one safe request on a connection of its own.
func runGet(args []string) error { return runSmall("get", http.MethodGet, args) }

// runPost sends one keyed or unsafe request with a short body on a connection of its own.
func runPost(args []string) error { return runSmall("post", http.MethodPost, args) }

func runSmall(name, method string, args []string) error {
	r := newRequest(name)
	size := r.flags.Int("size", 12, "bytes of the body of a post")
	pace := r.flags.Int("pace", 1<<30, "bytes of it a second")
	if err := r.parse(args); err != nil {
		return err
	}
	conn, err := net.Dial("tcp", *r.target)
	if err != nil {
		return err
	}
	defer conn.Close()
	if method == http.MethodGet {
		*size = 0
	}
	if _, err := io.WriteString(conn, r.head(method, *size)); err != nil {
		return err
	}
	began := time.Now()
	r.rec.event("begins", "id", *r.id, "method", method, "class", *r.class, "length", *size)
	const piece = 1 << 10
	for written := 0; written < *size; {
		n, err := conn.Write(make([]byte, min(piece, *size-written)))
		written += n
		if err != nil {
			r.rec.event("cut", "id", *r.id, "bytes", written, "err", fmt.Sprintf("%q", err))
			return nil
		}
		if written < *size {
			time.Sleep(time.Until(began.Add(time.Duration(float64(written) / float64(*pace) * float64(time.Second)))))
		}
	}
	sent := time.Now()
	r.rec.event("sent", "id", *r.id, "class", *r.class, "bytes", *size, "deadline", *r.deadline, "took",
		fmt.Sprintf("%.3f", sent.Sub(began).Seconds()))
	r.await(conn, sent)
	return nil
}

// runKept sends a short request, keeps the connection, and sends a second one on it, for a long answer, some time after a
// file has appeared.
func runKept(args []string) error {
	r := newRequest("kept")
	file := r.flags.String("after", "", "file to wait for")
	wait := r.flags.Duration("wait", time.Second, "time from the file's last change to the second request")
	size := r.flags.Int("size", 1<<20, "bytes of the long answer")
	pace := r.flags.Int("pace", 1<<20, "bytes a second at which the endpoint gives it")
	if err := r.parse(args); err != nil {
		return err
	}
	conn, err := net.Dial("tcp", *r.target)
	if err != nil {
		return err
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	id := *r.id
	for i, query := range []string{"", fmt.Sprintf("?size=%d&pace=%d", *size, *pace)} {
		*r.id = fmt.Sprintf("%s-%d", id, i+1)
		if i > 0 {
			appeared := awaitFile(*file, 30*time.Second)
			if appeared.IsZero() {
				return errors.New("the file did not appear")
			}
			time.Sleep(time.Until(appeared.Add(*wait)))
		}
		head := strings.Replace(r.head(http.MethodGet, 0), "/x HTTP", "/x"+query+" HTTP", 1)
		if _, err := io.WriteString(conn, head); err != nil {
			r.rec.event("not-sent", "id", *r.id, "err", fmt.Sprintf("%q", err))
			return nil
		}
		sent := time.Now()
		r.rec.event("sent", "id", *r.id, "class", *r.class, "deadline", *r.deadline)
		conn.SetReadDeadline(sent.Add(*r.deadline + *r.patience))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			r.rec.event("no-answer", "id", *r.id, "after", fmt.Sprintf("%.3f", time.Since(sent).Seconds()),
				"err", fmt.Sprintf("%q", err))
			return nil
		}
		r.rec.event("first-bytes", "id", *r.id, "status", response.StatusCode, "length", response.ContentLength, "after",
			fmt.Sprintf("%.3f", time.Since(sent).Seconds()))
		body, err := io.ReadAll(response.Body)
		what := "answer"
		if err != nil {
			what = "cut-off"
		}
		r.rec.event(what, "id", *r.id, "status", response.StatusCode, "bytes", len(body), "after",
			fmt.Sprintf("%.3f", time.Since(sent).Seconds()), "err", fmt.Sprintf("%q", fmt.Sprint(err)))
		if err != nil || response.Close && i == 0 {
			return nil
		}
	}
	return nil
}

// awaitFile waits until a file has appeared, and returns when that was.
func awaitFile(path string, limit time.Duration) time.Time {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if info, err := os.Stat(path); err == nil {
			return info.ModTime()
		}
	}
	return time.Time{}
}

const (
	uploadChunk     = 16 << 10 // bytes of a body's chunk
	uploadUnstalled = 1 << 20  // bytes after which the window is wide enough to tell

	stallTime = 400 * time.Millisecond // for so long the proxy's window must not open for it to count as stalled
)

// runUpload sends one request with a long body in chunks, at a steady pace. The body ends after -size bytes, or, as the
// client does not state its length, a moment after the proxy has ceased to take bytes from its socket: the proxy's
// machine still takes some then, the last byte among them.
func runUpload(args []string) error {
	r := newRequest("upload")
	size := r.flags.Int("size", 1<<20, "bytes of the body at most")
	pace := r.flags.Int("pace", 1<<20, "bytes a second")
	if err := r.parse(args); err != nil {
		return err
	}
	opened, err := net.Dial("tcp", *r.target)
	if err != nil {
		return err
	}
	defer opened.Close()
	conn := opened.(*net.TCPConn)
	if _, err := io.WriteString(conn, r.head(http.MethodPost, -1)); err != nil {
		return err
	}
	began := time.Now()
	r.rec.event("begins", "id", *r.id, "class", *r.class)
	conn.SetWriteDeadline(began.Add(30 * time.Second))
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", uploadChunk, make([]byte, uploadChunk))
	written, widest := 0, 0
	for stalled := false; written < *size && !stalled; written += uploadChunk {
		if _, err := conn.Write(chunk); err != nil {
			r.rec.event("cut", "id", *r.id, "bytes", written, "err", fmt.Sprintf("%q", err))
			return nil
		}
		if !awaitAcknowledged(conn, time.Second) {
			r.rec.event("window-full", "id", *r.id, "bytes", written)
			return nil
		}
		widest = max(widest, windowOf(conn))
		if written >= uploadUnstalled && windowOf(conn) < widest/2 {
			time.Sleep(stallTime)
			stalled = windowOf(conn) < widest/2
		}
		time.Sleep(time.Until(began.Add(time.Duration(float64(written) / float64(*pace) * float64(time.Second)))))
	}
	if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
		r.rec.event("cut", "id", *r.id, "bytes", written, "err", fmt.Sprintf("%q", err))
		return nil
	}
	if !awaitAcknowledged(conn, time.Second) {
		r.rec.event("unacknowledged", "id", *r.id, "bytes", written)
		return nil
	}
	sent := time.Now()
	r.rec.event("sent", "id", *r.id, "class", *r.class, "bytes", written, "deadline", *r.deadline, "took",
		fmt.Sprintf("%.3f", sent.Sub(began).Seconds()))
	r.await(conn, sent)
	return nil
}

// windowOf returns how many bytes the peer's machine still takes.
func windowOf(conn *net.TCPConn) (bytes int) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			bytes = int(info.Snd_wnd)
		}
	})
	return bytes
}

// awaitAcknowledged waits until the peer's machine has acknowledged all bytes written, and reports whether it has.
func awaitAcknowledged(conn *net.TCPConn, limit time.Duration) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		unacknowledged := -1
		_ = raw.Control(func(fd uintptr) {
			if n, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
				unacknowledged = n
			}
		})
		if unacknowledged == 0 {
			return true
		}
	}
	return false
}

// runCall makes one short call and prints the status of the answer, or 000.
func runCall(args []string) error {
	flags := flag.NewFlagSet("call", flag.ExitOnError)
	method := flags.String("method", "GET", "method")
	target := flags.String("target", "", "address")
	path := flags.String("path", "/", "path")
	body := flags.String("body", "", "body")
	_ = flags.Parse(args)
	client := &http.Client{Timeout: 2 * time.Second}
	request, err := http.NewRequest(*method, "http://"+*target+*path, strings.NewReader(*body))
	if err != nil {
		return err
	}
	request.Close = true
	response, err := client.Do(request)
	if err != nil {
		fmt.Println("000")
		return nil
	}
	defer response.Body.Close()
	fmt.Println(response.StatusCode)
	return nil
}
