package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/member"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
)

const (
	// minorityRemoveAfter is how long a member must be unresponsive before a
	// daemon in contact with less than a majority removes it.
	minorityRemoveAfter = time.Minute
	// collectors is the number of a region's first live members that collect the
	// reports that a change of the set requires. Only the first one proposes
	// changes; the next ones take over when it ends.
	collectors = 3
	// selfAddOneIn is the mean number of checks after which a daemon that waits
	// for another member to add it tries to add itself.
	selfAddOneIn = 10
	// maxReplaceRounds bounds the rounds of pings before a change.
	maxReplaceRounds = 5
	// majorityRemoveAfter is how long a member must be unresponsive before a
	// daemon in contact with a majority removes it.
	majorityRemoveAfter = 10 * time.Second
)

// nextResult is the result of member.Set.Next.
type nextResult struct {
	next member.Set
	err  error
}

// commitChange applies c to s and commits the resulting set, on the condition
// that no row has changed since h was read. It then applies the set to the view.
func (r *Runtime) commitChange(ctx context.Context, h heads, s member.Set, version uint64, c member.Change) error {
	d, err := doResult(ctx, r, func(time.Time) nextResult {
		n, err := s.Next(c, h.config, r.control.evidence)
		return nextResult{next: n, err: err}
	})
	if err != nil {
		return err
	}
	if d.err != nil {
		return d.err
	}
	n := d.next
	value, err := msgpack.Marshal(n)
	if err != nil {
		return errors.Wrap(err, "member: set")
	}
	head, err := msgpack.Marshal(h.fleet.withSet(r.self.Region, n.Revision))
	if err != nil {
		return errors.Wrap(err, "member: fleet")
	}
	key := SetKey(r.self.Region)
	err = r.table.Commit(ctx, table.Txn{
		ID: uuid.NewString(),
		Conditions: []table.Condition{
			{Key: config.HeadKey, Version: h.configVersion},
			{Key: FleetKey, Version: h.fleetVersion},
			{Key: key, Version: version},
		},
		Writes: []table.Write{{Key: FleetKey, Value: head}, {Key: key, Value: value}},
	})
	if err != nil {
		return errors.Wrap(err, "member: change")
	}
	return r.applySets(ctx, []RegionSet{{Region: r.self.Region, Set: n}})
}

// keepRegistered checks at intervals whether the set must change, and proposes
// the change. Before that, it collects the reports that the next change requires:
// once a member has ended, it can no longer report that it held the set.
func (r *Runtime) keepRegistered(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(jitter(registerInterval)):
		}
		r.collectReports(ctx)
		due, err := r.shouldPropose(ctx)
		if err != nil || !due {
			continue
		}
		if err := r.propose(ctx); err != nil {
			r.log.Debug("membership change not committed", zap.Error(err))
		}
	}
}

// collectReports pings the previous members until a majority of them has reported
// that it holds the current set, if this daemon is one of the collectors.
func (r *Runtime) collectReports(ctx context.Context) {
	s, err := doResult(ctx, r, func(time.Time) member.Set { return r.setToCollect() })
	if err == nil && s.Revision > 0 {
		r.awaitReplaceable(ctx, s)
	}
}

// setToCollect returns the current set if this daemon should collect reports that
// it is held, and the zero Set otherwise.
func (r *Runtime) setToCollect() member.Set {
	c := &r.control
	s := c.view.Set()
	if s.Replaceable(c.evidence) || !inFirstOfRegion(c.members, r.self, collectors) {
		return member.Set{}
	}
	return s
}

// shouldPropose reports whether this daemon should propose a change: to add
// itself, or, as the first of the region's live members, any wanted change.
func (r *Runtime) shouldPropose(ctx context.Context) (bool, error) {
	return doResult(ctx, r, func(now time.Time) bool {
		c := &r.control
		if !c.tableReached || c.view.Lacks() != (view.MissingRevisions{}) {
			return false
		}
		s := c.view.Set()
		if !s.Contains(r.self.ID) {
			// A live member adds all its candidates in one change, so that many
			// daemons that boot at once do not race each other.
			answered := slices.ContainsFunc(c.view.Contacts(now, liveWindow), s.Contains)
			return !answered || rand.IntN(selfAddOneIn) == 0
		}
		x := r.wantedChange(now, s)
		wanted := len(x.Add) > 0 || len(x.Remove) > 0
		return wanted && firstInRegion(c.members, r.self.Region) == r.self.ID
	})
}

// leave stops answering peers and removes the daemon from the set.
func (r *Runtime) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	err := r.loop.Do(ctx, func(time.Time) {
		r.control.left = true
		r.publishState()
	})
	if err != nil {
		return
	}
	for ctx.Err() == nil {
		err := r.proposeChange(ctx, func(time.Time, member.Set) member.Change {
			id := []fleet.MemberID{r.self.ID}
			return member.Change{Remove: id, Departing: id}
		})
		if err == nil || errors.Is(err, member.ErrUnchanged) || errors.Is(err, table.ErrUnavailable) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(jitter(fetchInterval)):
		}
	}
}

