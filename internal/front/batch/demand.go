package batch

import (
	"time"
)

// rateWindow is the time over which TokenRate averages.
const rateWindow = 12 * time.Second

// ExpectedTokens returns the number of tokens expected of all known jobs of a
// model, including ended ones, because the next steps are likely to be similar.
func (r *Runner) ExpectedTokens(model string) float64 {
	return r.tokensSince(model, time.Time{})
}

// TokenRate returns how many tokens of a model trainers request per second.
func (r *Runner) TokenRate(model string) float64 {
	now, ok := r.fleet.Clock.Now()
	if !ok {
		return 0
	}
	return r.tokensSince(model, now.Add(-rateWindow)) / rateWindow.Seconds()
}

// tokensSince returns the number of tokens expected of the jobs of a model that
// were submitted since a time of the store's clock.
func (r *Runner) tokensSince(model string, since time.Time) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sum := 0.0
	for _, j := range r.jobs {
		if j.head.Model != model || j.head.SubmittedAt < since.UnixMilli() {
			continue
		}
		for _, i := range j.head.Items {
			sum += float64(expectedTokens(i.Tokens, i.Limit))
		}
	}
	return sum
}

// Counts returns the numbers of items of this daemon that run, wait, and await
// their score, and of open jobs.
func (r *Runner) Counts() (running, waiting, scoring, jobs int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, j := range r.jobs {
		if j.ended {
			continue
		}
		jobs++
		for _, i := range j.items {
			switch {
			case i.awaitsScore():
				scoring++
			case i.stop != nil:
				running++
			case !i.done:
				waiting++
			}
		}
	}
	return running, waiting, scoring, jobs
}
