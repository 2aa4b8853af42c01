// Package servermodel models the machine of one provider: cores shared evenly by what
// is in work, slots, a waiting room, a cold start, and slowing down when too
// much waits for the cores. It is pure: time comes in as an argument, and both
// hosts of the laboratory drive it, in virtual time and in real time.
package servermodel

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"ryerill/lab/scenario"
)

// Verdict is what becomes of a request that arrives.
type Verdict uint8

// The verdicts.
const (
	Working  Verdict = iota // it has a slot
	Waiting                 // it waits for a slot
	Rejected                // turned away unseen
)

// Job is one piece of work. The owner sets Left and Tag before it is offered.
type Job struct {
	Left float64 // seconds of one warm core still to do in the present phase
	Tag  any     // the owner's

	state state
	due   float64 // of the node's virtual time, while on the cores
	index int     // in the heap of the running
	slot  bool
}

type state uint8

const (
	idle state = iota
	running
	queued
	done    // its phase is done, and Pop has not returned it yet
	resting // holds its slot while it waits for another tier
)

// tick is how often the rate is reckoned anew while it moves by itself.
const tick = 100 * time.Millisecond

// Server is one machine. It is not safe for concurrent use.
type Server struct {
	spec    *scenario.Machine
	speed   float64 // of a core, this machine's draw
	started time.Duration
	warm    bool // since before the beginning
	factor  float64
	hung    bool

	now      time.Duration
	virtual  float64 // service that each running job has had since the start
	jobs     runningJobs
	finished []*Job // in order of their ends
	queue    []*Job
	held     int // slots taken
	did      float64
	crowded  time.Duration // since when too much waits; -1 is not
	rested   time.Duration // since when little waits; -1 is not
	slowed   time.Duration // since when it is slowed down; -1 is not
	cold     []sent
	tipped   bool
	Conns    int     // connections open
	Received float64 // work sent to it while cold, in the span that tips it
}

type sent struct {
	at   time.Duration
	work float64
}

type runningJobs []*Job

func (r runningJobs) Len() int           { return len(r) }
func (r runningJobs) Less(i, j int) bool { return r[i].due < r[j].due }
func (r runningJobs) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].index, r[j].index = i, j
}
func (r *runningJobs) Push(x any) {
	j := x.(*Job)
	j.index = len(*r)
	*r = append(*r, j)
}
func (r *runningJobs) Pop() any {
	old := *r
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*r = old[:len(old)-1]
	return j
}

// New returns a warm machine, or a cold one that starts now.
func New(spec *scenario.Machine, speed float64, now time.Duration, warm bool) *Server {
	return &Server{spec: spec, speed: speed, started: now, now: now, warm: warm, factor: 1, crowded: -1, rested: -1, slowed: -1}
}

// Capacity is the part of a warm machine's capacity that it has now, by its age.
func (n *Server) Capacity(now time.Duration) float64 {
	age := now - n.started
	if n.warm || age >= n.spec.Cold.For {
		return 1
	}
	return n.spec.Cold.From + (1-n.spec.Cold.From)*float64(age)/float64(n.spec.Cold.For)
}

// Cold tells whether it has not warmed up.
func (n *Server) Cold() bool { return !n.warm && n.now-n.started < n.spec.Cold.For }

// Rate is the work that the warm machine does in a second.
func (n *Server) Rate() float64 { return n.spec.Cores * n.speed }

// pace is the service that each running job gets in a second.
func (n *Server) pace() float64 {
	if len(n.jobs) == 0 || n.hung || n.tipped {
		return 0
	}
	p := n.speed * n.Capacity(n.now) / n.factor * math.Min(1, n.spec.Cores/float64(len(n.jobs)))
	if n.slowed >= 0 {
		p /= n.spec.Crowd.Factor
	}
	return p
}

// Advance moves the machine's time to now. Phases end at their very time on the
// way, however late that is noticed, and wait in Pop.
func (n *Server) Advance(now time.Duration) {
	for n.now < now {
		step := now
		if n.moving() && step-n.now > tick {
			step = n.now + tick
		}
		pace := n.pace()
		if pace > 0 {
			step = min(step, n.now+n.wait(pace))
		}
		each := pace * (step - n.now).Seconds()
		n.virtual += each
		n.did += each * float64(len(n.jobs))
		n.now = step
		for len(n.jobs) > 0 && n.jobs[0].due <= n.virtual+rounding {
			j := heap.Pop(&n.jobs).(*Job)
			j.state = done
			n.finished = append(n.finished, j)
		}
		n.crowd()
	}
}

// rounding is what times in nanoseconds may take from a job, in seconds of work.
const rounding = 1e-9

// wait is the time until the next phase ends at a pace, at least a nanosecond.
func (n *Server) wait(pace float64) time.Duration {
	left := math.Max(0, n.jobs[0].due-n.virtual) / pace * float64(time.Second)
	return time.Duration(math.Min(left, float64(time.Hour))) + 1
}

// moving tells whether the pace changes with time alone.
func (n *Server) moving() bool { return n.Cold() || n.slowed >= 0 || n.crowded >= 0 }

