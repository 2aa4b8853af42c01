//go:build amd64 || arm64

package syscallfault

import (
	"maps"
	"slices"

	"golang.org/x/sys/unix"
)

// effect is what a call does to the program's descriptors.
type effect uint8

const (
	noEffect effect = iota
	opensFile
	opensSocket
	connects
	binds
	listens
	accepts
	duplicates
	closes
)

// tracedCall is a call that rules can name.
type tracedCall struct {
	name       string
	descriptor int // which argument is the descriptor; -1 is none
	path       int // which argument is a path; -1 is none
	bytes      int // which argument is a number of bytes; -1 is none
	vector     bool
	effect     effect
}

// The positions of arguments that a call does not have.
const none = -1

// tracedCalls are the calls that rules can name, by their number on this machine.
var tracedCalls = func() map[uint64]tracedCall {
	all := maps.Clone(sharedCalls)
	maps.Copy(all, machineCalls)
	return all
}()

// sharedCalls are those that all machines have. The others are in machineCalls.
var sharedCalls = map[uint64]tracedCall{
	unix.SYS_READ:       {"read", 0, none, 2, false, noEffect},
	unix.SYS_WRITE:      {"write", 0, none, 2, false, noEffect},
	unix.SYS_READV:      {"readv", 0, none, none, true, noEffect},
	unix.SYS_WRITEV:     {"writev", 0, none, none, true, noEffect},
	unix.SYS_PREAD64:    {"pread64", 0, none, 2, false, noEffect},
	unix.SYS_RECVFROM:   {"recvfrom", 0, none, 2, false, noEffect},
	unix.SYS_SENDTO:     {"sendto", 0, none, none, false, noEffect},
	unix.SYS_PPOLL:      {"ppoll", none, none, none, false, noEffect},
	unix.SYS_SOCKET:     {"socket", none, none, none, false, opensSocket},
	unix.SYS_CONNECT:    {"connect", 0, none, none, false, connects},
	unix.SYS_BIND:       {"bind", 0, none, none, false, binds},
	unix.SYS_LISTEN:     {"listen", 0, none, none, false, listens},
	unix.SYS_ACCEPT4:    {"accept4", 0, none, none, false, accepts},
	unix.SYS_EPOLL_CTL:  {"epoll_ctl", 2, none, none, false, noEffect},
	unix.SYS_SETSOCKOPT: {"setsockopt", 0, none, none, false, noEffect},
	unix.SYS_GETSOCKOPT: {"getsockopt", 0, none, none, false, noEffect},
	unix.SYS_SHUTDOWN:   {"shutdown", 0, none, none, false, noEffect},
	unix.SYS_DUP:        {"dup", 0, none, none, false, duplicates},
	unix.SYS_FCNTL:      {"fcntl", 0, none, none, false, duplicates},
	unix.SYS_CLOSE:      {"close", 0, none, none, false, closes},
	unix.SYS_OPENAT:     {"openat", none, 1, none, false, opensFile},
	unix.SYS_FSTAT:      {"fstat", 0, none, none, false, noEffect},
	unix.SYS_NEWFSTATAT: {"newfstatat", none, 1, none, false, noEffect},
	unix.SYS_FSYNC:      {"fsync", 0, none, none, false, noEffect},
	unix.SYS_FTRUNCATE:  {"ftruncate", 0, none, none, false, noEffect},
	unix.SYS_FLOCK:      {"flock", 0, none, none, false, noEffect},
	unix.SYS_GETDENTS64: {"getdents64", 0, none, none, false, noEffect},
	unix.SYS_RENAMEAT:   {"renameat", none, 3, none, false, noEffect},
	unix.SYS_RENAMEAT2:  {"renameat2", none, 3, none, false, noEffect},
	unix.SYS_UNLINKAT:   {"unlinkat", none, 1, none, false, noEffect},
	unix.SYS_MKDIRAT:    {"mkdirat", none, 1, none, false, noEffect},
	unix.SYS_FCHMOD:     {"fchmod", 0, none, none, false, noEffect},
}

// callNames are the names of all calls that rules can name.
func callNames() (names []string) {
	for traced := range maps.Values(tracedCalls) {
		names = append(names, traced.name)
	}
	slices.Sort(names)
	return names
}
