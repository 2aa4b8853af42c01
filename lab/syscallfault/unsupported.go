//go:build !linux || (!amd64 && !arm64)

package syscallfault

import (
	"errors"
	"io"
	"os/exec"
)

// errUnsupported means that this tool does not know the calls of the machine.
var errUnsupported = errors.New(unsupported)

// Run fails: calls can't be traced on this machine.
func Run(*exec.Cmd, *Plan, string, io.Writer) (status int, err error) { return 0, errUnsupported }

func callNames() []string { return nil }

// insteadOf has calls that a machine lacks, and those that are made in their place.
var insteadOf map[string]string
