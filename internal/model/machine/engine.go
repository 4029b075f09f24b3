// Package machine models the time that an engine takes: batching, a prefix
// cache in limited memory, pauses and slow spells.
package machine

import (
	"math"
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

const (
	// soloRate is the rate of one generation alone, in tokens a second.
	soloRate = 80.0
	// batchCost is how much each generation in the batch slows all of them.
	batchCost = 0.06
	// promptRate is how many prompt tokens cost as much as one generated.
	promptRate = 60.0
	// cachedPrefixes is how many prompts the cache holds.
	cachedPrefixes = 24
	// done is the work below which a job counts as done, in tokens.
	done = 1e-6
)

// Engine is one engine. Use New. It is used by one goroutine.
type Engine struct {
	// Speed is 1 in ordinary times.
	Speed    float64
	capacity int
	// at is when the progress of the jobs was true.
	at time.Time
	// pausedUntil is the end of a weight swap.
	pausedUntil time.Time
	running     []*Job
	// waiting is in the order of class, then of arrival.
	waiting []*Job
	cache   []uint64
}

// Job is one attempt.
type Job struct {
	// ID is unique.
	ID     int
	Class  fleet.Class
	Prefix uint64
	// PrefixTokens is the length of the shared prompt, PromptTokens that of
	// the rest; a resumed attempt has its text so far in PromptTokens.
	PrefixTokens int
	PromptTokens int
	// Tokens is how many to generate.
	Tokens int
	// StartedAt is when it left the engine's queue; zero while it waits.
	StartedAt time.Time
	// Prefill is the work for the prompt, in tokens; known once started.
	Prefill float64
	// left is the work left, in tokens.
	left float64
}

// New returns an engine at now.
func New(now time.Time, capacity int) *Engine {
	return &Engine{Speed: 1, capacity: capacity, at: now}
}

// Generated returns how many tokens of the job have been generated.
func (j *Job) Generated() int {
	if j.StartedAt.IsZero() {
		return 0
	}
	return max(min(j.Tokens-int(math.Ceil(j.left-done)), j.Tokens), 0)
}

// Solo returns how long an answer takes on an idle engine with its prompt
// cached.
func Solo(tokens int) time.Duration {
	return time.Duration(float64(tokens) / (soloRate / (1 + batchCost)) * float64(time.Second))
}

// Add takes a job.
func (e *Engine) Add(now time.Time, j *Job) {
	e.Advance(now)
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].Class > j.Class {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, j)
	e.fill(now)
}

// Advance moves the jobs on to now and returns those that are done.
func (e *Engine) Advance(now time.Time) []*Job {
	from := e.at
	if e.pausedUntil.After(from) {
		from = e.pausedUntil
	}
	e.at = now
	if now.After(from) {
		work := e.rate() * now.Sub(from).Seconds()
		for _, j := range e.running {
			j.left -= work
		}
	}
	var out []*Job
	e.running = slices.DeleteFunc(e.running, func(j *Job) bool {
		if j.left > done {
			return false
		}
		out = append(out, j)
		return true
	})
	if len(out) > 0 {
		e.fill(now)
	}
	return out
}

// Jobs returns all jobs, running ones first.
func (e *Engine) Jobs() []*Job {
	return append(slices.Clone(e.running), e.waiting...)
}

// Load returns the number of running and waiting jobs.
func (e *Engine) Load() (running, waiting int) {
	return len(e.running), len(e.waiting)
}

// NextAt returns when the next job is done; the bool is false when none runs.
func (e *Engine) NextAt() (time.Time, bool) {
	if len(e.running) == 0 {
		return time.Time{}, false
	}
	least := math.Inf(1)
	for _, j := range e.running {
		least = min(least, j.left)
	}
	from := e.at
	if e.pausedUntil.After(from) {
		from = e.pausedUntil
	}
	wait := max(least, 0)/e.rate()*float64(time.Second) + 1
	return from.Add(time.Duration(wait)), true
}

// Pause stops all jobs for a while.
func (e *Engine) Pause(now time.Time, d time.Duration) {
	e.Advance(now)
	e.pausedUntil = now.Add(d)
}

// Remove takes a job out and reports whether it was there.
func (e *Engine) Remove(now time.Time, j *Job) bool {
	e.Advance(now)
	if i := slices.Index(e.waiting, j); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
		return true
	}
	i := slices.Index(e.running, j)
	if i < 0 {
		return false
	}
	e.running = slices.Delete(e.running, i, i+1)
	e.fill(now)
	return true
}

// SetSpeed changes the speed.
func (e *Engine) SetSpeed(now time.Time, s float64) {
	e.Advance(now)
	e.Speed = s
}

// fill starts waiting jobs while there is room.
func (e *Engine) fill(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.capacity {
		j := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		prompt := j.PromptTokens
		if !e.hit(j.Prefix) {
			prompt += j.PrefixTokens
		}
		j.StartedAt = now
		j.Prefill = float64(prompt) / promptRate
		j.left = j.Prefill + float64(j.Tokens)
		e.running = append(e.running, j)
	}
}

// hit reports whether a prompt is cached, and caches it.
func (e *Engine) hit(prefix uint64) bool {
	if prefix == 0 {
		return true
	}
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > cachedPrefixes {
		e.cache = slices.Delete(e.cache, 0, 1)
	}
	return i >= 0
}

// rate returns the tokens a second of each running job.
func (e *Engine) rate() float64 {
	return soloRate * e.Speed / (1 + batchCost*float64(len(e.running)))
}
