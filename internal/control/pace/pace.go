// Package pace estimates how long requests take on backend servers whose machines are
// slowed down by other work for short times, and chooses among servers that are about
// equally good. Its functions do no I/O and read no clock.
//
// It is designed for fleets of many daemons with few requests each, whose latest report of a
// server is mostly older than the slowdown lasts. So a reported slowdown counts while it is
// recent and corrects the samples of a server's own speed, which are remembered longer; and
// daemons with the same estimates choose at random among near-equal servers instead of all
// choosing the same one.
package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the time in which what a server reports of its load loses half of its
	// weight. It is shorter than the time for which neighbours usually work.
	halfLife = 250 * time.Millisecond
	// ownHalfLife is the time in which a server's own speed loses half of its weight in
	// favour of the typical speed: a server that gets no requests because it was slow is
	// tried again.
	ownHalfLife = 4 * time.Second
	// sampleWeight is the weight of a sample taken at the usual speed, if the last one is
	// recent. A sample of a slowed server counts less the more it was slowed: its figure is
	// of one moment only.
	sampleWeight = 0.2
	// typicalWeight is the weight of a new sample in a service's typical duration.
	typicalWeight = 0.05
	// nearFactor is the ratio of the costs up to which servers are about equally good.
	nearFactor = 1.1
)

// Report is what a server reports of its load.
type Report struct {
	// Slowdown is how many times as long as usual work takes; 0 is unknown.
	Slowdown float64
	// Waiting and Slots are the numbers of requests that wait and of those that can run at
	// the same time.
	Waiting, Slots int
}

// Typical is the usual duration of a service's requests on its servers, without queueing
// and slowdown. The zero value has no samples.
type Typical struct {
	millis  float64
	samples int
}

// Millis returns the duration in milliseconds; 0 if there is no sample.
func (t *Typical) Millis() float64 {
	return t.millis
}

func (t *Typical) add(millis float64) {
	t.samples++
	t.millis += max(typicalWeight, 1/float64(t.samples)) * (millis - t.millis)
}

// Server holds the observations of one server. The zero value has none.
type Server struct {
	// own is the moving average of the durations without queueing and slowdown, in
	// milliseconds, as of sampledAt, which is zero before the first sample.
	own       float64
	sampledAt time.Time
	// slowdown and queue are as reported at reportedAt, which is zero if the slowdown was
	// never reported. queue is the number of waiting requests for each slot.
	slowdown, queue float64
	reportedAt      time.Time
}

// Reports reports whether the server has ever reported its slowdown.
func (s *Server) Reports() bool {
	return !s.reportedAt.IsZero()
}

// Report records what a server reports.
func (s *Server) Report(r Report, now time.Time) {
	if r.Slowdown <= 0 {
		return
	}
	s.slowdown, s.queue, s.reportedAt = r.Slowdown, r.queue(), now
}

// Sample adds the duration of a request and what the server reported in its response. A
// request that was cancelled, since another server answered first, has no report: it counts
// by the slowdown and the queue that are expected, so that a server that hangs gets fewer requests.
func (s *Server) Sample(took time.Duration, r Report, t *Typical, now time.Time) {
	s.Report(r, now)
	slowdown := s.Slowdown(now)
	own := took.Seconds() * 1000 / (slowdown * (1 + s.Queue(now)))
	kept := (1 - sampleWeight/max(1, slowdown)) * decay(now.Sub(s.sampledAt), ownHalfLife)
	s.own += (1 - kept) * (own - s.own)
	s.sampledAt = now
	if r.Slowdown > 0 {
		t.add(own)
	}
}

// Slowdown returns the slowdown that is expected now: as reported, and the closer to 1 the
// older the report.
func (s *Server) Slowdown(now time.Time) float64 {
	if !s.Reports() {
		return 1
	}
	return 1 + (s.slowdown-1)*decay(now.Sub(s.reportedAt), halfLife)
}

// Queue returns the number of requests expected to wait now for each slot.
func (s *Server) Queue(now time.Time) float64 {
	return s.queue * decay(now.Sub(s.reportedAt), halfLife)
}

// Millis returns the duration that is expected of a request sent now, in milliseconds.
func (s *Server) Millis(t Typical, now time.Time) float64 {
	own := t.millis + (s.own-t.millis)*decay(now.Sub(s.sampledAt), ownHalfLife)
	return own * s.Slowdown(now) * (1 + s.Queue(now))
}

// Choose returns the index of the server to use, given the costs of the servers and a
// random number; -1 if there is none. It takes the better one of two random choices among
// those that are about as good as the best. Daemons that all took the best one would send
// it their requests at the same time.
func Choose(costs []float64, random uint64) int {
	best := math.Inf(1)
	for _, c := range costs {
		best = min(best, c)
	}
	limit := best * nearFactor
	n := uint64(0)
	for _, c := range costs {
		if c <= limit {
			n++
		}
	}
	switch n {
	case 0:
		return -1
	case 1:
		return nearAt(costs, limit, 0)
	}
	first := random % n
	one, other := nearAt(costs, limit, first), nearAt(costs, limit, (first+1+random/n%(n-1))%n)
	if costs[other] < costs[one] {
		return other
	}
	return one
}

// nearAt returns the index of the cost at a position among those up to a limit.
func nearAt(costs []float64, limit float64, position uint64) int {
	return slices.IndexFunc(costs, func(c float64) bool {
		if c > limit {
			return false
		}
		position--
		return position == math.MaxUint64
	})
}

// Delay returns how many times as long as on an idle server requests take.
func (r Report) Delay() float64 {
	return max(1, r.Slowdown) * (1 + r.queue())
}

// Wait returns how long a request waits before it runs, in usual durations of a request.
func (r Report) Wait() float64 {
	return max(1, r.Slowdown) * r.queue()
}

func (r Report) queue() float64 {
	if r.Slots <= 0 {
		return 0
	}
	return float64(r.Waiting) / float64(r.Slots)
}

// decay returns the part of its weight that a value of an age still has.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}
