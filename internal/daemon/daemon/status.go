package daemon

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/operator"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

const (
	// statusTimeout bounds the asking of one daemon for its status.
	statusTimeout = 2 * time.Second
	// statusesAtOnce bounds the daemons asked at the same time.
	statusesAtOnce = 16
)

// confirmer implements operator.Confirmer.
type confirmer struct {
	parts *parts
}

// eventSource implements operator.EventSource.
type eventSource struct {
	parts *parts
}

// statusSource implements operator.StatusSource and answers the other daemons'.
type statusSource struct {
	parts *parts
}

// statusRequest asks a daemon for its own part of the status.
type statusRequest struct{}

// statusAnswer is one daemon's own part of the status.
type statusAnswer struct {
	Revision fleet.ConfigRevision
	Leases   []operator.LeaseStatus
	Loads    []engineLoad
	Uses     []cell.Use
}

// engineLoad is the newest report of one engine.
type engineLoad struct {
	Server fleet.ServerID
	Status engine.Status
}

// gathered collects answers; its methods may be called from any goroutine.
type gathered struct {
	mutex   sync.Mutex
	loads   map[fleet.ServerID]engine.Status
	members []operator.MemberStatus
	leases  []operator.LeaseStatus
	uses    map[fleet.Workspace]operator.WorkspaceStatus
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

// Handle answers the other daemons.
func (s statusSource) Handle(m *wire.Mux) {
	m.Handle(wire.KindStatus, func(ctx context.Context, _ netip.AddrPort, _ []byte) (any, error) {
		return s.own(ctx), nil
	})
}

// Status implements operator.StatusSource.
func (s statusSource) Status(ctx context.Context) operator.Status {
	state := s.parts.member.State()
	v := operator.Status{
		Revision:      state.Config.Config.Revision,
		ViewConfirmed: state.Confirmed(time.Now()),
	}
	if view, err := s.parts.member.Status(ctx); err == nil {
		v.StoreReachable = view.TableReached
	}
	g := s.gather(ctx, state.Members)
	v.Members = g.members
	v.Leases = g.leases
	for _, b := range s.parts.servers.Snapshot().Servers {
		r := g.loads[b.ID]
		v.Servers = append(v.Servers, operator.ServerStatus{Server: b, Version: r.Version, Running: r.Running})
	}
	for _, u := range g.uses {
		v.Workspaces = append(v.Workspaces, u)
	}
	sortStatus(&v)
	return v
}

// ask returns a daemon's part of the status.
func (s statusSource) ask(ctx context.Context, m fleet.Member) (statusAnswer, error) {
	if m.ID == s.parts.self.ID {
		return s.own(ctx), nil
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var a statusAnswer
	err := s.parts.client.Call(ctx, m.ID.Address, wire.KindStatus, statusRequest{}, &a)
	return a, err
}

func (s statusSource) gather(ctx context.Context, members []fleet.Member) *gathered {
	all := &gathered{
		loads: make(map[fleet.ServerID]engine.Status),
		uses:  make(map[fleet.Workspace]operator.WorkspaceStatus),
	}
	var g errgroup.Group
	g.SetLimit(statusesAtOnce)
	for _, m := range members {
		g.Go(func() error {
			a, err := s.ask(ctx, m)
			all.add(m, a, err)
			return nil
		})
	}
	_ = g.Wait()
	return all
}

// own returns this daemon's part of the status.
func (s statusSource) own(ctx context.Context) statusAnswer {
	now := time.Now()
	a := statusAnswer{Revision: s.parts.member.State().Config.Config.Revision}
	for _, k := range s.parts.keepers {
		e, _, err := k.Check(now)
		if err != nil {
			continue
		}
		a.Leases = append(a.Leases, operator.LeaseStatus{
			Region: s.parts.self.Region,
			Duty:   k.duty,
			Holder: s.parts.self.ID,
			Epoch:  e,
		})
	}
	a.Loads = s.parts.tracker.reports()
	// A dispatcher that has stopped has no cells.
	a.Uses, _ = s.parts.dispatcher.WorkspaceUse(ctx)
	return a
}

// add takes a daemon's answer, or that it gave none.
func (g *gathered) add(m fleet.Member, a statusAnswer, err error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if err != nil {
		g.members = append(g.members, operator.MemberStatus{Member: m})
		return
	}
	g.members = append(g.members, operator.MemberStatus{Member: m, Revision: a.Revision, HeardAt: time.Now()})
	g.leases = append(g.leases, a.Leases...)
	for _, l := range a.Loads {
		if l.Status.At.After(g.loads[l.Server].At) {
			g.loads[l.Server] = l.Status
		}
	}
	for _, u := range a.Uses {
		w := g.uses[u.Workspace]
		w.Name = u.Workspace
		w.Running += u.Running
		w.Waiting += u.Waiting
		g.uses[u.Workspace] = w
	}
}

// sortStatus puts a status in a fixed order.
func sortStatus(v *operator.Status) {
	slices.SortFunc(v.Members, func(a, b operator.MemberStatus) int {
		return a.Member.ID.Address.Compare(b.Member.ID.Address)
	})
	slices.SortFunc(v.Leases, func(a, b operator.LeaseStatus) int { return cmp.Compare(a.Duty, b.Duty) })
	slices.SortFunc(v.Workspaces, func(a, b operator.WorkspaceStatus) int { return cmp.Compare(a.Name, b.Name) })
}
