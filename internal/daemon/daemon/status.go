package daemon

import (
	"context"
	"net/netip"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/operator"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
)

// confirmer implements operator.Confirmer.
type confirmer struct {
	parts *parts
}

// eventSource implements operator.EventSource.
type eventSource struct {
	parts *parts
}

// statusSource implements operator.StatusSource.
type statusSource struct {
	parts *parts
}

// Confirm implements operator.Confirmer.
func (c confirmer) Confirm(ctx context.Context, r fleet.ConfigRevision) ([]fleet.Region, error) {
	v, err := c.parts.member.Confirm(ctx, r)
	return v.Pending, err
}

// Events implements operator.EventSource.
func (e eventSource) Events(ctx context.Context, since time.Time, limit int) ([]timeline.Event, []netip.AddrPort) {
	var peers []netip.AddrPort
	for _, m := range e.parts.member.State().Members {
		if m.ID != e.parts.self.ID {
			peers = append(peers, m.ID.Address)
		}
	}
	return e.parts.timeline.Gather(ctx, e.parts.client, peers, since, limit)
}

// Status implements operator.StatusSource.
func (s statusSource) Status(ctx context.Context) operator.Status {
	state := s.parts.member.State()
	v := operator.Status{
		Revision:  state.Config.Config.Revision,
		Confirmed: state.Confirmed(time.Now()),
	}
	view, err := s.parts.member.Status(ctx)
	if err == nil {
		v.StoreReachable = view.TableReached
		for _, p := range view.Peers {
			v.Members = append(v.Members, operator.MemberStatus{Member: p.Member, Revision: p.Held.Config})
		}
	}
	for _, b := range s.parts.servers.Snapshot().Servers {
		r := s.parts.tracker.reported(b.ID)
		v.Servers = append(v.Servers, operator.ServerStatus{Server: b, Version: r.Version, Running: r.Running})
	}
	return v
}
