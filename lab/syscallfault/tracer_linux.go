//go:build amd64 || arm64

package syscallfault

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	systemCallStop = unix.SIGTRAP | 0x80 // as PTRACE_O_TRACESYSGOOD marks it
	maxPathBytes   = 4096
	addressBytes   = 8 // of a sockaddr_in: family, port, address

	// The layout of an iovec: a pointer and a length. The number of them is an argument of the call.
	vectorLengthOffset = 8
	vectorCount        = 2

	traceOptions = unix.PTRACE_O_TRACESYSGOOD | unix.PTRACE_O_TRACECLONE | unix.PTRACE_O_EXITKILL
)

// forwarded are the signals that reach the program by its tracer.
var forwarded = []os.Signal{unix.SIGTERM, unix.SIGHUP, unix.SIGINT}

// thread is a thread of the program.
type thread struct {
	inCall   bool // the call that it stopped at has begun
	call     call
	traced   tracedCall
	known    bool // the call can be named by rules
	rule     *Rule
	path     string
	address  string
	function uint64 // of fcntl
}

// tracer runs the program. All of its methods are called by one thread of the system, which alone may trace.
type tracer struct {
	injector    *injector
	recorder    recorder
	descriptors *descriptors
	started     time.Time
	process     int
	threads     map[int]*thread
	recordErr   error // the first of the recorder
}

// Run runs a program under a plan until it ends, and returns its exit status: 128 and the signal's number if one ended
// it. SIGTERM, SIGHUP and SIGINT to this process are passed on; the program is killed with it. discovery is the address
// of the discovery service, or empty. The calling process must wait for no other children meanwhile.
func Run(command *exec.Cmd, plan *Plan, discovery string, record io.Writer) (status int, err error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	t := &tracer{
		injector:    newInjector(plan),
		recorder:    newRecorder(record),
		descriptors: newDescriptors(discovery),
		threads:     make(map[int]*thread),
	}
	command.SysProcAttr = &syscall.SysProcAttr{Ptrace: true}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, forwarded...)
	defer signal.Stop(signals)
	if err := command.Start(); err != nil {
		return 0, fmt.Errorf("start the program traced: %w", err)
	}
	t.started = time.Now()
	t.process = command.Process.Pid
	go func() {
		for s := range signals { // ends with this process
			_ = command.Process.Signal(s) // a program that has ended needs none
		}
	}()
	status, err = t.trace()
	return status, errors.Join(err, t.recordErr)
}

// trace passes on from stop to stop until the program has ended.
func (t *tracer) trace() (status int, err error) {
	var wait unix.WaitStatus
	if _, err := unix.Wait4(t.process, &wait, unix.WALL, nil); err != nil {
		return 0, fmt.Errorf("wait for the program: %w", err)
	}
	if err := unix.PtraceSetOptions(t.process, traceOptions); err != nil {
		return 0, fmt.Errorf("trace the program: %w", err)
	}
	t.threads[t.process] = &thread{}
	t.resume(t.process, 0)
	for {
		id, err := unix.Wait4(-1, &wait, unix.WALL, nil)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil {
			return 0, fmt.Errorf("wait for the program: %w", err)
		}
		switch {
		case wait.Exited() && id == t.process:
			return wait.ExitStatus(), nil
		case wait.Signaled() && id == t.process:
			return 128 + int(wait.Signal()), nil
		case wait.Exited(), wait.Signaled():
			delete(t.threads, id)
		case wait.Stopped():
			t.stopped(id, wait)
		}
	}
}

// stopped handles one stop of a thread and lets it go on.
func (t *tracer) stopped(id int, wait unix.WaitStatus) {
	current, known := t.threads[id]
	if !known {
		current = &thread{}
		t.threads[id] = current
	}
	switch s := wait.StopSignal(); {
	case s == systemCallStop:
		t.atCall(id, current)
		t.resume(id, 0)
	case s == unix.SIGTRAP, s == unix.SIGSTOP && !known: // a new thread, or one that begins
		t.resume(id, 0)
	default:
		t.resume(id, int(s))
	}
}

// resume lets a thread go on to its next call, with a signal or 0. A thread that was killed meanwhile can't.
func (t *tracer) resume(id, signal int) { _ = unix.PtraceSyscall(id, signal) }

// atCall handles the begin or the end of a call.
func (t *tracer) atCall(id int, current *thread) {
	registers, err := readRegisters(id)
	if err != nil {
		return // killed meanwhile
	}
	current.inCall = !current.inCall
	if current.inCall {
		t.begin(id, current, registers)
	} else {
		t.end(id, current, registers)
	}
}

