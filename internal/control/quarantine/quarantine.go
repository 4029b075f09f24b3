package quarantine

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
)

const (
	// Window is how long a crash counts against a request.
	Window = 10 * time.Minute
	// entryLimit limits the number of fingerprints tracked at once.
	entryLimit = 10_000
	// ReservationTime is the duration of a reservation that is not renewed. It
	// ends the reservations of a daemon that died.
	ReservationTime = 5 * time.Second
)

// Status values of a fingerprint.
const (
	// Clear requests may run on any server.
	Clear Status = iota
	// Suspect requests ran on a server that crashed. Each runs one at a time,
	// on a server that runs no other suspect.
	Suspect
	// Quarantined requests must not run.
	Quarantined
)

// Crash identifies one crash of one server.
type Crash struct {
	Server fleet.ServerID
	// Boot identifies the boot of the server that crashed; it may be empty.
	Boot string
}

// Entry is the status of a fingerprint, with its expiry and reservation.
type Entry struct {
	Status Status
	// Until is when the entry expires unless there are new crashes.
	Until time.Time
	// ReservedOn is the server that is reserved for the fingerprint; empty if
	// none.
	ReservedOn fleet.ServerID
}

// Quarantine tracks crashes and decides which requests may run. The zero value
// contains no crash. It is not safe for concurrent use.
type Quarantine struct {
	// Policy determines when a crash quarantines a suspect.
	Policy Policy

	entries map[Fingerprint]*entry
	// reserved maps a server to the reservation of the only suspect that may
	// run there.
	reserved map[fleet.ServerID]reservation
}

// Policy determines which crashes count against a suspect. Production uses the
// zero value.
type Policy struct {
	// SharedCrashes also counts crashes while other suspects may have run on
	// the same server.
	SharedCrashes bool
}

// Reservation is the exclusive right of a suspect to run on a server, without
// other suspects.
type Reservation struct {
	Fingerprint Fingerprint
	// Holder is the daemon that runs the suspect.
	Holder netip.AddrPort
	Server fleet.ServerID
}

// Status classifies a fingerprint as clear, suspect or quarantined.
type Status uint8

// CrashReport reports that a request ran on a server that crashed.
type CrashReport struct {
	Crash       Crash
	Fingerprint Fingerprint
	// Isolated is whether the request held the reservation of the server, so
	// that no other suspect ran there.
	Isolated bool
	// At is when the crash was detected.
	At time.Time
}

type entry struct {
	// crashes contains each crash once; the latest one determines until.
	crashes set.Set[Crash]
	// quarantined is set by MarkQuarantined, or by a second crash that happens
	// while the fingerprint holds the reservation of the server or that counts
	// by Policy.SharedCrashes. It is kept until the entry expires.
	quarantined bool
	// reservedOn is the reserved server; empty if none.
	reservedOn fleet.ServerID
	until      time.Time
}

type reservation struct {
	Reservation
	until time.Time
}

// Accept renews or makes a reservation on behalf of a peer, and reports whether
// it is in effect. The peer may know of a crash that has not been reported here,
// so an unknown fingerprint becomes a suspect.
func (q *Quarantine) Accept(now time.Time, r Reservation) bool {
	e := q.entry(now, r.Fingerprint)
	if e == nil {
		return false
	}
	if e.until.IsZero() {
		e.until = now.Add(Window)
	}
	return q.Renew(now, r) || q.Reserve(now, r)
}

// ClearSuspect removes the entry of a suspect that ran without other suspects
// and without a crash. A quarantined fingerprint stays quarantined; only its
// reservation ends.
func (q *Quarantine) ClearSuspect(now time.Time, f Fingerprint) {
	q.Release(now, f)
	if e := q.entries[f]; e != nil && !e.quarantined {
		delete(q.entries, f)
	}
}

// ReservedServers returns the servers that are reserved for suspects, ordered
// by ID.
func (q *Quarantine) ReservedServers(now time.Time) []fleet.ServerID {
	q.Sweep(now)
	return slices.Sorted(maps.Keys(q.reserved))
}

// Check returns the entry of a fingerprint, which is zero if it is clear.
func (q *Quarantine) Check(now time.Time, f Fingerprint) Entry {
	e := q.entries[f]
	if e == nil || clock.Passed(now, e.until) {
		return Entry{}
	}
	return e.export()
}

