package weight_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/weight"
	"github.com/lacewingtally/lacewingtally/internal/platform/weights"
)

// rolloutTime returns how long a roll-out to n servers takes if each swap lasts
// swap and the status shows it lag later.
func rolloutTime(n int, p weight.Policy, swap, lag time.Duration) time.Duration {
	r := &weight.Rollout{Policy: p}
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := start
	reportAll(r, now, servers(n), 1)
	r.Publish(weights.Weights{Pool: "p", Version: 2})
	type swapping struct {
		swap weight.Swap
		done time.Time
	}
	var running []swapping
	for !r.Settled(now) && now.Sub(start) < time.Minute {
		var unfinished []swapping
		for _, s := range running {
			if now.Before(s.done) {
				unfinished = append(unfinished, s)
				continue
			}
			r.Report(now, s.swap.Server.ID, s.swap.Weights.Version)
		}
		running = unfinished
		for _, s := range r.Decide(now) {
			running = append(running, swapping{swap: s, done: now.Add(swap + lag)})
		}
		now = now.Add(tick)
	}
	return now.Sub(start)
}

// TestAllServersWithinTenSeconds computes in virtual time at which rates of the
// weight store and which shares of a pool a region with half of 630 servers has
// the new weights on all of them within ten seconds.
func TestAllServersWithinTenSeconds(t *testing.T) {
	const regionServers = 315
	for _, c := range []struct {
		share  float64
		rate   float64
		swap   time.Duration
		within bool
	}{
		{share: 0.25, rate: 0, swap: time.Second, within: true},
		{share: 0.25, rate: 0, swap: 2 * time.Second, within: false},
		{share: 0.34, rate: 0, swap: 2 * time.Second, within: true},
		{share: 0.34, rate: 0, swap: 3 * time.Second, within: true},
		{share: 0.25, rate: 30, swap: time.Second, within: false},
		{share: 0.25, rate: 40, swap: time.Second, within: true},
		{share: 0.25, rate: 40, swap: 2 * time.Second, within: false},
		{share: 0.5, rate: 40, swap: 2 * time.Second, within: false},
		{share: 0.5, rate: 50, swap: 2 * time.Second, within: true},
		{share: 0.51, rate: 0, swap: 4 * time.Second, within: true},
	} {
		d := rolloutTime(regionServers, weight.Policy{Share: c.share, Rate: c.rate}, c.swap, 200*time.Millisecond)
		t.Logf("%d servers, share %.2f, rate %.0f/s, swap %s: %s", regionServers, c.share, c.rate, c.swap, d)
		must.Eq(t, c.within, d <= 10*time.Second, must.Sprintf("share %.2f rate %.0f swap %s: %s", c.share, c.rate, c.swap, d))
	}
}
