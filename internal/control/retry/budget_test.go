package retry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

func TestMain(m *testing.M) {
	suite.Main(m)
}

func TestRetryStormStaysWithinBudget(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var b Budget
	const attempts = 10_000
	allowed := 0
	for range attempts {
		now = now.Add(time.Millisecond)
		b.Attempt(now, "a", 0.1)
		for range 3 {
			ok, at := b.Retry(now, "a")
			if ok {
				allowed++
				continue
			}
			must.True(t, at.After(now))
		}
	}
	must.LessEq(t, attempts/10+initialBalance, allowed)
	must.GreaterEq(t, attempts/10-1, allowed)
	ok, _ := b.Retry(now, "other")
	must.True(t, ok, must.Sprint("another workspace has its own budget"))
}

func TestSavedRetriesAreLimited(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var s Shared
	for range 100_000 {
		s.Attempt(now, "a", 0.5)
	}
	n := 0
	for ok := true; ok; n++ {
		ok, _ = s.Retry(now, "a")
	}
	must.Eq(t, maxBalance+1, n)
	s.Attempt(now.Add(time.Hour), "b", 0)
	must.MapLen(t, 1, s.budget.accounts)
}
