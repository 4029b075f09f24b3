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
	// holdWindow is how long the ledger counts a share as spent; it is longer
	// than ShareWindow, which the daemon counts from before it asked.
	holdWindow = ShareWindow + time.Second
	// floorPart is the part of an equal share that a daemon with no demand
	// gets, so that its first requests need not wait for a round.
	floorPart = 0.1
)

// Ledger divides limits among daemons. One daemon keeps the ledger of a limit; when it changes, the new one gives equal shares
// until the old one's have run out. The zero value is ready. Its methods are
// called by one goroutine.
type Ledger struct {
	accounts map[Key]*ledgerAccount
}

// Key names one limit of one workspace.
type Key struct {
	Workspace fleet.Workspace
	Setting   config.Setting
}

type ledgerAccount struct {
	// equalUntil is when shares that another ledger gave have run out.
	equalUntil time.Time
	// holders are the daemons whose shares have not run out.
	holders map[fleet.MemberID]holder
}

type holder struct {
	demand float64
	// given are the shares that may still be spent: an answer may be lost,
	// so an older and larger one counts until it has run out.
	given []given
}

// given is one share given out.
type given struct {
	// part is of the limit, from 0 to 1.
	part  float64
	until time.Time
}

// Ask records a daemon's demand and returns its share of the limit, from 0 to 1. members is the number of daemons that may spend.
//
// A daemon is never refused its fair share up to an equal share. What exceeds
// that is given only as far as the shares of the others, and an equal share for
// each daemon that has none, leave it free. So the shares add up to 1 once each
// daemon has asked, and to less than 2 while others may still spend older ones.
func (l *Ledger) Ask(now time.Time, k Key, m fleet.MemberID, demand float64, members int) float64 {
	a := l.account(now, k)
	a.age(now)
	h := a.holders[m]
	h.demand = max(demand, 0)
	a.holders[m] = h
	equal := 1 / float64(max(members, len(a.holders), 1))
	share := equal
	if clock.Passed(now, a.equalUntil) {
		share = a.fair(m, equal)
	}
	share = min(share, max(a.free(m, members, equal), equal))
	h.given = append(h.given, given{part: share, until: now.Add(holdWindow)})
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

// age drops shares that have run out, and daemons that have none.
func (a *ledgerAccount) age(now time.Time) {
	for id, h := range a.holders {
		h.given = slices.DeleteFunc(h.given, func(g given) bool { return clock.Passed(now, g.until) })
		if len(h.given) == 0 {
			delete(a.holders, id)
			continue
		}
		a.holders[id] = h
	}
}

// fair returns the share that follows demand: a small floor for each daemon
// heard, and the rest by demand.
func (a *ledgerAccount) fair(m fleet.MemberID, equal float64) float64 {
	sum := 0.0
	for _, h := range a.holders {
		sum += h.demand
	}
	if sum == 0 {
		return equal
	}
	heard := float64(len(a.holders)) * equal
	floor := equal * floorPart
	rest := heard - floor*float64(len(a.holders))
	return floor + rest*a.holders[m].demand/sum
}

// free returns what is left for m when the shares of the others, and an equal
// share for each daemon not heard, are taken off.
func (a *ledgerAccount) free(m fleet.MemberID, members int, equal float64) float64 {
	left := 1 - float64(max(members-len(a.holders), 0))*equal
	for id, h := range a.holders {
		if id != m {
			left -= h.most()
		}
	}
	return max(left, 0)
}

// most returns the largest share that may still be spent.
func (h *holder) most() float64 {
	m := 0.0
	for _, g := range h.given {
		m = max(m, g.part)
	}
	return m
}
