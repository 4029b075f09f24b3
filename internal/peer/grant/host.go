package grant

import (
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/server"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
)

// insistWindow is how long a cell is kept for a daemon that insisted.
const insistWindow = 5 * time.Second

// host holds the cells of a dispatcher. Its methods run on the control
// goroutine.
type host struct {
	self  fleet.Member
	cells map[cell.ID]*hosted
	// left is set by leave and stays.
	left bool
}

// hosted is one cell with those who wait for its decisions.
type hosted struct {
	cell    cell.Cell
	waiters map[cell.AskID]*waiter
	// insistedUntil is until when the cell is kept though this daemon does
	// not hold itself for its dispatcher.
	insistedUntil time.Time
}

// inputs are what a dispatcher reads from other parts.
type inputs struct {
	state   *view.State
	servers *server.Snapshot
}

// waiter takes the answer to one ask.
type waiter struct {
	ask cell.AskID
	// answered has room for the one answer.
	answered chan askAnswer
}

func newWaiter(id cell.AskID) *waiter {
	return &waiter{ask: id, answered: make(chan askAnswer, 1)}
}

// deliver hands decisions to their waiters, and ends grants that nobody waits
// for.
func (h *hosted) deliver(now time.Time, decisions []cell.Decision) {
	for pending := slices.Clone(decisions); len(pending) > 0; pending = pending[1:] {
		v := pending[0]
		w, ok := h.waiters[v.Ask]
		if !ok {
			if v.Reason == "" {
				pending = append(pending, h.cell.Cancel(now, v.Ask)...)
			}
			continue
		}
		delete(h.waiters, v.Ask)
		w.answered <- h.answer(now, v)
	}
}

func (h *hosted) answer(now time.Time, v cell.Decision) askAnswer {
	a := askAnswer{Summary: h.cell.Summary()}
	if v.Reason != "" {
		a.Outcome = outcomeRefused
		a.Reason = v.Reason
		a.RetryIn = max(v.RetryAt.Sub(now), 0)
		return a
	}
	a.Outcome = outcomeGranted
	a.Grant = v.Grant.ID
	a.Server = v.Grant.Server
	a.notAfter = v.Grant.NotAfter
	return a
}

// enter takes an ask and reports whether this daemon dispatches for its cell.
func (h *host) enter(now time.Time, in inputs, m askMessage, w *waiter) bool {
	c := h.open(now, in, m.Cell, m.Insist)
	if c == nil {
		return false
	}
	if old, ok := c.waiters[m.ID]; ok {
		old.answered <- askAnswer{Outcome: outcomeWaiting}
	}
	c.waiters[m.ID] = w
	r := m.Request
	r.Deadline = now.Add(m.Remaining)
	conf := in.state.Config
	c.deliver(now, c.cell.Ask(now, cell.Ask{
		ID:         m.ID,
		Entry:      m.Entry,
		Request:    r,
		Since:      now.Add(-m.Age),
		Weight:     conf.Value(config.Weight, r.Workspace),
		MaxWaiting: int(conf.Value(config.MaxWaiting, r.Workspace)),
	}))
	return true
}

// leave gives up all cells for good.
func (h *host) leave() {
	h.left = true
	for id := range h.cells {
		h.moveAway(id)
	}
}

// moveAway gives up a cell and sends those who wait to its next dispatcher.
func (h *host) moveAway(id cell.ID) {
	for _, w := range h.cells[id].waiters {
		w.answered <- askAnswer{Outcome: outcomeMoved}
	}
	delete(h.cells, id)
}

// open returns a cell that this daemon dispatches for, nil when it does not.
func (h *host) open(now time.Time, in inputs, id cell.ID, insist bool) *hosted {
	if h.left {
		return nil
	}
	if c, ok := h.cells[id]; ok {
		if insist {
			c.insistedUntil = now.Add(insistWindow)
		}
		return c
	}
	owner, _ := id.Dispatcher(in.state.Members)
	if owner.ID != h.self.ID && !insist {
		return nil
	}
	c := &hosted{waiters: make(map[cell.AskID]*waiter)}
	c.cell.Prefix = h.self.ID.String() + "/" + now.UTC().Format("150405.000000") + "/"
	c.cell.Settings = cell.DefaultSettings()
	c.cell.Settle(now, region(in.state.Members, id.Region))
	if insist {
		c.insistedUntil = now.Add(insistWindow)
	}
	c.update(now, in, id)
	if h.cells == nil {
		h.cells = make(map[cell.ID]*hosted)
	}
	h.cells[id] = c
	return c
}

// register takes a registration.
func (h *host) register(now time.Time, in inputs, m registerMessage) settledAnswer {
	c := h.open(now, in, m.Cell, false)
	if c == nil {
		return settledAnswer{Moved: true}
	}
	c.deliver(now, c.cell.Register(now, m.Registration))
	return settledAnswer{Summary: c.cell.Summary()}
}

// release ends a grant.
func (h *host) release(now time.Time, m releaseMessage) settledAnswer {
	c := h.cells[m.Cell]
	if c == nil {
		return settledAnswer{Moved: true}
	}
	c.deliver(now, c.cell.Release(now, m.Grant, m.Report))
	return settledAnswer{Summary: c.cell.Summary()}
}

func (h *host) report(now time.Time, l cell.Load) {
	for id, c := range h.cells {
		if id.Contains(l.Server) {
			c.deliver(now, c.cell.Report(now, l))
		}
	}
}

func (h *host) tick(now time.Time) {
	for _, c := range h.cells {
		c.deliver(now, c.cell.Tick(now))
	}
}

// update follows a change of the members or the servers.
func (h *host) update(now time.Time, in inputs) {
	for id, c := range h.cells {
		owner, _ := id.Dispatcher(in.state.Members)
		if owner.ID != h.self.ID && clock.Passed(now, c.insistedUntil) {
			h.moveAway(id)
			continue
		}
		c.update(now, in, id)
	}
}

// withdraw takes an ask back unless it has been answered meanwhile. An answer
// that comes too late for a caller that is gone is ended.
func (h *host) withdraw(now time.Time, id cell.ID, w *waiter, gone bool) askAnswer {
	c := h.cells[id]
	select {
	case a := <-w.answered:
		if gone && a.Outcome == outcomeGranted && c != nil {
			c.deliver(now, c.cell.Cancel(now, w.ask))
		}
		return a
	default:
	}
	if c != nil && c.waiters[w.ask] == w {
		delete(c.waiters, w.ask)
		c.deliver(now, c.cell.Cancel(now, w.ask))
	}
	return askAnswer{Outcome: outcomeWaiting}
}

// update gives the cell its servers and forgets daemons that are gone.
func (h *hosted) update(now time.Time, in inputs, id cell.ID) {
	usable := in.servers.UsableIn(id.Region, id.Pool)
	h.deliver(now, h.cell.Servers(now, id.Servers(usable)))
	alive := make(map[fleet.MemberID]bool, len(in.state.Members))
	for _, m := range in.state.Members {
		alive[m.ID] = true
	}
	for _, m := range h.cell.Entries() {
		if !alive[m] {
			h.deliver(now, h.cell.Forget(now, m))
		}
	}
}

func region(members []fleet.Member, r fleet.Region) []fleet.MemberID {
	var out []fleet.MemberID
	for _, m := range members {
		if m.Region == r {
			out = append(out, m.ID)
		}
	}
	return out
}
