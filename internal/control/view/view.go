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

// ContactWindow is how long a contact counts towards confirmation.
const ContactWindow = 2 * time.Second

const (
	// AgeUnit is the unit of an Age.
	AgeUnit = 20 * time.Millisecond
	// NoContact is the Age of a member without a recent contact.
	NoContact Age = 255
)

const (
	// PingEvery is the interval at which Pings is called.
	PingEvery = 200 * time.Millisecond
	// relaxedDivisor limits the relaxed ping rate to times when at most one in
	// relaxedDivisor members is unresponsive.
	relaxedDivisor = 4
	// relaxedTicks is the number of PingEvery intervals between pings at the
	// relaxed rate.
	relaxedTicks = 2
	// unresponsiveAfter is how long after its latest contact a member counts as
	// unresponsive. It is longer than ContactWindow, so that the choice of
	// ping targets does not change with each late contact.
	unresponsiveAfter = 4 * time.Second
	// urgentRemaining is the remaining time of confirmation below which pings
	// are urgent. Regular reads of the table keep the remaining time above it.
	urgentRemaining = time.Second
	// urgentPings is the number of pings sent at once when they are urgent.
	urgentPings = 3
)

// probeEvery makes every probeEvery-th ping go to an unresponsive member, if
// there is one.
const probeEvery = 5

// Age is the time since the latest contact with a member, in units of AgeUnit,
// rounded up. It is measured from the time the ping was sent or earlier, never
// from the answer.
type Age uint8

// Echo is a daemon's answer to a ping.
type Echo struct {
	// Member is the daemon that answers.
	Member fleet.Member
	// Held contains the revisions that the daemon has adopted.
	Held member.HeldRevisions
	// Known contains the newest revisions reported to the daemon.
	Known member.HeldRevisions
	// Epochs are the newest epochs known for the duties of its region.
	Epochs []Epoch
	// Ages contains the Age of each member of the set Held.Set, in order. It is
	// empty when the daemon has had no contacts.
	Ages []byte
}

// Epoch is the newest known epoch of a duty.
type Epoch struct {
	Duty  fleet.Duty
	Epoch fleet.Epoch
}

// MissingRevisions lists the known revisions that a View has not adopted.
type MissingRevisions struct {
	// Config and Set are the revisions to fetch, 0 for none.
	Config fleet.ConfigRevision
	Set    member.Revision
}

// View decides how long a daemon may rely on the configuration and member set
// that it holds. The zero value holds neither and is never confirmed; Self and
// Region must be set before use.
//
// A view is confirmed for ContactWindow from the latest time t for which one of
// these is true: a read of the table's head began at t, and the configuration
// it returned is held; or a majority of the members was asked at t or later,
// and every revision they reported is held. The time of a contact is when the
// request was sent by this daemon's clock, never when the answer arrived: the
// contents of a delayed answer may be out of date.
type View struct {
	Self   fleet.Member
	Region fleet.Region
	// contacts maps each daemon to the latest time at or after which it
	// reported its revisions, all of which are merged into known.
	contacts map[fleet.MemberID]time.Time
	// confirmedAt never decreases.
	confirmedAt time.Time
	epochs      map[fleet.Duty]fleet.Epoch
	held        member.HeldRevisions
	// known is never older than held, for each kind of revision.
	known member.HeldRevisions
	set   member.Set
	// ticks counts the calls of Pings.
	ticks int
	// picks counts the calls of Pick.
	picks int
}

// ConfirmedUntil returns when the view stops being confirmed.
func (v *View) ConfirmedUntil() time.Time {
	if v.confirmedAt.IsZero() {
		return time.Time{}
	}
	return v.confirmedAt.Add(ContactWindow)
}

// Contacts returns the daemons with a contact within the last d.
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

// Epoch returns the newest known epoch of a duty of the region.
func (v *View) Epoch(d fleet.Duty) fleet.Epoch {
	return v.epochs[d]
}

