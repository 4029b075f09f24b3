package storelease_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/storelease"
)

const term = 3 * time.Second

func holder(id string) *storelease.Lease {
	return &storelease.Lease{Self: id, VM: "vm-" + id, Term: term}
}

func at(d time.Duration) time.Time {
	return time.UnixMilli(0).Add(d)
}

func TestHolderStopsBeforeAChallengerBegins(t *testing.T) {
	a, b := holder("a"), holder("b")
	first := a.Next(storelease.Row{}, at(10*time.Second), 0, true)
	must.Eq(t, storelease.Acquire, first.Kind)
	// The holder's own clock reads 100 s when it sends the write.
	a.Wrote(first, 100*time.Second)
	_, err := a.Check(102 * time.Second)
	must.NoError(t, err)
	must.Eq(t, storelease.Wait, b.Next(first.Row, at(12999*time.Millisecond), 0, true).Kind)
	_, err = a.Check(102900 * time.Millisecond)
	must.ErrorIs(t, err, storelease.ErrNotHeld)
	second := b.Next(first.Row, at(13*time.Second), 0, true)
	must.Eq(t, storelease.Acquire, second.Kind)
	must.Greater(t, first.Row.Fence, second.Row.Fence)
}

func TestSuspendedHolderHasStopped(t *testing.T) {
	a := holder("a")
	x := a.Next(storelease.Row{}, at(0), 0, true)
	a.Wrote(x, time.Second)
	_, err := a.Check(20 * time.Second)
	must.ErrorIs(t, err, storelease.ErrNotHeld)
}

func TestLowerRankedChallengerWaits(t *testing.T) {
	row := storelease.Row{Holder: "x", Machine: "vm-x", Fence: 4, Until: 5000}
	must.Eq(t, storelease.Wait, holder("b").Next(row, at(5500*time.Millisecond), 0, false).Kind)
	must.Eq(t, storelease.Acquire, holder("b").Next(row, at(6*time.Second), 0, false).Kind)
}

func TestRecentHolderWaitsForTerm(t *testing.T) {
	a, b := holder("a"), holder("b")
	x := a.Next(storelease.Row{}, at(time.Second), 0, true)
	a.Wrote(x, 0)
	released := a.Release(x.Row, at(2*time.Second))
	y := b.Next(released, at(2*time.Second), 0, true)
	must.Eq(t, storelease.Acquire, y.Kind)
	b.Wrote(y, 0)
	again := b.Release(y.Row, at(3*time.Second))
	must.Eq(t, storelease.Wait, a.Next(again, at(3*time.Second), 0, true).Kind)
	must.Eq(t, storelease.Acquire, a.Next(again, at(5*time.Second), 0, true).Kind)
}

func TestRenewalKeepsFence(t *testing.T) {
	a := holder("a")
	x := a.Next(storelease.Row{}, at(0), 0, true)
	a.Wrote(x, time.Second)
	y := a.Next(x.Row, at(time.Second), 2*time.Second, true)
	must.Eq(t, storelease.Renew, y.Kind)
	must.Eq(t, x.Row.Fence, y.Row.Fence)
	must.Eq(t, int64(4000), y.Row.Until)
}
