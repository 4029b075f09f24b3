// Package admission decides which live requests are refused before they are sent, because
// they could not be answered in time. Its functions do no I/O and read no clock.
//
// It is designed for surges of several times the capacity of servers that queue some requests
// and refuse further ones, while many daemons decide by the reports that they received
// themselves. A caller that is refused tries once more, after at most a third of the time
// that it has left.
package admission

import (
	"math"
	"time"
)

const (
	// waitWeight is the weight of a new sample in a wait, if the last one is recent, and
	// waitHalfLife the time in which a wait without samples is forgotten by half.
	waitWeight   = 0.3
	waitHalfLife = 500 * time.Millisecond
	// minRetryAfter is the shortest delay after which a caller should come back: about the
	// time until a slot becomes free.
	minRetryAfter = 50 * time.Millisecond
	// waitFraction is the part of the time that a caller has left after which it comes back
	// at the latest. Callers do not wait longer.
	waitFraction = 1.0 / 3
)

// Wait is a moving average of how long requests wait at the servers of a service before they
// run, in usual durations of a request. The zero value has no samples, and counts as 0.
type Wait struct {
	durations float64
	at        time.Time
}

// Add adds a sample. The older the last one, the more it counts.
func (w *Wait) Add(durations float64, now time.Time) {
	weight := 1 - (1-waitWeight)*w.remaining(now)
	w.durations += weight * (durations - w.durations)
	w.at = now
}

// Durations returns the average, which fades to 0.
func (w *Wait) Durations(now time.Time) float64 {
	return w.durations * w.remaining(now)
}

func (w *Wait) remaining(now time.Time) float64 {
	return math.Exp2(-float64(max(0, now.Sub(w.at))) / float64(waitHalfLife))
}

// Request is what the decision depends on.
type Request struct {
	// Wait is how long the request is expected to wait before it runs. How long it runs then
	// is not known: requests to a service differ.
	Wait time.Duration
	// Left is the time until the deadline.
	Left time.Duration
}

// Refuse reports whether the request is refused: its deadline would pass. One that would
// miss its target only is not, since its caller still waits for the answer. If nothing waits
// at the servers, they are not the reason why a deadline has passed.
func (r Request) Refuse() bool {
	return r.Wait > max(0, r.Left)
}

// RetryAfter returns the delay after which the caller should come back, given a random number
// between 0 and 1. The callers that are refused at the same time come back one after the
// other, as far apart as they wait.
func (r Request) RetryAfter(random float64) time.Duration {
	latest := time.Duration(waitFraction * float64(r.Left))
	if latest <= minRetryAfter {
		return minRetryAfter
	}
	return minRetryAfter + time.Duration(random*float64(latest-minRetryAfter))
}
