package batch

import "time"

// group is one pending group.
type group struct {
	Group
	pending Pending
	// order is the number of groups added before this one.
	order   int
	samples []*run
	// lengths is the mean number of tokens of the group's complete samples.
	lengths mean
	// finished means that the group's Finish was returned.
	finished bool
	// completedAt is when the last sample was completed; zero before.
	completedAt time.Time
}

// mean is a running mean.
type mean struct {
	sum   int
	count int
}

// run is the generation of one sample, over all its attempts.
type run struct {
	sample Sample
	group  *group
	// index is the position in group.samples.
	index int
	// restart counts how often the sample was discarded and restarted.
	restart int
	// attempt numbers the attempts; chunks of earlier ones are ignored.
	attempt int
	running bool
	done    bool
	// startedAt is when the running attempt started, with startTokens tokens.
	startedAt   time.Time
	startTokens int
	// retryAt is when the sample may be started again.
	retryAt time.Time
	// redispatches counts how often the sample was moved to another server.
	redispatches int
}

func (r *run) start(now time.Time) Start {
	r.attempt++
	r.running = true
	r.startedAt, r.startTokens = now, r.sample.Tokens()
	return Start{Sample: r.sample.ID, Attempt: r.attempt, Group: r.group.Group, Partial: r.sample.Text, Offset: r.startTokens}
}

func (m *mean) add(n int) {
	m.sum += n
	m.count++
}

// valueOr returns the mean, or other if no value was added.
func (m mean) valueOr(other float64) float64 {
	if m.count == 0 {
		return other
	}
	return float64(m.sum) / float64(m.count)
}
