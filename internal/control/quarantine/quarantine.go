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
	// entryLimit bounds the fingerprints known at once.
	entryLimit = 10_000
	// ReservationTime is how long a reservation holds unless it is renewed, so
	// that one of a daemon that died ends.
	ReservationTime = 5 * time.Second
)

// Standings of a fingerprint.
const (
	// Clear requests run anywhere.
	Clear Standing = iota
	// Suspect requests ran on a server that crashed. They run one at a time,
	// on servers that run no other suspect.
	Suspect
	// Quarantined requests do not run.
	Quarantined
)

// Crash identifies one failure of one server.
type Crash struct {
	Server fleet.ServerID
	// Boot names the run of the server that ended; it may be empty.
	Boot string
}

// Entry is what is known of one fingerprint that is not clear.
type Entry struct {
	Standing Standing
	// Until is when the entry ends, for want of new crashes.
	Until time.Time
	// RunsOn is the server that the fingerprint is reserved on; empty is none.
	RunsOn fleet.ServerID
}

// Quarantine is the decision value. The zero value knows no crash. Its methods
// are not safe for concurrent use.
type Quarantine struct {
	// Policy changes what Strike concludes.
	Policy Policy

	entries map[Fingerprint]*entry
	// reserved maps a server to the one suspect that may run there.
	reserved map[fleet.ServerID]reservation
}

// Policy is how suspects are judged. The zero value is the one in use.
type Policy struct {
	// Together judges a suspect also by crashes while other suspects may have
	// run beside it.
	Together bool
}

// Reservation is the right of a suspect to be the only one on a server.
type Reservation struct {
	Fingerprint Fingerprint
	// Holder is the daemon that runs the suspect.
	Holder netip.AddrPort
	Server fleet.ServerID
}

// Standing is how a fingerprint is treated.
type Standing uint8

// Strike says that a request ran on a server that crashed.
type Strike struct {
	Crash       Crash
	Fingerprint Fingerprint
	// Apart is whether the request held the reservation of the server.
	Apart bool
	// At is when the crash was seen.
	At time.Time
}

type entry struct {
	// crashes holds each crash once; the last one decides until.
	crashes set.Set[Crash]
	// condemned is set by a crash that the fingerprint met apart, after
	// another one. It stays until the entry ends.
	condemned bool
	server    fleet.ServerID
	until     time.Time
}

type reservation struct {
	Reservation
	until time.Time
}

// Accept is Reserve and Renew for the reservation of a peer, which may know of
// a crash that is not yet known here.
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

// Absolve forgets a suspect that ran apart without a crash. It does nothing to
// a quarantined one.
func (q *Quarantine) Absolve(now time.Time, f Fingerprint) {
	q.Free(now, f)
	if e := q.entries[f]; e != nil && !e.condemned {
		delete(q.entries, f)
	}
}

// Busy returns the servers that are reserved for suspects, in order.
func (q *Quarantine) Busy(now time.Time) []fleet.ServerID {
	q.Sweep(now)
	return slices.Sorted(maps.Keys(q.reserved))
}

// Check returns what is known of a fingerprint.
func (q *Quarantine) Check(now time.Time, f Fingerprint) Entry {
	e := q.entries[f]
	if e == nil || clock.Passed(now, e.until) {
		return Entry{}
	}
	return e.export()
}

// Entries returns all that is known, for readers on other goroutines.
func (q *Quarantine) Entries(now time.Time) map[Fingerprint]Entry {
	q.Sweep(now)
	m := make(map[Fingerprint]Entry, len(q.entries))
	for f, e := range q.entries {
		m[f] = e.export()
	}
	return m
}

// Free ends the reservation of a fingerprint.
func (q *Quarantine) Free(_ time.Time, f Fingerprint) {
	e := q.entries[f]
	if e == nil || e.server == "" {
		return
	}
	if q.reserved[e.server].Fingerprint == f {
		delete(q.reserved, e.server)
	}
	e.server = ""
}

// Renew keeps a reservation from ending, and reports whether it still holds.
func (q *Quarantine) Renew(now time.Time, r Reservation) bool {
	q.Sweep(now)
	held, ok := q.reserved[r.Server]
	if !ok || held.Reservation != r {
		return false
	}
	q.reserved[r.Server] = reservation{Reservation: r, until: now.Add(ReservationTime)}
	return true
}

// Reserve asks for a suspect to be the only one on a server, and reports
// whether it is. A suspect has one reservation at a time.
func (q *Quarantine) Reserve(now time.Time, r Reservation) bool {
	q.Sweep(now)
	e := q.entries[r.Fingerprint]
	if e == nil || e.condemned || e.server != "" {
		return false
	}
	if _, taken := q.reserved[r.Server]; taken {
		return false
	}
	if q.reserved == nil {
		q.reserved = make(map[fleet.ServerID]reservation)
	}
	q.reserved[r.Server] = reservation{Reservation: r, until: now.Add(ReservationTime)}
	e.server = r.Server
	return true
}

// Strike counts a crash against a fingerprint and returns its standing. The
// same crash counts once.
func (q *Quarantine) Strike(now time.Time, s Strike) Standing {
	if clock.Passed(now, s.At.Add(Window)) {
		return q.Check(now, s.Fingerprint).Standing
	}
	e := q.entry(now, s.Fingerprint)
	if e == nil {
		return Clear
	}
	known := e.crashes.Len()
	fresh := e.crashes.Add(s.Crash)
	if fresh && known > 0 && (s.Apart || q.Policy.Together) {
		e.condemned = true
	}
	if u := s.At.Add(Window); u.After(e.until) {
		e.until = u
	}
	if s.Apart || e.condemned {
		q.Free(now, s.Fingerprint)
	}
	return e.export().Standing
}

// Condemn quarantines a fingerprint by the word of a peer or of the table.
func (q *Quarantine) Condemn(now time.Time, f Fingerprint, until time.Time) {
	if clock.Passed(now, until) {
		return
	}
	e := q.entry(now, f)
	if e == nil {
		return
	}
	e.condemned = true
	if until.After(e.until) {
		e.until = until
	}
	q.Free(now, f)
}

// Sweep forgets what has ended.
func (q *Quarantine) Sweep(now time.Time) {
	for f, e := range q.entries {
		if clock.Passed(now, e.until) {
			q.Free(now, f)
			delete(q.entries, f)
		}
	}
	for s, r := range q.reserved {
		if clock.Passed(now, r.until) {
			q.Free(now, r.Fingerprint)
			delete(q.reserved, s)
		}
	}
}

// entry returns the entry of a fingerprint, a new one if need be, or nil when
// there are too many.
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
	if e.condemned {
		s = Quarantined
	}
	return Entry{Standing: s, Until: e.until, RunsOn: e.server}
}

// String returns the standing's name.
func (s Standing) String() string {
	switch s {
	case Suspect:
		return "Suspect"
	case Quarantined:
		return "Quarantined"
	default:
		return "Clear"
	}
}
