package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The incident: a proxy that had accepted a request gave it no response. The client waited 0.861 s, and 60 ms more, and
// closed its connection; the endpoint hung and saw the attempt given up in that moment. Nothing was logged.
//
// How it came about: for 0.125 s, just as the request came in, the whole process stood still. Everything else that it had
// to do was late by the same time: three new requests were rejected and a response that had come in was passed on in the
// millisecond in which it went on. The time of the request was counted from when it was read, so its result was due
// 0.125 s after the client's time. A second one was lost as the process stood still when its result was due.
//
// The cause: a result that is due because the time is over was given at the very end of that time, and no part of it was
// kept for a process that is held up. What proved it: all three clients that left had waited 60 ms beyond their time; the
// log of a later run had no call that failed; and this test, which holds the process up by a signal.

// Times of the incident.
const (
	heldUpFor       = 125 * time.Millisecond
	clientWaits     = 861 * time.Millisecond
	clientsPatience = 60 * time.Millisecond // beyond that
)

// holdUps are when the process is held up, since the request is sent.
var holdUps = []struct {
	name string
	at   time.Duration
}{
	{"as the request comes in", 0},
	{"while it is at its endpoint", clientWaits / 2},
	{"as its result is due", clientWaits - heldUpFor/2},
	{"as its time is over", clientWaits - heldUpFor/10},
}

func TestAnsweredInTimeDespiteAHoldUp(t *testing.T) {
	program := build(t)
	for _, holdUp := range holdUps {
		t.Run(holdUp.name, func(t *testing.T) {
			cmd := prepare(t, program, configuration("127.0.0.1:0", slowEndpoint(t, true)), "serve")
			address, _, _ := serving(t, cmd)
			conn, reader, err := connect(t, address)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusOK {
				t.Fatal(response, err)
			}
			if problem := askWhileHeldUp(cmd.Process, conn, reader, holdUp.at); problem != "" {
				t.Error(problem)
			}
		})
	}
}

// askWhileHeldUp asks a request whose endpoint hangs, holds the process up, and returns what is wrong with its response.
func askWhileHeldUp(process *os.Process, conn net.Conn, reader *bufio.Reader, at time.Duration) (problem string) {
	began := time.Now()
	conn.SetReadDeadline(began.Add(clientWaits + clientsPatience))
	held := make(chan error, 1)
	holdUp := func() {
		time.Sleep(time.Until(began.Add(at)))
		stopped := process.Signal(syscall.SIGSTOP)
		time.Sleep(heldUpFor)
		held <- errors.Join(stopped, process.Signal(syscall.SIGCONT))
	}
	if at > 0 {
		go holdUp()
	} else {
		holdUpFromNow := make(chan struct{})
		go func() {
			close(holdUpFromNow)
			holdUp()
		}()
		<-holdUpFromNow
		time.Sleep(2 * time.Millisecond) // it stands still before the request comes in
	}
	request := strings.TrimSuffix(ask(), "\r\n") + fmt.Sprintf("Req-Deadline-Ms: %d\r\n\r\n", clientWaits.Milliseconds())
	if _, err := io.WriteString(conn, request); err != nil {
		return err.Error()
	}
	response, err := http.ReadResponse(reader, nil)
	if err := <-held; err != nil {
		return err.Error()
	}
	if err != nil {
		return fmt.Sprintf("no response in the client's time, after %v: %v", time.Since(began), err)
	}
	if response.StatusCode == http.StatusOK {
		return "the endpoint has answered"
	}
	return ""
}
