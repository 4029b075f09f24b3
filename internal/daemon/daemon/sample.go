package daemon

import (
	"context"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/daemon/telemetry"
)

// sampleEvery is the time between two readings of the gauges.
const sampleEvery = time.Second

// sampler reads the gauges, and tells the balancer whether the daemon can
// serve.
type sampler struct {
	parts *parts
	// read, written, bad and dropped are the counts at the last reading.
	read    int64
	written int64
	bad     int64
	dropped int64
}

// Serve samples until the context ends.
func (s *sampler) Serve(ctx context.Context) error {
	return every(ctx, sampleEvery, s.sample)
}

func (s *sampler) count() {
	c := s.parts.counters
	s.add(telemetry.PeerBytesRead, &s.read, c.BytesRead.Load())
	s.add(telemetry.PeerBytesWritten, &s.written, c.BytesWritten.Load())
	s.add(telemetry.BadFrames, &s.bad, c.BadFrames.Load())
	s.add(telemetry.EventsDropped, &s.dropped, int64(s.parts.timeline.Dropped()))
}

func (s *sampler) add(n telemetry.Name, last *int64, total int64) {
	s.parts.metrics.Count(n, total-*last)
	*last = total
}

func (s *sampler) held(now time.Time) map[fleet.Duty]bool {
	held := make(map[fleet.Duty]bool, len(s.parts.keepers))
	for _, k := range s.parts.keepers {
		_, _, err := k.Check(now)
		held[k.duty] = err == nil
	}
	return held
}

func (s *sampler) sample(context.Context) {
	now := time.Now()
	state := s.parts.member.State()
	confirmed := state.Confirmed(now)
	s.parts.readiness.Set(confirmed)
	s.parts.metrics.Sample(telemetry.Sample{
		Confirmed: confirmed,
		Ready:     s.parts.readiness.Ready(),
		Revision:  state.Config.Config.Revision,
		Members:   len(state.Members),
		Servers:   len(s.parts.servers.Snapshot().Servers),
		Held:      s.held(now),
	})
	s.count()
}
