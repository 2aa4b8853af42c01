// Command standin plays the outside systems of a review case: a discovery service, an endpoint, a client. Each
// appends what it sends, receives and runs to the case's record, one line an event.
package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

func main() {
	commands := map[string]func(args []string) error{
		"directory": runDirectory,
		"drained":   runDrained,
		"endpoint":  runEndpoint,
		"upload":    runUpload,
		"get":       runGet,
		"kept":      runKept,
		"post":      runPost,
		"call":      runCall,
		"port":      printPort,
	}
	if len(os.Args) < 2 || commands[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin directory|drained|endpoint|upload|get|kept|post|call|port [flags]")
		os.Exit(2)
	}
	if err := commands[os.Args[1]](os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(2)
	}
}

// printPort prints a loopback address that was free a moment ago.
func printPort([]string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer listener.Close()
	fmt.Println(listener.Addr())
	return nil
}

// record appends events to a file that several processes share. Each line is one write.
type record struct {
	mu   sync.Mutex
	file *os.File
	who  string
}

func openRecord(path, who string) (*record, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &record{file: file, who: who}, nil
}

// event writes "seconds who what key=value ...": seconds are Unix time, comparable between all processes of a case.
func (r *record) event(what string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var line strings.Builder
	fmt.Fprintf(&line, "%.3f %s %s", float64(time.Now().UnixMicro())/1e6, r.who, what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&line, " %v=%v", pairs[i], pairs[i+1])
	}
	line.WriteByte('\n')
	if _, err := r.file.WriteString(line.String()); err != nil {
		fmt.Fprintln(os.Stderr, "standin: record:", err)
	}
}
