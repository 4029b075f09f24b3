package clock_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
)

func TestPassedUsesTheClockThatAdvancedFurther(t *testing.T) {
	start := time.Now()
	deadline := start.Add(time.Minute)
	must.False(t, clock.Passed(start, deadline))
	must.True(t, clock.Passed(deadline, deadline))
	// A resumed VM: the wall clock has advanced, the monotonic one has not. A time
	// without a monotonic reading is compared by the wall clock alone.
	must.True(t, clock.Passed(start.Round(0).Add(time.Hour), deadline))
	must.True(t, clock.Passed(start, time.Time{}))
}

func TestElapsedReturnsTheLargerDifference(t *testing.T) {
	start := time.Now()
	must.Eq(t, time.Second, clock.Elapsed(start, start.Add(time.Second)))
	must.Eq(t, time.Second, clock.Elapsed(start.Round(0), start.Add(time.Second)))
}
