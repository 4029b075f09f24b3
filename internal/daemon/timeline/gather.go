package timeline

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

// MaxEvents is the largest number of events in a daemon's response.
const MaxEvents = 2000

// EventsRequest asks a peer for its newest events.
type EventsRequest struct {
	Since time.Time
	// Limit is at most MaxEvents; 0 means MaxEvents.
	Limit int
	// Logical is the logical time of the requesting daemon.
	Logical uint64
}

// EventsResponse is the response to an EventsRequest.
type EventsResponse struct {
	Events []Event
	// Logical is the peer's logical time.
	Logical uint64
}

// Handle registers the handler that answers peers with the log's events.
func (l *Log) Handle(m *wire.Mux) {
	m.Handle(wire.KindEvents, func(_ context.Context, _ netip.AddrPort, body []byte) (any, error) {
		var r EventsRequest
		if err := msgpack.Unmarshal(body, &r); err != nil {
			return nil, errors.Wrap(err, "timeline: request")
		}
		l.Observe(r.Logical)
		return EventsResponse{Events: l.Events(r.Since, clampLimit(r.Limit)), Logical: l.Logical()}, nil
	})
}

// Gather requests the events of peers and merges them with the log's own. It
// returns the newest events, at most limit of them, and the peers whose call
// failed.
func (l *Log) Gather(ctx context.Context, c wire.Caller, peers []netip.AddrPort, since time.Time, limit int) ([]Event, []netip.AddrPort) {
	limit = clampLimit(limit)
	lists := make([][]Event, len(peers)+1)
	failed := make([]bool, len(peers))
	var g sync.WaitGroup
	for i, p := range peers {
		g.Go(func() {
			var r EventsResponse
			err := c.Call(ctx, p, wire.KindEvents, EventsRequest{Since: since, Limit: limit, Logical: l.Logical()}, &r)
			failed[i] = err != nil
			lists[i] = r.Events
			l.Observe(r.Logical)
		})
	}
	g.Wait()
	lists[len(peers)] = l.Events(since, limit)
	merged := Merge(lists...)
	var unreachable []netip.AddrPort
	for i, p := range peers {
		if failed[i] {
			unreachable = append(unreachable, p)
		}
	}
	return merged[len(merged)-min(limit, len(merged)):], unreachable
}

func clampLimit(limit int) int {
	if limit <= 0 || limit > MaxEvents {
		return MaxEvents
	}
	return limit
}
