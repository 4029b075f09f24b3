package ratelimit_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingtally/lacewingtally/internal/control/ratelimit"
)

// TestValidSlotKeepsItsOwner checks that the shares in an epoch stay the same for as long
// as the slots in it may be used, whatever daemons report meanwhile.
func TestValidSlotKeepsItsOwner(t *testing.T) {
	const length = 3 * time.Second
	lowest := ratelimit.MaxAge(ratelimit.MinRate)
	rapid.Check(t, func(t *rapid.T) {
		reported := make([]ratelimit.Demand, rapid.IntRange(2, 10).Draw(t, "daemons"))
		level := rapid.Float64Range(0, 100)
		began := time.UnixMilli(1_767_323_043_000 / length.Milliseconds() * length.Milliseconds())
		epoch := ratelimit.EpochOf(began)
		report := func(at time.Time) {
			for n := range reported {
				reported[n] = reported[n].Advance(ratelimit.EpochOf(at), level.Draw(t, "level"))
			}
		}
		for back := 3; back > 0; back-- {
			report(began.Add(-time.Duration(back) * length))
		}
		want := make([]ratelimit.Share, len(reported))
		for n := range want {
			want[n] = ratelimit.ShareOf(reported, n, epoch)
		}
		for at := began; at.Before(began.Add(length + lowest)); at = at.Add(300 * time.Millisecond) {
			report(at)
			for n := range want {
				must.Eq(t, want[n], ratelimit.ShareOf(reported, n, epoch), must.Sprint(at.Sub(began)))
			}
		}
	})
}
