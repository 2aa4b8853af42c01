package socket

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// flaky is a connection whose calls fail now and then, each after it has done a part.
type flaky struct {
	written  bytes.Buffer
	source   io.Reader
	fault    error
	faults   int // calls that are still to fail
	verdicts []Verdict
}

func (f *flaky) fail(call string) error {
	if f.faults == 0 {
		return nil
	}
	f.faults--
	return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, f.fault)}
}

func (f *flaky) Write(p []byte) (int, error) {
	if err := f.fail("write"); err != nil {
		n, _ := f.written.Write(p[:len(p)/2]) // a part was taken before
		return n, err
	}
	return f.written.Write(p)
}

func (f *flaky) Read(p []byte) (int, error) {
	if err := f.fail("read"); err != nil {
		return 0, err
	}
	return f.source.Read(p)
}

func (f *flaky) CallFailed(_ string, _ error, verdict Verdict) {
	f.verdicts = append(f.verdicts, verdict)
}

// What may pass, and what says that the connection has ended.
func TestErrorsAreJudgedInOnePlace(t *testing.T) {
	for _, fault := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN, syscall.EMFILE,
		syscall.ENFILE, syscall.EIO, syscall.ENOSPC, syscall.EADDRNOTAVAIL} {
		if !MayPass(&net.OpError{Op: "read", Err: os.NewSyscallError("read", fault)}) {
			t.Errorf("%v is not held to pass", fault)
		}
	}
	for _, final := range []error{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
		syscall.ECONNREFUSED, syscall.EBADF, io.EOF, os.ErrDeadlineExceeded, net.ErrClosed, nil} {
		if MayPass(final) {
			t.Errorf("%v is held to pass", final)
		}
	}
}

// A write goes on from the very byte at which a fault stopped it: nothing is repeated, nothing skipped.
func TestWritesGoOnFromTheByteAtWhichTheyStopped(t *testing.T) {
	for _, fault := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EIO, syscall.EINTR} {
		conn := &flaky{fault: fault, faults: 4}
		retry := Retry{Call: "write", Observer: conn}
		if err := Write(conn, &net.Buffers{[]byte("head, "), []byte("first part, "), []byte("second")}, &retry); err != nil {
			t.Errorf("%v: %v", fault, err)
		}
		if text := conn.written.String(); text != "head, first part, second" {
			t.Errorf("%v: %q", fault, text)
		}
		if len(conn.verdicts) != 4 || conn.verdicts[0] != Retried {
			t.Errorf("%v: %v", fault, conn.verdicts)
		}
	}
}

// What has ended the connection ends a write at once, with what was written before.
func TestWritesEndWithTheConnection(t *testing.T) {
	conn := &flaky{fault: syscall.EPIPE, faults: 1}
	retry := Retry{Call: "write", Observer: conn}
	err := Write(conn, &net.Buffers{[]byte("abcd")}, &retry)
	if !errors.Is(err, syscall.EPIPE) || conn.written.String() != "ab" || conn.verdicts[0] != PeerEnded {
		t.Errorf("%v, %q, %v", err, conn.written.String(), conn.verdicts)
	}
}

// A read outlasts faults, and an orderly end is believed at once.
func TestReadsOutlastFaults(t *testing.T) {
	conn := &flaky{fault: syscall.ENOBUFS, faults: 3, source: bytes.NewReader([]byte("text"))}
	text, err := io.ReadAll(readerOf(conn))
	if err != nil || string(text) != "text" {
		t.Errorf("%q, %v", text, err)
	}
}

// readerOf reads as the proxy does.
func readerOf(conn *flaky) io.Reader {
	return readFunc(func(p []byte) (int, error) { return Read(conn, p, Retry{Call: "read", Observer: conn}) })
}

type readFunc func(p []byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

// An error that says that the other side has ended a connection is believed only if a poll agrees, where the caller
// wants that; and one that stays is believed in the end.
func TestAnEndIsConfirmed(t *testing.T) {
	server, client := pair(t)
	retry := Retry{Call: "read", Peer: server}
	if !retry.Again(syscall.ECONNRESET) {
		t.Error("a reset of a connection that is open is believed")
	}
	for range maxRepeats {
		retry.Again(syscall.ECONNRESET)
	}
	if retry.Again(syscall.ECONNRESET) {
		t.Error("it is asked for ever")
	}
	client.Close()
	time.Sleep(20 * time.Millisecond)
	retry = Retry{Call: "read", Peer: server}
	if retry.Again(syscall.ECONNRESET) {
		t.Error("the end of a connection is not believed")
	}
}

// A fault that stays ends a call after a while, without a pause that keeps the processor busy.
func TestFaultsThatStayAreGivenUp(t *testing.T) {
	conn := &flaky{fault: syscall.ENOBUFS, faults: 1 << 30}
	retry := Retry{Call: "read", Observer: conn, began: time.Now().Add(-maxFaultPeriod - time.Second)}
	if _, err := Read(conn, make([]byte, 1), retry); !errors.Is(err, syscall.ENOBUFS) {
		t.Error(err)
	}
	if conn.verdicts[0] != GivenUp {
		t.Error(conn.verdicts)
	}
}
