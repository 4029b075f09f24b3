package cell

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// lookAhead is the maximum number of waiting requests of a queue, oldest first,
// for which a server is sought in one pass.
const lookAhead = 8

// askState is the state of an ask that waits or has a grant.
type askState struct {
	ask Ask
	// grant is nil while the ask waits.
	grant *grant
	// queued is whether the ask is in its queue.
	queued bool
}

// queue holds waiting asks in the order of their Since. The zero value is
// empty.
type queue struct {
	// asks[head:] is the queue. A removed ask stays in it, with queued false,
	// until trim drops it.
	asks []*askState
	head int
	// size counts the asks that are not removed.
	size int
}

func (q *queue) add(st *askState) {
	st.queued = true
	q.size++
	q.asks = append(q.asks, st)
	for i := len(q.asks) - 1; i > q.head && st.ask.Since.Before(q.asks[i-1].ask.Since); i-- {
		q.asks[i], q.asks[i-1] = q.asks[i-1], q.asks[i]
	}
}

// first returns the oldest ask, or nil if there is none.
func (q *queue) first() *askState {
	q.trim()
	if q.head == len(q.asks) {
		return nil
	}
	return q.asks[q.head]
}

// remove marks an ask as removed.
func (q *queue) remove(st *askState) {
	if !st.queued {
		return
	}
	st.queued = false
	q.size--
	q.trim()
}

// trim drops the removed asks at the head and, once they are more than half of
// the slice, the unused elements before the head.
func (q *queue) trim() {
	for q.head < len(q.asks) && !q.asks[q.head].queued {
		q.asks[q.head] = nil
		q.head++
	}
	if q.head > 64 && q.head*2 > len(q.asks) {
		n := copy(q.asks, q.asks[q.head:])
		clear(q.asks[n:])
		q.asks = q.asks[:n]
		q.head = 0
	}
}

// workspaceState is the state of a workspace in a cell.
type workspaceState struct {
	workspace fleet.Workspace
	weight    float64
	// running counts its grants, per class.
	running [classCount]int
	// queues are indexed by class and by spotIndex: queues[class][0] holds the
	// requests that must run on standard servers, queues[class][1] those that
	// may run on spot servers.
	queues [classCount][2]queue
	// index is the position in Cell.queued, per class; -1 if not in it.
	index [classCount]int
	// spotAllowed is whether the newest request may run on spot servers, per
	// class.
	spotAllowed [classCount]bool
}

// oldest returns when the oldest waiting request of a class arrived. There must
// be at least one.
func (w *workspaceState) oldest(class fleet.Class) time.Time {
	a, b := &w.queues[class][0], &w.queues[class][1]
	if b.size == 0 {
		return a.first().ask.Since
	}
	if a.size == 0 {
		return b.first().ask.Since
	}
	if x, y := a.first().ask.Since, b.first().ask.Since; x.Before(y) {
		return x
	}
	return b.first().ask.Since
}

func (w *workspaceState) queue(r *Ask) *queue {
	return &w.queues[clampClass(r.Request.Class)][spotIndex(r.Request.SpotAllowed)]
}

func (w *workspaceState) waiting() int {
	n := 0
	for class := range w.queues {
		n += w.waitingIn(fleet.Class(class))
	}
	return n
}

func (w *workspaceState) waitingIn(class fleet.Class) int {
	return w.queues[class][0].size + w.queues[class][1].size
}

func spotIndex(allowed bool) int {
	if allowed {
		return 1
	}
	return 0
}

func (c *Cell) dropIdleWorkspace(w *workspaceState) {
	if w.running == [classCount]int{} && w.waiting() == 0 && len(c.workspaces) > maxKeptWorkspaces {
		delete(c.workspaces, w.workspace)
	}
}

func (c *Cell) enqueue(st *askState) {
	if c.asks == nil {
		c.asks = make(map[AskID]*askState)
	}
	c.asks[st.ask.ID] = st
	w := c.workspace(st.ask.Request.Workspace)
	w.queue(&st.ask).add(st)
	class := clampClass(st.ask.Request.Class)
	if w.index[class] < 0 {
		w.index[class] = len(c.queued[class])
		c.queued[class] = append(c.queued[class], w)
	}
}

// dequeue removes an ask from its queue but keeps it in asks.
func (c *Cell) dequeue(st *askState) {
	w := c.workspace(st.ask.Request.Workspace)
	w.queue(&st.ask).remove(st)
	class := clampClass(st.ask.Request.Class)
	if i := w.index[class]; i >= 0 && w.waitingIn(class) == 0 {
		list := c.queued[class]
		last := list[len(list)-1]
		list[i] = last
		last.index[class] = i
		list[len(list)-1] = nil
		c.queued[class] = list[:len(list)-1]
		w.index[class] = -1
	}
}

func (c *Cell) workspace(name fleet.Workspace) *workspaceState {
	if c.workspaces == nil {
		c.workspaces = make(map[fleet.Workspace]*workspaceState)
	}
	w := c.workspaces[name]
	if w == nil {
		w = &workspaceState{workspace: name, weight: 1}
		for class := range w.index {
			w.index[class] = -1
		}
		c.workspaces[name] = w
	}
	return w
}

func (c *Cell) removeAsk(st *askState) {
	c.dequeue(st)
	delete(c.asks, st.ask.ID)
}
