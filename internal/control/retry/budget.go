// Package retry bounds the retries of each workspace by a share of its first
// attempts, so that an outage is not followed by a storm of retries.
package retry

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

const (
	// reserve is the number of retries that a workspace may make before any
	// first attempt has been counted.
	reserve = 3
	// most bounds the retries saved up, so that a long calm does not pay for
	// a storm.
	most = 50
	// idleAfter is how long an unused account is kept.
	idleAfter = 10 * time.Minute
)

// Budget is the decision value. The zero value is ready. Its methods are
// called by one goroutine.
type Budget struct {
	accounts map[fleet.Workspace]*account
	// sweepAt is when idle accounts are looked for next.
	sweepAt time.Time
}

type account struct {
	// balance is between 0 and most.
	balance float64
	// idleAt is when the account may be dropped.
	idleAt time.Time
}

// Attempt counts a first attempt, which earns share retries.
func (b *Budget) Attempt(now time.Time, w fleet.Workspace, share float64) {
	a := b.account(now, w)
	a.balance = min(a.balance+max(share, 0), most)
}

// Retry takes one retry from the budget. When there is none it returns false
// and the instant to come back at.
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
		a = &account{balance: reserve}
		b.accounts[w] = a
	}
	a.idleAt = now.Add(idleAfter)
	return a
}

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
