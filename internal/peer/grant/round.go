package grant

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
	"github.com/lacewingtally/lacewingtally/internal/control/limit"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

const (
	// demandPeriod is how often shares of the limits are requested.
	demandPeriod = time.Second
	// registerPeriod is how often the grants in use are registered.
	registerPeriod = 3 * time.Second
	// registerRetry is the delay before a failed registration is retried.
	registerRetry = 200 * time.Millisecond
	// roundTimeout limits each call of a round.
	roundTimeout = time.Second
	// roundParallel limits the concurrent calls of a round.
	roundParallel = 16
)

// registrations is the state of a client's registrations. It is used by one
// goroutine.
type registrations struct {
	dispatchers map[cell.ID]fleet.MemberID
	// running contains the cells whose last registration was not empty.
	running map[cell.ID]bool
	// nextFullAt is the time from which a round registers all cells with grants in
	// use, and not only those whose dispatcher changed.
	nextFullAt time.Time
}

// demandLoop runs a demand round each demandPeriod and after each leave notice.
func (c *Client) demandLoop(ctx context.Context) error {
	t := time.NewTicker(demandPeriod)
	defer t.Stop()
	notice := c.peers.nextNotice()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-notice:
			notice = c.peers.nextNotice()
		case <-t.C:
		}
		c.demandRound(ctx)
	}
}

// demandRound requests shares from each owner of a ledger, and sends the leave
// notices to each daemon that has not confirmed all of them.
func (c *Client) demandRound(ctx context.Context) {
	now := time.Now()
	s := c.view.State()
	c.peers.prune(s.Members)
	messages := make(map[fleet.MemberID]*demandMessage)
	message := func(m fleet.Member) *demandMessage {
		v := messages[m.ID]
		if v == nil {
			v = &demandMessage{Entry: c.self.ID}
			messages[m.ID] = v
		}
		return v
	}
	for _, v := range c.limits.demands(now) {
		if m, ok := ledgerOwner(v.Key, s); ok {
			d := message(m)
			d.Demands = append(d.Demands, v)
		}
	}
	for _, m := range s.Members {
		if m.ID != c.self.ID && !c.peers.upToDate(m.ID) {
			message(m)
		}
	}
	var g errgroup.Group
	g.SetLimit(roundParallel)
	for id, v := range messages {
		g.Go(func() error {
			c.sendDemand(ctx, id, v)
			return nil
		})
	}
	_ = g.Wait()
}

func (c *Client) sendDemand(ctx context.Context, to fleet.MemberID, m *demandMessage) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	sent := time.Now()
	notices := c.peers.noticeCount()
	m.Leaving = c.servers.Snapshot().Leaving
	var a demandAnswer
	var err error
	if to == c.self.ID {
		a, err = c.dispatcher.demand(ctx, *m)
	} else {
		err = c.caller.Call(ctx, to.Address, wire.KindDemand, m, &a)
	}
	if err != nil || len(a.Shares) != len(m.Demands) {
		return
	}
	c.peers.confirm(to, notices)
	c.servers.MarkLeaving(time.Now(), a.Leaving...)
	for i, v := range m.Demands {
		c.limits.setShare(sent, v.Key, a.Shares[i])
	}
}

// registerLoop registers the grants in use each registerPeriod and when the
// view or the servers change.
func (c *Client) registerLoop(ctx context.Context) error {
	var last registrations
	for {
		s := c.view.State()
		servers := c.servers.Snapshot()
		wait := registerPeriod
		if !c.registerRound(ctx, s, &last) {
			wait = registerRetry
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-s.Superseded:
		case <-servers.Superseded:
		case <-t.C:
		}
		t.Stop()
	}
}

// registerRound registers the grants in use with each dispatcher that is new for
// its cell. Once a period, it also registers each cell that has grants in use or
// had some in its last registration. If a sync is due, it registers all cells. It
// reports whether all dispatchers accepted.
func (c *Client) registerRound(ctx context.Context, s *view.State, last *registrations) bool {
	now := time.Now()
	full := !now.Before(last.nextFullAt)
	if full {
		last.nextFullAt = now.Add(registerPeriod)
	}
	syncDue := c.grants.syncDue(now)
	lists, sequence := c.grants.list(func(g gate.Grant) cell.ID {
		id, _, _ := c.locate(now, g.Server)
		return id
	})
	next := registrations{dispatchers: make(map[cell.ID]fleet.MemberID), running: make(map[cell.ID]bool), nextFullAt: last.nextFullAt}
	ok := true
	members := c.peers.reachable(now, s.Members)
	for _, id := range c.cells(lists) {
		m, found := id.Dispatcher(members)
		if !found {
			continue
		}
		due := syncDue || last.dispatchers[id] != m.ID || full && (len(lists[id]) > 0 || last.running[id])
		r := cell.Registration{Entry: c.self.ID, Sequence: sequence, Running: lists[id]}
		if due && !c.register(ctx, m, registerMessage{Cell: id, Registration: r, Leaving: c.servers.Snapshot().Leaving}) {
			ok = false
			continue
		}
		next.dispatchers[id] = m.ID
		next.running[id] = len(lists[id]) > 0 || last.running[id] && !due
	}
	*last = next
	if ok && syncDue {
		c.grants.synced(now)
	}
	return ok
}

// cells returns the cells of this daemon's region and those in lists.
func (c *Client) cells(lists map[cell.ID][]cell.Running) []cell.ID {
	servers := c.servers.Snapshot()
	var out []cell.ID
	seen := make(map[cell.ID]bool)
	for _, p := range servers.RegionPools() {
		of := cell.Count(servers.Count(p))
		for i := range of {
			id := cell.ID{Region: p.Region, Pool: p.Pool, Index: i, Of: of}
			if p.Region == c.self.Region {
				out = append(out, id)
				seen[id] = true
			}
		}
	}
	for id := range lists {
		if !seen[id] {
			out = append(out, id)
		}
	}
	return out
}

func (c *Client) register(ctx context.Context, to fleet.Member, m registerMessage) bool {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	var a cellAnswer
	var err error
	if to.ID == c.self.ID {
		a, err = c.dispatcher.register(ctx, m)
	} else {
		err = c.caller.Call(ctx, to.ID.Address, wire.KindRegister, m, &a)
	}
	now := time.Now()
	if err != nil {
		c.peers.avoid(now, to.ID)
		return false
	}
	c.servers.MarkLeaving(now, a.Leaving...)
	if a.Moved {
		return false
	}
	c.peers.setSummary(now, m.Cell, a.Summary)
	return true
}

// ledgerOwner returns the daemon that owns the ledger of a limit.
func ledgerOwner(k limit.Key, s *view.State) (fleet.Member, bool) {
	key := "Limit/" + string(k.Workspace) + "/" + string(k.Setting)
	return cell.Owner(key, s.Members, func(*fleet.Member) bool { return true })
}
