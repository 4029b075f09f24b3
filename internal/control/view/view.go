package view

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/member"
)

// ContactWindow is how long a contact counts.
const ContactWindow = 2 * time.Second

const (
	// AgeUnit is the unit of an Age.
	AgeUnit = 20 * time.Millisecond
	// NoContact is the Age of a member that was not heard of lately.
	NoContact Age = 255
)

const (
	// PingEvery is the time between two decisions on pings.
	PingEvery = 200 * time.Millisecond
	// calmSilent is of how many members one may be silent for pings to be calm.
	calmSilent = 4
	// calmTicks is how many PingEvery apart pings are while nothing presses.
	calmTicks = 2
	// silentAfter is how old the newest word of a member that answers may be.
	// It is longer than ContactWindow, so that whom a daemon asks does not
	// change with each late word.
	silentAfter = 4 * time.Second
	// urgentLeft is how soon a view must lapse for pings to be urgent. Reads of
	// the table keep more than that.
	urgentLeft = time.Second
	// urgentPings is how many pings go out at once then.
	urgentPings = 3
)

// probeEvery is how many pings are sent for one to a member that does not
// answer.
const probeEvery = 5

// Age is how long ago a member was heard of, in units of AgeUnit, rounded up.
// It is counted from before the contact was sought.
type Age uint8

// Echo is a daemon's answer to a ping.
type Echo struct {
	// Member is the daemon itself.
	Member fleet.Member
	// Held is what the daemon has taken over.
	Held member.HeldRevisions
	// Known is the newest of each that it has heard of.
	Known member.HeldRevisions
	// Epochs are the newest epochs that it has heard of in its region.
	Epochs []Epoch
	// Ages gives, for each member of the set Held.Set in order, how long ago
	// the daemon heard of it. It is empty when there is nothing to pass on.
	Ages []byte
}

// Epoch is the newest epoch of a duty.
type Epoch struct {
	Duty  fleet.Duty
	Epoch fleet.Epoch
}

// Lack is what a View has heard of and does not hold.
type Lack struct {
	// Config and Set are the revisions to fetch, 0 for none.
	Config fleet.ConfigRevision
	Set    member.Revision
}

// View decides how long a daemon may rely on the facts that it holds. The zero
// value holds nothing and is never confirmed; Self and Region are set before
// use.
//
// It is confirmed for ContactWindow from the newest instant of which one of
// these holds: the table's head was asked for then, and its configuration is
// held; or a majority of the members was asked later than that, and everything
// they named is held. An instant of contact is when the asking began on this
// daemon's clock, never when an answer arrived: what a delayed answer says may
// have been overtaken.
type View struct {
	Self   fleet.Member
	Region fleet.Region
	// contacts holds for each daemon the latest instant at or after which it
	// stated what it knew, all of which is in known.
	contacts map[fleet.MemberID]time.Time
	// confirmedAt never moves back.
	confirmedAt time.Time
	epochs      map[fleet.Duty]fleet.Epoch
	held        member.HeldRevisions
	// known is at least held, in each kind.
	known member.HeldRevisions
	set   member.Set
	// ticks counts the calls of Pings.
	ticks int
	// picks counts the targets picked.
	picks int
}

// ConfirmedUntil returns when the view stops being confirmed.
func (v *View) ConfirmedUntil() time.Time {
	if v.confirmedAt.IsZero() {
		return time.Time{}
	}
	return v.confirmedAt.Add(ContactWindow)
}

