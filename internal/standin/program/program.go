// Package program runs programs under test as separate processes, and ends,
// freezes and restarts them from outside.
package program

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrRuns says that a process has not ended in time.
var ErrRuns = errors.New("program: still runs")

// Process is a running program. Use Start. Its methods may be called from any
// goroutine.
type Process struct {
	Name string

	command *exec.Cmd
	output  output
	// ended is closed when the process has ended and err is set.
	ended chan struct{}
	err   error
}

// output keeps what a process writes. The zero value is empty.
type output struct {
	mutex sync.Mutex
	bytes bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.bytes.Write(p)
}

// String returns what was written.
func (o *output) String() string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.bytes.String()
}

// Build builds packages of the module at root into a directory. Options go to
// the compiler.
func Build(ctx context.Context, root, into string, options []string, packages ...string) error {
	c := exec.CommandContext(ctx, "go", append(append([]string{"build", "-o", into + string(filepath.Separator)}, options...), packages...)...)
	c.Dir = root
	if out, err := c.CombinedOutput(); err != nil {
		return errors.Wrapf(err, "build: %s", out)
	}
	return nil
}

// Start starts the program in a file. It does not outlive the caller's process,
// not even when that is killed.
func Start(name, file string, arguments ...string) (*Process, error) {
	p := &Process{Name: name, command: exec.CommandContext(context.Background(), file, arguments...), ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = &p.output, &p.output
	p.command.Env = append(os.Environ(), "GORACE=halt_on_error=1 atexit_sleep_ms=0")
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	go func() {
		p.err = p.command.Wait()
		close(p.ended)
	}()
	return p, nil
}

// Ended is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} {
	return p.ended
}

// Freeze stops the process as a hypervisor stops a VM.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Kill ends the process without a chance to clean up.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.ended
}

// Output returns what the process has written.
func (p *Process) Output() string {
	return p.output.String()
}

// Signal sends a signal unless the process has ended.
func (p *Process) Signal(s syscall.Signal) {
	select {
	case <-p.ended:
	default:
		// It may end just now.
		_ = p.command.Process.Signal(s)
	}
}

// Terminate asks the process to end and waits until it has. Its error is
// ErrRuns, or says that the process failed.
func (p *Process) Terminate(limit time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return p.err
	case <-time.After(limit):
		return ErrRuns
	}
}

// Thaw lets a frozen process go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Keep writes the output to a file in a directory.
func (p *Process) Keep(directory string) (file string, err error) {
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return "", errors.Wrap(err, "keep")
	}
	file = filepath.Join(directory, p.Name)
	return file, errors.Wrap(os.WriteFile(file, []byte(p.Output()), 0o600), "keep")
}
