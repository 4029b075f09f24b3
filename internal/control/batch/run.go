package batch

import "time"

// group is one pending group.
type group struct {
	Group
	pending Pending
	// order is the number of groups that were added before.
	order    int
	samples  []*run
	lengths  mean
	finished bool
	// wholeAt is when the last sample ended; zero before.
	wholeAt time.Time
}

// mean is a running mean.
type mean struct {
	sum   int
	count int
}

// run is one sample being made.
type run struct {
	sample Sample
	group  *group
	index  int
	// restart counts the times that the sample began anew.
	restart int
	// try numbers the tries; only chunks of the current one count.
	try     int
	running bool
	done    bool
	// startedAt is when the running try started, with startTokens tokens.
	startedAt    time.Time
	startTokens  int
	restUntil    time.Time
	redispatches int
}

func (r *run) start(now time.Time) Start {
	r.try++
	r.running = true
	r.startedAt, r.startTokens = now, r.sample.Tokens()
	return Start{Sample: r.sample.ID, Try: r.try, Group: r.group.Group, Partial: r.sample.Text, Offset: r.startTokens}
}

func (m *mean) add(n int) {
	m.sum += n
	m.count++
}

func (m mean) or(other float64) float64 {
	if m.count == 0 {
		return other
	}
	return float64(m.sum) / float64(m.count)
}
