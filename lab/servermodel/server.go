// Package servermodel models the machine of one endpoint: cores that running jobs share evenly, slots, a queue, a
// warm-up, and slowing down when too much waits for the cores. It is pure: time comes in as an argument, and both hosts
// of the laboratory drive it, in virtual time and in real time.
package servermodel

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"ryerill/lab/scenario"
)

// Admission is what becomes of a job that is offered.
type Admission uint8

// The verdicts.
const (
	Working  Admission = iota // it has a slot
	Waiting                   // it waits for a slot
	Rejected                  // there is no space in the queue: nothing of it ran
)

const (
	// tick is how often the pace is computed anew while it changes with time.
	tick = 100 * time.Millisecond

	// rounding is what times in whole nanoseconds may take from a job, in seconds of work.
	rounding = 1e-9
)

// Server is one machine. It is not safe for concurrent use, and times must not decrease from call to call.
type Server struct {
	OpenConnections int     // connections open; the owner's
	Received        float64 // work sent to it while it warms up, within the span that may overload it

	spec        *scenario.Machine
	speed       float64 // of a core: this machine's draw
	startedAt   time.Duration
	startedWarm bool
	slowFactor  float64
	hanging     bool
	overloaded  bool // while it warmed up
	recent      []sentWork
	crowding    crowding

	now       time.Duration
	service   float64 // that each running job has had since the start, in seconds of one core
	workDone  float64
	running   runningJobs
	finished  []*Job // in order of their ends
	queue     []*Job
	usedSlots int
}

// New returns a warm server, or a cold one that starts now.
func New(spec *scenario.Machine, speed float64, now time.Duration, warm bool) *Server {
	return &Server{
		spec:        spec,
		speed:       speed,
		startedAt:   now,
		startedWarm: warm,
		slowFactor:  1,
		crowding:    newCrowding(&spec.Crowd),
		now:         now,
	}
}

// Rate returns the work that the server does in a second once it is warm.
func (s *Server) Rate() float64 { return s.spec.Cores * s.speed }

// Done returns the work done since the start, in seconds of one warm core.
func (s *Server) Done() float64 { return s.workDone }

// Slowed reports whether the server is slowed down as too much waited for its cores.
func (s *Server) Slowed() bool { return s.crowding.slowed() }

// pace is the service that each running job gets in a second.
func (s *Server) pace() float64 {
	if len(s.running) == 0 || s.hanging || s.overloaded {
		return 0
	}
	cores := math.Min(1, s.spec.Cores/float64(len(s.running)))
	pace := s.speed * s.Capacity(s.now) / s.slowFactor * cores
	if s.Slowed() {
		pace /= s.spec.Crowd.Factor
	}
	return pace
}

// paceChanges reports whether the pace changes with time alone.
func (s *Server) paceChanges() bool { return s.Cold() || s.crowding.isChanging() }

// Advance moves the server's time to now. Phases end at their very time on the way, however late that is noticed, and
// wait in Pop.
func (s *Server) Advance(now time.Duration) {
	for s.now < now {
		until := now
		if s.paceChanges() && until-s.now > tick {
			until = s.now + tick
		}
		pace := s.pace()
		if pace > 0 {
			until = min(until, s.now+s.timeToNextEnd(pace))
		}
		service := pace * (until - s.now).Seconds()
		s.service += service
		s.workDone += service * float64(len(s.running))
		s.now = until
		s.finishPhases()
		s.updateCrowding()
	}
}

// finishPhases takes the jobs off the cores whose phase is done.
func (s *Server) finishPhases() {
	for len(s.running) > 0 && s.running[0].doneAt <= s.service+rounding {
		job := heap.Pop(&s.running).(*Job)
		job.state = done
		s.finished = append(s.finished, job)
	}
}

// timeToNextEnd is the time until the next phase ends at a pace, at least a nanosecond.
func (s *Server) timeToNextEnd(pace float64) time.Duration {
	nanoseconds := math.Max(0, s.running[0].doneAt-s.service) / pace * float64(time.Second)
	return time.Duration(math.Min(nanoseconds, float64(time.Hour))) + 1
}

func (s *Server) updateCrowding() {
	s.crowding.update(s.now, float64(len(s.running)+len(s.queue))/s.spec.Cores)
}

// Offer gives a job to the server.
func (s *Server) Offer(now time.Duration, job *Job) Admission {
	s.Advance(now)
	s.receive(job.Left)
	switch {
	case s.usedSlots < s.spec.Slots && len(s.queue) == 0:
		s.runInSlot(job)
		return Working
	case len(s.queue) < s.spec.QueueLimit:
		job.state = queued
		s.queue = append(s.queue, job)
		s.updateCrowding()
		return Waiting
	}
	return Rejected
}

// Extra gives work to the server that needs no slot, as a handshake does.
func (s *Server) Extra(now time.Duration, work float64) {
	s.Advance(now)
	s.receive(work)
	s.run(&Job{Left: work})
}

func (s *Server) runInSlot(job *Job) {
	s.usedSlots++
	job.slot = true
	s.run(job)
}

func (s *Server) run(job *Job) {
	job.state = running
	job.doneAt = s.service + job.Left
	heap.Push(&s.running, job)
	s.updateCrowding()
}

// Resume puts a job that rested back on the cores.
func (s *Server) Resume(now time.Duration, job *Job) {
	s.Advance(now)
	s.run(job)
}

// Next returns when Pop is to be called next; ok is false if nothing ends by itself.
func (s *Server) Next() (at time.Duration, ok bool) {
	if len(s.finished) > 0 {
		return s.now, true
	}
	pace := s.pace()
	if pace <= 0 {
		return 0, false
	}
	wait := s.timeToNextEnd(pace)
	if s.paceChanges() {
		wait = min(wait, tick)
	}
	return s.now + wait, true
}

// Pop returns the next job whose phase is done by now, or nil. The job rests in its slot until Resume or End.
func (s *Server) Pop(now time.Duration) *Job {
	s.Advance(now)
	if len(s.finished) == 0 {
		return nil
	}
	job := s.finished[0]
	s.finished = s.finished[1:]
	job.state = resting
	return job
}

// End takes a job out of the server, whatever it was doing, and lets the next ones from the queue into its slot.
func (s *Server) End(now time.Duration, job *Job) {
	s.Advance(now)
	isJob := func(other *Job) bool { return other == job }
	switch job.state {
	case running:
		heap.Remove(&s.running, job.index)
	case queued:
		s.queue = slices.DeleteFunc(s.queue, isJob)
	case done:
		s.finished = slices.DeleteFunc(s.finished, isJob)
	}
	job.state = idle
	if job.slot {
		job.slot = false
		s.usedSlots--
	}
	for s.usedSlots < s.spec.Slots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.runInSlot(next)
	}
	s.updateCrowding()
}

// Slow makes the server so many times slower; 1 ends that.
func (s *Server) Slow(now time.Duration, factor float64) {
	s.Advance(now)
	s.slowFactor = factor
}

// Hang stops all work, or lets it go on.
func (s *Server) Hang(now time.Duration, on bool) {
	s.Advance(now)
	s.hanging = on
}
