package batch

import (
	"cmp"
	"slices"
	"time"
)

// redispatchSlow stops samples that run far below the median rate and have many
// tokens left; they resume on another server from their partial text.
func (d *Dispatcher) redispatchSlow(now time.Time) {
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
			r.retryAt = time.Time{}
		}
	}
}

// remaining returns the expected number of tokens left. Samples of one prompt
// tend to have similar lengths, so the complete samples of the group are the best
// estimate.
func (d *Dispatcher) remaining(r *run) float64 {
	limit := float64(r.group.MaxTokens)
	expected := min(limit, r.group.lengths.valueOr(d.lengths.valueOr(limit)))
	done := float64(r.sample.Tokens())
	// A sample that is longer than expected is assumed to have a quarter of the
	// tokens up to its limit left.
	return max(expected-done, (limit-done)/4)
}

// slow reports whether moving a sample saves time: its remaining tokens must
// take longer at its own rate than twice the time at the median rate plus one
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
	warmUp := cmp.Or(d.Policy.WarmUp, defaultWarmUp).Seconds()
	return rate <= 0 || left/rate > 2*left/median+warmUp
}

// rate returns the tokens per second of the running attempt.
func (r *run) rate(now time.Time) float64 {
	s := now.Sub(r.startedAt).Seconds()
	if s <= 0 {
		return 0
	}
	return float64(r.sample.Tokens()-r.startTokens) / s
}
