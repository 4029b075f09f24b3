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
	// demandPeriod is how often shares of the limits are asked for.
	demandPeriod = time.Second
	// registerPeriod is how often what runs is registered.
	registerPeriod = 3 * time.Second
	// registerRetry is when a registration that failed is tried again.
	registerRetry = 200 * time.Millisecond
	// roundTimeout bounds one message of a round.
	roundTimeout = time.Second
	// roundParallel bounds the messages of a round that are on their way.
	roundParallel = 16
)

// registered is what a client last registered. It is used by one goroutine.
type registered struct {
	dispatchers map[cell.ID]fleet.MemberID
	// running are the cells that were last told of something that runs.
	running map[cell.ID]bool
	// allAt is when all is registered again.
	allAt time.Time
}

// demandAll asks for shares and passes notices on, each period and after each
// notice.
func (c *Client) demandAll(ctx context.Context) error {
	t := time.NewTicker(demandPeriod)
	defer t.Stop()
	noticed := c.peers.notified()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-noticed:
			noticed = c.peers.notified()
		case <-t.C:
		}
		c.demandRound(ctx)
	}
}

// demandRound asks each keeper of a ledger once, and tells each daemon that
// has not confirmed them the notices that this daemon was given.
func (c *Client) demandRound(ctx context.Context) {
	now := time.Now()
	s := c.view.State()
	c.peers.keep(s.Members)
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
		if m, ok := keeper(v.Key, s); ok {
			d := message(m)
			d.Demands = append(d.Demands, v)
		}
	}
	for _, m := range s.Members {
		if m.ID != c.self.ID && !c.peers.toldAll(m.ID) {
			message(m)
		}
	}
	var g errgroup.Group
	g.SetLimit(roundParallel)
	for id, v := range messages {
		g.Go(func() error {
			c.demandOf(ctx, id, v)
			return nil
		})
	}
	_ = g.Wait()
}

func (c *Client) demandOf(ctx context.Context, to fleet.MemberID, m *demandMessage) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	sent := time.Now()
	notices := c.peers.noticesGiven()
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
	c.peers.told(to, notices)
	c.servers.MarkLeaving(time.Now(), a.Leaving...)
	for i, v := range m.Demands {
		c.limits.give(sent, v.Key, a.Shares[i])
	}
}

// registerAll registers what runs when a dispatcher changes and each period.
func (c *Client) registerAll(ctx context.Context) error {
	var last registered
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

// registerRound registers with the dispatchers that changed, and, once a
// period, with all that were told of something that runs or should be. It
// reports whether all took it.
func (c *Client) registerRound(ctx context.Context, s *view.State, last *registered) bool {
	now := time.Now()
	all := !now.Before(last.allAt)
	if all {
		last.allAt = now.Add(registerPeriod)
	}
	unsettled := c.running.unsettled(now)
	lists, sequence := c.running.list(func(g gate.Grant) cell.ID {
		id, _, _ := c.home(now, g.Server)
		return id
	})
	next := registered{dispatchers: make(map[cell.ID]fleet.MemberID), running: make(map[cell.ID]bool), allAt: last.allAt}
	ok := true
	members := c.peers.reachable(now, s.Members)
	for _, id := range c.cells(lists) {
		m, found := id.Dispatcher(members)
		if !found {
			continue
		}
		due := unsettled || last.dispatchers[id] != m.ID || all && (len(lists[id]) > 0 || last.running[id])
		r := cell.Registration{Entry: c.self.ID, Sequence: sequence, Running: lists[id]}
		if due && !c.register(ctx, m, registerMessage{Cell: id, Registration: r, Leaving: c.servers.Snapshot().Leaving}) {
			ok = false
			continue
		}
		next.dispatchers[id] = m.ID
		next.running[id] = len(lists[id]) > 0 || last.running[id] && !due
	}
	*last = next
	if ok && unsettled {
		c.running.settle(now)
	}
	return ok
}

// cells returns the cells of this daemon's region and those of the lists.
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
	var a settledAnswer
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
	c.peers.summarise(now, m.Cell, a.Summary)
	return true
}

// keeper returns the daemon that keeps the ledger of a limit.
func keeper(k limit.Key, s *view.State) (fleet.Member, bool) {
	key := "Limit/" + string(k.Workspace) + "/" + string(k.Setting)
	return cell.Owner(key, s.Members, func(*fleet.Member) bool { return true })
}
