// Package shutdown decides which requests a daemon that shuts down still begins, and until when it
// answers them.
package shutdown

import "time"

const (
	// BalancerDelay is how long the balancer may take to notice that a daemon is no longer ready:
	// two checks, one second apart, and some margin.
	BalancerDelay = 2300 * time.Millisecond
	// writesReserve is the part of the grace period that is reserved for the last writes to the
	// store, and answersReserve the part before it for the last answers.
	writesReserve  = time.Second
	answersReserve = 200 * time.Millisecond
)

// Schedule is when a daemon that shuts down does what. The zero value is that of one that does not.
type Schedule struct {
	// ClosesAt is when it closes its listeners: the balancer sends no more connections by then.
	ClosesAt time.Time
	// AnswersAt is when it answers the requests that no server has begun to answer.
	AnswersAt time.Time
	// EndsAt is when it interrupts the requests that still run.
	EndsAt time.Time
}

// New returns the schedule of a shutdown that starts at a time, with a grace period after which the
// daemon is killed. A shorter one than the balancer needs leaves no time to answer later requests.
func New(startedAt time.Time, grace time.Duration) Schedule {
	end := startedAt.Add(grace - writesReserve)
	s := Schedule{ClosesAt: startedAt.Add(BalancerDelay), AnswersAt: end.Add(-answersReserve), EndsAt: end}
	if s.ClosesAt.After(s.AnswersAt) {
		s.ClosesAt = s.AnswersAt
	}
	return s
}

// Begins reports whether a request is begun that arrives now and is answered by a time at the latest.
// Until the listeners are closed callers do not know of the shutdown, and all are. Later ones come on
// connections that were opened before, and one that may last beyond the end is better begun by
// another daemon at once.
func (s Schedule) Begins(now, until time.Time) bool {
	return s.ClosesAt.IsZero() || now.Before(s.ClosesAt) || !until.After(s.AnswersAt)
}
