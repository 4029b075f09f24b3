package batch

import (
	"cmp"
	"slices"
	"time"
)

// moveSlow stops samples that run far below the median rate and have much left
// to do; they resume on another server with what they have.
func (d *Dispatcher) moveSlow(now time.Time) {
	if d.Policy.NoStragglers {
		return
	}
	var rates []float64
	var warm []*run
	for _, g := range d.sorted() {
		for _, r := range g.samples {
			if r.running && now.Sub(r.startedAt) >= cmp.Or(d.Policy.WarmUp, defaultWarmUp) {
				warm = append(warm, r)
				rates = append(rates, r.rate(now))
			}
		}
	}
	if len(warm) == 0 {
		return
	}
	slices.Sort(rates)
	median := rates[len(rates)/2]
	for _, r := range warm {
		if d.slow(now, r, median) {
			d.stop(r)
			r.redispatches++
			r.restUntil = time.Time{}
		}
	}
}

// remaining returns the expected number of tokens left. Samples of one prompt
// tend to be of like length, so that ended ones of the group say most.
func (d *Dispatcher) remaining(r *run) float64 {
	limit := float64(r.group.MaxTokens)
	expected := min(limit, r.group.lengths.or(d.lengths.or(limit)))
	done := float64(r.sample.Tokens())
	// A sample that is longer than expected has more to come.
	return max(expected-done, (limit-done)/4)
}

// slow reports whether moving a sample is worth it: at its own rate it needs
// more than twice as long as at the median one, and that by more than a
// warm-up.
func (d *Dispatcher) slow(now time.Time, r *run, median float64) bool {
	if r.redispatches >= cmp.Or(d.Policy.Redispatches, defaultRedispatches) {
		return false
	}
	rate := r.rate(now)
	if median <= 0 || rate >= median*cmp.Or(d.Policy.SlowShare, defaultSlowShare) {
		return false
	}
	left := d.remaining(r)
	warm := cmp.Or(d.Policy.WarmUp, defaultWarmUp).Seconds()
	return rate <= 0 || left/rate > 2*left/median+warm
}

// rate returns the tokens a second of the running try.
func (r *run) rate(now time.Time) float64 {
	s := now.Sub(r.startedAt).Seconds()
	if s <= 0 {
		return 0
	}
	return float64(r.sample.Tokens()-r.startTokens) / s
}
