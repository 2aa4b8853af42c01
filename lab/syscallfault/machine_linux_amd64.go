package syscallfault

import "golang.org/x/sys/unix"

// machineCalls are the calls that rules can name and that other machines do not have, by their number.
var machineCalls = map[uint64]tracedCall{
	unix.SYS_POLL: {"poll", none, none, none, false, noEffect},
}

// insteadOf has calls that this machine lacks, and those that are made in their place: it has all.
var insteadOf map[string]string

// notACall is a number that no call has: the system makes none.
const notACall = ^uint64(0)

// callRegisters are those of a thread that has stopped at the begin or the end of a call.
type callRegisters struct{ values unix.PtraceRegs }

func readRegisters(id int) (*callRegisters, error) {
	var r callRegisters
	if err := unix.PtraceGetRegs(id, &r.values); err != nil {
		return nil, err
	}
	return &r, nil
}

// write gives a thread the registers as they have been set.
func (r *callRegisters) write(id int) error { return unix.PtraceSetRegs(id, &r.values) }

// number returns which call it is, at its begin.
func (r *callRegisters) number() uint64 { return r.values.Orig_rax }

// leaveOutCall has a thread make no call, at the begin of one. Its end comes all the same.
func (r *callRegisters) leaveOutCall(id int) error {
	r.values.Orig_rax = notACall
	return r.write(id)
}

func (r *callRegisters) argument(index int) uint64 { return *r.argumentAt(index) }

func (r *callRegisters) setArgument(index int, value uint64) { *r.argumentAt(index) = value }

func (r *callRegisters) argumentAt(index int) *uint64 {
	v := &r.values
	return []*uint64{&v.Rdi, &v.Rsi, &v.Rdx, &v.R10, &v.R8, &v.R9}[index]
}

// result returns what a call has returned, at its end; an error is negative.
func (r *callRegisters) result() int64 { return int64(r.values.Rax) }

func (r *callRegisters) setResult(value int64) { r.values.Rax = uint64(value) }
