package daemon

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

const (
	// balancerDelay is how long the balancer may take to see that a daemon is
	// no longer ready: two questions, a second apart, and some slack.
	balancerDelay = 2300 * time.Millisecond
	// handOverTime bounds the handing over of items by way of the store.
	handOverTime = 900 * time.Millisecond
	// lastWrites is kept of the grace for the last writes to the store.
	lastWrites = time.Second
)

// leave hands all work over and lets running requests finish.
func (d *daemon) leave(callers *http.Server) {
	begun := time.Now()
	d.leaving.Store(true)
	d.log.Info("daemon leaving")
	end := begun.Add(d.settings.Bounds.Grace - lastWrites)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	d.keeper.Release(ctx)
	d.runner.Leave(ctx, begun.Add(handOverTime), d.calls)
	if err := d.fleet.Heartbeat(ctx, d.member()); err != nil {
		d.log.Warn("leaving not announced", zap.Error(err))
	}
	fleet.Sleep(ctx, balancerDelay-time.Since(begun))
	if err := callers.Shutdown(ctx); err != nil {
		d.log.Warn("requests cut", zap.Error(err))
	}
	d.meter.Flush(context.Background())
}
