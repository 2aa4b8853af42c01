package syscallfault

import "strings"

// target is what a descriptor leads to.
type target struct {
	kind Kind
	name string // path or address, where it is known
}

// descriptors are the descriptors that the program has open. One goroutine uses it.
type descriptors struct {
	open      map[int]target
	discovery string // address of the discovery service
}

func newDescriptors(discovery string) *descriptors {
	standard := target{kind: Log, name: "standard output or error"}
	return &descriptors{open: map[int]target{1: standard, 2: standard}, discovery: discovery}
}

// at returns what a descriptor leads to.
func (d *descriptors) at(descriptor int) target {
	found, ok := d.open[descriptor]
	if !ok {
		return target{kind: Other}
	}
	return found
}

// systemDirectories hold files that are not the program's own: the dynamic loader opens its libraries before the
// program begins, and a fault there is none of the program's.
var systemDirectories = []string{"/dev/", "/etc/", "/lib/", "/lib64/", "/proc/", "/sys/", "/usr/"}

// opened records a file. Those of the system's own directories are no files of the program.
func (d *descriptors) opened(descriptor int, path string) {
	d.open[descriptor] = target{kind: kindOfPath(path), name: path}
}

func kindOfPath(path string) Kind {
	for _, directory := range systemDirectories {
		if strings.HasPrefix(path, directory) {
			return Other
		}
	}
	return File
}

// connecting records a connection that the program opens, and returns where it leads.
func (d *descriptors) connecting(descriptor int, address string) {
	kind := Endpoint
	if address == d.discovery {
		kind = Discovery
	}
	d.open[descriptor] = target{kind: kind, name: address}
}

func (d *descriptors) bound(descriptor int, address string) {
	d.open[descriptor] = target{kind: Other, name: address}
}

func (d *descriptors) listening(descriptor int) {
	d.open[descriptor] = target{kind: Listener, name: d.open[descriptor].name}
}

func (d *descriptors) accepted(descriptor, listener int) {
	d.open[descriptor] = target{kind: Client, name: d.open[listener].name}
}

func (d *descriptors) duplicated(from, to int) { d.open[to] = d.at(from) }

func (d *descriptors) closed(descriptor int) { delete(d.open, descriptor) }
