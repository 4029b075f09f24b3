package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
)

// Built-in values of a Policy.
const (
	defaultInFlight     = 256
	defaultRedispatches = 2
	defaultSettle       = 5 * time.Second
	defaultSlowShare    = 0.4
	defaultWarmUp       = 3 * time.Second
	retryRest           = 500 * time.Millisecond
)

// Dispatcher decides which samples of one trainer run, in which order, and
// which are moved to another server or given up. Its zero value has the
// built-in policy and no groups. It is a decision: it does no I/O and is not
// safe for concurrent use.
type Dispatcher struct {
	Policy Policy

	// granted holds the hashes of the keys whose groups may run.
	granted set.Set[string]
	// bound and newest apply to all samples.
	bound  Bound
	newest fleet.WeightVersion
	// groups holds the pending groups, and those whose Finish was returned
	// but that have not been removed yet.
	groups map[GroupID]*group
	// added is the number of groups that were ever added.
	added int
	// runs holds the samples of groups by their present IDs.
	runs map[SampleID]*run
	// lengths are the mean tokens of the samples that ended, and their number.
	lengths mean
	// discards and stops collect what happened since the last Decide.
	discards []Discard
	stops    []Stop
}

// Policy bounds a Dispatcher. Its zero value has the built-in values.
type Policy struct {
	// InFlight is how many samples run at once.
	InFlight int
	// NoStragglers turns the handling of stragglers off: samples start in the
	// order of their groups and are never moved.
	NoStragglers bool
	// Redispatches is how often a slow sample is moved.
	Redispatches int
	// SlowShare is the share of the median rate below which a sample is slow.
	SlowShare float64
	// WarmUp is how long a try must have run before it may count as slow.
	WarmUp time.Duration
}

// Add takes a pending group. One known in the same round goes on, under the
// key of p.
func (d *Dispatcher) Add(p Pending, g Group) {
	if known, ok := d.groups[g.ID]; ok && known.pending.Round == p.Round {
		known.pending.Key = p.Key
		return
	}
	d.Remove(g.ID)
	if d.groups == nil {
		d.groups = make(map[GroupID]*group)
		d.runs = make(map[SampleID]*run)
	}
	n := &group{Group: g, pending: p, order: d.added}
	d.added++
	for i := range g.Samples {
		r := &run{group: n, index: i}
		d.reset(r)
		n.samples = append(n.samples, r)
	}
	d.groups[g.ID] = n
}

// Chunk takes a chunk of a try and reports whether the try goes on.
func (d *Dispatcher) Chunk(id SampleID, try int, c engine.Chunk) bool {
	r := d.find(id, try)
	if r == nil {
		return false
	}
	if err := r.sample.Append(c); err != nil {
		d.discard(r, DiscardProtocol)
		return false
	}
	return true
}

// Decide returns what to do at now.
func (d *Dispatcher) Decide(now time.Time) Actions {
	d.stopUngranted()
	d.dropStale()
	d.moveSlow(now)
	var a Actions
	a.Starts = d.start(now)
	a.Finishes = d.finish(now)
	a.Stops, d.stops = d.stops, nil
	a.Discards, d.discards = d.discards, nil
	return a
}

// End takes the end of a try: whole, or not and then resumed after retryAt.
func (d *Dispatcher) End(now time.Time, id SampleID, try int, whole bool, retryAt time.Time) {
	r := d.find(id, try)
	if r == nil {
		return
	}
	r.running = false
	if !whole {
		r.restUntil = retryAt
		if retryAt.IsZero() {
			r.restUntil = now.Add(retryRest)
		}
		return
	}
	r.done = true
	n := r.sample.Tokens()
	r.group.lengths.add(n)
	d.lengths.add(n)
	if !slices.ContainsFunc(r.group.samples, func(s *run) bool { return !s.done }) {
		r.group.wholeAt = now
	}
}

// Grant takes over which keys are granted, by their hashes. Groups of other
// keys stop, keep what they have, and resume when their key is granted.
func (d *Dispatcher) Grant(keys set.Set[string]) {
	d.granted = keys
}

// Groups returns the pending groups that are known, in the order of adding.
func (d *Dispatcher) Groups() []Pending {
	var all []Pending
	for _, g := range d.sorted() {
		all = append(all, g.pending)
	}
	return all
}

