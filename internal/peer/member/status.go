package member

import (
	"context"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/member"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
)

// PeerStatus is the status of one member of this daemon's region.
type PeerStatus struct {
	Member fleet.Member
	// Live is whether there was a contact within view.ContactWindow. It is
	// always true for this daemon.
	Live bool
	// Held is the newest revisions that the member has reported to hold; zero
	// when this daemon has no report from it.
	Held member.HeldRevisions
}

// Status is the state of the view as shown to operators.
type Status struct {
	Self fleet.Member
	// Registered is whether the daemon counts in majorities.
	Registered bool
	// ConfirmedUntil is when the view stops being confirmed.
	ConfirmedUntil time.Time
	// Held is the revisions that the daemon has applied.
	Held member.HeldRevisions
	// Known is the newest revisions that the table or a peer has reported.
	Known member.HeldRevisions
	// TableReached is whether the last read of the table's heads succeeded.
	TableReached bool
	Peers        []PeerStatus
}

// Status returns the state of the view.
func (r *Runtime) Status(ctx context.Context) (Status, error) {
	return doResult(ctx, r, r.status)
}

func (r *Runtime) status(now time.Time) Status {
	c := &r.control
	set := c.view.Set()
	s := Status{
		Self:           r.self,
		Registered:     set.Contains(r.self.ID),
		ConfirmedUntil: c.view.ConfirmedUntil(),
		Held:           c.view.Held(),
		Known:          c.view.Known(),
		TableReached:   c.tableReached,
	}
	live := make(map[fleet.MemberID]bool)
	for _, id := range c.view.Contacts(now, view.ContactWindow) {
		live[id] = true
	}
	for _, m := range set.Members {
		x := PeerStatus{Member: m, Live: live[m.ID] || m.ID == r.self.ID, Held: c.evidence.Held[m.ID]}
		if m.ID == r.self.ID {
			x.Held = c.view.Held()
		}
		s.Peers = append(s.Peers, x)
	}
	return s
}
