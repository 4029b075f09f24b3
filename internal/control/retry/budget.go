// Package retry limits the retries of each workspace to a share of its first
// attempts, so that an outage does not cause a retry storm.
package retry

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

const (
	// initialBalance is the number of retries that a workspace may make before
	// any first attempt has been counted.
	initialBalance = 3
	// maxBalance bounds the saved retries, so that a long period without
	// failures does not permit a retry storm.
	maxBalance = 50
	// idleAfter is how long an unused account is kept.
	idleAfter = 10 * time.Minute
)

// Budget holds the retries that each workspace may make. The zero value is
// ready. It is not safe for concurrent use.
type Budget struct {
	accounts map[fleet.Workspace]*account
	// sweepAt is when idle accounts are dropped next.
	sweepAt time.Time
}

// account is the budget of one workspace.
type account struct {
	// balance is the number of retries left, between 0 and maxBalance. Attempts
	// add fractions of a retry.
	balance float64
	// idleAt is when the account may be dropped.
	idleAt time.Time
}

// Attempt records a first attempt, which adds share retries to the budget.
func (b *Budget) Attempt(now time.Time, w fleet.Workspace, share float64) {
	a := b.account(now, w)
	a.balance = min(a.balance+max(share, 0), maxBalance)
}

// Retry takes one retry from the budget. If there is none, it returns false and
// the time at which to ask again.
func (b *Budget) Retry(now time.Time, w fleet.Workspace) (bool, time.Time) {
	a := b.account(now, w)
	if a.balance < 1 {
		return false, now.Add(time.Second)
	}
	a.balance--
	return true, time.Time{}
}

func (b *Budget) account(now time.Time, w fleet.Workspace) *account {
	b.sweep(now)
	if b.accounts == nil {
		b.accounts = make(map[fleet.Workspace]*account)
	}
	a := b.accounts[w]
	if a == nil {
		a = &account{balance: initialBalance}
		b.accounts[w] = a
	}
	a.idleAt = now.Add(idleAfter)
	return a
}

// sweep drops the idle accounts, at most once per idleAfter.
func (b *Budget) sweep(now time.Time) {
	if !clock.Passed(now, b.sweepAt) {
		return
	}
	b.sweepAt = now.Add(idleAfter)
	for w, a := range b.accounts {
		if clock.Passed(now, a.idleAt) {
			delete(b.accounts, w)
		}
	}
}