// begin disturbs a call that is about to be made, if a rule says so.
func (t *tracer) begin(id int, current *thread, registers *callRegisters) {
	traced, known := tracedCalls[registers.number()]
	*current = thread{inCall: true, traced: traced, known: known}
	if !known {
		return
	}
	t.describe(id, current, registers)
	rule := t.injector.decide(current.call)
	if rule == nil {
		return
	}
	current.rule = rule
	if err := t.recorder.record(time.Now(), current.call, rule); err != nil && t.recordErr == nil {
		t.recordErr = err
	}
	time.Sleep(rule.Delay)
	if rule.Error != "" {
		_ = registers.leaveOutCall(id) // a thread that was killed makes no call either
	} else if rule.Bytes > 0 {
		limitBytes(id, current, registers, uint64(rule.Bytes))
	}
}

// describe records what a call is about to do.
func (t *tracer) describe(id int, current *thread, registers *callRegisters) {
	traced := current.traced
	current.call = call{name: traced.name, descriptor: none, elapsed: time.Since(t.started)}
	if traced.descriptor != none {
		current.call.descriptor = int(int32(registers.argument(traced.descriptor)))
		current.call.target = t.descriptors.at(current.call.descriptor)
	}
	if traced.path != none {
		current.path = readText(id, registers.argument(traced.path))
		current.call.target = target{kind: kindOfPath(current.path), name: current.path}
	}
	switch traced.effect {
	case connects, binds:
		current.address = readAddress(id, registers.argument(1))
	case duplicates:
		current.function = registers.argument(1)
	}
	if traced.effect == connects {
		t.descriptors.connecting(current.call.descriptor, current.address)
		current.call.target = t.descriptors.at(current.call.descriptor)
	}
}

// end gives the program the error in place of the call's result, or records what the call has done.
func (t *tracer) end(id int, current *thread, registers *callRegisters) {
	if !current.known {
		return
	}
	if current.rule != nil && current.rule.Error != "" {
		registers.setResult(-int64(errorNumber(current.rule.Error)))
		_ = registers.write(id) // a thread that was killed has no use for it
		return
	}
	result := int(registers.result())
	if result < 0 {
		return
	}
	descriptor := current.call.descriptor
	switch current.traced.effect {
	case opensFile:
		t.descriptors.opened(result, current.path)
	case opensSocket:
		t.descriptors.bound(result, "")
	case binds:
		t.descriptors.bound(descriptor, current.address)
	case listens:
		t.descriptors.listening(descriptor)
	case accepts:
		t.descriptors.accepted(result, descriptor)
	case duplicates:
		isCopy := current.function == unix.F_DUPFD || current.function == unix.F_DUPFD_CLOEXEC
		if current.traced.name == "dup" || isCopy {
			t.descriptors.duplicated(descriptor, result)
		}
	case closes:
		t.descriptors.closed(descriptor)
	}
}

// limitBytes has a call transfer no more than so many bytes.
func limitBytes(id int, current *thread, registers *callRegisters, bytes uint64) {
	switch {
	case current.traced.vector:
		vector := registers.argument(1)
		length := make([]byte, 8)
		if _, err := unix.PtracePeekData(id, uintptr(vector+vectorLengthOffset), length); err != nil {
			return
		}
		limited := binary.LittleEndian.AppendUint64(nil, min(binary.LittleEndian.Uint64(length), bytes))
		if _, err := unix.PtracePokeData(id, uintptr(vector+vectorLengthOffset), limited); err != nil {
			return
		}
		registers.setArgument(vectorCount, 1)
	case current.traced.bytes != none:
		limited := min(registers.argument(current.traced.bytes), bytes)
		registers.setArgument(current.traced.bytes, limited)
	}
	_ = registers.write(id) // a thread that was killed makes no call either
}

// readText reads a string of the program up to its end.
func readText(id int, address uint64) string {
	var text []byte
	for word := make([]byte, 8); len(text) < maxPathBytes; address += uint64(len(word)) {
		n, err := unix.PtracePeekData(id, uintptr(address), word)
		if err != nil {
			break
		}
		if end := bytes.IndexByte(word[:n], 0); end >= 0 {
			return string(append(text, word[:end]...))
		}
		text = append(text, word[:n]...)
	}
	return string(text)
}

// readAddress reads the address of a socket, or returns "" for one that is not of IPv4.
func readAddress(id int, pointer uint64) string {
	raw := make([]byte, addressBytes)
	if _, err := unix.PtracePeekData(id, uintptr(pointer), raw); err != nil {
		return ""
	}
	if binary.LittleEndian.Uint16(raw) != unix.AF_INET {
		return ""
	}
	host, _ := netip.AddrFromSlice(raw[4:addressBytes])
	return netip.AddrPortFrom(host, binary.BigEndian.Uint16(raw[2:])).String()
}