// Remove forgets a group and stops its samples. Their discarded tokens are not
// reported.
func (d *Dispatcher) Remove(id GroupID) {
	g, ok := d.groups[id]
	if !ok {
		return
	}
	for _, r := range g.samples {
		d.stop(r)
		delete(d.runs, r.sample.ID)
	}
	delete(d.groups, id)
}

// Set takes over the bound and the newest version in the weight store.
func (d *Dispatcher) Set(b Bound, newest fleet.WeightVersion) {
	d.bound = b
	d.newest = max(d.newest, newest)
}

// discard makes a sample begin anew.
func (d *Dispatcher) discard(r *run, why Reason) {
	d.discards = append(d.discards, Discard{Sample: r.sample.ID, Reason: why, Tokens: r.sample.Tokens()})
	d.stop(r)
	r.done = false
	r.group.wholeAt = time.Time{}
	r.restart++
	d.reset(r)
}

// dropStale discards the samples that cannot be fresh any more, without
// waiting for their end.
func (d *Dispatcher) dropStale() {
	for _, g := range d.sorted() {
		for _, r := range g.samples {
			if !g.finished && r.sample.Tokens() > 0 && !d.bound.Fresh(r.sample.Oldest()) {
				d.discard(r, DiscardStale)
			}
		}
	}
}

func (d *Dispatcher) find(id SampleID, try int) *run {
	r, ok := d.runs[id]
	if !ok || r.try != try || !r.running {
		return nil
	}
	return r
}

// finish returns the whole groups. A group with a version that the weight
// store is not known to have waits until it is, or until that is held to be
// false.
func (d *Dispatcher) finish(now time.Time) []Finish {
	var all []Finish
	for _, g := range d.sorted() {
		if g.finished || g.wholeAt.IsZero() {
			continue
		}
		if d.ahead(g) {
			d.settleAhead(now, g)
			continue
		}
		g.finished = true
		f := Finish{Pending: g.pending}
		for _, r := range g.samples {
			f.Samples = append(f.Samples, r.sample)
		}
		all = append(all, f)
	}
	return all
}

func (d *Dispatcher) ahead(g *group) bool {
	return slices.ContainsFunc(g.samples, func(r *run) bool { return r.sample.Newest() > d.newest })
}

// reset lets a sample begin from nothing, under a new ID, so that nothing of
// its former tries is mistaken for it.
func (d *Dispatcher) reset(r *run) {
	delete(d.runs, r.sample.ID)
	id := NewSampleID(r.group.ID, r.group.pending.Round, r.restart, r.index)
	r.sample = Sample{ID: id, Group: r.group.ID}
	r.restUntil = time.Time{}
	r.redispatches = 0
	d.runs[id] = r
}

func (d *Dispatcher) settleAhead(now time.Time, g *group) {
	if !clock.Passed(now, g.wholeAt.Add(defaultSettle)) {
		return
	}
	for _, r := range g.samples {
		if r.sample.Newest() > d.newest {
			d.discard(r, DiscardAhead)
		}
	}
}

func (d *Dispatcher) sorted() []*group {
	groups := make([]*group, 0, len(d.groups))
	for _, g := range d.groups {
		groups = append(groups, g)
	}
	slices.SortFunc(groups, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.ID, b.ID))
	})
	return groups
}

// start fills the free places, the longest remaining work first.
func (d *Dispatcher) start(now time.Time) []Start {
	var ready []*run
	running := 0
	for _, g := range d.sorted() {
		if !d.granted.Contains(g.pending.Key) {
			continue
		}
		for _, r := range g.samples {
			switch {
			case r.running:
				running++
			case !r.done && clock.Passed(now, r.restUntil):
				ready = append(ready, r)
			}
		}
	}
	if !d.Policy.NoStragglers {
		slices.SortStableFunc(ready, func(a, b *run) int { return cmp.Compare(d.remaining(b), d.remaining(a)) })
	}
	free := max(0, cmp.Or(d.Policy.InFlight, defaultInFlight)-running)
	var starts []Start
	for _, r := range ready[:min(free, len(ready))] {
		starts = append(starts, r.start(now))
	}
	return starts
}

// stop ends the running try of a sample, if there is one.
func (d *Dispatcher) stop(r *run) {
	if r.running {
		d.stops = append(d.stops, Stop{Sample: r.sample.ID, Try: r.try})
		r.running = false
	}
}

func (d *Dispatcher) stopUngranted() {
	for _, g := range d.sorted() {
		if d.granted.Contains(g.pending.Key) {
			continue
		}
		for _, r := range g.samples {
			d.stop(r)
		}
	}
}