// propose proposes the wanted change, and adds this daemon unless it has left.
func (r *Runtime) propose(ctx context.Context) error {
	return r.proposeChange(ctx, func(now time.Time, s member.Set) member.Change {
		c := r.wantedChange(now, s)
		if !r.control.left {
			c.Add = append(c.Add, r.self)
		}
		return c
	})
}

// proposeChange reads and applies the newest set, records its members whose VMs
// are deleted, pings the daemons whose reports the change requires, and commits
// the change that f returns. f runs on the control goroutine.
func (r *Runtime) proposeChange(ctx context.Context, f func(time.Time, member.Set) member.Change) error {
	c, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	rows, err := r.table.Read(c, config.HeadKey, FleetKey, SetKey(r.self.Region))
	if err != nil {
		return errors.Wrap(err, "member: propose")
	}
	h, err := decodeHeads(rows)
	if err != nil {
		return err
	}
	s, err := decodeSet(rows[2])
	if err != nil {
		return err
	}
	if err := r.applySets(c, []RegionSet{{Region: r.self.Region, Set: s}}); err != nil {
		return err
	}
	x, err := doResult(c, r, func(now time.Time) member.Change {
		r.recordDeletedVMs(s)
		return f(now, s)
	})
	if err != nil {
		return err
	}
	r.awaitReplaceable(c, s)
	return r.commitChange(c, h, s, rows[2].Version, x)
}

// awaitReplaceable pings the members of the set before s until a majority of
// them has reported that it holds s, or maxReplaceRounds have passed. The pings
// also inform them of s.
func (r *Runtime) awaitReplaceable(ctx context.Context, s member.Set) {
	for range maxReplaceRounds {
		ok, err := doResult(ctx, r, func(time.Time) bool { return s.Replaceable(r.control.evidence) })
		if err != nil || ok {
			return
		}
		r.pingAll(ctx, s.Previous)
		select {
		case <-ctx.Done():
		case <-time.After(fetchInterval):
		}
	}
}

// recordDeletedVMs records the end of members whose VMs the platform has
// deleted.
func (r *Runtime) recordDeletedVMs(s member.Set) {
	if r.vmDeleted == nil {
		return
	}
	for _, m := range s.Members {
		if m.ID != r.self.ID && r.vmDeleted(m) {
			r.recordEnded(m.ID)
		}
	}
	for _, id := range s.Previous {
		if id != r.self.ID && r.vmDeleted(fleet.Member{ID: id, Region: r.self.Region}) {
			r.recordEnded(id)
		}
	}
}

// wantedChange returns the change that brings a set up to date: it adds daemons
// that send pings and are not in the set, and removes members that have ended
// or are unresponsive.
func (r *Runtime) wantedChange(now time.Time, s member.Set) member.Change {
	c := &r.control
	var x member.Change
	for _, p := range c.candidates {
		if now.Sub(p.pingedAt) < liveWindow && !s.Contains(p.member.ID) {
			x.Add = append(x.Add, p.member)
		}
	}
	recent := set.New(c.view.Contacts(now, majorityRemoveAfter)...)
	limit := majorityRemoveAfter
	if n := r.countRecent(s, recent); n < member.Majority(len(s.Members)) {
		limit = minorityRemoveAfter
		recent = set.New(c.view.Contacts(now, limit)...)
	}
	for _, m := range s.Members {
		if m.ID == r.self.ID {
			continue
		}
		unresponsive := !recent.Contains(m.ID) && clock.Elapsed(c.setAppliedAt, now) >= limit
		if unresponsive || c.evidence.Gone.Contains(m.ID) {
			x.Remove = append(x.Remove, m.ID)
		}
	}
	return x
}

// countRecent returns the number of members in recent, counting this daemon as
// one of them.
func (r *Runtime) countRecent(s member.Set, recent set.Set[fleet.MemberID]) int {
	n := 0
	for _, m := range s.Members {
		if m.ID == r.self.ID || recent.Contains(m.ID) {
			n++
		}
	}
	return n
}

// inFirstOfRegion reports whether a daemon is among the first n members of its
// region in an ordered list.
func inFirstOfRegion(ms []fleet.Member, self fleet.Member, n int) bool {
	for _, m := range ms {
		switch {
		case m.Region != self.Region:
		case m.ID == self.ID:
			return n > 0
		default:
			n--
		}
	}
	return false
}

// firstInRegion returns the first member of a region in an ordered list, or the
// zero MemberID.
func firstInRegion(ms []fleet.Member, g fleet.Region) fleet.MemberID {
	for _, m := range ms {
		if m.Region == g {
			return m.ID
		}
	}
	return fleet.MemberID{}
}
