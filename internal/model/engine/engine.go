// Package engine models how long an engine takes for its jobs, with batching, a
// prefix cache of limited size, pauses for weight swaps and changes of speed.
package engine

import (
	"math"
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

const (
	// soloRate is the rate of a generation that runs alone, before batchCost, in
	// tokens per second.
	soloRate = 80.0
	// batchCost is the relative slowdown of all generations that each one in
	// the batch adds.
	batchCost = 0.06
	// promptRate is the number of prompt tokens that take as much work as one
	// generated token.
	promptRate = 60.0
	// cachedPrefixes is the number of prompt prefixes that the cache holds.
	cachedPrefixes = 24
	// epsilon is the remaining work, in tokens, at or below which a job is done.
	epsilon = 1e-6
)

// Engine is a model of one engine. Use New to create one. It is not safe for
// concurrent use.
type Engine struct {
	// Speed is the relative speed; 1 is normal.
	Speed    float64
	capacity int
	// updatedAt is the time up to which the progress of the jobs is computed.
	updatedAt time.Time
	// pausedUntil is the end of a weight swap.
	pausedUntil time.Time
	running     []*Job
	// waiting is ordered by class, then by arrival.
	waiting []*Job
	// cache lists the cached prefixes, least recently used first.
	cache []uint64
}

// Job is one attempt at a generation.
type Job struct {
	// ID is unique.
	ID     int
	Class  fleet.Class
	Prefix uint64
	// PrefixTokens is the length of the shared prompt prefix, PromptTokens that
	// of the rest of the prompt. For a resumed attempt PromptTokens includes
	// the text generated so far.
	PrefixTokens int
	PromptTokens int
	// Tokens is the number of tokens to generate.
	Tokens int
	// StartedAt is when the job left the engine's queue; zero while it waits.
	StartedAt time.Time
	// Prefill is the work for the prompt, in generated tokens; it is set when
	// the job starts.
	Prefill float64
	// remaining is the remaining work, in generated tokens.
	remaining float64
}

// New returns an idle engine at time now that runs up to capacity jobs at once.
func New(now time.Time, capacity int) *Engine {
	return &Engine{Speed: 1, capacity: capacity, updatedAt: now}
}

// Generated returns the number of tokens generated up to the last Advance.
func (j *Job) Generated() int {
	if j.StartedAt.IsZero() {
		return 0
	}
	return max(min(j.Tokens-int(math.Ceil(j.remaining-epsilon)), j.Tokens), 0)
}

// Add queues a job and starts it if a slot is free.
func (e *Engine) Add(now time.Time, j *Job) {
	e.Advance(now)
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].Class > j.Class {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, j)
	e.startWaiting(now)
}

// Advance computes the progress of the jobs up to now, removes those that are
// done and returns them.
func (e *Engine) Advance(now time.Time) []*Job {
	from := e.updatedAt
	if e.pausedUntil.After(from) {
		from = e.pausedUntil
	}
	e.updatedAt = now
	if now.After(from) {
		work := e.rate() * now.Sub(from).Seconds()
		for _, j := range e.running {
			j.remaining -= work
		}
	}
	var out []*Job
	e.running = slices.DeleteFunc(e.running, func(j *Job) bool {
		if j.remaining > epsilon {
			return false
		}
		out = append(out, j)
		return true
	})
	if len(out) > 0 {
		e.startWaiting(now)
	}
	return out
}

// Jobs returns all jobs, the running ones first.
func (e *Engine) Jobs() []*Job {
	return append(slices.Clone(e.running), e.waiting...)
}

// Load returns the number of running and waiting jobs.
func (e *Engine) Load() (running, waiting int) {
	return len(e.running), len(e.waiting)
}

// NextAt returns when the next job will be done; the second result is false when
// no job is running.
func (e *Engine) NextAt() (time.Time, bool) {
	if len(e.running) == 0 {
		return time.Time{}, false
	}
	least := math.Inf(1)
	for _, j := range e.running {
		least = min(least, j.remaining)
	}
	from := e.updatedAt
	if e.pausedUntil.After(from) {
		from = e.pausedUntil
	}
	wait := max(least, 0)/e.rate()*float64(time.Second) + 1
	return from.Add(time.Duration(wait)), true
}

// Pause stops the progress of all jobs for the duration d.
func (e *Engine) Pause(now time.Time, d time.Duration) {
	e.Advance(now)
	e.pausedUntil = now.Add(d)
}

// Remove removes a waiting or running job and reports whether it was present.
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
	e.startWaiting(now)
	return true
}

// SetSpeed sets the relative speed from now on; 1 is normal.
func (e *Engine) SetSpeed(now time.Time, s float64) {
	e.Advance(now)
	e.Speed = s
}

// startWaiting starts waiting jobs while slots are free.
func (e *Engine) startWaiting(now time.Time) {
	for len(e.waiting) > 0 && len(e.running) < e.capacity {
		j := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		prompt := j.PromptTokens
		if !e.lookup(j.Prefix) {
			prompt += j.PrefixTokens
		}
		j.StartedAt = now
		j.Prefill = float64(prompt) / promptRate
		j.remaining = j.Prefill + float64(j.Tokens)
		e.running = append(e.running, j)
	}
}

// lookup reports whether a prefix is cached, and makes it the most recently used
// entry of the cache. Prefix 0 (none) is never cached and counts as a hit.
func (e *Engine) lookup(prefix uint64) bool {
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

// rate returns the rate of each running job, in tokens per second.
func (e *Engine) rate() float64 {
	return soloRate * e.Speed / (1 + batchCost*float64(len(e.running)))
}
