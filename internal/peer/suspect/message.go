// Package suspect tells the daemons of each other's suspects: requests that ran
// on a server when it crashed.
package suspect

import (
	"net/netip"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
)

// Kinds of message.
const (
	kindAbsolve messageKind = iota + 1
	kindFree
	kindReserve
	kindStrike
)

// answer is what a peer says to a message.
type answer struct {
	// Taken says that a reservation is not to be had.
	Taken bool
	// Standing is the fingerprint's at the peer.
	Standing quarantine.Status
}

// message is the body of a call of wire.KindSuspect.
type message struct {
	Kind        messageKind
	Fingerprint quarantine.Fingerprint
	// Server and Boot are of the crash, or of the reservation.
	Server fleet.ServerID
	Boot   string
	// Holder is of the reservation.
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
	// Until is by the clock of the daemon that wrote it.
	Until time.Time
}
