// Package share decides which training steps can be on time when there is too much work
// for the slots, and in which order their items start. Its functions do no I/O and read
// no clock.
//
// It is designed for three and four trainers whose steps need up to three times the slots
// that there are, of which one may ask for ten times its share, and for servers that can
// run the items of some of the trainers only. The decision depends on the open steps, the
// time and the servers alone, so that all daemons decide nearly the same without a
// message.
//
// While the work of all steps fits, there is no decision and items start by least slack.
// Otherwise each trainer has a guaranteed share of the slots, max-min fair among those
// that can run its items. Steps that fit their trainer's share are on time by right. The
// room that is left goes to further steps, whose trainer has waited longest for a step on
// time first. All other steps count as late: their items start in a minimum share of the
// slots, and in what the others leave. Running items are not stopped.
package share

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/set"
)

const (
	// MaxKinds is the maximum number of kinds of items for which a plan is made.
	MaxKinds = 64
	// maxSteps is the maximum number of steps for which a plan is made.
	maxSteps = 64
	// longerFactor is the ratio of the actual to the expected work of a step: expected
	// lengths are right at the median, and 8 % of the items are five times as long.
	longerFactor = 1.3
	// returnFactor is by how much the room must exceed the work of a late step before
	// the step counts as on time again.
	returnFactor = 1.3
	// tailFactor times the mean expected length is what the longest of many items takes
	// beyond its expected length. Items that are to be complete in time must start by that
	// much earlier.
	tailFactor = 4
)

// Classes of a Step.
const (
	// Unjudged is the class while there is no overload.
	Unjudged Class = iota
	// OnTime is the class of steps that can be on time.
	OnTime
	// Late is the class of steps that will not be on time.
	Late
)

// Reasons for the class of a step.
const (
	ReasonFits     Reason = "work of all steps fits"
	ReasonShare    Reason = "fits the share of its trainer"
	ReasonBorrowed Reason = "fits the slots that other trainers leave"
	ReasonTooLong  Reason = "its longest item ends after the step is due"
	ReasonAlone    Reason = "no other trainer has open steps"
	ReasonNoRoom   Reason = "no room beside the steps that can be on time"
)

// Class is what is expected of a step.
type Class uint8

// Reason is why a step has its class.
type Reason string

// Group is a group of items that is not complete.
type Group struct {
	Name string
	// Tokens is the expected number of tokens that its items still need, and Longest the
	// number that one of them needs at most.
	Tokens, Longest int
	// Items is the number of unfinished items.
	Items int
}

// Step is an open training step.
type Step struct {
	ID      string
	Trainer string
	// Kind identifies the servers that can run the step's items: the bit of Pool.Kinds.
	Kind int
	// Priority is that of the trainer; 0 is the highest.
	Priority int
	DueAt    time.Time
	GiveUpAt time.Time
	// Groups are those that are not complete, of which the trainer waits for Needed.
	Groups []Group
	Needed int
	// Before is the class that the step had until now.
	Before Class
	// ServedAt is when a step of the trainer was on time last; zero if that is unknown.
	ServedAt time.Time
}

// Pool is a number of servers that can run the same kinds of items.
type Pool struct {
	Slots int
	// Pace is the time per token of an item when all slots are in use.
	Pace time.Duration
	// Kinds has a bit for each kind of items that the servers can run.
	Kinds uint64
}

// Shares is the decision. The zero value stands for no overload.
type Shares struct {
	// Overloaded is whether the work of all steps does not fit.
	Overloaded bool
	// Steps holds the verdict on each step, by its ID.
	Steps map[string]Verdict
	// Trainers holds the guaranteed number of slots of each trainer.
	Trainers map[string]float64
}

// Verdict is the decision about a step.
type Verdict struct {
	Class  Class
	Reason Reason
	// Work is the expected number of tokens of the groups that the trainer waits for.
	Work int
	// leftOut contains the groups that it need not wait for, which need most.
	leftOut set.Set[string]
	// giveUpAt orders late steps.
	giveUpAt time.Time
}

// need is what a step needs at least: the groups that need least, as many as the trainer
// waits for.
type need struct {
	work, items, longest int
	leftOut              set.Set[string]
}

// Plan decides about the open steps, given the servers. It decides nothing while fewer than two
// trainers have open steps.
func Plan(now time.Time, steps []Step, pools []Pool) Shares {
	trainers, weights := trainersOf(steps)
	if len(trainers) < 2 || len(steps) > maxSteps || len(pools) == 0 {
		return Shares{}
	}
	p := planner{now: now, steps: steps, pools: pools, trainers: trainers, weights: weights, slots: make([]float64, len(pools))}
	for i, pool := range pools {
		p.slots[i] = float64(pool.Slots)
	}
	for _, s := range steps {
		p.needs = append(p.needs, s.needs(s.Needed))
	}
	out := Shares{Steps: make(map[string]Verdict), Trainers: make(map[string]float64)}
	parts := fair(weights, pools, func(t, pool int) bool {
		return slices.ContainsFunc(steps, func(s Step) bool { return s.Trainer == trainers[t] && pools[pool].runs(s.Kind) })
	})
	for t, name := range trainers {
		for _, n := range parts[t] {
			out.Trainers[name] += n
		}
	}
	if p.allFit() {
		for i, s := range steps {
			out.Steps[s.ID] = Verdict{Reason: ReasonFits, Work: p.needs[i].work}
		}
		return out
	}
	out.Overloaded = true
	for i, v := range p.judge(parts) {
		out.Steps[steps[i].ID] = v
	}
	return out
}

// trainersOf returns the trainers of the steps in alphabetical order, and their weights.
func trainersOf(steps []Step) ([]string, []float64) {
	priorities := make(map[string]int)
	var names []string
	for _, s := range steps {
		p, known := priorities[s.Trainer]
		if !known {
			names = append(names, s.Trainer)
			p = s.Priority
		}
		priorities[s.Trainer] = min(p, s.Priority)
	}
	slices.Sort(names)
	weights := make([]float64, len(names))
	for i, n := range names {
		weights[i] = weight(priorities[n])
	}
	return names, weights
}

// needs returns what a number of the step's groups need.
func (s Step) needs(groups int) need {
	order := slices.Clone(s.Groups)
	slices.SortFunc(order, func(a, b Group) int {
		return cmp.Or(cmp.Compare(a.Longest, b.Longest), cmp.Compare(a.Tokens, b.Tokens), cmp.Compare(a.Name, b.Name))
	})
	var out need
	for i, g := range order {
		if i >= groups {
			out.leftOut.Add(g.Name)
			continue
		}
		out.work += g.Tokens
		out.items += g.Items
		out.longest = max(out.longest, g.Longest)
	}
	return out
}

// runs reports whether the servers can run items of a kind.
func (p Pool) runs(kind int) bool {
	return p.Kinds&(1<<kind) != 0
}
