package ratelimit

import "time"

const (
	// maxLoans is the number of requests that may be sent to one server without a slot
	// within loanSpan: the query and the order of one load of weights. At the lowest rates
	// more of them would exceed what a server accepts in a few seconds.
	maxLoans = 2
	loanSpan = 4 * time.Second
)

// Loans allow a daemon a few requests to one server without a slot: those without which
// the server would become useless. The zero value has lent none. It is not safe for
// concurrent use.
type Loans struct {
	// lentAt are the times of the last requests, the oldest first.
	lentAt [maxLoans]time.Time
}

// Take reports whether a request may be sent at now, and counts it if so.
func (l *Loans) Take(now time.Time) bool {
	if ago := now.Sub(l.lentAt[0]); 0 <= ago && ago < loanSpan {
		return false
	}
	copy(l.lentAt[:], l.lentAt[1:])
	l.lentAt[maxLoans-1] = now
	return true
}
