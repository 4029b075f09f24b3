// Package experiment replays traces through the decision values in virtual
// time and measures what the users measure.
package experiment

import "time"

// agenda runs functions in the order of their virtual time; those of one
// instant run in the order in which they were put in. The zero value is empty.
type agenda struct {
	// entries is a binary heap with the first to run on top.
	entries []entry
	// put counts entries.
	put uint64
	now time.Time
}

type entry struct {
	at       int64
	sequence uint64
	run      func()
}

// at runs f at t, or now when t is past.
func (a *agenda) at(t time.Time, f func()) {
	if t.Before(a.now) {
		t = a.now
	}
	a.put++
	a.entries = append(a.entries, entry{at: t.UnixNano(), sequence: a.put, run: f})
	a.up(len(a.entries) - 1)
}

func (a *agenda) after(d time.Duration, f func()) {
	a.at(a.now.Add(d), f)
}

// every runs f each period.
func (a *agenda) every(period time.Duration, f func()) {
	a.after(period, func() {
		f()
		a.every(period, f)
	})
}

// until runs all entries before end.
func (a *agenda) until(end time.Time) {
	last := end.UnixNano()
	for len(a.entries) > 0 && a.entries[0].at < last {
		e := a.pop()
		a.now = time.Unix(0, e.at).UTC()
		e.run()
	}
	a.now = end
}

func (a *agenda) before(i, j int) bool {
	x, y := &a.entries[i], &a.entries[j]
	return x.at < y.at || x.at == y.at && x.sequence < y.sequence
}

func (a *agenda) down(i int) {
	for {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(a.entries) && a.before(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		a.entries[i], a.entries[least] = a.entries[least], a.entries[i]
		i = least
	}
}

func (a *agenda) pop() entry {
	e := a.entries[0]
	last := len(a.entries) - 1
	a.entries[0] = a.entries[last]
	a.entries[last] = entry{}
	a.entries = a.entries[:last]
	a.down(0)
	return e
}

func (a *agenda) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !a.before(i, parent) {
			return
		}
		a.entries[i], a.entries[parent] = a.entries[parent], a.entries[i]
		i = parent
	}
}
