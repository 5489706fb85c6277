package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is one started program.
type Process struct {
	Name          string
	Program       string
	Args          []string
	RPCAddress    string
	HTTPAddress   string
	Zone          string
	DataDirectory string
	IP            string
	ConfigFile    string

	mutex    sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	exitCode int
}

// Start starts the process; its log goes to a file of its name.
func (p *Process) Start(directory string) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	log, err := os.OpenFile(filepath.Join(directory, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.command = exec.Command(p.Program, p.Args...)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.Env = append(os.Environ(), "GORACE=exitcode=0")
	if err := p.command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	p.exited = make(chan struct{})
	command, ended := p.command, p.exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		p.mutex.Lock()
		p.exitCode = command.ProcessState.ExitCode()
		p.mutex.Unlock()
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process that was started.
func (p *Process) Signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// AwaitExit waits, for a bound, until the process has ended.
func (p *Process) AwaitExit(timeout time.Duration) bool {
	p.mutex.Lock()
	ended := p.exited
	p.mutex.Unlock()
	if ended == nil {
		return true
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		return false
	}
}

// ExitCode gives the exit code of an ended process.
func (p *Process) ExitCode() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.exitCode
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.AwaitExit(5 * time.Second)
}
