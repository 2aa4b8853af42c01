package syscallfault

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// machineCalls are the calls that rules can name and that other machines do not have: this one has none of its own.
var machineCalls map[uint64]tracedCall

// insteadOf has calls that this machine lacks, and those that are made in their place.
var insteadOf = map[string]string{"poll": "ppoll"}

// The registers of a call: the arguments stand in x0 to x5, the result in x0.
const (
	numberRegister = 8
	resultRegister = 0
)

// notACall is a number that no call has: the system makes none.
const notACall = int32(-1)

// callRegisters are those of a thread that has stopped at the begin or the end of a call.
type callRegisters struct{ values unix.PtraceRegsArm64 }

func readRegisters(id int) (*callRegisters, error) {
	var r callRegisters
	if err := unix.PtraceGetRegSetArm64(id, unix.NT_PRSTATUS, &r.values); err != nil {
		return nil, err
	}
	return &r, nil
}

// write gives a thread the registers as they have been set.
func (r *callRegisters) write(id int) error {
	return unix.PtraceSetRegSetArm64(id, unix.NT_PRSTATUS, &r.values)
}

// number returns which call it is, at its begin.
func (r *callRegisters) number() uint64 { return r.values.Regs[numberRegister] }

// leaveOutCall has a thread make no call, at the begin of one. Its end comes all the same. The system has read the
// number's register by then and keeps the number in a set of its own.
func (r *callRegisters) leaveOutCall(id int) error {
	number := notACall
	set := unix.Iovec{Base: (*byte)(unsafe.Pointer(&number)), Len: uint64(unsafe.Sizeof(number))}
	_, _, failed := unix.Syscall6(unix.SYS_PTRACE, unix.PTRACE_SETREGSET, uintptr(id), unix.NT_ARM_SYSTEM_CALL,
		uintptr(unsafe.Pointer(&set)), 0, 0)
	if failed != 0 {
		return failed
	}
	return nil
}

func (r *callRegisters) argument(index int) uint64 { return r.values.Regs[index] }

func (r *callRegisters) setArgument(index int, value uint64) { r.values.Regs[index] = value }

// result returns what a call has returned, at its end; an error is negative.
func (r *callRegisters) result() int64 { return int64(r.values.Regs[resultRegister]) }

func (r *callRegisters) setResult(value int64) { r.values.Regs[resultRegister] = uint64(value) }
