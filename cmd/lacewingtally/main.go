// Command lacewingtally runs the daemon and the command line for callers and
// operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/lacewingtally/lacewingtally/internal/daemon/command"
	"github.com/lacewingtally/lacewingtally/internal/daemon/daemon"
	"github.com/lacewingtally/lacewingtally/platform/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, command.Options{
		Serve:  daemon.Run,
		Front:  runFront,
		Stdout: os.Stdout,
		Stderr: os.Stderr,

		DecodeDocument: operator.DecodeDocument,
	}, os.Args[1:])
	stop()
	os.Exit(code)
}
