// Package view decides whether a daemon's picture of the agreed facts is fresh
// enough to act on.
package view

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
)

// Source gives traffic goroutines the newest state.
type Source interface {
	// State returns the newest state, never nil.
	State() *State
}

// State is an immutable copy of the view for traffic goroutines.
type State struct {
	// Config is the newest revision known, never nil.
	Config *config.Snapshot
	// ConfirmedUntil is when the view stops being confirmed unless new
	// evidence arrives, which makes a new State.
	ConfirmedUntil time.Time
	// Members are the live daemons of the fleet, this one included, in the
	// order of their addresses.
	Members []fleet.Member
	// Servers are the backend servers known, leaving ones included.
	Servers []fleet.Server
	// Superseded is closed when a newer State exists.
	Superseded <-chan struct{}
}

// Confirmed reports whether keyed work may go on at now.
func (s *State) Confirmed(now time.Time) bool {
	return !clock.Passed(now, s.ConfirmedUntil)
}
