package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Process is a program of a fleet that can be started, stopped and restarted.
type Process struct {
	Name    string
	Program string
	Args    []string
	// IP is the IP of RPCAddress and HTTPAddress.
	IP          string
	RPCAddress  string
	HTTPAddress string
	Zone        string
	// Database is set only for instances.
	Database      string
	DataDirectory string
	// ConfigFile is empty if the process has no configuration file.
	ConfigFile string

	mutex    sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	exitCode int
}

// Start starts the process. Its output is appended to a log file in a directory. The file
// is named after the process.
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
	command, exited := p.command, p.exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		p.mutex.Lock()
		p.exitCode = command.ProcessState.ExitCode()
		p.mutex.Unlock()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process if it was started.
func (p *Process) Signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// AwaitExit waits until the process has exited. It returns true at once if the process
// was never started, and false after a timeout.
func (p *Process) AwaitExit(timeout time.Duration) bool {
	p.mutex.Lock()
	exited := p.exited
	p.mutex.Unlock()
	if exited == nil {
		return true
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-exited:
		return true
	case <-timer.C:
		return false
	}
}

// ExitCode returns the exit code of the last run of the process that has ended.
func (p *Process) ExitCode() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.exitCode
}

// Kill kills the process and waits up to 5 s until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.AwaitExit(5 * time.Second)
}