// Epochs returns the newest known epochs, ordered by duty.
func (v *View) Epochs() []Epoch {
	es := make([]Epoch, 0, len(v.epochs))
	for d, e := range v.epochs {
		es = append(es, Epoch{Duty: d, Epoch: e})
	}
	slices.SortFunc(es, func(a, b Epoch) int { return cmp.Compare(a.Duty, b.Duty) })
	return es
}

// Heard processes the answer to a ping that was sent at sentAt. From a daemon
// of another region it uses only the configuration revision: sets and epochs
// belong to a region.
func (v *View) Heard(now, sentAt time.Time, e Echo) {
	if e.Member.Region != v.Region {
		v.raiseKnown(member.HeldRevisions{Config: e.Known.Config})
		return
	}
	v.raiseKnown(e.Known)
	v.raiseKnown(e.Held)
	for _, p := range e.Epochs {
		v.HeardEpoch(p.Duty, p.Epoch)
	}
	v.recordContact(now, e.Member.ID, sentAt)
	if e.Held.Set == v.set.Revision && len(e.Ages) == len(v.set.Members) {
		v.mergeContacts(now, sentAt, e.Ages)
	}
	v.confirm(now)
}

// HeardEpoch records an epoch read from the table or reported by a peer.
func (v *View) HeardEpoch(d fleet.Duty, e fleet.Epoch) {
	if v.epochs == nil {
		v.epochs = make(map[fleet.Duty]fleet.Epoch)
	}
	v.epochs[d] = max(v.epochs[d], e)
}

// Held returns the revisions that the view has adopted.
func (v *View) Held() member.HeldRevisions {
	return v.held
}

// Known returns the newest revisions reported to the view.
func (v *View) Known() member.HeldRevisions {
	return v.known
}

// Lacks returns the revisions to fetch: those that are known but not held.
func (v *View) Lacks() MissingRevisions {
	var m MissingRevisions
	if v.known.Config > v.held.Config {
		m.Config = v.known.Config
	}
	if v.known.Set > v.held.Set {
		m.Set = v.known.Set
	}
	return m
}

// Pick returns the member to ping next: a responsive one, or every probeEvery
// calls an unresponsive one chosen by r. It returns false when there is no
// other member.
//
// Responsive members are picked in turn at distances of 1, 2, 4 and so on
// around the set. Contact ages thus reach all members within as many pings as
// there are distances, as with members chosen at random, while a daemon keeps
// connections to only a few peers.
func (v *View) Pick(now time.Time, r *rand.Rand) (fleet.Member, bool) {
	var ring, unresponsive []fleet.Member
	self := 0
	for _, m := range v.set.Members {
		switch {
		case m.ID == v.Self.ID:
			self = len(ring)
			ring = append(ring, m)
		case v.unresponsive(now, m.ID):
			unresponsive = append(unresponsive, m)
		default:
			ring = append(ring, m)
		}
	}
	if !v.set.Contains(v.Self.ID) {
		ring = append([]fleet.Member{v.Self}, ring...)
	}
	v.picks++
	alone := len(ring) == 1
	if alone && len(unresponsive) == 0 {
		return fleet.Member{}, false
	}
	if alone || len(unresponsive) > 0 && v.picks%probeEvery == 0 {
		return unresponsive[r.IntN(len(unresponsive))], true
	}
	distances := bits.Len(uint(len(ring) - 1))
	distance := 1 << (v.picks % distances)
	return ring[(self+distance)%len(ring)], true
}

// Pings returns how many pings to send at now. It is called once per PingEvery
// and returns urgentPings when the view is about to stop being confirmed, and
// at most one otherwise. While most members respond, it returns zero except on
// every relaxedTicks-th call.
func (v *View) Pings(now time.Time) int {
	v.ticks++
	if clock.Elapsed(now, v.ConfirmedUntil()) < urgentRemaining {
		return urgentPings
	}
	if v.mostRespond(now) && v.ticks%relaxedTicks != 0 {
		return 0
	}
	return 1
}

// Set returns the adopted member set.
func (v *View) Set() member.Set {
	return v.set
}

