package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/lacewingtally/lacewingtally/internal/platform/table"
	"github.com/lacewingtally/lacewingtally/internal/standin/platform"
	standin "github.com/lacewingtally/lacewingtally/internal/standin/table"
)

func addPlatform(ctx context.Context, a *kingpin.Application) {
	c := a.Command("platform", "Run the object store, the ordering interface, the usage reports, the VM list and the weight store.")
	address := listenFlag(c)
	lag := c.Flag("vm-list-lag", "Delay of changes to the VM list.").Default("0s").Duration()
	fenced := c.Flag("fenced", "Refuse orders with an old epoch.").Bool()
	c.Action(func(*kingpin.ParseContext) error {
		var p platform.Platform
		p.VMList.Lag = *lag
		p.Orders.Fenced = *fenced
		return serve(ctx, *address, p.Handler())
	})
}

func addTable(ctx context.Context, a *kingpin.Application) {
	c := a.Command("table", "Run the transactional table service.")
	address := listenFlag(c)
	c.Action(func(*kingpin.ParseContext) error {
		return serve(ctx, *address, standin.NewHandler(&table.Memory{}))
	})
}