// Contacts returns the daemons heard of within the last d.
func (v *View) Contacts(now time.Time, d time.Duration) []fleet.MemberID {
	var ids []fleet.MemberID
	for id, at := range v.contacts {
		if clock.Elapsed(at, now) < d {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, member.Compare)
	return ids
}

// Echo returns the daemon's own answer to a ping.
func (v *View) Echo(now time.Time) Echo {
	e := Echo{Member: v.Self, Held: v.held, Known: v.known, Epochs: v.Epochs()}
	if len(v.contacts) == 0 {
		return e
	}
	e.Ages = make([]byte, len(v.set.Members))
	for i, m := range v.set.Members {
		e.Ages[i] = byte(v.age(now, m.ID))
	}
	return e
}

// Epoch returns the newest epoch heard of for a duty of the region.
func (v *View) Epoch(d fleet.Duty) fleet.Epoch {
	return v.epochs[d]
}

// Epochs returns the newest epochs heard of, ordered by duty.
func (v *View) Epochs() []Epoch {
	es := make([]Epoch, 0, len(v.epochs))
	for d, e := range v.epochs {
		es = append(es, Epoch{Duty: d, Epoch: e})
	}
	slices.SortFunc(es, func(a, b Epoch) int { return cmp.Compare(a.Duty, b.Duty) })
	return es
}

// Heard takes the answer to a ping that was sent at sentAt. From another region
// only the configuration counts: sets and epochs belong to a region.
func (v *View) Heard(now, sentAt time.Time, e Echo) {
	if e.Member.Region != v.Region {
		v.hear(member.HeldRevisions{Config: e.Known.Config})
		return
	}
	v.hear(e.Known)
	v.hear(e.Held)
	for _, p := range e.Epochs {
		v.HeardEpoch(p.Duty, p.Epoch)
	}
	v.contact(now, e.Member.ID, sentAt)
	if e.Held.Set == v.set.Revision && len(e.Ages) == len(v.set.Members) {
		v.passOn(now, sentAt, e.Ages)
	}
	v.confirm(now)
}

// HeardEpoch takes an epoch seen in the table or named by a peer.
func (v *View) HeardEpoch(d fleet.Duty, e fleet.Epoch) {
	if v.epochs == nil {
		v.epochs = make(map[fleet.Duty]fleet.Epoch)
	}
	v.epochs[d] = max(v.epochs[d], e)
}

// Held returns what the view has taken over.
func (v *View) Held() member.HeldRevisions {
	return v.held
}

// Known returns the newest heard of.
func (v *View) Known() member.HeldRevisions {
	return v.known
}

// Lacks returns what must be fetched for the view to be confirmed again.
func (v *View) Lacks() Lack {
	var l Lack
	if v.known.Config > v.held.Config {
		l.Config = v.known.Config
	}
	if v.known.Set > v.held.Set {
		l.Set = v.known.Set
	}
	return l
}

// Pick returns the member to ping next: one that answers, and now and then one
// that does not, chosen by r. It is false when there is no other member.
//
// Those that answer are taken at distances of 1, 2, 4 and so on around the set,
// in turn. What members pass on so reaches all in as many pings as the distances
// that there are, as with members chosen at random; and a daemon keeps
// connections to few.
func (v *View) Pick(now time.Time, r *rand.Rand) (fleet.Member, bool) {
	var ring, silent []fleet.Member
	self := 0
	for _, m := range v.set.Members {
		switch {
		case m.ID == v.Self.ID:
			self = len(ring)
			ring = append(ring, m)
		case v.silent(now, m.ID):
			silent = append(silent, m)
		default:
			ring = append(ring, m)
		}
	}
	if !v.set.Contains(v.Self.ID) {
		ring = append([]fleet.Member{v.Self}, ring...)
	}
	v.picks++
	alone := len(ring) == 1
	if alone && len(silent) == 0 {
		return fleet.Member{}, false
	}
	if alone || len(silent) > 0 && v.picks%probeEvery == 0 {
		return silent[r.IntN(len(silent))], true
	}
	distances := bits.Len(uint(len(ring) - 1))
	distance := 1 << (v.picks % distances)
	return ring[(self+distance)%len(ring)], true
}

// Pings returns how many pings to send at now, when asked once each PingEvery:
// several when the view is about to lapse, and fewer than one each time when the
// table confirms and most members answer.
func (v *View) Pings(now time.Time) int {
	v.ticks++
	if clock.Elapsed(now, v.ConfirmedUntil()) < urgentLeft {
		return urgentPings
	}
	if v.mostHeard(now) && v.ticks%calmTicks != 0 {
		return 0
	}
	return 1
}

// Set returns the set held.
func (v *View) Set() member.Set {
	return v.set
}

// TableRead takes the newest revisions that a read of the table, begun at
// sentAt, has given.
func (v *View) TableRead(now, sentAt time.Time, head member.HeldRevisions) {
	v.hear(head)
	if v.held.Config >= head.Config {
		v.advance(now, sentAt)
	}
	v.confirm(now)
}

// Tick lets the view be confirmed by the daemon itself, when it is the majority
// of its region.
func (v *View) Tick(now time.Time) {
	v.confirm(now)
}

// Told takes revisions that someone has named without proving a contact, for
// example the asker of a ping.
func (v *View) Told(h member.HeldRevisions) {
	v.hear(h)
}

// TookConfig takes over a configuration.
func (v *View) TookConfig(now time.Time, r fleet.ConfigRevision) {
	v.held.Config = max(v.held.Config, r)
	v.hear(member.HeldRevisions{Config: r})
	v.confirm(now)
}

// TookSet takes over a set, unless a newer one is held.
func (v *View) TookSet(now time.Time, s member.Set) {
	if s.Revision <= v.held.Set {
		return
	}
	v.set = s
	v.held.Set = s.Revision
	v.hear(member.HeldRevisions{Config: s.Config, Set: s.Revision})
	v.forget(now)
	v.confirm(now)
}

func (v *View) advance(now, at time.Time) {
	if v.confirmedAt.IsZero() || clock.Elapsed(at, now) < clock.Elapsed(v.confirmedAt, now) {
		v.confirmedAt = at
	}
}

// age returns the age of the contact with a member, which for the daemon
// itself is none at all.
func (v *View) age(now time.Time, id fleet.MemberID) Age {
	if id == v.Self.ID {
		return 0
	}
	at, ok := v.contacts[id]
	if !ok {
		return NoContact
	}
	units := (clock.Elapsed(at, now) + AgeUnit - 1) / AgeUnit
	return Age(min(max(units, 0), time.Duration(NoContact)))
}

// confirm moves confirmedAt to the latest instant since which a majority was
// contacted. While something known is not held, the contacts prove nothing
// new.
func (v *View) confirm(now time.Time) {
	if len(v.set.Members) == 0 || v.known != v.held {
		return
	}
	ages := make([]time.Duration, 0, len(v.set.Members))
	for _, m := range v.set.Members {
		if m.ID == v.Self.ID {
			ages = append(ages, 0)
			continue
		}
		if at, ok := v.contacts[m.ID]; ok {
			ages = append(ages, clock.Elapsed(at, now))
		}
	}
	n := member.Majority(len(v.set.Members))
	if len(ages) < n {
		return
	}
	slices.SortFunc(ages, cmp.Compare[time.Duration])
	v.advance(now, now.Add(-ages[n-1]))
}

// mostHeard reports whether the daemon is a member and most others answer.
func (v *View) mostHeard(now time.Time) bool {
	silent := 0
	for _, m := range v.set.Members {
		if m.ID != v.Self.ID && v.silent(now, m.ID) {
			silent++
		}
	}
	return v.set.Contains(v.Self.ID) && silent*calmSilent <= len(v.set.Members)
}

// silent reports whether a member was not heard of for silentAfter.
func (v *View) silent(now time.Time, id fleet.MemberID) bool {
	return time.Duration(v.age(now, id))*AgeUnit > silentAfter
}

func (v *View) contact(now time.Time, id fleet.MemberID, at time.Time) {
	if v.contacts == nil {
		v.contacts = make(map[fleet.MemberID]time.Time)
	}
	old, ok := v.contacts[id]
	if !ok || clock.Elapsed(at, now) < clock.Elapsed(old, now) {
		v.contacts[id] = at
	}
}

// forget drops contacts that cannot count any more.
func (v *View) forget(now time.Time) {
	for id, at := range v.contacts {
		if clock.Elapsed(at, now) > ContactWindow && !v.set.Contains(id) {
			delete(v.contacts, id)
		}
	}
}

func (v *View) hear(h member.HeldRevisions) {
	v.known.Config = max(v.known.Config, h.Config)
	v.known.Set = max(v.known.Set, h.Set)
}

// passOn takes the contacts of a peer that answered a ping sent at sentAt. The
// peer measured the ages when it answered, which was not before sentAt.
func (v *View) passOn(now, sentAt time.Time, ages []byte) {
	for i, m := range v.set.Members {
		if a := Age(ages[i]); a != NoContact && m.ID != v.Self.ID {
			v.contact(now, m.ID, sentAt.Add(-time.Duration(a)*AgeUnit))
		}
	}
}
