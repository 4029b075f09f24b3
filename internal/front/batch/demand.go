package batch

import (
	"time"
)

// rateSpan is the time over which the rate of a model's work is taken.
const rateSpan = 12 * time.Second

// Demand returns the tokens that the known jobs of a model expect, ended ones
// among them: the next steps will be alike.
func (r *Runner) Demand(model string) float64 {
	return r.tokensOf(model, time.Time{})
}

// Rate returns the tokens of a model that trainers ask for in a second.
func (r *Runner) Rate(model string) float64 {
	now, ok := r.fleet.Clock.Now()
	if !ok {
		return 0
	}
	return r.tokensOf(model, now.Add(-rateSpan)) / rateSpan.Seconds()
}

// tokensOf adds up the tokens of a model's jobs that came after an instant of
// the store's clock.
func (r *Runner) tokensOf(model string, since time.Time) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sum := 0.0
	for _, j := range r.jobs {
		if j.head.Model != model || j.head.SubmittedAt < since.UnixMilli() {
			continue
		}
		for _, i := range j.head.Items {
			sum += float64(expected(i.Tokens, i.Limit))
		}
	}
	return sum
}

// Counts returns the numbers of items that run and wait here, and of open jobs.
func (r *Runner) Counts() (running, waiting, jobs int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, j := range r.jobs {
		if j.ended {
			continue
		}
		jobs++
		for _, i := range j.items {
			switch {
			case i.stop != nil:
				running++
			case !i.done:
				waiting++
			}
		}
	}
	return running, waiting, jobs
}
