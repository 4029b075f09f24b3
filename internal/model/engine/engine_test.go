package engine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	suite.Main(m)
}

// runUntilIdle advances an engine until no job is running and returns that time.
func runUntilIdle(e *Engine) time.Time {
	now := start
	for {
		at, ok := e.NextAt()
		if !ok {
			return now
		}
		now = at
		e.Advance(now)
	}
}

func TestBatchingSlowsEachJobAndRaisesThroughput(t *testing.T) {
	single := New(start, 16)
	single.Add(start, &Job{Tokens: 400})
	alone := runUntilIdle(single).Sub(start)
	batch := New(start, 16)
	for range 16 {
		batch.Add(start, &Job{Tokens: 400})
	}
	together := runUntilIdle(batch).Sub(start)
	must.Greater(t, alone, together)
	must.Less(t, 4*alone, together)
}

func TestPrefixCacheIsLimited(t *testing.T) {
	e := New(start, 1)
	now := start
	prefill := func(prefix uint64) float64 {
		j := &Job{Tokens: 1, Prefix: prefix, PrefixTokens: 600}
		e.Add(now, j)
		now = now.Add(time.Minute)
		e.Advance(now)
		return j.Prefill
	}
	must.Eq(t, 10, prefill(1))
	must.Eq(t, 0, prefill(1))
	for i := range cachedPrefixes {
		prefill(uint64(2 + i))
	}
	must.Eq(t, 10, prefill(1))
}

func TestJobsStartByClassAndPauseStopsProgress(t *testing.T) {
	e := New(start, 1)
	e.Add(start, &Job{Tokens: 10})
	late := &Job{Tokens: 10, Class: fleet.Training}
	live := &Job{Tokens: 10, Class: fleet.Live}
	e.Add(start, late)
	e.Add(start, live)
	e.Pause(start, time.Hour)
	must.SliceEmpty(t, e.Advance(start.Add(time.Hour)))
	must.Len(t, 1, e.Advance(start.Add(time.Hour+time.Second)))
	must.False(t, live.StartedAt.IsZero())
	must.True(t, late.StartedAt.IsZero())
	must.Eq(t, 0, late.Generated())
	must.True(t, e.Remove(start.Add(time.Hour+time.Second), late))
	must.False(t, e.Remove(start.Add(time.Hour+time.Second), late))
}

func TestGeneratedExcludesPrefill(t *testing.T) {
	e := New(start, 4)
	j := &Job{Tokens: 100, PromptTokens: 600}
	e.Add(start, j)
	e.Advance(start.Add(50 * time.Millisecond))
	must.Eq(t, 0, j.Generated())
	e.Advance(start.Add(time.Second))
	must.Between(t, 60, j.Generated(), 70)
	e.SetSpeed(start.Add(time.Second), 0)
	before := j.Generated()
	e.Advance(start.Add(time.Minute))
	must.Eq(t, before, j.Generated())
}
