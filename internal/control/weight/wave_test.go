package weight_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/weight"
	"github.com/lacewingtally/lacewingtally/internal/platform/weights"
)

// finishAfter returns how long a roll-out to n servers takes when each swap
// takes swap and its status is known lag later.
func finishAfter(n int, p weight.Policy, swap, lag time.Duration) time.Duration {
	r := &weight.Rollout{Policy: p}
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := began
	known(r, now, servers(n), 1)
	r.Publish(weights.Weights{Pool: "p", Version: 2})
	type swapping struct {
		load weight.Load
		done time.Time
	}
	var running []swapping
	for !r.Settled(now) && now.Sub(began) < time.Minute {
		var left []swapping
		for _, s := range running {
			if now.Before(s.done) {
				left = append(left, s)
				continue
			}
			r.Report(now, s.load.Server.ID, s.load.Weights.Version)
		}
		running = left
		for _, l := range r.Decide(now) {
			running = append(running, swapping{load: l, done: now.Add(swap + lag)})
		}
		now = now.Add(tick)
	}
	return now.Sub(began)
}

// TestAllServersWithinTenSeconds computes in virtual time which rate of the
// weight store and which share of a pool let a region's half of 630 servers
// have new weights within ten seconds.
func TestAllServersWithinTenSeconds(t *testing.T) {
	const region = 315
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
		d := finishAfter(region, weight.Policy{Share: c.share, Rate: c.rate}, c.swap, 200*time.Millisecond)
		t.Logf("%d servers, share %.2f, rate %.0f/s, swap %s: %s", region, c.share, c.rate, c.swap, d)
		must.Eq(t, c.within, d <= 10*time.Second, must.Sprintf("share %.2f rate %.0f swap %s: %s", c.share, c.rate, c.swap, d))
	}
}
