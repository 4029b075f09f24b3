package cell

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// lookAhead is how many waiting requests of a queue are tried when the first
// cannot be placed.
const lookAhead = 8

// item is an ask that waits or has a grant.
type item struct {
	ask Ask
	// grant is nil while the ask waits.
	grant *grant
	// queued is whether the item is in its queue.
	queued bool
}

// queue holds waiting items in the order of their Since. The zero value is
// empty.
type queue struct {
	// items from head on are the queue; some may have left it.
	items []*item
	head  int
	// waiting counts the items that have not left.
	waiting int
}

func (q *queue) add(it *item) {
	it.queued = true
	q.waiting++
	q.items = append(q.items, it)
	for i := len(q.items) - 1; i > q.head && it.ask.Since.Before(q.items[i-1].ask.Since); i-- {
		q.items[i], q.items[i-1] = q.items[i-1], q.items[i]
	}
}

// first returns the oldest item, nil when there is none.
func (q *queue) first() *item {
	q.trim()
	if q.head == len(q.items) {
		return nil
	}
	return q.items[q.head]
}

// remove takes an item out.
func (q *queue) remove(it *item) {
	if !it.queued {
		return
	}
	it.queued = false
	q.waiting--
	q.trim()
}

// trim drops those at the head that have left, and the room before the head.
func (q *queue) trim() {
	for q.head < len(q.items) && !q.items[q.head].queued {
		q.items[q.head] = nil
		q.head++
	}
	if q.head > 64 && q.head*2 > len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items = q.items[:n]
		q.head = 0
	}
}

// tenant is a workspace in a cell.
type tenant struct {
	workspace fleet.Workspace
	weight    float64
	// running counts its grants, a class.
	running [classes]int
	// queues are by class, and by whether a spot server may run the request.
	queues [classes][2]queue
	// index is the place in the cell's list of a class, -1 when not in it.
	index [classes]int
	// spotAllowed is whether the newest request may run on spot servers, a
	// class.
	spotAllowed [classes]bool
}

func (t *tenant) oldest(class fleet.Class) time.Time {
	a, b := t.queues[class][0].first(), t.queues[class][1].first()
	switch {
	case a == nil && b == nil:
		return time.Time{}
	case a == nil:
		return b.ask.Since
	case b == nil || a.ask.Since.Before(b.ask.Since):
		return a.ask.Since
	default:
		return b.ask.Since
	}
}

func (t *tenant) queue(r *Ask) *queue {
	return &t.queues[classOf(r.Request.Class)][spotIndex(r.Request.SpotAllowed)]
}

func (t *tenant) waiting() int {
	n := 0
	for class := range t.queues {
		n += t.waitingIn(fleet.Class(class))
	}
	return n
}

func (t *tenant) waitingIn(class fleet.Class) int {
	return t.queues[class][0].waiting + t.queues[class][1].waiting
}

func spotIndex(allowed bool) int {
	if allowed {
		return 1
	}
	return 0
}

func (c *Cell) dropTenant(t *tenant) {
	if t.running == [classes]int{} && t.waiting() == 0 && len(c.tenants) > maxIdleTenants {
		delete(c.tenants, t.workspace)
	}
}

func (c *Cell) enqueue(it *item) {
	if c.asks == nil {
		c.asks = make(map[AskID]*item)
	}
	c.asks[it.ask.ID] = it
	t := c.tenant(it.ask.Request.Workspace)
	t.queue(&it.ask).add(it)
	class := classOf(it.ask.Request.Class)
	if t.index[class] < 0 {
		t.index[class] = len(c.queued[class])
		c.queued[class] = append(c.queued[class], t)
	}
}

// dequeue takes an item out of its queue and leaves it in asks.
func (c *Cell) dequeue(it *item) {
	t := c.tenant(it.ask.Request.Workspace)
	t.queue(&it.ask).remove(it)
	class := classOf(it.ask.Request.Class)
	if i := t.index[class]; i >= 0 && t.waitingIn(class) == 0 {
		list := c.queued[class]
		last := list[len(list)-1]
		list[i] = last
		last.index[class] = i
		list[len(list)-1] = nil
		c.queued[class] = list[:len(list)-1]
		t.index[class] = -1
	}
}

func (c *Cell) tenant(w fleet.Workspace) *tenant {
	if c.tenants == nil {
		c.tenants = make(map[fleet.Workspace]*tenant)
	}
	t := c.tenants[w]
	if t == nil {
		t = &tenant{workspace: w, weight: 1}
		for class := range t.index {
			t.index[class] = -1
		}
		c.tenants[w] = t
	}
	return t
}

func (c *Cell) unqueue(it *item) {
	c.dequeue(it)
	delete(c.asks, it.ask.ID)
}
