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
	// Rejected is whether the peer rejects the reservation.
	Rejected bool `msgpack:"Taken"`
	// Status is the status of the fingerprint at the peer.
	Status quarantine.Status `msgpack:"Standing"`
}

// message is the body of a call of wire.KindSuspect.
type message struct {
	Kind        messageKind
	Fingerprint quarantine.Fingerprint
	// Server is the server that crashed or is reserved. Boot identifies the
	// boot of the server that crashed.
	Server fleet.ServerID
	Boot   string
	// Holder is the daemon that holds the reservation.
	Holder netip.AddrPort
	// Isolated is whether the request held the server's reservation.
	Isolated bool `msgpack:"Apart"`
	// Age is the time since the crash was detected.
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
