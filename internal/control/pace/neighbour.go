package pace

import "time"

const (
	// neighbourTime is for how long streams must be slower before that counts as the
	// server's own speed. Few neighbours work for longer.
	neighbourTime = 2 * time.Second
	// momentaryFactor is the ratio to a server's own speed up to which a sample counts as
	// an ordinary one.
	momentaryFactor = 1.3
)

// Neighbour separates the slowdown of a server's streams by a neighbour from the server's own
// speed. A daemon that runs a stream measures it all the time, but receives the server's
// report only when the stream begins. The zero value has no samples.
type Neighbour struct {
	// slowSince is when streams became slower, and slowAt the time of the newest slow
	// sample; zero if the newest sample was not slow.
	slowSince, slowAt time.Time
	// slowdown is as of observedAt, which is zero before the first observation.
	slowdown   float64
	observedAt time.Time
}

// Report records the slowdown that the server reports.
func (n *Neighbour) Report(slowdown float64, now time.Time) {
	n.slowdown, n.observedAt = slowdown, now
}

// Sample records a sample of the time between two events, given the server's own one. It
// reports whether the sample counts as the server's own speed.
func (n *Neighbour) Sample(sample, own time.Duration, now time.Time) bool {
	if own <= 0 {
		return true
	}
	n.Report(max(1, float64(sample)/float64(own)), now)
	if n.slowdown <= momentaryFactor {
		n.slowSince, n.slowAt = time.Time{}, time.Time{}
		return true
	}
	if n.slowSince.IsZero() || now.Sub(n.slowAt) > neighbourTime {
		n.slowSince = now
	}
	n.slowAt = now
	return now.Sub(n.slowSince) >= neighbourTime
}

// Slowdown returns the slowdown that is expected now.
func (n *Neighbour) Slowdown(now time.Time) float64 {
	if n.observedAt.IsZero() {
		return 1
	}
	return 1 + (n.slowdown-1)*decay(now.Sub(n.observedAt), halfLife)
}
