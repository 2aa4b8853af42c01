// Package realtime runs a scenario on sockets: stand-ins for endpoints, discovery, network delay and clients on
// loopback, around real proxies in processes of their own or embedded. Stand-ins speak the published protocol; the
// model of an endpoint's machine is that of virtual time (lab/servermodel).
//
// It also measures what a proxy costs, against a plain relay and the standard library's reverse proxy.
package realtime

import "time"

// Embedded is the build that runs the proxy within the laboratory's process.
const Embedded = "embedded"

// Options holds what a scenario is run with.
type Options struct {
	Seed  uint64
	Build string // path of a proxy program, or Embedded

	// Command starts a proxy in a process of its own, if Build names none.
	Command []string

	// Tell is called with the progress, from several goroutines, for those who watch; it may be nil.
	OnProgress func(Progress)
}

// command returns the command line of a proxy process.
func (o *Options) command() []string {
	if o.Build != "" {
		return []string{o.Build, "serve"}
	}
	return o.Command
}

// Progress is the progress of a run.
type Progress struct {
	At         time.Duration // since the first request could be sent
	Event      string        // what has happened, for people; empty in a periodic report
	Sent       int           // first tries until now
	Served     int
	Shed       int // shed
	Failed     int
	P50, P95   time.Duration // latency of what was served since the last periodic report
	Violations int           // violations of the rules until now
}