// TableRead processes the newest revisions returned by a read of the table that
// began at sentAt.
func (v *View) TableRead(now, sentAt time.Time, head member.HeldRevisions) {
	v.raiseKnown(head)
	if v.held.Config >= head.Config {
		v.advanceConfirmed(now, sentAt)
	}
	v.confirm(now)
}

// Tick confirms the view if the contacts suffice. A daemon that alone is a
// majority of its region needs none.
func (v *View) Tick(now time.Time) {
	v.confirm(now)
}

// Told records revisions reported in a message that is no proof of contact, for
// example by the sender of a ping.
func (v *View) Told(h member.HeldRevisions) {
	v.raiseKnown(h)
}

// TookConfig records that the daemon has adopted revision r of the configuration,
// unless it holds a newer one, and confirms the view if the contacts suffice.
func (v *View) TookConfig(now time.Time, r fleet.ConfigRevision) {
	v.held.Config = max(v.held.Config, r)
	v.raiseKnown(member.HeldRevisions{Config: r})
	v.confirm(now)
}

// TookSet adopts a member set, unless the view holds that revision or a newer
// one. It also records the set's configuration revision as known, drops expired
// contacts of daemons that are not members, and confirms the view if the
// remaining contacts suffice.
func (v *View) TookSet(now time.Time, s member.Set) {
	if s.Revision <= v.held.Set {
		return
	}
	v.set = s
	v.held.Set = s.Revision
	v.raiseKnown(member.HeldRevisions{Config: s.Config, Set: s.Revision})
	v.dropStaleContacts(now)
	v.confirm(now)
}

func (v *View) advanceConfirmed(now, at time.Time) {
	if v.confirmedAt.IsZero() || clock.Elapsed(at, now) < clock.Elapsed(v.confirmedAt, now) {
		v.confirmedAt = at
	}
}

// age returns the age of the latest contact with a member. It is zero for the
// daemon itself.
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

// confirm advances confirmedAt to the latest time since which a majority was
// contacted. It does nothing while a known revision is not held, since the
// contacts then prove nothing about the held ones.
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
	v.advanceConfirmed(now, now.Add(-ages[n-1]))
}

// mostRespond reports whether the daemon is a member and at most one in
// relaxedDivisor members is unresponsive.
func (v *View) mostRespond(now time.Time) bool {
	n := 0
	for _, m := range v.set.Members {
		if m.ID != v.Self.ID && v.unresponsive(now, m.ID) {
			n++
		}
	}
	return v.set.Contains(v.Self.ID) && n*relaxedDivisor <= len(v.set.Members)
}

// unresponsive reports whether the latest contact with a member is older than
// unresponsiveAfter.
func (v *View) unresponsive(now time.Time, id fleet.MemberID) bool {
	return time.Duration(v.age(now, id))*AgeUnit > unresponsiveAfter
}

func (v *View) recordContact(now time.Time, id fleet.MemberID, at time.Time) {
	if v.contacts == nil {
		v.contacts = make(map[fleet.MemberID]time.Time)
	}
	old, ok := v.contacts[id]
	if !ok || clock.Elapsed(at, now) < clock.Elapsed(old, now) {
		v.contacts[id] = at
	}
}

// dropStaleContacts removes expired contacts of daemons that are not members.
func (v *View) dropStaleContacts(now time.Time) {
	for id, at := range v.contacts {
		if clock.Elapsed(at, now) > ContactWindow && !v.set.Contains(id) {
			delete(v.contacts, id)
		}
	}
}

// raiseKnown raises the known revisions to those of h where these are newer.
func (v *View) raiseKnown(h member.HeldRevisions) {
	v.known.Config = max(v.known.Config, h.Config)
	v.known.Set = max(v.known.Set, h.Set)
}

// mergeContacts merges the contact ages in a peer's answer to a ping sent at
// sentAt. The peer measured the ages when it answered, which was not before
// sentAt.
func (v *View) mergeContacts(now, sentAt time.Time, ages []byte) {
	for i, m := range v.set.Members {
		if a := Age(ages[i]); a != NoContact && m.ID != v.Self.ID {
			v.recordContact(now, m.ID, sentAt.Add(-time.Duration(a)*AgeUnit))
		}
	}
}
