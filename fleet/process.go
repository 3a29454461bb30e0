package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const stopTimeout = 10 * time.Second

// Process is one started program.
type Process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// Name returns the name it was started under.
func (p *Process) Name() string { return p.name }

// ID returns the process id.
func (p *Process) ID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// starter starts all processes from one locked operating-system thread: the kernel kills them when the thread that started
// them ends, which must not happen before the program ends.
type starter struct {
	dir   string
	calls chan func()

	mu  sync.Mutex
	all []*Process
}

func newStarter(dir string) *starter {
	s := &starter{dir: dir, calls: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for call := range s.calls {
			call()
		}
	}()
	return s
}

func (s *starter) start(name, program string, args ...string) (*Process, error) {
	p := &Process{name: name, done: make(chan struct{})}
	result := make(chan error)
	s.calls <- func() { result <- s.exec(p, program, args) }
	if err := <-result; err != nil {
		return nil, errors.Wrapf(err, "fleet: start %s", name)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, p)
	return p, nil
}

func (s *starter) exec(p *Process, program string, args []string) error {
	log, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.cmd.Start()
}

// stopAll sends SIGTERM to every process and kills those that have not ended after stopTimeout.
func (s *starter) stopAll() {
	s.mu.Lock()
	all := s.all
	s.all = nil
	s.mu.Unlock()
	for _, p := range all {
		_ = p.Signal(syscall.SIGTERM)
	}
	limit := time.After(stopTimeout)
	for _, p := range all {
		select {
		case <-p.done:
		case <-limit:
			p.Kill()
		}
	}
	close(s.calls)
}
