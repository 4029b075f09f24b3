package member_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/member"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

func TestMain(m *testing.M) {
	suite.Main(m)
}

func daemon(n int) fleet.Member {
	return fleet.Member{ID: fleet.MemberID{Incarnation: fleet.Incarnation(fmt.Sprint(n))}}
}

func evidenceFrom(set member.Revision, ns ...int) member.Evidence {
	e := member.Evidence{Held: make(map[fleet.MemberID]member.HeldRevisions)}
	for _, n := range ns {
		e.Held[daemon(n).ID] = member.HeldRevisions{Set: set, Config: 1}
	}
	return e
}

func TestNext(t *testing.T) {
	var s member.Set
	a, err := s.Next(member.Change{Add: []fleet.Member{daemon(2), daemon(1), daemon(2)}}, 1, member.Evidence{})
	must.NoError(t, err)
	must.Eq(t, 1, a.Revision)
	must.Eq(t, []fleet.Member{daemon(1), daemon(2)}, a.Members)
	_, err = a.Next(member.Change{Add: a.Members}, 1, member.Evidence{})
	must.ErrorIs(t, err, member.ErrUnchanged)
	b, err := a.Next(member.Change{Add: []fleet.Member{daemon(3)}}, 1, member.Evidence{})
	must.NoError(t, err)
	_, err = b.Next(member.Change{Remove: b.IDs()[:1]}, 1, evidenceFrom(2, 2))
	must.ErrorIs(t, err, member.ErrPending)
	c, err := b.Next(member.Change{Remove: b.IDs()[:1]}, 1, evidenceFrom(2, 1, 2))
	must.NoError(t, err)
	must.Len(t, 2, c.Members)
	must.Len(t, 3, c.Previous)
}

func TestEndedIncarnationsCountAsHolding(t *testing.T) {
	s := member.Set{Revision: 4, Previous: []fleet.MemberID{daemon(1).ID, daemon(2).ID, daemon(3).ID}}
	must.False(t, s.Replaceable(evidenceFrom(4, 1)))
	e := evidenceFrom(4, 1)
	e.Gone.Add(daemon(2).ID)
	must.True(t, s.Replaceable(e))
}

func TestAcceptedCountsBothSets(t *testing.T) {
	s := member.Set{
		Revision: 4,
		Members:  []fleet.Member{daemon(3), daemon(4), daemon(5)},
		Previous: []fleet.MemberID{daemon(1).ID, daemon(2).ID, daemon(3).ID},
	}
	must.False(t, s.Accepted(1, evidenceFrom(4, 4, 5)))
	must.False(t, s.Accepted(1, evidenceFrom(4, 1, 2)))
	must.False(t, s.Accepted(1, evidenceFrom(3, 2, 4, 5)))
	must.True(t, s.Accepted(1, evidenceFrom(3, 2, 3, 4)))
	e := evidenceFrom(3, 3, 4)
	e.Held[daemon(1).ID] = member.HeldRevisions{Set: 4}
	must.True(t, s.Accepted(1, e))
	e.Held[daemon(1).ID] = member.HeldRevisions{Set: 3}
	must.False(t, s.Accepted(1, e))
}
