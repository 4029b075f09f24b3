// Package daemon assembles the components of one daemon, supervises them and
// stops them in order.
package daemon

import (
	"context"
	"os"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/daemon/settings"
	"github.com/lacewingtally/lacewingtally/internal/daemon/telemetry"
)

// Run runs a daemon until the context ends, then drains it. It returns nil
// after a drain in which every running request ended.
func Run(ctx context.Context, s settings.Settings) error {
	log, err := telemetry.NewLogger(os.Stderr, s.Log.Level)
	if err != nil {
		return err
	}
	self := fleet.Member{
		ID: fleet.MemberID{
			Address:     s.AdvertisePeer,
			Incarnation: fleet.Incarnation(uuid.NewString()),
		},
		Region:        s.Region,
		FailureDomain: s.FailureDomain,
	}
	c, err := newComponents(s, self, log)
	if err != nil {
		return err
	}
	l, err := listen(s, c)
	if err != nil {
		return err
	}
	t := newTree(c, l)
	t.start()
	c.record(startedEvent())
	select {
	case <-ctx.Done():
		return t.drain(c, l)
	case err := <-t.failed:
		return errors.Wrap(err, "daemon: component failed")
	}
}
