package experiment

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/model/trace"
)

const (
	// samplePrompt is the length of a group's prompt.
	samplePrompt = 600
	// maxLag is how many versions a sample may be behind its trainer.
	maxLag = 2
	// swapTime is how long an engine pauses for new weights.
	swapTime = 500 * time.Millisecond
	// wavePeriod is between the waves of a roll-out, and waves their number.
	wavePeriod = 2 * time.Second
	waves      = 4
	// maxWaiting is how many requests of a workspace may wait.
	maxWaiting = 512
	// movePeriod is how often running samples are looked at.
	movePeriod = 5 * time.Second
	// movesAllowed is how often one sample may be moved.
	movesAllowed = 2
)

// trainer is one training job with its groups.
type trainer struct {
	world  *world
	index  int
	spec   trace.Trainer
	random *rand.Rand
	// version is that of the weights it published last.
	version int
	groups  []*group
	made    int
	// busy is whether it works on a step.
	busy bool
	// next is a batch formed while the trainer was busy.
	next []*group
	// rolledAt is when its newest weights are on all servers.
	rolledAt time.Time
	// idleSince is when it became idle; zero before its first step.
	idleSince time.Time
	firstAt   time.Time
	idle      time.Duration
	steps     int
	// lags counts used samples, a lag.
	lags      [maxLag + 1]int
	discarded int
	used      int
}

type group struct {
	trainer *trainer
	samples []*sample
	// left counts the samples that are not whole.
	left int
}

// sample is one answer of a group.
type sample struct {
	group  *group
	work   *work
	tokens int
	// version is the oldest that made a part of it; -1 before the start.
	version int
	moves   int
	// seenAt and seen are of the last look at its progress.
	seenAt time.Time
	seen   int
}

func newTrainer(w *world, i int) *trainer {
	return &trainer{
		world:  w,
		index:  i,
		spec:   w.trace.Deployment.Trainers[i],
		random: rand.New(rand.NewPCG(w.trace.Seed, 100+uint64(i))),
	}
}

// finish counts a whole sample.
func (s *sample) finish() {
	s.group.left--
	if s.group.left == 0 {
		s.group.trainer.form()
	}
}

// starts notes the weights that make the next part.
func (s *sample) starts(n *node) {
	v := n.versions[s.group.trainer.index]
	if s.version < 0 || v < s.version {
		s.version = v
	}
}

// form makes a batch of the oldest whole groups when there are enough, and
// hands it to the trainer when that is idle.
func (t *trainer) form() {
	if t.next == nil && !t.world.storeDown && (!t.busy || t.world.variant.Ahead) {
		t.fill()
	}
	if t.next == nil || t.busy {
		return
	}
	batch := t.next
	t.next = nil
	t.train(batch)
}

// fill makes the next batch, if there are enough whole and fresh groups.
func (t *trainer) fill() {
	t.discardStale()
	var whole []*group
	for _, g := range t.groups {
		if g.left == 0 && len(whole) < t.spec.Groups {
			whole = append(whole, g)
		}
	}
	if len(whole) == t.spec.Groups {
		t.next = whole
		t.groups = slices.DeleteFunc(t.groups, func(g *group) bool { return slices.Contains(whole, g) })
		return
	}
	if !t.busy {
		t.submit()
	}
}

// discardStale drops the groups that have a sample beyond the bound.
func (t *trainer) discardStale() {
	t.groups = slices.DeleteFunc(t.groups, func(g *group) bool {
		if t.fresh(g) {
			return false
		}
		t.discard(g)
		return true
	})
}

// fresh reports whether a group's samples are within the bound.
func (t *trainer) fresh(g *group) bool {
	for _, s := range g.samples {
		if s.version >= 0 && t.version-s.version > maxLag {
			return false
		}
	}
	return true
}

func (t *trainer) discard(g *group) {
	w := t.world
	t.discarded += len(g.samples)
	for _, s := range g.samples {
		k := s.work
		if k.job != nil {
			n := k.node
			k.produced += w.drop(k)
			w.release(n, k, gate.Report{Outcome: gate.Stopped})
		}
		w.withdraw(k)
		k.over = true
		w.tally.lost(k.produced)
	}
}

func (t *trainer) train(whole []*group) {
	w := t.world
	t.busy = true
	t.steps++
	if t.firstAt.IsZero() {
		t.firstAt = w.now
	} else {
		t.idle += w.now.Sub(t.idleSince)
	}
	for _, g := range whole {
		for _, s := range g.samples {
			t.lags[t.version-s.version]++
			t.used++
			w.tally.useful(s.tokens)
		}
	}
	t.ahead()
	w.after(t.spec.StepTime, func() {
		t.busy = false
		t.idleSince = w.now
		t.version++
		w.publish(t)
		t.recheck()
		t.form()
	})
}

