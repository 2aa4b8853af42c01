package realtime

import (
	"os/exec"
	"runtime"
	"syscall"

	"golang.org/x/sys/unix"
)

// launcher starts processes from one thread that lives as long as they may: the kernel ends them with it, so that
// none is left behind should the laboratory itself be killed.
type launcher struct {
	starts chan func()
	done   chan struct{} // closed when the thread has ended
}

func newLauncher() *launcher {
	l := &launcher{starts: make(chan func()), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		for start := range l.starts {
			start()
		}
	}()
	return l
}

// do calls start on the launcher's thread and returns its error.
func (l *launcher) do(start func() error) error {
	result := make(chan error)
	l.starts <- func() { result <- start() }
	return <-result
}

// start starts a process that the kernel kills should the laboratory end.
func (l *launcher) start(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return l.do(cmd.Start)
}

// startPinned starts a process that may run on one core only.
func (l *launcher) startPinned(cmd *exec.Cmd, core int) error {
	return l.do(func() error {
		var before, pinned unix.CPUSet
		pinned.Set(core)
		if err := unix.SchedGetaffinity(0, &before); err != nil {
			return err
		}
		if err := unix.SchedSetaffinity(0, &pinned); err != nil {
			return err
		}
		err := cmd.Start() // the child inherits the cores that this thread may use
		_ = unix.SchedSetaffinity(0, &before)
		return err
	})
}

// close ends the thread, once all processes have been started.
func (l *launcher) close() {
	close(l.starts)
	<-l.done
}
