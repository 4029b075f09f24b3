// Command standin runs stand-ins for the systems around lacewingtally, for tests
// and demonstrations.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

const program = "standin"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, os.Args[1:])
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string) error {
	a := kingpin.New(program, "Stand-ins for the platform, model engines, plain services and trainers.")
	addEngine(ctx, a)
	addLoad(ctx, a)
	addPlatform(ctx, a)
	addRequest(ctx, a)
	addService(ctx, a)
	addTable(ctx, a)
	addTrainer(ctx, a)
	addWait(ctx, a)
	_, err := a.Parse(args)
	return err
}
