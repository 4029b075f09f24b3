package member

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/member"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

// holdings is what a daemon can give to a peer.
type holdings struct {
	config *config.Snapshot
	sets   []RegionSet
}

// lacking is what there is to fetch.
type lacking struct {
	view.Lack
	held    member.HeldRevisions
	regions []fleet.Region
	// empty is whether the daemon knows nothing at all yet.
	empty   bool
	reached bool
	// sources are peers that may have it.
	sources []netip.AddrPort
}

// fetch gets what is lacking from the table, or from a peer when the table does
// not answer. It reports whether something was lacking.
func (r *Runtime) fetch(ctx context.Context) bool {
	l, err := r.lacks(ctx)
	if err != nil || l.Lack == (view.Lack{}) && !l.empty {
		return false
	}
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if l.reached && r.fetchTable(c, l) == nil {
		return true
	}
	if len(l.sources) > 0 {
		_ = r.fetchPeer(c, l, l.sources[rand.IntN(len(l.sources))])
	}
	return true
}

// fetchLacking fetches when there is news, and again until nothing is lacking.
func (r *Runtime) fetchLacking(ctx context.Context) error {
	for {
		interval := idleFetchInterval
		if r.fetch(ctx) {
			interval = fetchInterval
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(interval):
		case <-r.wake:
		}
	}
}

// fetchPeer asks a peer for all it holds.
func (r *Runtime) fetchPeer(ctx context.Context, l lacking, from netip.AddrPort) error {
	var a ViewAnswer
	if err := r.caller.Call(ctx, from, wire.KindView, ViewRequest{Config: l.held.Config}, &a); err != nil {
		return err
	}
	if len(a.Document) > 0 {
		c, err := config.Decode(a.Document)
		if err != nil {
			return err
		}
		if err := r.tookConfig(ctx, c); err != nil {
			return err
		}
	}
	return r.tookSets(ctx, a.Sets)
}

// fetchTable reads the newest configuration and sets.
func (r *Runtime) fetchTable(ctx context.Context, l lacking) error {
	if l.Config > 0 {
		c, err := config.Store{Table: r.table}.Get(ctx, l.Config)
		if err != nil {
			return err
		}
		if err := r.tookConfig(ctx, c); err != nil {
			return err
		}
	}
	sets, err := readSets(ctx, r.table, l.regions)
	if err != nil {
		return err
	}
	return r.tookSets(ctx, sets)
}

// handleView answers a peer that lacks something.
func (r *Runtime) handleView(ctx context.Context, _ netip.AddrPort, body []byte) (any, error) {
	var q ViewRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, errors.Wrap(err, "member: view request")
	}
	h, err := ask(ctx, r, func(time.Time) holdings { return r.holdings() })
	if err != nil {
		return nil, err
	}
	a := ViewAnswer{Revision: h.config.Config.Revision, Sets: h.sets}
	if a.Revision > q.Config {
		a.Document, err = config.Marshal(h.config.Config)
	}
	return a, err
}

// holdings returns what to give to a peer that lacks something.
func (r *Runtime) holdings() holdings {
	h := holdings{config: r.control.config}
	if s := r.control.view.Set(); s.Revision > 0 {
		h.sets = append(h.sets, RegionSet{Region: r.self.Region, Set: s})
	}
	for g, s := range r.control.others {
		h.sets = append(h.sets, RegionSet{Region: g, Set: s})
	}
	return h
}

// lacks returns what there is to fetch.
func (r *Runtime) lacks(ctx context.Context) (lacking, error) {
	l, err := ask(ctx, r, func(now time.Time) lacking {
		var l lacking
		c := &r.control
		l.Lack = c.view.Lacks()
		l.held = c.view.Held()
		l.reached = c.reached
		l.empty = l.held.Set == 0 && !c.reached
		if l.Set > 0 {
			l.regions = append(l.regions, r.self.Region)
		}
		for _, id := range c.view.Contacts(now, view.ContactWindow) {
			l.sources = append(l.sources, id.Address)
		}
		return l
	})
	if len(l.sources) == 0 {
		l.sources = r.seeds
	}
	return l, err
}

// readTable reads the heads again and again, whether or not the last read has
// ended.
func (r *Runtime) readTable(ctx context.Context) error {
	s := semaphore.NewWeighted(maxReads)
	t := time.NewTicker(readInterval)
	defer t.Stop()
	g, c := errgroup.WithContext(ctx)
	for {
		if s.TryAcquire(1) {
			g.Go(func() error {
				defer s.Release(1)
				r.readOnce(c)
				return nil
			})
		}
		select {
		case <-ctx.Done():
			_ = g.Wait()
			return ctx.Err()
		case <-t.C:
		}
	}
}

func (r *Runtime) readOnce(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	h, err := readHeads(c, r.table)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.log.Debug("table", errorField(err))
	}
	missing, _ := ask(ctx, r, func(now time.Time) []fleet.Region {
		r.noticeReached(err == nil)
		if err != nil {
			return nil
		}
		var missing []fleet.Region
		own := member.HeldRevisions{Config: h.config, Set: h.fleet.revision(r.self.Region)}
		r.control.view.TableRead(now, sentAt, own)
		for _, s := range h.fleet.Sets {
			if s.Region != r.self.Region && r.control.others[s.Region].Revision < s.Revision {
				missing = append(missing, s.Region)
			}
		}
		return missing
	})
	if len(missing) == 0 {
		return
	}
	if sets, err := readSets(c, r.table, missing); err == nil {
		_ = r.tookSets(ctx, sets)
	}
}

func (r *Runtime) noticeReached(reached bool) {
	c := &r.control
	if reached == c.reached {
		return
	}
	c.reached = reached
	kind := timeline.StoreLost
	if reached {
		kind = timeline.StoreReached
	}
	r.record(timeline.Event{Kind: kind})
}

// tookConfig takes over a configuration, indexed outside the control goroutine.
func (r *Runtime) tookConfig(ctx context.Context, c config.Config) error {
	s := config.NewSnapshot(c)
	return r.do(ctx, func(now time.Time) {
		k := &r.control
		if c.Revision <= k.config.Config.Revision {
			return
		}
		k.config = s
		k.view.TookConfig(now, c.Revision)
		r.learn(r.self.ID, k.view.Held())
		r.record(timeline.Event{Kind: timeline.ConfigInForce, Revision: c.Revision})
	})
}

// tookSets takes over sets of regions.
func (r *Runtime) tookSets(ctx context.Context, sets []RegionSet) error {
	return r.do(ctx, func(now time.Time) {
		for _, s := range sets {
			if s.Region == r.self.Region {
				r.tookSet(now, s.Set)
				continue
			}
			if s.Set.Revision > r.control.others[s.Region].Revision {
				r.control.others[s.Region] = s.Set
			}
		}
	})
}
