package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
)

// member returns the daemon's description in its heartbeat.
func (d *daemon) member() fleet.Member {
	suspects, interrupted := d.forwarder.Suspects()
	m := fleet.Member{
		ID: d.self, Machine: d.settings.Machine, Domain: d.settings.Domain,
		Address: d.settings.Listen.Peers, Share: d.settings.CoreShare,
		Leaving: d.leaving.Load(), Loaded: d.weights.Loaded(), Running: d.runner.Running(), Paces: d.runner.Paces(), Ahead: d.fleet.Clock.Ahead(time.Now()),
		Suspects: suspects, Interrupted: interrupted, Software: d.fleet.Software(), Streams: d.forwarder.Streams(),
		InUse: d.fleet.SoftwareInUse(), NamesSoftware: true,
		Partitioned: d.reach.Partitioned(), YieldedAt: d.runner.YieldedAt(), TakesRequests: true,
		Unfinished: d.runner.Unfinished(),
	}
	d.limits.Report(&m)
	return m
}

// onPartition is called when a partition from the servers begins, with the time at which
// one last answered. The other daemons should not send requests through this one.
func (d *daemon) onPartition(since time.Time) {
	d.forwarder.DoubtFailures(since)
	go d.announce(context.Background())
}

// announce writes a heartbeat now.
func (d *daemon) announce(ctx context.Context) {
	if err := d.fleet.Heartbeat(ctx, d.member); err != nil {
		d.log.Info("heartbeat failed", zap.Error(err))
	}
}
