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

// flakyConn is a connection whose first calls fail with fault. A failing write first takes half of its bytes.
type flakyConn struct {
	written  bytes.Buffer
	source   io.Reader
	fault    error
	faults   int // number of calls still to fail
	verdicts []Verdict
}

func (f *flakyConn) fail(call string) error {
	if f.faults == 0 {
		return nil
	}
	f.faults--
	return &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, f.fault)}
}

func (f *flakyConn) Write(p []byte) (int, error) {
	if err := f.fail("write"); err != nil {
		n, _ := f.written.Write(p[:len(p)/2]) // partial write before the fault
		return n, err
	}
	return f.written.Write(p)
}

func (f *flakyConn) Read(p []byte) (int, error) {
	if err := f.fail("read"); err != nil {
		return 0, err
	}
	return f.source.Read(p)
}

func (f *flakyConn) CallFailed(_ string, _ error, verdict Verdict) {
	f.verdicts = append(f.verdicts, verdict)
}

// MayPass is true for local faults, and false for errors that report the end of the connection.
func TestMayPass(t *testing.T) {
	for _, fault := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN, syscall.EMFILE,
		syscall.ENFILE, syscall.EIO, syscall.ENOSPC, syscall.EADDRNOTAVAIL} {
		if !MayPass(&net.OpError{Op: "read", Err: os.NewSyscallError("read", fault)}) {
			t.Errorf("MayPass(%v) = false, want true", fault)
		}
	}
	for _, final := range []error{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
		syscall.ECONNREFUSED, syscall.EBADF, io.EOF, os.ErrDeadlineExceeded, net.ErrClosed, nil} {
		if MayPass(final) {
			t.Errorf("MayPass(%v) = true, want false", final)
		}
	}
}

// A write resumes at the byte at which a fault interrupted it, without repeating or skipping any.
func TestWriteResumesAtFailedByte(t *testing.T) {
	for _, fault := range []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EIO, syscall.EINTR} {
		conn := &flakyConn{fault: fault, faults: 4}
		retry := Retry{Call: "write", Observer: conn}
		if err := Write(conn, &net.Buffers{[]byte("head, "), []byte("first part, "), []byte("second")}, &retry); err != nil {
			t.Errorf("%v: got write error %v, want none", fault, err)
		}
		if text := conn.written.String(); text != "head, first part, second" {
			t.Errorf("%v: got written text %q, want all parts once", fault, text)
		}
		if len(conn.verdicts) != 4 || conn.verdicts[0] != Retried {
			t.Errorf("%v: got verdicts %v, want 4 times retried", fault, conn.verdicts)
		}
	}
}

// An error that reports the end of the connection ends a write at once, without a retry.
func TestWriteFailsWhenConnectionEnds(t *testing.T) {
	conn := &flakyConn{fault: syscall.EPIPE, faults: 1}
	retry := Retry{Call: "write", Observer: conn}
	err := Write(conn, &net.Buffers{[]byte("abcd")}, &retry)
	if !errors.Is(err, syscall.EPIPE) || conn.written.String() != "ab" || conn.verdicts[0] != PeerEnded {
		t.Errorf("got error %v, written text %q, verdicts %v, want EPIPE, \"ab\", peer ended",
			err, conn.written.String(), conn.verdicts)
	}
}

// A read retries local faults, and an orderly end ends it at once.
func TestReadRetriesFaults(t *testing.T) {
	conn := &flakyConn{fault: syscall.ENOBUFS, faults: 3, source: bytes.NewReader([]byte("text"))}
	text, err := io.ReadAll(readerOf(conn))
	if err != nil || string(text) != "text" {
		t.Errorf("got %q, error %v, want \"text\" and no error", text, err)
	}
}

// readerOf returns a reader that calls Read, as the proxy does.
func readerOf(conn *flakyConn) io.Reader {
	return readFunc(func(p []byte) (int, error) { return Read(conn, p, Retry{Call: "read", Observer: conn}) })
}

type readFunc func(p []byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

// With Peer set, an error that reports the end of the connection is retried unless a poll confirms it. If the error
// persists, it is accepted after maxImmediateRetries.
func TestRetryConfirmsConnectionEnd(t *testing.T) {
	server, client := connPair(t)
	retry := Retry{Call: "read", Peer: server}
	if !retry.Again(syscall.ECONNRESET) {
		t.Error("reset of an open connection: got no retry, want one")
	}
	for range maxImmediateRetries {
		retry.Again(syscall.ECONNRESET)
	}
	if retry.Again(syscall.ECONNRESET) {
		t.Error("repeated resets of an open connection: got one more retry, want none")
	}
	client.Close()
	time.Sleep(20 * time.Millisecond)
	retry = Retry{Call: "read", Peer: server}
	if retry.Again(syscall.ECONNRESET) {
		t.Error("reset of a closed connection: got a retry, want none")
	}
}

// A local fault that lasts beyond maxFaultPeriod ends the call.
func TestReadGivesUpOnPersistentFault(t *testing.T) {
	conn := &flakyConn{fault: syscall.ENOBUFS, faults: 1 << 30}
	retry := Retry{Call: "read", Observer: conn, faultsSince: time.Now().Add(-maxFaultPeriod - time.Second)}
	if _, err := Read(conn, make([]byte, 1), retry); !errors.Is(err, syscall.ENOBUFS) {
		t.Error(err)
	}
	if conn.verdicts[0] != GivenUp {
		t.Error(conn.verdicts)
	}
}
