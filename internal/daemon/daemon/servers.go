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
	// listEvery is the time between two readings of the VM list.
	listEvery = time.Second
	// loadEvery is the time between two readings of an engine's load.
	loadEvery = time.Second
	// pollTimeout bounds one reading.
	pollTimeout = 2 * time.Second
	// pollsAtOnce bounds the engines asked at the same time.
	pollsAtOnce = 16
	// requestsPerServer is the number of requests in a pool that one server is
	// ordered for when its capacity is not known.
	requestsPerServer = 8
)

// serverTracker feeds the directory of backend servers from the VM list and the
// dispatcher's cells from the engines' own reports.
type serverTracker struct {
	parts *parts

	mutex sync.Mutex
	// status holds the newest report of each engine that this daemon asks.
	status map[fleet.ServerID]engine.Status
	// daemons holds the VMs of daemons that a list has shown; true says that
	// the newest list shows it.
	daemons map[netip.AddrPort]bool
}

// Serve polls until the context ends.
func (t *serverTracker) Serve(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return every(ctx, listEvery, t.list) })
	g.Go(func() error { return every(ctx, loadEvery, t.loads) })
	return g.Wait()
}

// demand returns how many servers each pool has work for, by what the engines
// report and the entry daemons wait for.
func (t *serverTracker) demand() map[fleet.Pool]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	requests := make(map[fleet.Pool]int)
	capacity := make(map[fleet.Pool]int)
	for _, s := range t.parts.servers.Snapshot().Servers {
		v := t.status[s.ID]
		requests[s.Pool] += v.Running + v.Waiting
		capacity[s.Pool] = max(capacity[s.Pool], s.Capacity)
	}
	servers := make(map[fleet.Pool]int, len(requests))
	for p, n := range requests {
		each := capacity[p]
		if each == 0 {
			each = requestsPerServer
		}
		servers[p] = (n + each - 1) / each
	}
	return servers
}

// gone reports whether the platform has deleted a member's VM: a list has shown
// it, and the newest one does not. A VM that no list has shown yet is not gone.
func (t *serverTracker) gone(m fleet.Member) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	listed, seen := t.daemons[m.ID.Address]
	return seen && !listed
}

// list reads the VM list once.
func (t *serverTracker) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	l, err := t.parts.vmlist.List(ctx)
	if err != nil {
		t.parts.log.Debug("VM list not read", zap.Error(err))
		return
	}
	t.listed(l.Daemons)
	now := time.Now()
	s := t.parts.member.State()
	t.record(t.parts.servers.Drain(drained(s.Config)))
	t.record(t.parts.servers.UpdateList(now, l.Servers))
	if err := t.parts.member.SetServers(ctx, t.parts.servers.Snapshot().Servers); err != nil {
		t.parts.log.Debug("servers not published", zap.Error(err))
	}
}

// listed takes the daemons that the newest list shows.
func (t *serverTracker) listed(daemons []vmlist.Daemon) {
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

// loads asks the engines of the cells that this daemon dispatches for.
func (t *serverTracker) loads(ctx context.Context) {
	hosted, err := t.parts.dispatcher.HostedServers(ctx)
	if err != nil {
		return
	}
	var g errgroup.Group
	g.SetLimit(pollsAtOnce)
	for _, s := range hosted {
		p, ok := t.parts.member.State().Config.Pool(s.Pool)
		if !ok || p.Protocol != config.ProtocolEngine {
			continue
		}
		g.Go(func() error {
			t.load(ctx, s)
			return nil
		})
	}
	_ = g.Wait()
}

func (t *serverTracker) load(ctx context.Context, s fleet.Server) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	v, err := engine.NewHTTP(s.Address, t.parts.backend).Status(ctx)
	if err != nil {
		t.parts.log.Debug("engine does not report", zap.String("Server", string(s.ID)), zap.Error(err))
		return
	}
	t.mutex.Lock()
	if t.status == nil {
		t.status = make(map[fleet.ServerID]engine.Status)
	}
	t.status[s.ID] = v
	t.mutex.Unlock()
	l := cell.Load{Server: s.ID, Running: v.Running, Waiting: v.Waiting, At: v.At}
	if err := t.parts.dispatcher.RecordLoad(ctx, l); err != nil {
		t.parts.log.Debug("load not taken", zap.Error(err))
	}
}

func (t *serverTracker) record(events []server.Event) {
	for _, e := range events {
		k := timeline.ServerSeen
		if e.Kind == server.Closed {
			k = timeline.ServerLeaving
		}
		t.parts.record(timeline.Event{Kind: k, Server: e.Server})
	}
}

// reports returns the newest reports of the engines that this daemon asks.
func (t *serverTracker) reports() []engineLoad {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	loads := make([]engineLoad, 0, len(t.status))
	for id, v := range t.status {
		loads = append(loads, engineLoad{Server: id, Status: v})
	}
	return loads
}

func drained(c *config.Snapshot) []fleet.FailureDomain {
	var domains []fleet.FailureDomain
	for _, d := range c.Config.Drains {
		domains = append(domains, d.FailureDomain)
	}
	return domains
}

// every calls f now and then at each interval until the context ends.
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
