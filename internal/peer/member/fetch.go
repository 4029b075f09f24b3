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

// heldView is the configuration and the sets that a daemon sends to a peer.
type heldView struct {
	config *config.Snapshot
	sets   []RegionSet
}

// missingRevisions describes what a daemon has to fetch, and from where.
type missingRevisions struct {
	view.MissingRevisions
	held    member.HeldRevisions
	regions []fleet.Region
	// empty is whether the daemon holds no set and its last read of the
	// table's heads did not succeed.
	empty        bool
	tableReached bool
	// sources are addresses of peers that may hold the missing revisions.
	sources []netip.AddrPort
}

// fetchOnce fetches the missing revisions from the table, or from a peer when
// the table does not answer. It reports whether something was missing.
func (r *Runtime) fetchOnce(ctx context.Context) bool {
	m, err := r.missing(ctx)
	if err != nil || m.MissingRevisions == (view.MissingRevisions{}) && !m.empty {
		return false
	}
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if m.tableReached && r.fetchTable(c, m) == nil {
		return true
	}
	if len(m.sources) > 0 {
		_ = r.fetchPeer(c, m, m.sources[rand.IntN(len(m.sources))])
	}
	return true
}

// fetchMissing fetches when woken and at intervals, which are shorter while
// something is missing.
func (r *Runtime) fetchMissing(ctx context.Context) error {
	for {
		interval := idleFetchInterval
		if r.fetchOnce(ctx) {
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

// fetchPeer requests the configuration and the sets that a peer holds, and
// applies those that are newer.
func (r *Runtime) fetchPeer(ctx context.Context, m missingRevisions, from netip.AddrPort) error {
	var a ViewAnswer
	if err := r.caller.Call(ctx, from, wire.KindView, ViewRequest{Config: m.held.Config}, &a); err != nil {
		return err
	}
	if len(a.Document) > 0 {
		c, err := config.Decode(a.Document)
		if err != nil {
			return err
		}
		if err := r.applyConfig(ctx, c); err != nil {
			return err
		}
	}
	return r.applySets(ctx, a.Sets)
}

// fetchTable reads the missing configuration and sets from the table and applies
// them.
func (r *Runtime) fetchTable(ctx context.Context, m missingRevisions) error {
	if m.Config > 0 {
		c, err := config.Store{Table: r.table}.Get(ctx, m.Config)
		if err != nil {
			return err
		}
		if err := r.applyConfig(ctx, c); err != nil {
			return err
		}
	}
	sets, err := readSets(ctx, r.table, m.regions)
	if err != nil {
		return err
	}
	return r.applySets(ctx, sets)
}

// handleView answers the view request of a peer that is out of date.
func (r *Runtime) handleView(ctx context.Context, _ netip.AddrPort, body []byte) (any, error) {
	var q ViewRequest
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return nil, errors.Wrap(err, "member: view request")
	}
	h, err := doResult(ctx, r, func(time.Time) heldView { return r.heldView() })
	if err != nil {
		return nil, err
	}
	a := ViewAnswer{Revision: h.config.Config.Revision, Sets: h.sets}
	if a.Revision > q.Config {
		a.Document, err = config.Marshal(h.config.Config)
	}
	return a, err
}

// heldView returns what this daemon sends to a peer that is out of date.
func (r *Runtime) heldView() heldView {
	h := heldView{config: r.control.config}
	if s := r.control.view.Set(); s.Revision > 0 {
		h.sets = append(h.sets, RegionSet{Region: r.self.Region, Set: s})
	}
	for g, s := range r.control.otherSets {
		h.sets = append(h.sets, RegionSet{Region: g, Set: s})
	}
	return h
}

// missing returns what this daemon has to fetch.
func (r *Runtime) missing(ctx context.Context) (missingRevisions, error) {
	m, err := doResult(ctx, r, func(now time.Time) missingRevisions {
		var m missingRevisions
		c := &r.control
		m.MissingRevisions = c.view.Lacks()
		m.held = c.view.Held()
		m.tableReached = c.tableReached
		m.empty = m.held.Set == 0 && !c.tableReached
		if m.Set > 0 {
			m.regions = append(m.regions, r.self.Region)
		}
		for _, id := range c.view.Contacts(now, view.ContactWindow) {
			m.sources = append(m.sources, id.Address)
		}
		return m
	})
	if len(m.sources) == 0 {
		m.sources = r.seeds
	}
	return m, err
}

// pollHeads reads the heads at each readInterval, even while an earlier read is
// still in flight, up to maxReads at once.
func (r *Runtime) pollHeads(ctx context.Context) error {
	s := semaphore.NewWeighted(maxReads)
	t := time.NewTicker(readInterval)
	defer t.Stop()
	g, c := errgroup.WithContext(ctx)
	for {
		if s.TryAcquire(1) {
			g.Go(func() error {
				defer s.Release(1)
				r.pollHeadsOnce(c)
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

func (r *Runtime) pollHeadsOnce(ctx context.Context) {
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	h, err := readHeads(c, r.table)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		r.log.Debug("membership heads not read from the table", errorField(err))
	}
	missing, _ := doResult(ctx, r, func(now time.Time) []fleet.Region {
		r.setTableReached(err == nil)
		if err != nil {
			return nil
		}
		var missing []fleet.Region
		own := member.HeldRevisions{Config: h.config, Set: h.fleet.revision(r.self.Region)}
		r.control.view.TableRead(now, sentAt, own)
		for _, s := range h.fleet.Sets {
			if s.Region != r.self.Region && r.control.otherSets[s.Region].Revision < s.Revision {
				missing = append(missing, s.Region)
			}
		}
		return missing
	})
	if len(missing) == 0 {
		return
	}
	if sets, err := readSets(c, r.table, missing); err == nil {
		_ = r.applySets(ctx, sets)
	}
}

func (r *Runtime) setTableReached(reached bool) {
	c := &r.control
	if reached == c.tableReached {
		return
	}
	c.tableReached = reached
	kind := timeline.StoreLost
	if reached {
		kind = timeline.StoreReached
	}
	r.record(timeline.Event{Kind: kind})
}

// applyConfig applies a configuration if it is newer than the held one. The
// configuration is indexed outside the control goroutine.
func (r *Runtime) applyConfig(ctx context.Context, conf config.Config) error {
	s := config.NewSnapshot(conf)
	return r.do(ctx, func(now time.Time) {
		c := &r.control
		if conf.Revision <= c.config.Config.Revision {
			return
		}
		c.config = s
		c.view.TookConfig(now, conf.Revision)
		r.recordHeld(r.self.ID, c.view.Held())
		r.record(timeline.Event{Kind: timeline.ConfigInForce, Revision: conf.Revision})
	})
}

// applySets applies the sets of regions that are newer than the held ones.
func (r *Runtime) applySets(ctx context.Context, sets []RegionSet) error {
	return r.do(ctx, func(now time.Time) {
		for _, s := range sets {
			if s.Region == r.self.Region {
				r.applySet(now, s.Set)
				continue
			}
			if s.Set.Revision > r.control.otherSets[s.Region].Revision {
				r.control.otherSets[s.Region] = s.Set
			}
		}
	})
}
