package endtoend

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
)

const (
	// pollInterval is the time between checks of a condition.
	pollInterval = 20 * time.Millisecond
	// waitTimeout bounds the wait for a condition or the end of a process.
	waitTimeout = 45 * time.Second
	// requestTimeout bounds one request of cluster.try or cluster.fetch.
	requestTimeout = 5 * time.Second
)

// programs is the directory of the binaries under test.
var programs string

// process is a running program.
type process struct {
	command *exec.Cmd
	name    string
	// ended is closed after the process has ended and err is set.
	ended  chan struct{}
	err    error
	output *buffer
}

// buffer holds the output of a process.
type buffer struct {
	mutex sync.Mutex
	bytes bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.bytes.Write(p)
}

func (b *buffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.bytes.String()
}

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	d, err := os.MkdirTemp("", "endtoend")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(d) }()
	programs = d
	c := exec.Command("go", "build", raceFlag, "-o", d+string(filepath.Separator), "./cmd/lacewingtally", "./cmd/standin")
	c.Dir = filepath.Join("..", "..", "..")
	if out, err := c.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	code := m.Run()
	http.DefaultClient.CloseIdleConnections()
	if err := goleak.Find(); code == 0 && err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return code
}

// start runs a program until the test ends.
func start(t *testing.T, name, program string, arguments ...string) *process {
	t.Helper()
	p := &process{
		command: exec.Command(filepath.Join(programs, program), arguments...),
		name:    name,
		ended:   make(chan struct{}),
		output:  &buffer{},
	}
	p.command.Stdout, p.command.Stderr = p.output, p.output
	p.command.Env = append(os.Environ(), "GORACE=halt_on_error=1 atexit_sleep_ms=0")
	// The process is killed when the test process ends, even if that is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must.NoError(t, p.command.Start())
	go func() {
		p.err = p.command.Wait()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		if t.Failed() {
			p.saveOutput(t)
		}
		must.StrNotContains(t, p.output.String(), "WARNING: DATA RACE", must.Sprint(name))
		must.StrNotContains(t, p.output.String(), "panic: ", must.Sprint(name))
	})
	return p
}

// freeze suspends the process, as a hypervisor suspends a VM.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

// kill kills the process without a chance to clean up.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.ended:
	default:
		_ = p.command.Process.Signal(s)
	}
}

// terminate asks the process to end and waits until it has ended with code 0.
func (p *process) terminate(t *testing.T) {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		must.NoError(t, p.err, must.Sprintf("%s:\n%s", p.name, tail(p.output.String())))
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not end:\n%s", p.name, tail(p.output.String()))
	}
}

// saveOutput writes the output of the process to a file after a failed test.
func (p *process) saveOutput(t *testing.T) {
	f := filepath.Join(os.TempDir(), "endtoend-failed", t.Name(), p.name)
	if err := os.MkdirAll(filepath.Dir(f), 0o700); err != nil {
		t.Log(err)
		return
	}
	if err := os.WriteFile(f, []byte(p.output.String()), 0o600); err != nil {
		t.Log(err)
		return
	}
	t.Logf("output of %s is in %s", p.name, f)
}

// dumpTimeout bounds the wait until a process has written its goroutines and ended.
const dumpTimeout = 10 * time.Second

// dump logs how the process has ended, if it has: one that was killed also logs nothing more. Otherwise it logs in
// what states its threads are, and makes it write its goroutines to its output and end: it does so unless
// it does not run at all.
func (p *process) dump(t *testing.T) {
	t.Helper()
	select {
	case <-p.ended:
		t.Logf("%s has ended before: %v", p.name, p.err)
		return
	default:
	}
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", p.command.Process.Pid))
	if err != nil {
		t.Log(err)
	}
	for _, thread := range threads {
		var lines []string
		for _, file := range []string{"stat", "wchan", "syscall"} {
			// A thread may have ended, and some files may not be readable.
			b, err := os.ReadFile(filepath.Join(thread, file))
			lines = append(lines, strings.TrimSpace(string(b)))
			if err != nil {
				lines = append(lines, err.Error())
			}
		}
		t.Logf("%s: thread %s", p.name, strings.Join(lines, "; "))
	}
	p.signal(syscall.SIGQUIT)
	select {
	case <-p.ended:
	case <-time.After(dumpTimeout):
		t.Logf("%s has not ended %v after SIGQUIT", p.name, dumpTimeout)
	}
}

func (p *process) resume() { p.signal(syscall.SIGCONT) }

// eventually waits until a condition holds, and fails the test after waitTimeout.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	k := time.NewTicker(pollInterval)
	defer k.Stop()
	for limit := time.Now().Add(waitTimeout); time.Now().Before(limit); <-k.C {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met in time: %s", description)
}

func tail(s string) string {
	const shown = 4000
	return s[max(0, len(s)-shown):]
}
