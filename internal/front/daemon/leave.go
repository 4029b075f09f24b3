package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/control/shutdown"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

// storeHandOverTimeout limits the handing over of items through the store.
const storeHandOverTimeout = 900 * time.Millisecond

// leave releases the duty, hands over all items, announces that the daemon is
// leaving, and waits for running requests and the last usage counts.
func (d *daemon) leave(callers *http.Server) {
	startedAt := time.Now()
	schedule := shutdown.New(startedAt, d.settings.Bounds.Grace)
	d.leaving.Store(true)
	d.forwarder.ShutDown(schedule)
	d.log.Info("daemon leaving", zap.Time("ClosesAt", schedule.ClosesAt), zap.Time("EndsAt", schedule.EndsAt))
	ctx, cancel := context.WithDeadline(context.Background(), schedule.EndsAt)
	defer cancel()
	var done sync.WaitGroup
	// However long it takes, no request may come on a new connection meanwhile.
	done.Go(func() { d.handOver(ctx, startedAt) })
	fleet.Sleep(ctx, time.Until(schedule.ClosesAt))
	done.Go(func() { d.peerRequests.Drain(ctx) })
	if err := callers.Shutdown(ctx); err != nil {
		d.log.Warn("running requests interrupted at the end of the grace period", zap.Error(err))
	}
	done.Wait()
	d.meter.Flush(context.Background())
}

// handOver hands over the duty and all items, and announces that the daemon is leaving.
func (d *daemon) handOver(ctx context.Context, startedAt time.Time) {
	d.keeper.Release(ctx)
	d.runner.Leave(ctx, startedAt.Add(storeHandOverTimeout), d.calls)
	if err := d.fleet.Heartbeat(ctx, d.member); err != nil {
		d.log.Warn("cannot announce that the daemon is leaving", zap.Error(err))
	}
}
