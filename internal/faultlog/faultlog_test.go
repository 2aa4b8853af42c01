package faultlog

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// failure is an error as package net returns it.
func failure(number syscall.Errno) error {
	return &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("writev", number)}
}

// Of several faults in a row the first is logged, with the request, and their number once the row has ended.
func TestFaultsInARowAreLoggedTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var text bytes.Buffer
		r := New(slog.New(slog.NewTextHandler(&text, nil)))
		for i := range 5 {
			r.Failed("main", "write", failure(syscall.ENOBUFS), Retried, fmt.Sprint("r", i))
			time.Sleep(quietPeriod / 2)
		}
		r.Failed("main", "write", failure(syscall.EPIPE), PeerEnded, "r9")
		time.Sleep(2 * quietPeriod)
		synctest.Wait()
		log := text.String()
		if strings.Count(log, "\n") != 2 || !strings.Contains(log, "request=r0") || !strings.Contains(log, "count=5") {
			t.Errorf("log:\n%s", log)
		}
	})
}

// Counts are by place, call, error and consequence, and are bounded.
func TestCountsAreBounded(t *testing.T) {
	r := New(slog.New(slog.DiscardHandler))
	r.Failed("main", "read", failure(syscall.EIO), GivenUp, "")
	for i := range 2 * maxKinds {
		r.Failed(fmt.Sprint("pool", i), "read", errors.New("odd"), PeerEnded, "")
		r.Ended(fmt.Sprint("reason ", i))
	}
	counts := r.Counts()
	if len(counts.Faults) > maxKinds+1 || len(counts.Ends) > maxKinds+1 {
		t.Errorf("%d faults and %d ends are counted apart", len(counts.Faults), len(counts.Ends))
	}
	want := FaultCount{Fault{"main", "read", "EIO", GivenUp}, 1}
	if !strings.Contains(fmt.Sprint(counts.Faults), fmt.Sprint(want)) {
		t.Errorf("%v is not in %v", want, counts.Faults)
	}
	var none *Recorder
	none.Failed("main", "read", failure(syscall.EIO), GivenUp, "")
	none.Ended("closed")
	if len(none.Counts().Faults) != 0 {
		t.Error("nil counts")
	}
}