// Entries returns a copy of all entries, for readers on other goroutines.
func (q *Quarantine) Entries(now time.Time) map[Fingerprint]Entry {
	q.Sweep(now)
	m := make(map[Fingerprint]Entry, len(q.entries))
	for f, e := range q.entries {
		m[f] = e.export()
	}
	return m
}

// Release ends the reservation of a fingerprint.
func (q *Quarantine) Release(_ time.Time, f Fingerprint) {
	e := q.entries[f]
	if e == nil || e.reservedOn == "" {
		return
	}
	if q.reserved[e.reservedOn].Fingerprint == f {
		delete(q.reserved, e.reservedOn)
	}
	e.reservedOn = ""
}

// Renew extends a reservation, and reports whether it was still in effect.
func (q *Quarantine) Renew(now time.Time, r Reservation) bool {
	q.Sweep(now)
	held, ok := q.reserved[r.Server]
	if !ok || held.Reservation != r {
		return false
	}
	q.reserved[r.Server] = reservation{Reservation: r, until: now.Add(ReservationTime)}
	return true
}

// Reserve reserves a server for a suspect, and reports whether it succeeded. A
// suspect has at most one reservation at a time.
func (q *Quarantine) Reserve(now time.Time, r Reservation) bool {
	q.Sweep(now)
	e := q.entries[r.Fingerprint]
	if e == nil || e.quarantined || e.reservedOn != "" {
		return false
	}
	if _, taken := q.reserved[r.Server]; taken {
		return false
	}
	if q.reserved == nil {
		q.reserved = make(map[fleet.ServerID]reservation)
	}
	q.reserved[r.Server] = reservation{Reservation: r, until: now.Add(ReservationTime)}
	e.reservedOn = r.Server
	return true
}

// RecordCrash counts a crash against a fingerprint and returns the resulting
// status. The same crash counts only once; a crash older than Window does not
// count.
func (q *Quarantine) RecordCrash(now time.Time, r CrashReport) Status {
	if clock.Passed(now, r.At.Add(Window)) {
		return q.Check(now, r.Fingerprint).Status
	}
	e := q.entry(now, r.Fingerprint)
	if e == nil {
		return Clear
	}
	known := e.crashes.Len()
	fresh := e.crashes.Add(r.Crash)
	if fresh && known > 0 && (r.Isolated || q.Policy.SharedCrashes) {
		e.quarantined = true
	}
	if u := r.At.Add(Window); u.After(e.until) {
		e.until = u
	}
	if r.Isolated || e.quarantined {
		q.Release(now, r.Fingerprint)
	}
	return e.export().Status
}

// MarkQuarantined quarantines a fingerprint until the given time or longer, as
// reported by a peer or recorded in the table, and ends its reservation.
func (q *Quarantine) MarkQuarantined(now time.Time, f Fingerprint, until time.Time) {
	if clock.Passed(now, until) {
		return
	}
	e := q.entry(now, f)
	if e == nil {
		return
	}
	e.quarantined = true
	if until.After(e.until) {
		e.until = until
	}
	q.Release(now, f)
}

// Sweep removes expired entries and reservations.
func (q *Quarantine) Sweep(now time.Time) {
	for f, e := range q.entries {
		if clock.Passed(now, e.until) {
			q.Release(now, f)
			delete(q.entries, f)
		}
	}
	for s, r := range q.reserved {
		if clock.Passed(now, r.until) {
			q.Release(now, r.Fingerprint)
			delete(q.reserved, s)
		}
	}
}

// entry returns the entry of a fingerprint. It creates one if there is none,
// and returns nil if there are entryLimit unexpired entries.
func (q *Quarantine) entry(now time.Time, f Fingerprint) *entry {
	if e := q.entries[f]; e != nil {
		return e
	}
	if len(q.entries) >= entryLimit {
		q.Sweep(now)
	}
	if len(q.entries) >= entryLimit {
		return nil
	}
	if q.entries == nil {
		q.entries = make(map[Fingerprint]*entry)
	}
	e := &entry{}
	q.entries[f] = e
	return e
}

func (e *entry) export() Entry {
	s := Suspect
	if e.quarantined {
		s = Quarantined
	}
	return Entry{Status: s, Until: e.until, ReservedOn: e.reservedOn}
}

// String returns the name of the status.
func (s Status) String() string {
	switch s {
	case Suspect:
		return "Suspect"
	case Quarantined:
		return "Quarantined"
	default:
		return "Clear"
	}
}
