package daemon

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/server"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
	"github.com/lacewingtally/lacewingtally/internal/platform/vmlist"
)

const (
	// listInterval is the time between reads of the VM list.
	listInterval = time.Second
	// loadInterval is the time between reads of an engine's load.
	loadInterval = time.Second
	// pollTimeout bounds one read of the VM list or of an engine's load.
	pollTimeout = 2 * time.Second
	// maxConcurrentPolls limits the engines polled at the same time.
	maxConcurrentPolls = 16
	// defaultServerCapacity is the number of requests assumed per server when the
	// capacity of a pool's servers is unknown.
	defaultServerCapacity = 8
)

// serverTracker updates the registry of backend servers from the VM list, and
// the dispatcher's cells from the load that engines report.
type serverTracker struct {
	components *components

	mutex sync.Mutex
	// status holds the newest report of each engine that this daemon polls.
	status map[fleet.ServerID]engine.Status
	// daemons has an entry for each daemon VM that any list has contained; the
	// value is true if the newest list contains it.
	daemons map[netip.AddrPort]bool
}

// Serve polls until the context ends.
func (t *serverTracker) Serve(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return every(ctx, listInterval, t.pollList) })
	g.Go(func() error { return every(ctx, loadInterval, t.pollLoads) })
	return g.Wait()
}

// demand returns how many servers each pool needs for the requests that its
// engines report as running or waiting.
func (t *serverTracker) demand() map[fleet.Pool]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	requests := make(map[fleet.Pool]int)
	capacity := make(map[fleet.Pool]int)
	for _, s := range t.components.servers.Snapshot().Servers {
		v := t.status[s.ID]
		requests[s.Pool] += v.Running + v.Waiting
		capacity[s.Pool] = max(capacity[s.Pool], s.Capacity)
	}
	servers := make(map[fleet.Pool]int, len(requests))
	for p, n := range requests {
		perServer := capacity[p]
		if perServer == 0 {
			perServer = defaultServerCapacity
		}
		servers[p] = (n + perServer - 1) / perServer
	}
	return servers
}

// vmDeleted reports whether the platform has deleted a member's VM: an earlier
// list contained it, and the newest one does not. A VM that no list has
// contained yet does not count as deleted.
func (t *serverTracker) vmDeleted(m fleet.Member) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	listed, seen := t.daemons[m.ID.Address]
	return seen && !listed
}

// pollList reads the VM list and updates the registry and the published
// servers from it.
func (t *serverTracker) pollList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	l, err := t.components.vmlist.List(ctx)
	if err != nil {
		t.components.log.Debug("failed to read VM list", zap.Error(err))
		return
	}
	t.updateDaemons(l.Daemons)
	now := time.Now()
	s := t.components.member.State()
	t.record(t.components.servers.Drain(drainedDomains(s.Config)))
	t.record(t.components.servers.UpdateList(now, l.Servers))
	if err := t.components.member.SetServers(ctx, t.components.servers.Snapshot().Servers); err != nil {
		t.components.log.Debug("failed to publish servers", zap.Error(err))
	}
}

// updateDaemons records which daemons the newest list contains.
func (t *serverTracker) updateDaemons(daemons []vmlist.Daemon) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.daemons == nil {
		t.daemons = make(map[netip.AddrPort]bool)
	}
	for a := range t.daemons {
		t.daemons[a] = false
	}
	for _, d := range daemons {
		t.daemons[d.Address] = true
	}
}

// pollLoads reads the load of each engine in the cells that this daemon
// dispatches for.
func (t *serverTracker) pollLoads(ctx context.Context) {
	hosted, err := t.components.dispatcher.HostedServers(ctx)
	if err != nil {
		return
	}
	var g errgroup.Group
	g.SetLimit(maxConcurrentPolls)
	for _, s := range hosted {
		p, ok := t.components.member.State().Config.Pool(s.Pool)
		if !ok || p.Protocol != config.ProtocolEngine {
			continue
		}
		g.Go(func() error {
			t.pollLoad(ctx, s)
			return nil
		})
	}
	_ = g.Wait()
}

func (t *serverTracker) pollLoad(ctx context.Context, s fleet.Server) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	v, err := engine.NewHTTP(s.Address, t.components.backend).Status(ctx)
	if err != nil {
		t.components.log.Debug("failed to read engine status", zap.String("Server", string(s.ID)), zap.Error(err))
		return
	}
	t.mutex.Lock()
	if t.status == nil {
		t.status = make(map[fleet.ServerID]engine.Status)
	}
	t.status[s.ID] = v
	t.mutex.Unlock()
	l := cell.Load{Server: s.ID, Running: v.Running, Waiting: v.Waiting, At: v.At}
	if err := t.components.dispatcher.RecordLoad(ctx, l); err != nil {
		t.components.log.Debug("failed to record engine load", zap.Error(err))
	}
}

func (t *serverTracker) record(events []server.Event) {
	for _, e := range events {
		k := timeline.ServerSeen
		if e.Kind == server.Closed {
			k = timeline.ServerLeaving
		}
		t.components.record(timeline.Event{Kind: k, Server: e.Server})
	}
}

// engineLoads returns the newest report of each engine that this daemon polls.
func (t *serverTracker) engineLoads() []engineLoad {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	loads := make([]engineLoad, 0, len(t.status))
	for id, v := range t.status {
		loads = append(loads, engineLoad{Server: id, Status: v})
	}
	return loads
}

func drainedDomains(c *config.Snapshot) []fleet.FailureDomain {
	var domains []fleet.FailureDomain
	for _, d := range c.Config.Drains {
		domains = append(domains, d.FailureDomain)
	}
	return domains
}

// every calls f immediately and then once per interval until the context ends.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}
