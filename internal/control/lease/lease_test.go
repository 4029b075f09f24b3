package lease_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/lease"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

func TestMain(m *testing.M) {
	suite.Main(m)
}

func id(name string) fleet.MemberID {
	return fleet.MemberID{Incarnation: fleet.Incarnation(name)}
}

func TestAcquireRenewAndLoseLease(t *testing.T) {
	now := time.Now()
	l := lease.Lease{Self: id("a")}
	must.Eq(t, lease.Read, l.Next(now).Kind)
	l.Seen(now, lease.Row{}, 0)
	a := l.Next(now)
	must.Eq(t, lease.Acquire, a.Kind)
	must.Eq(t, 1, a.Row.Epoch)
	l.Wrote(now, a)
	e, deadline, err := l.Check(now.Add(time.Second))
	must.NoError(t, err)
	must.Eq(t, 1, e)
	must.Eq(t, now.Add(lease.Term-lease.Margin), deadline)
	now = now.Add(lease.RenewInterval)
	must.Eq(t, lease.Read, l.Next(now).Kind)
	l.Seen(now, a.Row, 1)
	must.Eq(t, lease.Renew, l.Next(now).Kind)
	l.Heard(2)
	_, _, err = l.Check(now)
	must.ErrorIs(t, err, lease.ErrNotHeld)
}

func TestChallengerWaitsForTerm(t *testing.T) {
	now := time.Now()
	l := lease.Lease{Self: id("b")}
	r := lease.Row{Epoch: 4, Holder: id("a")}
	l.Seen(now, r, 7)
	must.Eq(t, lease.Wait, l.Next(now).Kind)
	now = now.Add(lease.Term - time.Millisecond)
	l.Seen(now, r, 7)
	must.Eq(t, lease.Wait, l.Next(now).Kind)
	r.Renewals++
	l.Seen(now, r, 8)
	now = now.Add(lease.Term - time.Millisecond)
	must.Eq(t, lease.Read, l.Next(now).Kind)
	now = now.Add(time.Millisecond)
	a := l.Next(now)
	must.Eq(t, lease.Acquire, a.Kind)
	must.Eq(t, 5, a.Row.Epoch)
	must.Eq(t, 8, a.Version)
}
