// Package suspect shares suspects among the daemons: requests that ran on a
// backend server when it crashed.
package suspect

import (
	"net/netip"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
)

// Kinds of message.
const (
	kindClear messageKind = iota + 1
	kindRelease
	kindReserve
	kindCrash
)

// answer is a peer's answer to a message.
type answer struct {
	// Taken is whether the peer rejects the reservation.
	Taken bool
	// Standing is the status of the fingerprint at the peer.
	Standing quarantine.Status
}

// message is the body of a call of wire.KindSuspect.
type message struct {
	Kind        messageKind
	Fingerprint quarantine.Fingerprint
	// Server is the server that crashed or is reserved. Boot is the run of the
	// server that crashed.
	Server fleet.ServerID
	Boot   string
	// Holder is the daemon that holds the reservation.
	Holder netip.AddrPort
	// Apart is whether the request held the server's reservation.
	Apart bool
	// Age is how long ago the crash was seen.
	Age time.Duration
}

type messageKind uint8

// row is the value of a quarantined fingerprint's row in the table.
type row struct {
	Fingerprint quarantine.Fingerprint
	// Until is when the quarantine ends, by the clock of the daemon that wrote
	// the row.
	Until time.Time
}
