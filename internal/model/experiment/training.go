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
	// samplePromptTokens is the length of a group's prompt, in tokens.
	samplePromptTokens = 600
	// maxLag is the number of weight versions that a sample may be behind its
	// trainer.
	maxLag = 2
	// swapTime is how long an engine pauses to load new weights.
	swapTime = 500 * time.Millisecond
	// wavePeriod is the time between the waves of a roll-out, and waveCount the
	// number of waves.
	wavePeriod = 2 * time.Second
	waveCount  = 4
	// maxWaiting is the number of requests of a workspace that may wait.
	maxWaiting = 512
	// stragglerInterval is the interval between checks for stragglers.
	stragglerInterval = 5 * time.Second
	// maxMoves is the number of times that one sample may be moved.
	maxMoves = 2
)

// trainer is the state of one training job and its groups.
type trainer struct {
	simulation *simulation
	index      int
	spec       trace.Trainer
	random     *rand.Rand
	// version is the version of the weights that it published last.
	version    int
	groups     []*group
	groupCount int
	// busy is whether it is running a step.
	busy bool
	// nextBatch is a batch that is formed but not yet used.
	nextBatch []*group
	// rolledOutAt is when its newest weights are on all servers.
	rolledOutAt time.Time
	// idleSince is when it last became idle; zero before the end of its first
	// step.
	idleSince time.Time
	firstAt   time.Time
	idle      time.Duration
	steps     int
	// lags counts the used samples by their lag in versions.
	lags      [maxLag + 1]int
	discarded int
	used      int
}

// group is a set of samples with the same prompt.
type group struct {
	trainer *trainer
	samples []*sample
	// incomplete is the number of samples that are not complete.
	incomplete int
}

// sample is one answer in a group.
type sample struct {
	group  *group
	task   *task
	tokens int
	// oldestVersion is the oldest weight version that generated a part of it; -1
	// before the start.
	oldestVersion int
	moves         int
	// seenAt is the time of the last progress check, and seenTokens the number
	// of tokens at that time.
	seenAt     time.Time
	seenTokens int
}

func newTrainer(m *simulation, i int) *trainer {
	return &trainer{
		simulation: m,
		index:      i,
		spec:       m.trace.Deployment.Trainers[i],
		random:     rand.New(rand.NewPCG(m.trace.Seed, 100+uint64(i))),
	}
}

// finish counts a sample as complete, and forms a batch when its group is
// complete.
func (s *sample) finish() {
	s.group.incomplete--
	if s.group.incomplete == 0 {
		s.group.trainer.formBatch()
	}
}

// recordVersion updates oldestVersion with the weight version of the server that
// generates the next part of the sample.
func (s *sample) recordVersion(n *node) {
	v := n.versions[s.group.trainer.index]
	if s.oldestVersion < 0 || v < s.oldestVersion {
		s.oldestVersion = v
	}
}

// formBatch forms the next batch if there are enough complete groups, and starts
// a step with it if the trainer is idle.
func (t *trainer) formBatch() {
	if t.nextBatch == nil && !t.simulation.storeDown && (!t.busy || t.simulation.variant.Ahead) {
		t.fillNextBatch()
	}
	if t.nextBatch == nil || t.busy {
		return
	}
	batch := t.nextBatch
	t.nextBatch = nil
	t.train(batch)
}

// fillNextBatch discards stale groups and puts the oldest complete groups into
// the next batch, if there are enough. Otherwise an idle trainer asks for more.
func (t *trainer) fillNextBatch() {
	t.discardStale()
	var complete []*group
	for _, g := range t.groups {
		if g.incomplete == 0 && len(complete) < t.spec.Groups {
			complete = append(complete, g)
		}
	}
	if len(complete) == t.spec.Groups {
		t.nextBatch = complete
		t.groups = slices.DeleteFunc(t.groups, func(g *group) bool { return slices.Contains(complete, g) })
		return
	}
	if !t.busy {
		t.submit()
	}
}

// discardStale discards the groups with a sample that is more than maxLag
// versions behind.
func (t *trainer) discardStale() {
	t.groups = slices.DeleteFunc(t.groups, func(g *group) bool {
		if t.fresh(g) {
			return false
		}
		t.discard(g)
		return true
	})
}

// fresh reports whether all samples of a group are at most maxLag versions
// behind.
func (t *trainer) fresh(g *group) bool {
	for _, s := range g.samples {
		if s.oldestVersion >= 0 && t.version-s.oldestVersion > maxLag {
			return false
		}
	}
	return true
}

func (t *trainer) discard(g *group) {
	m := t.simulation
	t.discarded += len(g.samples)
	for _, s := range g.samples {
		k := s.task
		if k.job != nil {
			n := k.node
			k.kept += m.stopAttempt(k)
			m.releaseGrant(n, k, gate.Report{Outcome: gate.Stopped})
		}
		m.cancelAsk(k)
		k.ended = true
		m.counters.addLost(k.kept)
	}
}