// ahead asks for the groups of the next step: at once, or when the newest
// weights are on all servers.
func (t *trainer) ahead() {
	if !t.world.variant.Fresh {
		t.submit()
		return
	}
	t.world.at(t.rolledAt, t.submit)
}

// recheck gives a batch formed ahead up when a group in it is past the bound.
func (t *trainer) recheck() {
	for _, g := range t.next {
		if !t.fresh(g) {
			t.groups = append(slices.Clone(t.next), t.groups...)
			t.next = nil
			return
		}
	}
}

// submit asks for the groups of the next step and the spare ones.
func (t *trainer) submit() {
	w := t.world
	n := t.spec.Groups + w.variant.Straggling.Spare(t.spec.Groups) - len(t.groups)
	if n <= 0 {
		return
	}
	var samples []*sample
	for range n {
		g := t.group()
		t.groups = append(t.groups, g)
		samples = append(samples, g.samples...)
	}
	slices.SortStableFunc(samples, func(a, b *sample) int {
		return cmp.Compare(b.work.request.Tokens, a.work.request.Tokens)
	})
	for _, s := range samples {
		w.ask(s.work)
	}
}

// group makes a group, whose samples share a prompt.
func (t *trainer) group() *group {
	w := t.world
	t.made++
	g := &group{trainer: t, left: t.spec.Samples}
	prefix := uint64(t.index+1)<<32 + uint64(t.made)
	for range t.spec.Samples {
		s := &sample{group: g, version: -1, tokens: w.trace.SampleLength(t.random, t.spec.MeanTokens)}
		expected := max(int(float64(s.tokens)*math.Exp(0.5*t.random.NormFloat64())), 1)
		s.work = &work{sample: s, arrivedAt: w.now, request: gate.Request{
			Workspace:   t.spec.Workspace,
			Pool:        "models",
			Class:       fleet.Training,
			Prefix:      prefix,
			Tokens:      expected,
			Deadline:    epoch.Add(2 * w.trace.Duration),
			SpotAllowed: true,
		}}
		g.samples = append(g.samples, s)
	}
	return g
}

// publish rolls a trainer's new weights out in waves.
func (w *world) publish(t *trainer) {
	version := t.version
	t.rolledAt = w.now.Add((waves-1)*wavePeriod + swapTime)
	for i, id := range slices.Clone(w.nodeIDs) {
		n := w.nodes[id]
		if n.server.Pool != "models" {
			continue
		}
		w.after(time.Duration(i%waves)*wavePeriod, func() {
			if n.gone {
				return
			}
			w.collect(n, n.engine.Advance(w.now))
			n.engine.Pause(w.now, swapTime)
			n.versions[t.index] = version
			w.reset(n)
		})
	}
}

// moveStragglers looks at the running samples and moves the slow ones.
func (w *world) moveStragglers() {
	type seen struct {
		sample *sample
		rate   float64
	}
	var all []seen
	var rates []float64
	for _, id := range w.nodeIDs {
		n := w.nodes[id]
		if n.gone || n.server.Pool != "models" {
			continue
		}
		w.collect(n, n.engine.Advance(w.now))
		w.reset(n)
		for _, j := range n.engine.Jobs() {
			k := w.jobs[j]
			if k == nil || k.sample == nil {
				continue
			}
			if r, ok := k.sample.look(w.now, j.Generated()+k.produced); ok {
				all = append(all, seen{sample: k.sample, rate: r})
				rates = append(rates, r)
			}
		}
	}
	if len(rates) == 0 {
		return
	}
	slices.Sort(rates)
	median := rates[len(rates)/2]
	for _, s := range all {
		if s.sample.moves < movesAllowed && s.sample.work.job != nil && w.variant.Straggling.Move(s.rate, median) {
			s.sample.moves++
			s.sample.seenAt = time.Time{}
			w.move(s.sample.work)
		}
	}
}

// look returns the rate since the last look, in tokens a second.
func (s *sample) look(now time.Time, tokens int) (float64, bool) {
	last, seen := s.seenAt, s.seen
	s.seenAt, s.seen = now, tokens
	if last.IsZero() || tokens == 0 {
		return 0, false
	}
	return float64(tokens-seen) / now.Sub(last).Seconds(), true
}
