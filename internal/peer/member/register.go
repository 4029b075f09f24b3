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
	// minorityAfter is how long a member must be silent before a daemon that
	// hears less than a majority takes it out.
	minorityAfter = time.Minute
	// unaidedOneIn is at how many looks on average a daemon that others should
	// add tries to add itself.
	unaidedOneIn = 10
	// replaceRounds bounds the rounds of asking before a change.
	replaceRounds = 5
	// silentAfter is how long a member must be silent before a daemon that
	// hears a majority takes it out.
	silentAfter = 10 * time.Second
)

// decided is the result of member.Set.Next.
type decided struct {
	next member.Set
	err  error
}

// change commits the set that follows s by c, on the condition that nothing has
// changed since h was read.
func (r *Runtime) change(ctx context.Context, h heads, s member.Set, version uint64, c member.Change) error {
	d, err := ask(ctx, r, func(time.Time) decided {
		n, err := s.Next(c, h.config, r.control.evidence)
		return decided{next: n, err: err}
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
	head, err := msgpack.Marshal(h.fleet.with(r.self.Region, n.Revision))
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
	return r.tookSets(ctx, []RegionSet{{Region: r.self.Region, Set: n}})
}

// keepRegistered changes the set when it must change.
func (r *Runtime) keepRegistered(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(jitter(registerInterval)):
		}
		due, err := r.due(ctx)
		if err != nil || !due {
			continue
		}
		if err := r.propose(ctx); err != nil {
			r.log.Debug("set not changed", zap.Error(err))
		}
	}
}

// due reports whether this daemon should propose a change: to add itself, or as
// the first of the live members for the others.
func (r *Runtime) due(ctx context.Context) (bool, error) {
	return ask(ctx, r, func(now time.Time) bool {
		c := &r.control
		if !c.reached || c.view.Lacks() != (view.Lack{}) {
			return false
		}
		s := c.view.Set()
		if !s.Contains(r.self.ID) {
			// Members that answer add their candidates together, so that many
			// daemons that boot at once do not race each other.
			answered := slices.ContainsFunc(c.view.Contacts(now, liveWindow), s.Contains)
			return !answered || rand.IntN(unaidedOneIn) == 0
		}
		x := r.wanted(now, s)
		wanted := len(x.Add) > 0 || len(x.Remove) > 0
		return wanted && firstOf(c.members, r.self.Region) == r.self.ID
	})
}

// leave takes the daemon out of the set and stops answering peers.
func (r *Runtime) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	err := r.loop.Do(ctx, func(time.Time) {
		r.control.left = true
		r.replace()
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

// propose makes the change that is wanted now.
func (r *Runtime) propose(ctx context.Context) error {
	return r.proposeChange(ctx, func(now time.Time, s member.Set) member.Change {
		c := r.wanted(now, s)
		if !r.control.left {
			c.Add = append(c.Add, r.self)
		}
		return c
	})
}

// proposeChange reads the newest set, asks the daemons whose word the change
// needs, and commits it. f runs on the control goroutine.
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
	if err := r.tookSets(c, []RegionSet{{Region: r.self.Region, Set: s}}); err != nil {
		return err
	}
	x, err := ask(c, r, func(now time.Time) member.Change {
		r.noticeGone(s)
		return f(now, s)
	})
	if err != nil {
		return err
	}
	r.makeReplaceable(c, s)
	return r.change(c, h, s, rows[2].Version, x)
}

// makeReplaceable asks the members of the set before s whether they hold s,
// until most do or a few rounds have passed. The asking tells them of it.
func (r *Runtime) makeReplaceable(ctx context.Context, s member.Set) {
	for range replaceRounds {
		ok, err := ask(ctx, r, func(time.Time) bool { return s.Replaceable(r.control.evidence) })
		if err != nil || ok {
			return
		}
		r.poll(ctx, s.Previous)
		select {
		case <-ctx.Done():
		case <-time.After(fetchInterval):
		}
	}
}

// noticeGone takes the platform's word that VMs were deleted.
func (r *Runtime) noticeGone(s member.Set) {
	if r.gone == nil {
		return
	}
	for _, m := range s.Members {
		if m.ID != r.self.ID && r.gone(m) {
			r.ended(m.ID)
		}
	}
	for _, id := range s.Previous {
		if id != r.self.ID && r.gone(fleet.Member{ID: id, Region: r.self.Region}) {
			r.ended(id)
		}
	}
}

// wanted returns the change that brings a set up to date: daemons that ping
// and are not in it, and members that ended or are silent.
func (r *Runtime) wanted(now time.Time, s member.Set) member.Change {
	c := &r.control
	var x member.Change
	for _, p := range c.candidates {
		if now.Sub(p.at) < liveWindow && !s.Contains(p.member.ID) {
			x.Add = append(x.Add, p.member)
		}
	}
	recent := set.New(c.view.Contacts(now, silentAfter)...)
	limit := silentAfter
	if n := r.heardOf(s, recent); n < member.Majority(len(s.Members)) {
		limit = minorityAfter
		recent = set.New(c.view.Contacts(now, limit)...)
	}
	for _, m := range s.Members {
		if m.ID == r.self.ID {
			continue
		}
		silent := !recent.Contains(m.ID) && clock.Elapsed(c.setAt, now) >= limit
		if silent || c.evidence.Gone.Contains(m.ID) {
			x.Remove = append(x.Remove, m.ID)
		}
	}
	return x
}

// heardOf counts the members in recent, this daemon included.
func (r *Runtime) heardOf(s member.Set, recent set.Set[fleet.MemberID]) int {
	n := 0
	for _, m := range s.Members {
		if m.ID == r.self.ID || recent.Contains(m.ID) {
			n++
		}
	}
	return n
}

// firstOf returns the first member of a region in an ordered list.
func firstOf(ms []fleet.Member, g fleet.Region) fleet.MemberID {
	for _, m := range ms {
		if m.Region == g {
			return m.ID
		}
	}
	return fleet.MemberID{}
}
