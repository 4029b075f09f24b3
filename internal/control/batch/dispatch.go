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

// Built-in values of a Policy, and other constants of a Dispatcher.
const (
	defaultInFlight     = 256
	defaultRedispatches = 2
	// versionTimeout is how long a complete group waits for the weight store
	// to list a version that an engine reported.
	versionTimeout   = 5 * time.Second
	defaultSlowShare = 0.4
	defaultWarmUp    = 3 * time.Second
	// retryInterval is the wait after a failed attempt that has no retry time.
	retryInterval = 500 * time.Millisecond
)

// Dispatcher decides which samples of one trainer run, in which order, and
// which are moved to another server or discarded. Its zero value has the
// built-in policy and no groups. It does no I/O and is not safe for concurrent
// use.
type Dispatcher struct {
	Policy Policy

	// validKeys contains the hashes of the valid API keys, whose groups may run.
	validKeys set.Set[string]
	// bound applies to all samples.
	bound StalenessBound
	// newest is the newest version in the weight store.
	newest fleet.WeightVersion
	// groups contains the pending groups, and those whose Finish was returned
	// but that have not been removed yet.
	groups map[GroupID]*group
	// added is the number of groups added so far, including removed ones.
	added int
	// runs contains the samples of groups by their current IDs.
	runs map[SampleID]*run
	// lengths is the mean number of tokens of the complete samples.
	lengths mean
	// discards and stops collect the actions for the next Decide.
	discards []Discard
	stops    []Stop
}

// Policy configures a Dispatcher. Zero fields take the built-in values.
type Policy struct {
	// InFlight is the maximum number of samples that run concurrently.
	InFlight int
	// NoStragglers disables the handling of stragglers: samples start in the
	// order of their groups and are never moved.
	NoStragglers bool
	// Redispatches is how often a slow sample may be moved to another server.
	Redispatches int
	// SlowShare is the fraction of the median rate below which a sample is slow.
	SlowShare float64
	// WarmUp is how long an attempt must have run before it can count as slow.
	WarmUp time.Duration
}

// Add adds a pending group. A known group of the same round continues under the
// key of p; one of another round is replaced.
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

// AddChunk adds a chunk to an attempt and reports whether the attempt continues.
// An invalid chunk discards the sample.
func (d *Dispatcher) AddChunk(id SampleID, attempt int, c engine.Chunk) bool {
	r := d.find(id, attempt)
	if r == nil {
		return false
	}
	if err := r.sample.Append(c); err != nil {
		d.discard(r, DiscardProtocol)
		return false
	}
	return true
}

// Decide returns the actions that are due at now.
func (d *Dispatcher) Decide(now time.Time) Actions {
	d.stopWithdrawn()
	d.discardStale()
	d.redispatchSlow(now)
	var a Actions
	a.Starts = d.start(now)
	a.Finishes = d.finish(now)
	a.Stops, d.stops = d.stops, nil
	a.Discards, d.discards = d.discards, nil
	return a
}

// EndAttempt records the end of an attempt. A sample that is not complete is
// resumed at retryAt, or after retryInterval if retryAt is zero.
func (d *Dispatcher) EndAttempt(now time.Time, id SampleID, attempt int, complete bool, retryAt time.Time) {
	r := d.find(id, attempt)
	if r == nil {
		return
	}
	r.running = false
	if !complete {
		r.retryAt = retryAt
		if retryAt.IsZero() {
			r.retryAt = now.Add(retryInterval)
		}
		return
	}
	r.done = true
	n := r.sample.Tokens()
	r.group.lengths.add(n)
	d.lengths.add(n)
	if !slices.ContainsFunc(r.group.samples, func(s *run) bool { return !s.done }) {
		r.group.completedAt = now
	}
}

// SetKeys sets the hashes of the valid API keys. Groups of other keys stop, keep
// their partial samples, and resume when their key is valid again.
func (d *Dispatcher) SetKeys(keys set.Set[string]) {
	d.validKeys = keys
}

