package daemon

import (
	"context"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/daemon/telemetry"
)

// sampleInterval is the time between updates of the gauges.
const sampleInterval = time.Second

// sampler updates the metrics and the readiness that the load balancer checks.
type sampler struct {
	components *components
	// bytesRead, bytesWritten, badFrames and eventsDropped are the totals at the
	// last update.
	bytesRead     int64
	bytesWritten  int64
	badFrames     int64
	eventsDropped int64
}

// Serve updates the metrics and readiness until the context ends.
func (s *sampler) Serve(ctx context.Context) error {
	return every(ctx, sampleInterval, s.sample)
}

func (s *sampler) updateCounters() {
	c := s.components.counters
	s.addToCounter(telemetry.PeerBytesRead, &s.bytesRead, c.BytesRead.Load())
	s.addToCounter(telemetry.PeerBytesWritten, &s.bytesWritten, c.BytesWritten.Load())
	s.addToCounter(telemetry.BadFrames, &s.badFrames, c.BadFrames.Load())
	s.addToCounter(telemetry.EventsDropped, &s.eventsDropped, int64(s.components.timeline.Dropped()))
}

func (s *sampler) addToCounter(n telemetry.Name, last *int64, total int64) {
	s.components.metrics.Count(n, total-*last)
	*last = total
}

func (s *sampler) heldDuties(now time.Time) map[fleet.Duty]bool {
	held := make(map[fleet.Duty]bool, len(s.components.keepers))
	for _, k := range s.components.keepers {
		_, _, err := k.Check(now)
		held[k.duty] = err == nil
	}
	return held
}

func (s *sampler) sample(context.Context) {
	now := time.Now()
	state := s.components.member.State()
	confirmed := state.Confirmed(now)
	s.components.readiness.Set(confirmed)
	s.components.metrics.Sample(telemetry.Sample{
		Confirmed: confirmed,
		Ready:     s.components.readiness.Ready(),
		Revision:  state.Config.Config.Revision,
		Members:   len(state.Members),
		Servers:   len(s.components.servers.Snapshot().Servers),
		Held:      s.heldDuties(now),
	})
	s.updateCounters()
}
