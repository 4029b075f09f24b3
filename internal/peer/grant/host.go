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

// insistDuration is how long a cell is kept after an ask with Insist set.
const insistDuration = 5 * time.Second

// host holds the cells of a dispatcher. Its methods run on the dispatcher's
// loop.
type host struct {
	self  fleet.Member
	cells map[cell.ID]*hostedCell
	// released is set by releaseCells and never reset.
	released bool
}

// hostedCell is one cell with the asks that wait for its decisions.
type hostedCell struct {
	cell    cell.Cell
	waiters map[cell.AskID]*waiter
	// insistedUntil is the time until which the cell is kept even if this
	// daemon's view names another dispatcher.
	insistedUntil time.Time
}

// inputs is the state that a dispatcher reads from other packages.
type inputs struct {
	state   *view.State
	servers *server.Snapshot
}

// waiter receives the answer to one ask.
type waiter struct {
	ask cell.AskID
	// answer has a buffer for its only answer.
	answer chan askAnswer
}

func newWaiter(id cell.AskID) *waiter {
	return &waiter{ask: id, answer: make(chan askAnswer, 1)}
}

// deliver sends decisions to their waiters. It cancels grants without a waiter
// and also delivers the decisions that follow from this.
func (h *hostedCell) deliver(now time.Time, decisions []cell.Decision) {
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
		w.answer <- h.answer(now, v)
	}
}

func (h *hostedCell) answer(now time.Time, v cell.Decision) askAnswer {
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

// addAsk adds an ask to its cell. It returns false if this daemon does not
// dispatch for the cell.
func (h *host) addAsk(now time.Time, in inputs, m askMessage, w *waiter) bool {
	c := h.open(now, in, m.Cell, m.Insist)
	if c == nil {
		return false
	}
	if old, ok := c.waiters[m.ID]; ok {
		old.answer <- askAnswer{Outcome: outcomeWaiting}
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

// releaseCells gives up all cells permanently.
func (h *host) releaseCells() {
	h.released = true
	for id := range h.cells {
		h.drop(id)
	}
}

// drop gives up a cell and redirects its waiters to the next dispatcher.
func (h *host) drop(id cell.ID) {
	for _, w := range h.cells[id].waiters {
		w.answer <- askAnswer{Outcome: outcomeMoved}
	}
	delete(h.cells, id)
}

// open returns the cell with the given ID and creates it if necessary. It
// returns nil if this daemon does not dispatch for the cell.
func (h *host) open(now time.Time, in inputs, id cell.ID, insist bool) *hostedCell {
	if h.released {
		return nil
	}
	if c, ok := h.cells[id]; ok {
		if insist {
			c.insistedUntil = now.Add(insistDuration)
		}
		return c
	}
	owner, _ := id.Dispatcher(in.state.Members)
	if owner.ID != h.self.ID && !insist {
		return nil
	}
	c := &hostedCell{waiters: make(map[cell.AskID]*waiter)}
	c.cell.Prefix = h.self.ID.String() + "/" + now.UTC().Format("150405.000000") + "/"
	c.cell.Settings = cell.DefaultSettings()
	c.cell.Settle(now, membersIn(in.state.Members, id.Region))
	if insist {
		c.insistedUntil = now.Add(insistDuration)
	}
	c.update(now, in, id)
	if h.cells == nil {
		h.cells = make(map[cell.ID]*hostedCell)
	}
	h.cells[id] = c
	return c
}

// register passes a registration to its cell.
func (h *host) register(now time.Time, in inputs, m registerMessage) cellAnswer {
	c := h.open(now, in, m.Cell, false)
	if c == nil {
		return cellAnswer{Moved: true}
	}
	c.deliver(now, c.cell.Register(now, m.Registration))
	return cellAnswer{Summary: c.cell.Summary()}
}

// release passes the release of a grant to its cell.
func (h *host) release(now time.Time, m releaseMessage) cellAnswer {
	c := h.cells[m.Cell]
	if c == nil {
		return cellAnswer{Moved: true}
	}
	c.deliver(now, c.cell.Release(now, m.Grant, m.Report))
	return cellAnswer{Summary: c.cell.Summary()}
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

// update applies a change of the members or the servers.
func (h *host) update(now time.Time, in inputs) {
	for id, c := range h.cells {
		owner, _ := id.Dispatcher(in.state.Members)
		if owner.ID != h.self.ID && clock.Passed(now, c.insistedUntil) {
			h.drop(id)
			continue
		}
		c.update(now, in, id)
	}
}

// cancelAsk cancels an ask unless it has been answered in the meantime. If the
// answer is a grant and the client has cancelled its call, the grant is
// cancelled.
func (h *host) cancelAsk(now time.Time, id cell.ID, w *waiter, cancelled bool) askAnswer {
	c := h.cells[id]
	select {
	case a := <-w.answer:
		if cancelled && a.Outcome == outcomeGranted && c != nil {
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

// update sets the servers of the cell and removes daemons that are no longer
// members.
func (h *hostedCell) update(now time.Time, in inputs, id cell.ID) {
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

func membersIn(members []fleet.Member, r fleet.Region) []fleet.MemberID {
	var out []fleet.MemberID
	for _, m := range members {
		if m.Region == r {
			out = append(out, m.ID)
		}
	}
	return out
}
