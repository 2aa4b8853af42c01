package realtime

import (
	"sync"
	"time"

	"ryerill/lab/scenario"
	"ryerill/lab/servermodel"
)

// machine drives the model of a provider's machine in real time.
type machine struct {
	began time.Time // of the run: the model's time 0

	mu    sync.Mutex
	node  *servermodel.Server
	timer *time.Timer
	gen   int
	over  bool
}

// task is a job whose phases a goroutine waits for.
type task struct {
	servermodel.Job
	done chan struct{} // a phase is done
}

func newMachine(began time.Time, spec *scenario.Machine, speed float64, warm bool) *machine {
	m := &machine{began: began}
	m.node = servermodel.New(spec, speed, m.now(), warm)
	return m
}

func (m *machine) now() time.Duration { return time.Since(m.began) }

// do changes the model and sees to it that what becomes due is noticed.
func (m *machine) do(change func(n *servermodel.Server, now time.Duration)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.over {
		return
	}
	change(m.node, m.now())
	m.arm()
}

func (m *machine) arm() {
	at, ok := m.node.Next()
	if !ok {
		return
	}
	m.gen++
	gen := m.gen
	wait := max(at-m.now(), 0)
	if m.timer != nil {
		m.timer.Stop()
	}
	m.timer = time.AfterFunc(wait, func() { m.due(gen) })
}

func (m *machine) due(gen int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.over || gen != m.gen {
		return
	}
	now := m.now()
	for j := m.node.Pop(now); j != nil; j = m.node.Pop(now) {
		if t, ok := j.Tag.(*task); ok {
			t.done <- struct{}{} // holds one; a task has one phase out at a time
		}
	}
	m.arm()
}

// offer gives a task to the machine.
func (m *machine) offer(t *task) (v servermodel.Verdict) {
	t.Tag, t.done = t, make(chan struct{}, 1)
	v = servermodel.Rejected
	m.do(func(n *servermodel.Server, now time.Duration) { v = n.Offer(now, &t.Job) })
	return v
}

func (m *machine) resume(t *task, work float64) {
	m.do(func(n *servermodel.Server, now time.Duration) {
		t.Left = work
		n.Resume(now, &t.Job)
	})
}

func (m *machine) end(t *task) {
	m.do(func(n *servermodel.Server, now time.Duration) { n.End(now, &t.Job) })
}

// stop ends the machine and returns the work that it did.
func (m *machine) stop() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.over {
		m.over = true
		m.node.Advance(m.now())
		if m.timer != nil {
			m.timer.Stop()
		}
	}
	return m.node.Done()
}
