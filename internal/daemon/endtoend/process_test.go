package endtoend

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/lacewingtally/lacewingtally/internal/standin/program"
)

const (
	// pollInterval is the time between two looks at a condition.
	pollInterval = 20 * time.Millisecond
	// pollLimit bounds the wait for a condition.
	pollLimit = 45 * time.Second
	// requestLimit bounds one small request.
	requestLimit = 5 * time.Second
)

// programs is the directory of the programs under test.
var programs string

// process is a running program of a test.
type process struct {
	*program.Process
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
	if err := program.Build(context.Background(), filepath.Join("..", "..", ".."), d, []string{raceFlag}, "./cmd/lacewingtally", "./cmd/standin"); err != nil {
		fmt.Fprintln(os.Stderr, err)
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
func start(t *testing.T, name, file string, arguments ...string) *process {
	t.Helper()
	run, err := program.Start(name, filepath.Join(programs, file), arguments...)
	must.NoError(t, err)
	p := &process{run}
	t.Cleanup(func() {
		p.Thaw()
		p.Kill()
		if t.Failed() {
			p.keep(t)
		}
		must.StrNotContains(t, p.Output(), "WARNING: DATA RACE", must.Sprint(name))
		must.StrNotContains(t, p.Output(), "panic: ", must.Sprint(name))
	})
	return p
}

// terminate asks the process to end and waits until it has, with code 0.
func (p *process) terminate(t *testing.T) {
	t.Helper()
	must.NoError(t, p.Terminate(pollLimit), must.Sprintf("%s:\n%s", p.Name, last(p.Output())))
}

// keep writes the output of a process to a file, for a failed test.
func (p *process) keep(t *testing.T) {
	f, err := p.Keep(filepath.Join(os.TempDir(), "endtoend-failed", t.Name()))
	if err != nil {
		t.Log(err)
		return
	}
	t.Logf("output of %s is in %s", p.Name, f)
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	k := time.NewTicker(pollInterval)
	defer k.Stop()
	for limit := time.Now().Add(pollLimit); time.Now().Before(limit); <-k.C {
		if condition() {
			return
		}
	}
	t.Fatalf("it did not come to this: %s", what)
}

func last(s string) string {
	const shown = 4000
	return s[max(0, len(s)-shown):]
}
