package view_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/member"
	"github.com/lacewingtally/lacewingtally/internal/control/view"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

func TestMain(m *testing.M) {
	suite.Main(m)
}

func daemon(name string) fleet.Member {
	return fleet.Member{ID: fleet.MemberID{Incarnation: fleet.Incarnation(name)}, Region: "r"}
}

func setOf(revision member.Revision, names ...string) member.Set {
	s := member.Set{Revision: revision}
	for _, n := range names {
		s.Members = append(s.Members, daemon(n))
	}
	return s
}

func echo(name string, config fleet.ConfigRevision, set member.Revision) view.Echo {
	h := member.HeldRevisions{Config: config, Set: set}
	return view.Echo{Member: daemon(name), Held: h, Known: h}
}

func ready(now time.Time) *view.View {
	v := &view.View{Self: daemon("a"), Region: "r"}
	v.TookConfig(now, 1)
	v.TookSet(now, setOf(1, "a", "b", "c", "d", "e"))
	return v
}

func TestTableConfirms(t *testing.T) {
	now := time.Now()
	v := ready(now)
	must.True(t, v.ConfirmedUntil().IsZero())
	v.TableRead(now.Add(time.Second), now, member.HeldRevisions{Config: 1, Set: 1})
	must.Eq(t, now.Add(view.ContactWindow), v.ConfirmedUntil())
	v.TableRead(now.Add(time.Second), now.Add(time.Second), member.HeldRevisions{Config: 2, Set: 1})
	must.Eq(t, now.Add(view.ContactWindow), v.ConfirmedUntil())
	must.Eq(t, 2, v.Lacks().Config)
}

func TestMajorityConfirms(t *testing.T) {
	now := time.Now()
	v := ready(now)
	v.Heard(now.Add(time.Second), now, echo("b", 1, 1))
	must.True(t, v.ConfirmedUntil().IsZero())
	v.Heard(now.Add(time.Second), now.Add(time.Millisecond), echo("c", 1, 1))
	must.Eq(t, now.Add(view.ContactWindow), v.ConfirmedUntil())
}

func TestUnfetchedRevisionBlocksConfirmation(t *testing.T) {
	now := time.Now()
	v := ready(now)
	v.Heard(now, now, echo("b", 2, 1))
	v.Heard(now, now, echo("c", 1, 1))
	v.Heard(now, now, echo("d", 1, 1))
	must.True(t, v.ConfirmedUntil().IsZero())
	v.TookConfig(now, 2)
	must.Eq(t, now.Add(view.ContactWindow), v.ConfirmedUntil())
}

func TestPeerContactsConfirm(t *testing.T) {
	now := time.Now()
	v := ready(now)
	e := echo("b", 1, 1)
	e.Ages = []byte{5, 0, 10, byte(view.NoContact), byte(view.NoContact)}
	v.Heard(now.Add(time.Second), now, e)
	must.Eq(t, now.Add(-10*view.AgeUnit).Add(view.ContactWindow), v.ConfirmedUntil())
	e.Held.Set, e.Known.Set = 2, 2
	e.Ages = []byte{0, 0, 0, 0, 0}
	v.Heard(now.Add(time.Second), now.Add(time.Second), e)
	must.Eq(t, now.Add(-10*view.AgeUnit).Add(view.ContactWindow), v.ConfirmedUntil())
}
