package realtime

import (
	"sync"
	"time"

	"ryerill/lab/scenario"
	"ryerill/lab/servermodel"
)

// machine drives the model of an endpoint's machine in real time.
type machine struct {
	began time.Time // of the run: the model's time 0

	mu         sync.Mutex // guards the fields below
	model      *servermodel.Server
	timer      *time.Timer // fires when the model's next job is due
	generation int         // of the timer: one that was replaced does nothing
	stopped    bool
}

// task is a job whose phases a goroutine waits for.
type task struct {
	servermodel.Job
	done chan struct{} // receives when a phase is done
}

func newMachine(began time.Time, spec *scenario.Machine, speed float64, warm bool) *machine {
	m := &machine{began: began}
	m.model = servermodel.New(spec, speed, m.now(), warm)
	return m
}

func (m *machine) now() time.Duration { return time.Since(m.began) }

// update changes the model and schedules the timer for what is due next. It does nothing once the machine is stopped.
func (m *machine) update(change func(model *servermodel.Server, now time.Duration)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	change(m.model, m.now())
	m.scheduleTimer()
}

// scheduleTimer sets the timer to the model's next event; mu is held.
func (m *machine) scheduleTimer() {
	at, ok := m.model.Next()
	if !ok {
		return
	}
	m.generation++
	generation := m.generation
	wait := max(at-m.now(), 0)
	if m.timer != nil {
		m.timer.Stop()
	}
	m.timer = time.AfterFunc(wait, func() { m.completeDue(generation) })
}

// completeDue notifies the tasks whose phase is done.
func (m *machine) completeDue(generation int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped || generation != m.generation {
		return
	}
	now := m.now()
	for job := m.model.Pop(now); job != nil; job = m.model.Pop(now) {
		if t, ok := job.Tag.(*task); ok {
			t.done <- struct{}{} // the channel holds one: a task has one phase in work at a time
		}
	}
	m.scheduleTimer()
}

// offer gives a task to the machine and reports whether it was accepted.
func (m *machine) offer(t *task) (accepted bool) {
	t.Tag = t
	t.done = make(chan struct{}, 1)
	m.update(func(model *servermodel.Server, now time.Duration) {
		accepted = model.Offer(now, &t.Job) != servermodel.Rejected
	})
	return accepted
}

// resume starts a task's next phase.
func (m *machine) resume(t *task, work float64) {
	m.update(func(model *servermodel.Server, now time.Duration) {
		t.Left = work
		model.Resume(now, &t.Job)
	})
}

// isQueued reports whether a task still waits for its first phase.
func (m *machine) isQueued(t *task) (queued bool) {
	m.update(func(*servermodel.Server, time.Duration) { queued = t.Queued() })
	return queued
}

// end removes a task.
func (m *machine) end(t *task) {
	m.update(func(model *servermodel.Server, now time.Duration) { model.End(now, &t.Job) })
}

// setSlowdown makes the machine slower by a factor; 1 is its normal speed.
func (m *machine) setSlowdown(factor float64) {
	m.update(func(model *servermodel.Server, now time.Duration) { model.Slow(now, factor) })
}

// setHung makes the machine hang, or go on.
func (m *machine) setHung(hung bool) {
	m.update(func(model *servermodel.Server, now time.Duration) { model.Hang(now, hung) })
}

// stop ends the machine and returns the work that it did, in seconds of one core.
func (m *machine) stop() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.stopped {
		m.stopped = true
		m.model.Advance(m.now())
		if m.timer != nil {
			m.timer.Stop()
		}
	}
	return m.model.Done()
}
