package main

import (
	"context"
	"net/netip"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/weights"
	"github.com/lacewingtally/lacewingtally/internal/standin/trainer"
)

func addTrainer(ctx context.Context, a *kingpin.Application) {
	c := a.Command("trainer", "Run a trainer for a number of steps.")
	o := trainer.Options{Output: os.Stdout}
	servers := c.Flag("server", "Address of a daemon; may be given more than once.").Required().Strings()
	keyFile := c.Flag("key-file", "File with the key.").Required().String()
	store := c.Flag("weights", "Address of the weight store; if set, one version per step is published.").String()
	firstVersion := c.Flag("first", "Weight version of the first step.").Default("1").Uint64()
	c.Flag("name", "Name of the trainer.").Default("trainer").StringVar(&o.Name)
	c.Flag("pool", "Pool of model engines.").Required().StringVar((*string)(&o.Pool))
	c.Flag("steps", "Number of steps.").Default("1").IntVar(&o.Steps)
	c.Flag("groups", "Number of groups in a batch.").Default("2").IntVar(&o.Groups)
	c.Flag("spare", "Number of extra groups submitted at the first step.").Default("0").IntVar(&o.Spare)
	c.Flag("samples", "Number of samples in a group.").Default("4").IntVar(&o.Samples)
	c.Flag("max-tokens", "Maximum number of tokens of a sample.").Default("32").IntVar(&o.MaxTokens)
	c.Action(func(*kingpin.ParseContext) error {
		k, err := os.ReadFile(*keyFile)
		if err != nil {
			return errors.Wrap(err, "trainer")
		}
		o.Key = strings.TrimSpace(string(k))
		o.FirstVersion = fleet.WeightVersion(*firstVersion)
		for _, s := range *servers {
			p, err := netip.ParseAddrPort(s)
			if err != nil {
				return errors.Wrap(err, "trainer")
			}
			o.Servers = append(o.Servers, p)
		}
		if *store == "" {
			return trainer.Run(ctx, o)
		}
		p, err := netip.ParseAddrPort(*store)
		if err != nil {
			return errors.Wrap(err, "trainer")
		}
		w := weights.NewHTTP(p)
		defer w.Close()
		o.Weights = w
		return trainer.Run(ctx, o)
	})
}
