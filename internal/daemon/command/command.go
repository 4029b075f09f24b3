// Package command implements the command line of lacewingtally, with commands for
// the daemon, for operators and for callers.
package command

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/control/check"
	"github.com/lacewingtally/lacewingtally/internal/daemon/settings"
	front "github.com/lacewingtally/lacewingtally/internal/front/settings"
)

// Exit codes.
const (
	// ExitDone is returned when the command succeeded.
	ExitDone = 0
	// ExitFailed is returned when the command failed before it changed
	// anything, for example because no daemon could be reached.
	ExitFailed = 1
	// ExitUsage is returned when the command line or a file is invalid.
	ExitUsage = 2
	// ExitRefused is returned when a daemon refused and nothing was run or
	// changed.
	ExitRefused = 3
	// ExitMayHaveRun is returned when the request or change may have taken
	// effect.
	ExitMayHaveRun = 4
	// ExitGaveUp is returned when a daemon gave up the request for good.
	ExitGaveUp = 5
	// ExitNotInEffect is returned when a change is written but not yet in
	// effect everywhere.
	ExitNotInEffect = 6
)

// Output formats.
const (
	outputJSON = "json"
	outputText = "text"
)

// Program is the name of the program.
const Program = "lacewingtally"

// ErrUsage is returned when the command line is invalid.
var ErrUsage = errors.New("wrong usage")

// Options are the dependencies of the command line.
type Options struct {
	// Serve runs a daemon until the context ends and the daemon has drained.
	Serve func(ctx context.Context, s settings.Settings) error
	// Front runs a daemon on the users' platform.
	Front func(ctx context.Context, file string, s front.Settings) error
	// DecodeDocument decodes a configuration of the users' platform as written.
	DecodeDocument func(value []byte) (check.Document, error)

	Stdout io.Writer
	Stderr io.Writer
}

// session is one run of the command line.
type session struct {
	Options

	ctx context.Context
	// servers are the daemons to try in turn; the default one if empty.
	servers         []netip.AddrPort
	operatorKeyFile string
	operator        string
	keyFile         string
	output          string
	// code is the exit code if the command returns no error.
	code int
}

// terminated is the panic value that carries an exit code out of the parser.
type terminated int

// Run runs the command given by args, which do not include the program's name, and
// returns the exit code. It ends when the context is cancelled.
func Run(ctx context.Context, o Options, args []string) (code int) {
	s := &session{Options: o, ctx: ctx}
	defer func() {
		if r := recover(); r != nil {
			t, ok := r.(terminated)
			if !ok {
				panic(r)
			}
			code = int(t)
		}
	}()
	if _, err := s.application().Parse(args); err != nil {
		fmt.Fprintf(o.Stderr, "%s: %v\n", Program, describe(err))
		return exitCode(err)
	}
	return s.code
}

// application returns the parser with every command.
func (s *session) application() *kingpin.Application {
	a := kingpin.New(Program, "Rollout service for reinforcement learning: the daemon, and the commands of operators and callers.")
	a.Terminate(func(code int) { panic(terminated(code)) })
	a.UsageWriter(s.Stdout).ErrorWriter(s.Stderr)
	a.HelpFlag.Short('h')
	a.Flag("server", "Address of a daemon, host:port; may be given more than once to list others to try.").
		SetValue(&addresses{list: &s.servers})
	a.Flag("operator-key-file", "File with the operators' key.").Envar("LACEWINGTALLY_OPERATOR_KEY_FILE").StringVar(&s.operatorKeyFile)
	a.Flag("operator", "Name of the operator, recorded in the history.").Default(os.Getenv("USER")).StringVar(&s.operator)
	a.Flag("key-file", "File with the caller's key; none for open routes.").Envar("LACEWINGTALLY_KEY_FILE").StringVar(&s.keyFile)
	a.Flag("output", "Output format: text or json.").Default(outputText).EnumVar(&s.output, outputText, outputJSON)
	s.addServe(a)
	s.addFront(a)
	s.addSettings(a)
	s.addCertificate(a)
	s.addWorkspace(a)
	s.addKey(a)
	s.addDefault(a)
	s.addException(a)
	s.addConfig(a)
	s.addDrain(a)
	s.addStatus(a)
	s.addTimeline(a)
	s.addExplain(a)
	s.addCall(a)
	s.addRollout(a)
	return a
}

// addresses is the value of a flag that takes several addresses.
type addresses struct {
	list *[]netip.AddrPort
}

// IsCumulative implements kingpin's cumulative values: the flag may be given more
// than once.
func (a *addresses) IsCumulative() bool {
	return true
}

// Set adds an address.
func (a *addresses) Set(text string) error {
	p, err := netip.ParseAddrPort(text)
	if err != nil {
		return errors.Wrapf(ErrUsage, "address %q is not IP:port", text)
	}
	*a.list = append(*a.list, p)
	return nil
}

// String returns the addresses.
func (a *addresses) String() string {
	if a.list == nil || len(*a.list) == 0 {
		return ""
	}
	return fmt.Sprint(*a.list)
}
