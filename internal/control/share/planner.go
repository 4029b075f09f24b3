package share

import (
	"cmp"
	"slices"
	"time"
)

// planner makes one plan.
type planner struct {
	now      time.Time
	steps    []Step
	needs    []need
	pools    []Pool
	slots    []float64
	trainers []string
	weights  []float64
}

// allFit reports whether no step is made late by a lack of slots: the work of all groups
// is done some time before its step is due, or when its longest item can be complete at the earliest.
func (p planner) allFit() bool {
	pace := slowestPace(p.pools)
	loads := make([]load, len(p.steps))
	all := make([]need, len(p.steps))
	for i, s := range p.steps {
		all[i] = s.needs(len(s.Groups))
		// With all of the time that long items take, the replays of 1.1 times the work that fits
		// had fewer steps on time than the order by slack; with none of it, those of 1.5 times.
		until := s.DueAt.Add(-s.DueAt.Sub(p.startedBy(i, pace)) / 2)
		if earliest := p.now.Add(time.Duration(p.caution(i) * float64(all[i].longest) * float64(pace))); earliest.After(until) {
			until = earliest
		}
		loads[i] = load{kind: s.Kind, until: until, items: all[i].items}
	}
	f := newFluid(p.now, loads, p.pools, p.slots)
	for i := range p.steps {
		if !f.fit(i, p.caution(i)*float64(all[i].work)) {
			return false
		}
	}
	return true
}

// caution is the factor by which a step may need more than expected.
func (p planner) caution(i int) float64 {
	if p.steps[i].Before == Late {
		return longerFactor * returnFactor
	}
	return longerFactor
}

// judge returns a verdict on each step. parts holds the guaranteed slots of each trainer in
// each pool.
func (p planner) judge(parts [][]float64) []Verdict {
	out := make([]Verdict, len(p.steps))
	pace := fastestPace(p.pools)
	loads := make([]load, len(p.steps))
	for i, s := range p.steps {
		out[i] = Verdict{Class: Late, Reason: ReasonNoRoom, Work: p.needs[i].work, leftOut: p.needs[i].leftOut, giveUpAt: s.GiveUpAt}
		if !p.now.Before(s.DueAt) || s.Before != OnTime && p.now.Add(time.Duration(p.needs[i].longest)*pace).After(s.DueAt) {
			out[i].Reason = ReasonTooLong
		}
		loads[i] = load{kind: s.Kind, until: p.startedBy(i, pace), items: p.needs[i].items}
	}
	order := p.order()
	all := newFluid(p.now, loads, p.pools, p.slots)
	for t, name := range p.trainers {
		own := newFluid(p.now, loads, p.pools, parts[t])
		for _, i := range order {
			if p.steps[i].Trainer == name && out[i].Reason != ReasonTooLong && own.fit(i, p.work(i)) && all.fit(i, p.work(i)) {
				out[i].Class, out[i].Reason = OnTime, ReasonShare
			}
		}
	}
	for _, i := range order {
		if out[i].Class == Late && out[i].Reason != ReasonTooLong && all.fit(i, p.work(i)) {
			out[i].Class, out[i].Reason = OnTime, ReasonBorrowed
		}
	}
	return out
}

// work returns the number of tokens for which there must be room if a step is to be on time.
func (p planner) work(i int) float64 {
	if p.steps[i].Before == Late {
		return returnFactor * float64(p.needs[i].work)
	}
	return float64(p.needs[i].work)
}

// startedBy returns the time by which the expected work of a step must be done if the step is
// to be on time. A step that counted as on time keeps its room until it is due.
func (p planner) startedBy(i int, pace time.Duration) time.Time {
	s, n := p.steps[i], p.needs[i]
	if s.Before == OnTime || n.items == 0 {
		return s.DueAt
	}
	return s.DueAt.Add(-time.Duration(tailFactor*float64(n.work)/float64(n.items)) * pace)
}

// order returns the indexes of the steps in the order in which they get room: those that
// counted as on time keep it, then those whose trainer has waited longest.
func (p planner) order() []int {
	out := make([]int, len(p.steps))
	for i := range out {
		out[i] = i
	}
	rank := map[Class]int{OnTime: 0, Unjudged: 1, Late: 2}
	slices.SortFunc(out, func(a, b int) int {
		x, y := p.steps[a], p.steps[b]
		return cmp.Or(cmp.Compare(rank[x.Before], rank[y.Before]), cmp.Compare(x.Priority, y.Priority), x.ServedAt.Compare(y.ServedAt),
			cmp.Compare(p.needs[a].work, p.needs[b].work), cmp.Compare(x.ID, y.ID))
	})
	return out
}
