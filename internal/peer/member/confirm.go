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
	// confirmTimeout bounds the asking of members.
	confirmTimeout = 5 * time.Second
)

// Confirmation is how far a written configuration is in force.
type Confirmation struct {
	Revision fleet.ConfigRevision
	// Pending are the regions in which daemons may still act on an older
	// revision, in ascending order. They take it over by themselves.
	Pending []fleet.Region
}

// laggards are the regions that have not accepted a revision, and the members
// to ask.
type laggards struct {
	regions []fleet.Region
	members []fleet.MemberID
}

// inFlight is the members that are being asked. Its methods may be called from
// any goroutine.
type inFlight struct {
	mutex sync.Mutex
	ids   set.Set[fleet.MemberID]
}

// Accepted reports whether no daemon acts on an older revision any more.
func (c Confirmation) Accepted() bool {
	return len(c.Pending) == 0
}

// Confirm finds out whether a revision that the table holds is in force: a
// majority of each region's members, and of the set before, says that it holds
// the revision, and ContactWindow has passed since. It fails when the table
// does not say which members there are; the revision is then written and not
// yet in force.
func (r *Runtime) Confirm(ctx context.Context, revision fleet.ConfigRevision) (Confirmation, error) {
	c, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := r.told(c, revision); err != nil {
		return Confirmation{}, err
	}
	sets, err := r.setsNow(c)
	if err != nil {
		return Confirmation{}, err
	}
	a := Confirmation{Revision: revision}
	a.Pending, err = r.spread(c, revision, sets)
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

// laggards returns what has not accepted a revision.
func (r *Runtime) laggards(revision fleet.ConfigRevision, sets []RegionSet) laggards {
	var l laggards
	e := r.control.evidence
	for _, s := range sets {
		if s.Set.Accepted(revision, e) {
			continue
		}
		l.regions = append(l.regions, s.Region)
		l.members = append(l.members, behind(s.Set, revision, e)...)
	}
	return l
}

// setsNow reads the sets of all regions, as they are after the call began.
func (r *Runtime) setsNow(ctx context.Context) ([]RegionSet, error) {
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

// spread asks members until every region has accepted the revision or the
// context ends, and returns the regions that have not. It does not wait for
// members that are slow to answer: others may make up a majority meanwhile.
func (r *Runtime) spread(ctx context.Context, revision fleet.ConfigRevision, sets []RegionSet) ([]fleet.Region, error) {
	asked := &inFlight{}
	var g errgroup.Group
	g.SetLimit(maxPolls)
	pings, cancel := context.WithCancel(ctx)
	defer func() { _ = g.Wait() }()
	defer cancel()
	for {
		l, err := ask(context.WithoutCancel(ctx), r, func(time.Time) laggards {
			return r.laggards(revision, sets)
		})
		if err != nil || len(l.regions) == 0 || ctx.Err() != nil {
			return l.regions, err
		}
		for _, id := range l.members {
			if id == r.self.ID || !asked.begin(id) {
				continue
			}
			started := g.TryGo(func() error {
				defer asked.end(id)
				_ = r.ping(pings, id.Address, id)
				return nil
			})
			if !started {
				asked.end(id)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(fetchInterval):
		}
	}
}

// told makes the daemon itself know of a revision.
func (r *Runtime) told(ctx context.Context, revision fleet.ConfigRevision) error {
	return r.do(ctx, func(time.Time) {
		r.control.view.Told(member.HeldRevisions{Config: revision})
	})
}

// behind returns the daemons of a set and the one before it that are not known
// to hold a revision.
func behind(s member.Set, revision fleet.ConfigRevision, e member.Evidence) []fleet.MemberID {
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

// begin reports whether a member was not being asked, and now is.
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
