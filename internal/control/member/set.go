// Package member decides which daemons form the set that majorities are counted
// in, and when that set may change.
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
	// ErrPending is returned when a majority does not hold the last change yet.
	ErrPending = errors.New("member: last change not yet held by a majority")
	// ErrUnchanged is returned when a Change has no effect on the set.
	ErrUnchanged = errors.New("member: nothing to change")
)

// Change adds members to a set and removes members from it.
type Change struct {
	Add    []fleet.Member
	Remove []fleet.MemberID
	// Departing lists the members of Remove that no longer confirm other members
	// or serve callers: they remove themselves as their last action.
	Departing []fleet.MemberID
}

// Evidence is what the proposer of a change has learned from the members
// themselves. Entries stay valid: a member's revisions only increase, and an
// incarnation that has ended does not return.
type Evidence struct {
	// Held contains the newest revisions that each member reported to hold.
	Held map[fleet.MemberID]HeldRevisions
	// Gone contains incarnations that have certainly ended: their address
	// answers with another incarnation, they removed themselves, or the platform
	// has deleted the VM.
	Gone set.Set[fleet.MemberID]
}

// HeldRevisions contains the revisions of the configuration and of the set that
// a member holds.
type HeldRevisions struct {
	Config fleet.ConfigRevision
	Set    Revision
}

// Revision numbers the sets of a region, from 1. Zero means no set.
type Revision uint64

// Set is the registered members of one region.
//
// A daemon may hold a set that has since been replaced, so two rules connect
// successive sets. First, a set is replaced only once a majority of the previous
// set holds it: a daemon that counts a majority of a set two revisions back
// therefore contacts a member that reports a newer set. Second, a set contains
// the newest configuration revision at the time it was written: a daemon that
// holds the set knows at least that revision.
type Set struct {
	Revision Revision
	// Config is the newest configuration revision when the set was written. A
	// daemon that applies the set knows of this revision from then on.
	Config fleet.ConfigRevision
	// Members is sorted by ID, without duplicates.
	Members []fleet.Member
	// Previous lists the members of the previous set, sorted likewise.
	Previous []fleet.MemberID
	// Gone lists the members of Previous that had certainly ended when this
	// set was written.
	Gone []fleet.MemberID
}

// Compare orders members by address, then by incarnation.
func Compare(a, b fleet.MemberID) int {
	if n := a.Address.Compare(b.Address); n != 0 {
		return n
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}

// Majority returns the smallest number that is more than half of n.
func Majority(n int) int {
	return n/2 + 1
}

// Accepted reports whether enough members hold a configuration that no daemon of
// the region can be confirmed with an older one by contacts made from now on. A
// majority of the set must hold it. So must a majority of the previous set,
// because some daemons may not know of a newer set; a member that reports the
// newer set counts as well, since a daemon that contacts it is not confirmed
// before it has applied that set. Ended incarnations count as holding it, since
// they no longer confirm any daemon.
func (s Set) Accepted(r fleet.ConfigRevision, e Evidence) bool {
	holds := func(id fleet.MemberID) bool {
		return e.Held[id].Config >= r
	}
	counts := func(id fleet.MemberID) bool {
		return holds(id) || e.Held[id].Set >= s.Revision
	}
	return s.majorityHolds(s.IDs(), e, holds) && s.majorityHolds(s.Previous, e, counts)
}

// Contains reports whether id is a member.
func (s Set) Contains(id fleet.MemberID) bool {
	return s.Index(id) >= 0
}

// IDs returns the members' IDs in sorted order.
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
// the set must be written on the condition that s and head are still the newest.
// Any unresponsive member may be removed: if it is still running, it learns of
// the new set from the majority that it needs to be confirmed. Its errors are
// ErrPending and ErrUnchanged.
func (s Set) Next(c Change, head fleet.ConfigRevision, e Evidence) (Set, error) {
	if !s.changedBy(c) {
		return Set{}, ErrUnchanged
	}
	if !s.Replaceable(e) {
		return Set{}, ErrPending
	}
	n := Set{Revision: s.Revision + 1, Config: head, Previous: s.IDs()}
	n.Members = s.membersAfter(c)
	for _, id := range n.Previous {
		if e.Gone.Contains(id) || slices.Contains(c.Departing, id) {
			n.Gone = append(n.Gone, id)
		}
	}
	return n, nil
}

// Replaceable reports whether a majority of the previous set holds s.
func (s Set) Replaceable(e Evidence) bool {
	return s.majorityHolds(s.Previous, e, func(id fleet.MemberID) bool {
		return e.Held[id].Set >= s.Revision
	})
}

func (s Set) membersAfter(c Change) []fleet.Member {
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

func (s Set) changedBy(c Change) bool {
	for _, m := range c.Add {
		if !s.Contains(m.ID) {
			return true
		}
	}
	return slices.ContainsFunc(c.Remove, s.Contains)
}

// majorityHolds reports whether more than half of ids satisfy holds or have
// ended. It is true if ids is empty, since an empty set confirms no daemon.
func (s Set) majorityHolds(ids []fleet.MemberID, e Evidence, holds func(fleet.MemberID) bool) bool {
	n := 0
	for _, id := range ids {
		if holds(id) || e.Gone.Contains(id) || slices.Contains(s.Gone, id) {
			n++
		}
	}
	return len(ids) == 0 || n >= Majority(len(ids))
}
