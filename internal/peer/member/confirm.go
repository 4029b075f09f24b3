package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/member"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
)

const (
	// confirmMargin covers the difference in rate of two clocks over a
	// ContactWindow.
	confirmMargin = 100 * time.Millisecond
	// confirmTimeout bounds the time for members to confirm a revision.
	confirmTimeout = 5 * time.Second
)

// Confirmation reports where a committed configuration is in effect.
type Confirmation struct {
	Revision fleet.ConfigRevision
	// Pending lists the regions in which daemons may still act on an older
	// revision, in ascending order. They apply the revision without a further
	// call of Confirm.
	Pending []fleet.Region
}

// pendingAcceptance holds the regions that have not accepted a revision, and
// the members to ping.
type pendingAcceptance struct {
	regions []fleet.Region
	members []fleet.MemberID
}

// inFlight is the set of members that are being pinged. Its methods may be
// called from any goroutine.
type inFlight struct {
	mutex sync.Mutex
	ids   set.Set[fleet.MemberID]
}

// Accepted reports whether no daemon acts on an older revision any longer.
func (c Confirmation) Accepted() bool {
	return len(c.Pending) == 0
}

// Confirm waits until a revision in the table is in effect: a majority of each
// region's members, and of the region's previous set, has reported that it
// holds the revision, and view.ContactWindow has passed since. Regions without
// such a majority at the timeout are returned as pending; if all regions are,
// Confirm returns without waiting for view.ContactWindow. Confirm fails when the
// sets of members cannot be read from the table; the revision is then committed,
// but may not be in effect yet.
func (r *Runtime) Confirm(ctx context.Context, revision fleet.ConfigRevision) (Confirmation, error) {
	c, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := r.noteConfig(c, revision); err != nil {
		return Confirmation{}, err
	}
	sets, err := r.retryReadAllSets(c)
	if err != nil {
		return Confirmation{}, err
	}
	a := Confirmation{Revision: revision}
	a.Pending, err = r.awaitAcceptance(c, revision, sets)
	if err != nil {
		return Confirmation{}, err
	}
	if len(a.Pending) > 0 && len(a.Pending) == len(sets) {
		return a, nil
	}
	select {
	case <-ctx.Done():
		return Confirmation{}, ctx.Err()
	case <-time.After(view.ContactWindow + confirmMargin):
	}
	return a, nil
}

// pending returns the regions that have not accepted a revision, and their
// members to ping.
func (r *Runtime) pending(revision fleet.ConfigRevision, sets []RegionSet) pendingAcceptance {
	var p pendingAcceptance
	e := r.control.evidence
	for _, s := range sets {
		if s.Set.Accepted(revision, e) {
			continue
		}
		p.regions = append(p.regions, s.Region)
		p.members = append(p.members, notKnownToHold(s.Set, revision, e)...)
	}
	return p
}

// retryReadAllSets reads the sets of all regions, as of a time after the call
// began. It retries until the context ends.
func (r *Runtime) retryReadAllSets(ctx context.Context) ([]RegionSet, error) {
	for {
		sets, err := r.readAllSets(ctx)
		if err == nil {
			return sets, nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(jitter(fetchInterval)):
		}
	}
}

func (r *Runtime) readAllSets(ctx context.Context) ([]RegionSet, error) {
	h, err := readHeads(ctx, r.table)
	if err != nil {
		return nil, err
	}
	regions := make([]fleet.Region, 0, len(h.fleet.Sets))
	for _, s := range h.fleet.Sets {
		regions = append(regions, s.Region)
	}
	slices.Sort(regions)
	return readSets(ctx, r.table, regions)
}

// awaitAcceptance pings members until every region has accepted the revision or
// the context ends, and returns the regions that have not. It does not wait for
// members that are slow to answer: others may form a majority in the meantime.
func (r *Runtime) awaitAcceptance(ctx context.Context, revision fleet.ConfigRevision, sets []RegionSet) ([]fleet.Region, error) {
	pinging := &inFlight{}
	var g errgroup.Group
	g.SetLimit(maxDirectPings)
	pings, cancel := context.WithCancel(ctx)
	defer func() { _ = g.Wait() }()
	defer cancel()
	for {
		p, err := doResult(context.WithoutCancel(ctx), r, func(time.Time) pendingAcceptance {
			return r.pending(revision, sets)
		})
		if err != nil || len(p.regions) == 0 || ctx.Err() != nil {
			return p.regions, err
		}
		for _, id := range p.members {
			if id == r.self.ID || !pinging.begin(id) {
				continue
			}
			started := g.TryGo(func() error {
				defer pinging.end(id)
				_ = r.ping(pings, id.Address, id)
				return nil
			})
			if !started {
				pinging.end(id)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(fetchInterval):
		}
	}
}

// noteConfig records a revision as known to this daemon.
func (r *Runtime) noteConfig(ctx context.Context, revision fleet.ConfigRevision) error {
	return r.do(ctx, func(time.Time) {
		r.control.view.Told(member.HeldRevisions{Config: revision})
	})
}

// notKnownToHold returns the members of a set and of the previous one that are
// not known to hold a revision.
func notKnownToHold(s member.Set, revision fleet.ConfigRevision, e member.Evidence) []fleet.MemberID {
	ids := append(s.IDs(), s.Previous...)
	slices.SortFunc(ids, member.Compare)
	ids = slices.Compact(ids)
	return slices.DeleteFunc(ids, func(id fleet.MemberID) bool {
		return e.Held[id].Config >= revision || e.Gone.Contains(id)
	})
}

func errorField(err error) zap.Field {
	return zap.String("Error", errors.Cause(err).Error())
}

// begin marks a member as being pinged and reports whether it was not before.
func (f *inFlight) begin(id fleet.MemberID) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.ids.Add(id)
}

func (f *inFlight) end(id fleet.MemberID) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.ids.Remove(id)
}
