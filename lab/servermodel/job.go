package servermodel

// Job is one piece of work. Its owner sets Left and Tag before it is offered, and Left again before it is resumed.
type Job struct {
	Left float64 // seconds of one warm core still to do in the present phase
	Tag  any     // the owner's

	state  state
	doneAt float64 // the server's service at which the phase is done, while the job runs
	index  int     // in the heap of running jobs
	slot   bool    // holds a slot
}

// state is where a job is.
type state uint8

const (
	idle state = iota
	running
	queued
	done    // its phase is done, and Pop has not returned it yet
	resting // holds its slot while it waits for another tier
)

// Queued reports whether the job waits for a slot.
func (j *Job) Queued() bool { return j.state == queued }

// Busy reports whether the job is on the cores.
func (j *Job) Busy() bool { return j.state == running }

// runningJobs is a heap of the jobs on the cores, by when their phase is done. It implements heap.Interface.
type runningJobs []*Job

// Len implements heap.Interface.
func (r runningJobs) Len() int { return len(r) }

// Less implements heap.Interface.
func (r runningJobs) Less(i, j int) bool { return r[i].doneAt < r[j].doneAt }

// Swap implements heap.Interface.
func (r runningJobs) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].index = i
	r[j].index = j
}

// Push implements heap.Interface.
func (r *runningJobs) Push(x any) {
	job := x.(*Job)
	job.index = len(*r)
	*r = append(*r, job)
}

// Pop implements heap.Interface.
func (r *runningJobs) Pop() any {
	old := *r
	job := old[len(old)-1]
	old[len(old)-1] = nil
	*r = old[:len(old)-1]
	return job
}
