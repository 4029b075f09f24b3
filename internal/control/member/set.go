// Package member decides which daemons a majority is counted of, and when that
// set may change.
package member

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
)

// Errors of Next.
var (
	// ErrNotHeld says that the last change is not known widely enough yet.
	ErrNotHeld = errors.New("member: the last change is not held by a majority")
	// ErrUnchanged says that there is nothing to change.
	ErrUnchanged = errors.New("member: nothing to change")
)

// Change adds members to a set and takes members out.
type Change struct {
	Add    []fleet.Member
	Remove []fleet.MemberID
	// Left are those of Remove that confirm nobody and do nothing for callers
	// any more: they take themselves out as their last act.
	Left []fleet.MemberID
}

// Evidence is what the proposer of a change has learned from members
// themselves. Entries never become wrong: a member's revisions only grow, and a
// run of a daemon that has ended stays ended.
type Evidence struct {
	// Held is the newest of each kind that a member said it holds.
	Held map[fleet.MemberID]Held
	// Gone are runs of daemons that have ended for certain: their address
	// answers with another incarnation, they took themselves out, or the
	// platform has deleted the VM.
	Gone set.Set[fleet.MemberID]
}

// Held is what a member has taken over.
type Held struct {
	Config fleet.ConfigRevision
	Set    Revision
}

// Revision numbers the sets of a region, from 1. Zero is none.
type Revision uint64

// Set is the registered members of one region.
//
// A daemon may hold a set that has been replaced since, so two rules connect
// the sets. First, a set is replaced only once a majority of the one before it
// holds it: whoever counts a majority of a set two steps back therefore meets a
// member that names a newer one. Second, a set names the configuration that was
// the newest when it was written: whoever holds the set knows of at least that.
type Set struct {
	Revision Revision
	// Config is the newest revision when the set was written. A daemon that
	// takes the set over counts as having heard of it.
	Config fleet.ConfigRevision
	// Members is ordered by ID, without duplicates.
	Members []fleet.Member
	// Previous is the members of the set before this one, ordered likewise.
	Previous []fleet.MemberID
	// Gone are members of Previous that had ended for certain when this set
	// was written.
	Gone []fleet.MemberID
}

// Compare orders members by address, then by incarnation.
func Compare(a, b fleet.MemberID) int {
	if n := a.Address.Compare(b.Address); n != 0 {
		return n
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}

// Majority returns the smallest number of n members that is more than half.
func Majority(n int) int {
	return n/2 + 1
}

// Accepted reports whether a configuration is known so widely that no daemon
// of the region can be confirmed with an older one by contacts made from now
// on. A majority of the set must hold it. So must a majority of the set before,
// for the sake of daemons that know of no newer one; a member that names the
// newer set serves as well, for then they are not confirmed before they have
// taken it over. Ended runs count, since they confirm nobody any more.
func (s Set) Accepted(r fleet.ConfigRevision, e Evidence) bool {
	holds := func(id fleet.MemberID) bool {
		return e.Held[id].Config >= r
	}
	tells := func(id fleet.MemberID) bool {
		return holds(id) || e.Held[id].Set >= s.Revision
	}
	return s.most(s.IDs(), e, holds) && s.most(s.Previous, e, tells)
}

// Contains reports whether id is a member.
func (s Set) Contains(id fleet.MemberID) bool {
	return s.Index(id) >= 0
}

// IDs returns the members' IDs in order.
func (s Set) IDs() []fleet.MemberID {
	ids := make([]fleet.MemberID, 0, len(s.Members))
	for _, m := range s.Members {
		ids = append(ids, m.ID)
	}
	return ids
}

// Index returns the position of id in Members, or -1.
func (s Set) Index(id fleet.MemberID) int {
	i, ok := slices.BinarySearchFunc(s.Members, id, func(m fleet.Member, id fleet.MemberID) int {
		return Compare(m.ID, id)
	})
	if !ok {
		return -1
	}
	return i
}

// Next returns the set after s. head is the newest configuration in the table;
// the set must be written on the condition that both are still the newest. Any
// silent member may be taken out: if it runs on unnoticed, it learns of the new
// set from the majority it needs to be confirmed. Its errors are ErrNotHeld and
// ErrUnchanged.
func (s Set) Next(c Change, head fleet.ConfigRevision, e Evidence) (Set, error) {
	if !s.changes(c) {
		return Set{}, ErrUnchanged
	}
	if !s.Replaceable(e) {
		return Set{}, ErrNotHeld
	}
	n := Set{Revision: s.Revision + 1, Config: head, Previous: s.IDs()}
	n.Members = s.apply(c)
	for _, id := range n.Previous {
		if e.Gone.Contains(id) || slices.Contains(c.Left, id) {
			n.Gone = append(n.Gone, id)
		}
	}
	return n, nil
}

// Replaceable reports whether a majority of the set before s holds s.
func (s Set) Replaceable(e Evidence) bool {
	return s.most(s.Previous, e, func(id fleet.MemberID) bool {
		return e.Held[id].Set >= s.Revision
	})
}

func (s Set) apply(c Change) []fleet.Member {
	remove := set.New(c.Remove...)
	var members []fleet.Member
	for _, m := range s.Members {
		if !remove.Contains(m.ID) {
			members = append(members, m)
		}
	}
	for _, m := range c.Add {
		if !s.Contains(m.ID) {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b fleet.Member) int { return Compare(a.ID, b.ID) })
	return slices.CompactFunc(members, func(a, b fleet.Member) bool { return a.ID == b.ID })
}

func (s Set) changes(c Change) bool {
	for _, m := range c.Add {
		if !s.Contains(m.ID) {
			return true
		}
	}
	return slices.ContainsFunc(c.Remove, s.Contains)
}

// most reports whether more than half of ids hold something or have ended. No
// daemon is confirmed by an empty set, so that counts as held.
func (s Set) most(ids []fleet.MemberID, e Evidence, holds func(fleet.MemberID) bool) bool {
	n := 0
	for _, id := range ids {
		if holds(id) || e.Gone.Contains(id) || slices.Contains(s.Gone, id) {
			n++
		}
	}
	return len(ids) == 0 || n >= Majority(len(ids))
}