func (t *trainer) train(groups []*group) {
	m := t.simulation
	t.busy = true
	t.steps++
	if t.firstAt.IsZero() {
		t.firstAt = m.now
	} else {
		t.idle += m.now.Sub(t.idleSince)
	}
	for _, g := range groups {
		for _, s := range g.samples {
			t.lags[t.version-s.oldestVersion]++
			t.used++
			m.counters.addUseful(s.tokens)
		}
	}
	t.submitNext()
	m.after(t.spec.StepTime, func() {
		t.busy = false
		t.idleSince = m.now
		t.version++
		m.publish(t)
		t.recheckNextBatch()
		t.formBatch()
	})
}

// submitNext asks for the groups of the next step: at once or, with
// Variant.Fresh, when the newest weights are on all servers.
func (t *trainer) submitNext() {
	if !t.simulation.variant.Fresh {
		t.submit()
		return
	}
	t.simulation.at(t.rolledOutAt, t.submit)
}

// recheckNextBatch returns the groups of the next batch to the trainer's groups if
// one of them has become stale.
func (t *trainer) recheckNextBatch() {
	for _, g := range t.nextBatch {
		if !t.fresh(g) {
			t.groups = append(slices.Clone(t.nextBatch), t.groups...)
			t.nextBatch = nil
			return
		}
	}
}

// submit asks for as many groups as are missing for the next step and its spare
// groups.
func (t *trainer) submit() {
	m := t.simulation
	n := t.spec.Groups + m.variant.Stragglers.Spare(t.spec.Groups) - len(t.groups)
	if n <= 0 {
		return
	}
	var samples []*sample
	for range n {
		g := t.newGroup()
		t.groups = append(t.groups, g)
		samples = append(samples, g.samples...)
	}
	slices.SortStableFunc(samples, func(a, b *sample) int {
		return cmp.Compare(b.task.request.Tokens, a.task.request.Tokens)
	})
	for _, s := range samples {
		m.requestGrant(s.task)
	}
}

// newGroup returns a new group, whose samples share a prompt.
func (t *trainer) newGroup() *group {
	m := t.simulation
	t.groupCount++
	g := &group{trainer: t, incomplete: t.spec.Samples}
	prefix := uint64(t.index+1)<<32 + uint64(t.groupCount)
	for range t.spec.Samples {
		s := &sample{group: g, oldestVersion: -1, tokens: m.trace.SampleLength(t.random, t.spec.MeanTokens)}
		expected := max(int(float64(s.tokens)*math.Exp(0.5*t.random.NormFloat64())), 1)
		s.task = &task{sample: s, arrivedAt: m.now, request: gate.Request{
			Workspace:   t.spec.Workspace,
			Pool:        "models",
			Class:       fleet.Training,
			Prefix:      prefix,
			Tokens:      expected,
			Deadline:    startTime.Add(2 * m.trace.Duration),
			SpotAllowed: true,
		}}
		g.samples = append(g.samples, s)
	}
	return g
}

// publish rolls out a trainer's new weights in waves.
func (m *simulation) publish(t *trainer) {
	version := t.version
	t.rolledOutAt = m.now.Add((waveCount-1)*wavePeriod + swapTime)
	for i, id := range slices.Clone(m.nodeIDs) {
		n := m.nodes[id]
		if n.server.Pool != "models" {
			continue
		}
		m.after(time.Duration(i%waveCount)*wavePeriod, func() {
			if n.gone {
				return
			}
			m.finishJobs(n, n.engine.Advance(m.now))
			n.engine.Pause(m.now, swapTime)
			n.versions[t.index] = version
			m.resetTimer(n)
		})
	}
}

// moveStragglers moves the running samples that the straggler policy selects by
// their rate.
func (m *simulation) moveStragglers() {
	type progress struct {
		sample *sample
		rate   float64
	}
	var candidates []progress
	var rates []float64
	for _, id := range m.nodeIDs {
		n := m.nodes[id]
		if n.gone || n.server.Pool != "models" {
			continue
		}
		m.finishJobs(n, n.engine.Advance(m.now))
		m.resetTimer(n)
		for _, j := range n.engine.Jobs() {
			k := m.jobs[j]
			if k == nil || k.sample == nil {
				continue
			}
			if r, ok := k.sample.measureRate(m.now, j.Generated()+k.kept); ok {
				candidates = append(candidates, progress{sample: k.sample, rate: r})
				rates = append(rates, r)
			}
		}
	}
	if len(rates) == 0 {
		return
	}
	slices.Sort(rates)
	median := rates[len(rates)/2]
	for _, s := range candidates {
		if s.sample.moves < maxMoves && s.sample.task.job != nil && m.variant.Stragglers.Move(s.rate, median) {
			s.sample.moves++
			s.sample.seenAt = time.Time{}
			m.move(s.sample.task)
		}
	}
}

// measureRate returns the rate since the last call, in tokens per second. The
// second result is false when the rate is unknown: on the first call, on the
// first call after a straggler was moved, and before the first token.
func (s *sample) measureRate(now time.Time, tokens int) (float64, bool) {
	last, seen := s.seenAt, s.seenTokens
	s.seenAt, s.seenTokens = now, tokens
	if last.IsZero() || tokens == 0 {
		return 0, false
	}
	return float64(tokens-seen) / now.Sub(last).Seconds(), true
}
