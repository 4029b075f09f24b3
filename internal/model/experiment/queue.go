// Package experiment simulates a fleet in virtual time: it replays traces through
// the admission and server selection code of the daemons, or through a baseline,
// and measures trainer idle time, waits, cost and losses.
package experiment

import "time"

// eventQueue runs functions in the order of their virtual time; those with the
// same time run in the order in which they were added. The zero value is empty.
type eventQueue struct {
	// events is a binary heap with the next event at index 0.
	events []event
	// added is the number of events added so far.
	added uint64
	now   time.Time
}

type event struct {
	at       int64
	sequence uint64
	run      func()
}

// at schedules f for the time t, or for now when t is in the past.
func (q *eventQueue) at(t time.Time, f func()) {
	if t.Before(q.now) {
		t = q.now
	}
	q.added++
	q.events = append(q.events, event{at: t.UnixNano(), sequence: q.added, run: f})
	q.siftUp(len(q.events) - 1)
}

func (q *eventQueue) after(d time.Duration, f func()) {
	q.at(q.now.Add(d), f)
}

// every runs f once in every period, first after one period.
func (q *eventQueue) every(period time.Duration, f func()) {
	q.after(period, func() {
		f()
		q.every(period, f)
	})
}

// runUntil runs all events before end, then sets the time to end.
func (q *eventQueue) runUntil(end time.Time) {
	last := end.UnixNano()
	for len(q.events) > 0 && q.events[0].at < last {
		e := q.pop()
		q.now = time.Unix(0, e.at).UTC()
		e.run()
	}
	q.now = end
}

func (q *eventQueue) less(i, j int) bool {
	x, y := &q.events[i], &q.events[j]
	return x.at < y.at || x.at == y.at && x.sequence < y.sequence
}

func (q *eventQueue) siftDown(i int) {
	for {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(q.events) && q.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		q.events[i], q.events[least] = q.events[least], q.events[i]
		i = least
	}
}

func (q *eventQueue) pop() event {
	e := q.events[0]
	last := len(q.events) - 1
	q.events[0] = q.events[last]
	q.events[last] = event{}
	q.events = q.events[:last]
	q.siftDown(0)
	return e
}

func (q *eventQueue) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			return
		}
		q.events[i], q.events[parent] = q.events[parent], q.events[i]
		i = parent
	}
}
