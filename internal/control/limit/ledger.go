package limit

import (
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
)

const (
	// ShareWindow is how long a daemon may spend a share after it asked for
	// it.
	ShareWindow = 3 * time.Second
	// holdWindow is how long the ledger counts a share as in use. It is longer
	// than ShareWindow, which the daemon measures from before it asked.
	holdWindow = ShareWindow + time.Second
	// floorFraction is the fraction of an equal share that a daemon without
	// demand gets, so that its first requests need not wait for the next ask.
	floorFraction = 0.1
)

// Ledger divides limits among daemons. One daemon keeps the ledger of a limit.
// After a change of that daemon, the new ledger gives equal shares until those of
// the old one have expired. The zero value is ready. It is not safe for
// concurrent use.
type Ledger struct {
	accounts map[Key]*ledgerAccount
}

// Key identifies a limit of a workspace.
type Key struct {
	Workspace fleet.Workspace
	Setting   config.Setting
}

// ledgerAccount is the state of one limit.
type ledgerAccount struct {
	// equalUntil is when all shares given by a previous ledger have expired.
	equalUntil time.Time
	// holders are the daemons with shares that have not expired.
	holders map[fleet.MemberID]holder
}

// holder is a daemon with shares of a limit.
type holder struct {
	// demand is the rate of spending requested of the daemon, per second.
	demand float64
	// allocations are the shares that may still be spent. An answer may be
	// lost, so an older and larger share counts until it has expired.
	allocations []allocation
}

// allocation is a share given to a daemon.
type allocation struct {
	// fraction is the fraction of the limit, from 0 to 1.
	fraction float64
	until    time.Time
}

// Ask records a daemon's demand and returns its share of the limit, from 0 to 1.
// members is the number of daemons that may spend.
//
// A daemon always gets its fair share up to an equal share. More than that is
// given only as far as it is left free by the shares of the others and an equal
// share for each daemon that has none. So the shares add up to at most 1 once
// each daemon has asked, and to less than 2 while daemons may still spend older
// shares.
func (l *Ledger) Ask(now time.Time, k Key, m fleet.MemberID, demand float64, members int) float64 {
	a := l.account(now, k)
	a.dropExpired(now)
	h := a.holders[m]
	h.demand = max(demand, 0)
	a.holders[m] = h
	equal := 1 / float64(max(members, len(a.holders), 1))
	share := equal
	if clock.Passed(now, a.equalUntil) {
		share = a.fairShare(m, equal)
	}
	share = min(share, max(a.freeShare(m, members, equal), equal))
	h.allocations = append(h.allocations, allocation{fraction: share, until: now.Add(holdWindow)})
	a.holders[m] = h
	return share
}

func (l *Ledger) account(now time.Time, k Key) *ledgerAccount {
	if l.accounts == nil {
		l.accounts = make(map[Key]*ledgerAccount)
	}
	a := l.accounts[k]
	if a == nil {
		a = &ledgerAccount{equalUntil: now.Add(holdWindow), holders: make(map[fleet.MemberID]holder)}
		l.accounts[k] = a
	}
	return a
}

// dropExpired drops expired shares, and daemons without a share.
func (a *ledgerAccount) dropExpired(now time.Time) {
	for id, h := range a.holders {
		h.allocations = slices.DeleteFunc(h.allocations, func(g allocation) bool { return clock.Passed(now, g.until) })
		if len(h.allocations) == 0 {
			delete(a.holders, id)
			continue
		}
		a.holders[id] = h
	}
}

// fairShare returns the share of m that follows demand: a small floor for each
// daemon that has asked, and the remainder in proportion to demand.
func (a *ledgerAccount) fairShare(m fleet.MemberID, equal float64) float64 {
	sum := 0.0
	for _, h := range a.holders {
		sum += h.demand
	}
	if sum == 0 {
		return equal
	}
	total := float64(len(a.holders)) * equal
	floor := equal * floorFraction
	rest := total - floor*float64(len(a.holders))
	return floor + rest*a.holders[m].demand/sum
}

// freeShare returns the fraction of the limit that is left for m after the shares
// of the others and an equal share for each daemon that has not asked.
func (a *ledgerAccount) freeShare(m fleet.MemberID, members int, equal float64) float64 {
	left := 1 - float64(max(members-len(a.holders), 0))*equal
	for id, h := range a.holders {
		if id != m {
			left -= h.maxShare()
		}
	}
	return max(left, 0)
}

// maxShare returns the holder's largest share that may still be spent.
func (h *holder) maxShare() float64 {
	m := 0.0
	for _, g := range h.allocations {
		m = max(m, g.fraction)
	}
	return m
}