// Groups returns the known pending groups in the order in which they were added.
func (d *Dispatcher) Groups() []Pending {
	var pending []Pending
	for _, g := range d.sorted() {
		pending = append(pending, g.pending)
	}
	return pending
}

// Remove removes a group and stops its samples. Its tokens are not reported as
// discarded.
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

// SetBound sets the staleness bound and the newest version in the weight store.
func (d *Dispatcher) SetBound(b StalenessBound, newest fleet.WeightVersion) {
	d.bound = b
	d.newest = max(d.newest, newest)
}

// discard discards what a sample has so far and restarts it under a new ID.
func (d *Dispatcher) discard(r *run, why Reason) {
	d.discards = append(d.discards, Discard{Sample: r.sample.ID, Reason: why, Tokens: r.sample.Tokens()})
	d.stop(r)
	r.done = false
	r.group.completedAt = time.Time{}
	r.restart++
	d.reset(r)
}

// discardStale discards the samples that have become stale, without waiting for
// them to end.
func (d *Dispatcher) discardStale() {
	for _, g := range d.sorted() {
		for _, r := range g.samples {
			if !g.finished && r.sample.Tokens() > 0 && !d.bound.Fresh(r.sample.Oldest()) {
				d.discard(r, DiscardStale)
			}
		}
	}
}

func (d *Dispatcher) find(id SampleID, attempt int) *run {
	r, ok := d.runs[id]
	if !ok || r.attempt != attempt || !r.running {
		return nil
	}
	return r
}

// finish returns the complete groups. A group with a version newer than the
// newest in the weight store waits until the store lists that version; after
// versionTimeout, the samples with such a version are discarded.
func (d *Dispatcher) finish(now time.Time) []Finish {
	var finishes []Finish
	for _, g := range d.sorted() {
		if g.finished || g.completedAt.IsZero() {
			continue
		}
		if d.ahead(g) {
			d.discardAhead(now, g)
			continue
		}
		g.finished = true
		f := Finish{Pending: g.pending}
		for _, r := range g.samples {
			f.Samples = append(f.Samples, r.sample)
		}
		finishes = append(finishes, f)
	}
	return finishes
}

// ahead reports whether a sample of the group has a version newer than the newest
// in the weight store.
func (d *Dispatcher) ahead(g *group) bool {
	return slices.ContainsFunc(g.samples, func(r *run) bool { return r.sample.Newest() > d.newest })
}

// reset empties a sample and gives it a new ID, so that late messages of its
// earlier attempts are not attributed to it.
func (d *Dispatcher) reset(r *run) {
	delete(d.runs, r.sample.ID)
	id := NewSampleID(r.group.ID, r.group.pending.Round, r.restart, r.index)
	r.sample = Sample{ID: id, Group: r.group.ID}
	r.retryAt = time.Time{}
	r.redispatches = 0
	d.runs[id] = r
}

func (d *Dispatcher) discardAhead(now time.Time, g *group) {
	if !clock.Passed(now, g.completedAt.Add(versionTimeout)) {
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

// start starts as many waiting samples as InFlight permits, those with the most
// remaining tokens first unless NoStragglers is set.
func (d *Dispatcher) start(now time.Time) []Start {
	var ready []*run
	running := 0
	for _, g := range d.sorted() {
		if !d.validKeys.Contains(g.pending.Key) {
			continue
		}
		for _, r := range g.samples {
			switch {
			case r.running:
				running++
			case !r.done && clock.Passed(now, r.retryAt):
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

// stop ends the running attempt of a sample, if there is one.
func (d *Dispatcher) stop(r *run) {
	if r.running {
		d.stops = append(d.stops, Stop{Sample: r.sample.ID, Attempt: r.attempt})
		r.running = false
	}
}

// stopWithdrawn stops the samples of the groups whose API key is no longer valid.
func (d *Dispatcher) stopWithdrawn() {
	for _, g := range d.sorted() {
		if d.validKeys.Contains(g.pending.Key) {
			continue
		}
		for _, r := range g.samples {
			d.stop(r)
		}
	}
}
