// Package syscallfault runs an unchanged program and makes chosen calls of the system fail, be cut short or be late.
//
// The program is a child that this process traces (ptrace), which needs no privilege. A call that fails is not made:
// the program gets the error in its place. What was injected is recorded, so that it can be read beside the
// program's log.
package syscallfault

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ryerill/internal/yamlfile"
)

// Kind is what a descriptor of the program leads to.
type Kind string

// The kinds of descriptors.
const (
	Any       Kind = ""
	Client    Kind = "client"    // a connection that the program accepted
	Endpoint  Kind = "endpoint"  // a connection that it opened, but for those to discovery
	Listener  Kind = "listener"  // a socket that connections are accepted from
	Discovery Kind = "discovery" // a connection to a discovery service
	File      Kind = "file"      // a file or directory
	Log       Kind = "log"       // standard output or error
	Other     Kind = "other"     // a pipe, a poll, a datagram socket, a file of the system
)

var kinds = []Kind{Any, Client, Endpoint, Listener, Discovery, File, Log, Other}

// Rule says which calls are disturbed, and how. Conditions that are not stated hold for all calls.
type Rule struct {
	Call       string        `json:"call"`       // name of the call, such as writev
	Descriptor Kind          `json:"descriptor"` // what its descriptor leads to
	Path       string        `json:"path"`       // part of the path of a file
	Error      string        `json:"error"`      // its name, such as ENOBUFS; the call is not made
	Bytes      int           `json:"bytes"`      // the call is made with so many bytes at most; 0 does not limit it
	Delay      time.Duration `json:"delay"`      // the call, and others meanwhile, are held up for so long
	From       time.Duration `json:"from"`       // since the start of the program
	Until      time.Duration `json:"until"`      // since the start of the program; 0 is its end
	Skip       int           `json:"skip"`       // so many calls are left alone first
	Every      int           `json:"every"`      // one of so many calls is disturbed; 0 stands for 1
	Share      float64       `json:"share"`      // the chance of each of these calls; 0 stands for 1
	Most       int           `json:"most"`       // so many calls are disturbed at most; 0 has no bound
}

// Plan is a list of rules with the seed of their chances. The first rule that applies to a call is used.
type Plan struct {
	Seed  uint64 `json:"seed"`
	Rules []Rule `json:"rules"`
}

// ReadPlan reads a plan from the text of a file. Its errors name the file and the key at fault.
func ReadPlan(name string, text []byte) (*Plan, error) {
	var plan Plan
	tree, err := yamlfile.Decode(name, text, &plan)
	if err != nil {
		return nil, err
	}
	for i := range plan.Rules {
		if key, problem := plan.Rules[i].check(); problem != "" {
			path := fmt.Sprintf("rules[%d].%s", i, key)
			return nil, fmt.Errorf("%s%s: %s: %s", name, tree.Position(path), path, problem)
		}
	}
	return &plan, nil
}

// check returns the key at fault and what is wrong with it; an empty problem is none.
func (r *Rule) check() (key, problem string) {
	switch {
	case !slices.Contains(callNames(), r.Call):
		return "call", notTraced(r.Call)
	case !slices.Contains(kinds, r.Descriptor):
		return "descriptor", fmt.Sprintf("%q is no kind of descriptor: take one of %v", r.Descriptor, kinds[1:])
	case r.Error == "" && r.Bytes == 0 && r.Delay == 0:
		return "error", "state an error, bytes or a delay"
	case r.Error != "" && errorNumber(r.Error) == 0:
		return "error", fmt.Sprintf("%q is no error of the system: take a name such as ENOBUFS", r.Error)
	case r.Bytes < 0 || r.Delay < 0 || r.Skip < 0 || r.Every < 0 || r.Most < 0:
		return "call", "numbers and times must not be negative"
	case r.Share < 0 || r.Share > 1:
		return "share", fmt.Sprintf("%v is no chance: take a number from 0 to 1", r.Share)
	case r.Until != 0 && r.Until <= r.From:
		return "until", "must be after from"
	}
	return "", ""
}

// unsupported says which machines this tool knows the calls of.
const unsupported = "system calls are traced on Linux on amd64 and arm64 alone"

// notTraced says why rules can't name a call, and what they can name.
func notTraced(name string) string {
	names := callNames()
	instead, lacking := insteadOf[name]
	switch {
	case len(names) == 0:
		return unsupported
	case lacking:
		return fmt.Sprintf("%q is no call of this machine: take %s, which is made in its place here", name, instead)
	}
	return fmt.Sprintf("%q is not traced: take one of %s", name, strings.Join(names, ", "))
}

// maxErrorNumber is beyond the numbers of the system's errors.
const maxErrorNumber = 256

// errorNumber returns the number of an error of the system, or 0 if there is none of that name.
func errorNumber(name string) syscall.Errno {
	for number := syscall.Errno(1); number < maxErrorNumber; number++ {
		if unix.ErrnoName(number) == name {
			return number
		}
	}
	return 0
}
