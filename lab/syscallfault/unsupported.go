//go:build !linux || !amd64

package syscallfault

import (
	"errors"
	"io"
	"os/exec"
)

// errUnsupported means that this tool does not know the calls of the machine.
var errUnsupported = errors.New("system calls are traced on Linux on amd64 alone")

// Run fails: calls can't be traced on this machine.
func Run(*exec.Cmd, *Plan, string, io.Writer) (status int, err error) { return 0, errUnsupported }

func callNames() []string { return nil }
