package main

import (
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/standin/engine"
	"github.com/lacewingtally/lacewingtally/internal/standin/service"
)

func addEngine(ctx context.Context, a *kingpin.Application) {
	c := a.Command("engine", "Run a model engine.")
	address := listenFlag(c)
	speed := c.Flag("tokens-per-second", "Tokens per second of one answer.").Default("200").Float64()
	capacity := c.Flag("capacity", "Number of answers generated at once.").Default("8").Int()
	version := c.Flag("version", "Initial weight version.").Default("1").Uint64()
	fenced := c.Flag("fenced", "Refuse orders with an old epoch.").Bool()
	lag := c.Flag("status-lag", "Age at which the reported status is refreshed.").Default("500ms").Duration()
	c.Action(func(*kingpin.ParseContext) error {
		o := []engine.Option{
			engine.WithTokensPerSecond(*speed),
			engine.WithCapacity(*capacity),
			engine.WithVersion(fleet.WeightVersion(*version)),
			engine.WithMaxStatusAge(*lag),
		}
		if *fenced {
			o = append(o, engine.WithFence())
		}
		l, err := listen(ctx, *address)
		if err != nil {
			return err
		}
		return engine.New(o...).Serve(ctx, l)
	})
}

func addService(ctx context.Context, a *kingpin.Application) {
	c := a.Command("service", "Run a plain service that counts the runs of each request.")
	address := listenFlag(c)
	delay := c.Flag("delay", "Duration of each request.").Default("0s").Duration()
	c.Action(func(*kingpin.ParseContext) error {
		l, err := listen(ctx, *address)
		if err != nil {
			return err
		}
		var s service.Service
		if *delay > 0 {
			s.SetFaults(service.Fault{Kind: service.FaultSlow, Down: int(*delay / time.Millisecond)})
		}
		return s.Serve(ctx, l)
	})
}