// crowd watches how much waits for the cores.
func (n *Server) crowd() {
	c := &n.spec.Crowd
	if c.At == 0 {
		return
	}
	load := float64(len(n.jobs)+len(n.queue)) / n.spec.Cores
	mark := func(since *time.Duration, on bool) time.Duration {
		if !on {
			*since = -1
		} else if *since < 0 {
			*since = n.now
		}
		if *since < 0 {
			return -1
		}
		return n.now - *since
	}
	if n.slowed < 0 {
		if mark(&n.crowded, load > c.At) >= c.After {
			n.slowed, n.rested = n.now, -1
		}
		return
	}
	if mark(&n.rested, load <= c.Below) >= c.Rest || n.now-n.slowed >= c.Most {
		n.slowed, n.crowded, n.rested = -1, -1, -1
	}
}

// Slowed tells whether the machine is slowed down by crowding.
func (n *Server) Slowed() bool { return n.slowed >= 0 }

// Tipped tells whether it fell over, pushed while cold.
func (n *Server) Tipped() bool { return n.tipped }

// Done is the work done since the start, in seconds of one warm core.
func (n *Server) Done() float64 { return n.did }

// Waiting is how many jobs wait for a slot; Running how many share the cores.
func (n *Server) Waiting() int { return len(n.queue) }

// Running is how many jobs share the cores.
func (n *Server) Running() int { return len(n.jobs) }

// Offer gives a job to the machine.
func (n *Server) Offer(now time.Duration, j *Job) Verdict {
	n.Advance(now)
	n.push(j.Left)
	switch {
	case n.held < n.spec.Slots && len(n.queue) == 0:
		n.held++
		j.slot = true
		n.run(j)
		return Working
	case len(n.queue) < n.spec.QueueLimit:
		j.state = queued
		n.queue = append(n.queue, j)
		n.crowd()
		return Waiting
	}
	return Rejected
}

// Extra is work that needs no slot, as a handshake does.
func (n *Server) Extra(now time.Duration, work float64) {
	n.Advance(now)
	n.push(work)
	n.run(&Job{Left: work})
}

// push books what is sent to a cold machine, and tips it over if that is too much for too long.
func (n *Server) push(work float64) {
	if !n.Cold() || n.tipped {
		return
	}
	n.cold = append(n.cold, sent{n.now, work})
	n.Received += work
	for len(n.cold) > 0 && n.now-n.cold[0].at > n.spec.Cold.Within {
		n.Received -= n.cold[0].work
		n.cold = n.cold[1:]
	}
	budget := n.spec.Cold.Tips * n.Capacity(n.now) * n.Rate() * n.spec.Cold.Within.Seconds()
	// Chance bunches arrivals: a fifth and four mean jobs of slack keep it from tipping a machine.
	if mean := n.Received / float64(len(n.cold)); n.Received > 1.2*budget+4*mean {
		n.tipped = true
	}
}

func (n *Server) run(j *Job) {
	j.state, j.due = running, n.virtual+j.Left
	heap.Push(&n.jobs, j)
	n.crowd()
}

// Resume puts a job that rested back on the cores.
func (n *Server) Resume(now time.Duration, j *Job) {
	n.Advance(now)
	n.run(j)
}

// Next is when Pop is to be called next; ok is false if nothing is due by itself.
func (n *Server) Next() (at time.Duration, ok bool) {
	if len(n.finished) > 0 {
		return n.now, true
	}
	pace := n.pace()
	if pace <= 0 {
		return 0, false
	}
	wait := n.wait(pace)
	if n.moving() {
		wait = min(wait, tick)
	}
	return n.now + wait, true
}

// Pop returns the next job whose phase is done by now; it rests in its slot
// until Resume or End. Nil is none.
func (n *Server) Pop(now time.Duration) *Job {
	n.Advance(now)
	if len(n.finished) == 0 {
		return nil
	}
	j := n.finished[0]
	n.finished = n.finished[1:]
	j.state = resting
	return j
}

// End frees the slot of a job, whatever it was doing, and lets the next one in.
func (n *Server) End(now time.Duration, j *Job) {
	n.Advance(now)
	switch j.state {
	case running:
		heap.Remove(&n.jobs, j.index)
	case queued:
		n.queue = slices.DeleteFunc(n.queue, func(q *Job) bool { return q == j })
	case done:
		n.finished = slices.DeleteFunc(n.finished, func(q *Job) bool { return q == j })
	}
	j.state = idle
	if j.slot {
		j.slot = false
		n.held--
	}
	for n.held < n.spec.Slots && len(n.queue) > 0 {
		next := n.queue[0]
		n.queue = n.queue[1:]
		n.held++
		next.slot = true
		n.run(next)
	}
	n.crowd()
}

// Queued and Busy tell where a job is.
func (j *Job) Queued() bool { return j.state == queued }

// Busy tells whether the job is on the cores.
func (j *Job) Busy() bool { return j.state == running }

// Slow makes the machine so many times slower; 1 ends that.
func (n *Server) Slow(now time.Duration, factor float64) {
	n.Advance(now)
	n.factor = factor
}

// Hang stops all work, or lets it go on.
func (n *Server) Hang(now time.Duration, on bool) {
	n.Advance(now)
	n.hung = on
}
