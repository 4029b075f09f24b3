// Package view decides whether a daemon's copy of the configuration and of the
// member set is recent enough to act on.
package view

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
)

// Source provides the newest state to the goroutines that serve traffic.
type Source interface {
	// State returns the newest state, never nil.
	State() *State
}

// State is an immutable copy of the view for the goroutines that serve traffic.
type State struct {
	// Config is the newest revision that the daemon has adopted, never nil.
	Config *config.Snapshot
	// ConfirmedUntil is when the view stops being confirmed. Newer evidence
	// that extends it is published in a new State.
	ConfirmedUntil time.Time
	// Members are the live daemons of the fleet, including this one, ordered
	// by address.
	Members []fleet.Member
	// Servers are the known backend servers, including those that are leaving.
	Servers []fleet.Server
	// Superseded is closed when a newer State exists.
	Superseded <-chan struct{}
}

// Confirmed reports whether the view is confirmed at now, so that requests with
// a key may be processed.
func (s *State) Confirmed(now time.Time) bool {
	return !clock.Passed(now, s.ConfirmedUntil)
}
