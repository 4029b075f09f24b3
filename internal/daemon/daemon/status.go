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
	// statusTimeout bounds a status call to one daemon.
	statusTimeout = 2 * time.Second
	// maxConcurrentStatusCalls limits the daemons called at the same time.
	maxConcurrentStatusCalls = 16
)

// confirmer implements operator.Confirmer.
type confirmer struct {
	components *components
}

// eventSource implements operator.EventSource.
type eventSource struct {
	components *components
}

// statusSource implements operator.StatusSource and answers the status calls of
// other daemons.
type statusSource struct {
	components *components
}

// statusRequest asks a daemon for its local status.
type statusRequest struct{}

// statusResponse is the local status of one daemon.
type statusResponse struct {
	Revision fleet.ConfigRevision
	Leases   []operator.LeaseStatus
	Loads    []engineLoad
	Uses     []cell.Use
}

// engineLoad is the newest status that one engine reported.
type engineLoad struct {
	Server fleet.ServerID
	Status engine.Status
}

// statusCollector merges the responses of daemons. Its methods may be called
// from any goroutine.
type statusCollector struct {
	mutex   sync.Mutex
	loads   map[fleet.ServerID]engine.Status
	members []operator.MemberStatus
	leases  []operator.LeaseStatus
	uses    map[fleet.Workspace]operator.WorkspaceStatus
}

// Confirm implements operator.Confirmer.
func (c confirmer) Confirm(ctx context.Context, r fleet.ConfigRevision) ([]fleet.Region, error) {
	v, err := c.components.member.Confirm(ctx, r)
	return v.Pending, err
}

// Events implements operator.EventSource.
func (e eventSource) Events(ctx context.Context, since time.Time, limit int) ([]timeline.Event, []netip.AddrPort) {
	var peers []netip.AddrPort
	for _, m := range e.components.member.State().Members {
		if m.ID != e.components.self.ID {
			peers = append(peers, m.ID.Address)
		}
	}
	return e.components.timeline.Gather(ctx, e.components.client, peers, since, limit)
}

// Handle registers the handler for the status calls of other daemons.
func (s statusSource) Handle(m *wire.Mux) {
	m.Handle(wire.KindStatus, func(ctx context.Context, _ netip.AddrPort, _ []byte) (any, error) {
		return s.local(ctx), nil
	})
}

// Status implements operator.StatusSource.
func (s statusSource) Status(ctx context.Context) operator.Status {
	state := s.components.member.State()
	v := operator.Status{
		Revision:      state.Config.Config.Revision,
		ViewConfirmed: state.Confirmed(time.Now()),
	}
	if view, err := s.components.member.Status(ctx); err == nil {
		v.StoreReachable = view.TableReached
	}
	g := s.collect(ctx, state.Members)
	v.Members = g.members
	v.Leases = g.leases
	for _, b := range s.components.servers.Snapshot().Servers {
		r := g.loads[b.ID]
		v.Servers = append(v.Servers, operator.ServerStatus{Server: b, Version: r.Version, Running: r.Running})
	}
	for _, u := range g.uses {
		v.Workspaces = append(v.Workspaces, u)
	}
	sortStatus(&v)
	return v
}

// fetch returns the local status of a daemon.
func (s statusSource) fetch(ctx context.Context, m fleet.Member) (statusResponse, error) {
	if m.ID == s.components.self.ID {
		return s.local(ctx), nil
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var r statusResponse
	err := s.components.client.Call(ctx, m.ID.Address, wire.KindStatus, statusRequest{}, &r)
	return r, err
}

func (s statusSource) collect(ctx context.Context, members []fleet.Member) *statusCollector {
	c := &statusCollector{
		loads: make(map[fleet.ServerID]engine.Status),
		uses:  make(map[fleet.Workspace]operator.WorkspaceStatus),
	}
	var g errgroup.Group
	g.SetLimit(maxConcurrentStatusCalls)
	for _, m := range members {
		g.Go(func() error {
			r, err := s.fetch(ctx, m)
			c.add(m, r, err)
			return nil
		})
	}
	_ = g.Wait()
	return c
}

// local returns the status of this daemon.
func (s statusSource) local(ctx context.Context) statusResponse {
	now := time.Now()
	r := statusResponse{Revision: s.components.member.State().Config.Config.Revision}
	for _, k := range s.components.keepers {
		e, _, err := k.Check(now)
		if err != nil {
			continue
		}
		r.Leases = append(r.Leases, operator.LeaseStatus{
			Region: s.components.self.Region,
			Duty:   k.duty,
			Holder: s.components.self.ID,
			Epoch:  e,
		})
	}
	r.Loads = s.components.tracker.engineLoads()
	// WorkspaceUse fails only once the dispatcher has stopped and has no cells.
	r.Uses, _ = s.components.dispatcher.WorkspaceUse(ctx)
	return r
}

// add records a daemon's response, or that its call failed.
func (c *statusCollector) add(m fleet.Member, r statusResponse, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err != nil {
		c.members = append(c.members, operator.MemberStatus{Member: m})
		return
	}
	c.members = append(c.members, operator.MemberStatus{Member: m, Revision: r.Revision, HeardAt: time.Now()})
	c.leases = append(c.leases, r.Leases...)
	for _, l := range r.Loads {
		if l.Status.At.After(c.loads[l.Server].At) {
			c.loads[l.Server] = l.Status
		}
	}
	for _, u := range r.Uses {
		w := c.uses[u.Workspace]
		w.Name = u.Workspace
		w.Running += u.Running
		w.Waiting += u.Waiting
		c.uses[u.Workspace] = w
	}
}

// sortStatus sorts members by address, leases by duty and workspaces by name.
func sortStatus(v *operator.Status) {
	slices.SortFunc(v.Members, func(a, b operator.MemberStatus) int {
		return a.Member.ID.Address.Compare(b.Member.ID.Address)
	})
	slices.SortFunc(v.Leases, func(a, b operator.LeaseStatus) int { return cmp.Compare(a.Duty, b.Duty) })
	slices.SortFunc(v.Workspaces, func(a, b operator.WorkspaceStatus) int { return cmp.Compare(a.Name, b.Name) })
}
