package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	key   = Key{Workspace: "a", Setting: "RequestsPerSecond"}
)

func TestMain(m *testing.M) {
	suite.Main(m)
}

func member(i int) fleet.MemberID {
	return fleet.MemberID{Incarnation: fleet.Incarnation(fmt.Sprint(i))}
}

func TestSharesFollowDemand(t *testing.T) {
	var l Ledger
	now := start
	var shares [4]float64
	for range 20 {
		now = now.Add(time.Second)
		for i := range shares {
			shares[i] = l.Ask(now, key, member(i), float64(10*i), 4)
		}
	}
	must.InDelta(t, 0.025, shares[0], 0.001)
	must.InDelta(t, 0.475, shares[3], 0.001)
}

// TestNewDaemonHasEqualShare adds a daemon to two that hold the complete limit:
// it gets an equal share at once, and the others do after some rounds.
func TestNewDaemonHasEqualShare(t *testing.T) {
	var l Ledger
	now := start
	for range 10 {
		now = now.Add(time.Second)
		for i := range 2 {
			l.Ask(now, key, member(i), 100, 2)
		}
	}
	for n := range 15 {
		now = now.Add(time.Second)
		for i := range 3 {
			share := l.Ask(now, key, member(i), 100, 3)
			if i == 2 || n >= 10 {
				must.Between(t, 0.3, share, 0.4, must.Sprintf("daemon %d in round %d", i, n))
			}
		}
	}
}

func TestIsolatedDaemonHasEqualShare(t *testing.T) {
	var s Share
	must.Eq(t, 0.25, s.Fraction(start, 4))
	s.SetFraction(start, 0.7)
	must.Eq(t, 0.7, s.Fraction(start.Add(ShareWindow-1), 4))
	must.Eq(t, 0.25, s.Fraction(start.Add(ShareWindow), 4))
}

func TestBucket(t *testing.T) {
	var b Bucket
	n := 0
	now := start
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if ok, at := b.Take(now, 20, 1); ok {
			n++
		} else {
			must.True(t, at.After(now))
		}
	}
	must.Between(t, 200, n, 241)
	ok, _ := b.Take(now.Add(time.Minute), 20, 1000)
	must.True(t, ok, must.Sprint("more than the capacity is taken from a full bucket"))
	ok, _ = b.Take(now.Add(61*time.Second), 20, 1)
	must.False(t, ok, must.Sprint("the deficit has to be refilled first"))
	ok, _ = b.Take(now, 0, 1)
	must.False(t, ok)
}

// TestSumOfShares loses random answers of a ledger to its daemons. The shares that
// are larger than an equal one never add up to more than the limit, and neither
// do all shares once each daemon has received two answers.
func TestSumOfShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const members = 5
		const equal = 1.0 / members
		var l Ledger
		var shares [members]Share
		var demand [members]float64
		now := start.Add(time.Hour)
		sums := func() (sum, large float64) {
			for j := range shares {
				f := shares[j].Fraction(now, members)
				sum += f
				if f > equal {
					large += f
				}
			}
			return sum, large
		}
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, members-1).Draw(t, "daemon")
			sent := now.Add(-time.Duration(rapid.IntRange(0, 900).Draw(t, "delay")) * time.Millisecond)
			demand[i] = rapid.Float64Range(0, 100).Draw(t, "demand")
			share := l.Ask(now, key, member(i), demand[i], members)
			if rapid.Bool().Draw(t, "answered") {
				shares[i].SetFraction(sent, share)
			}
			_, large := sums()
			must.LessEq(t, 1+1e-9, large)
		}
		for range 2 {
			now = now.Add(time.Second)
			for i := range shares {
				shares[i].SetFraction(now, l.Ask(now, key, member(i), demand[i], members))
			}
		}
		sum, _ := sums()
		must.LessEq(t, 1+1e-9, sum)
	})
}

// TestMemberChangesKeepEqualShares replaces a third of the daemons at once: no
// daemon with demand ever has less than an equal share.
func TestMemberChangesKeepEqualShares(t *testing.T) {
	var l Ledger
	now := start
	round := func(members int, ids ...int) {
		now = now.Add(time.Second)
		for _, id := range ids {
			share := l.Ask(now, key, member(id), 100, members)
			must.GreaterEq(t, 1.0/9-1e-9, share, must.Sprintf("daemon %d after %v", id, now.Sub(start)))
		}
	}
	for range 6 {
		round(9, 0, 1, 2, 3, 4, 5, 6, 7, 8)
	}
	for range 6 {
		round(6, 0, 1, 2, 3, 4, 5)
	}
	for range 10 {
		round(9, 0, 1, 2, 3, 4, 5, 16, 17, 18)
	}
}
