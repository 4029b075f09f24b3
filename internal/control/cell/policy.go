package cell

import "time"

// Candidate is a key with waiting requests, as a Policy sees it.
type Candidate[K comparable] struct {
	Key K
	// Since is when the oldest of its waiting requests arrived.
	Since time.Time
	// Running is the number of its running requests of the class.
	Running float64
	// MaxRunning is how many requests it could run with the cell to itself, at
	// least 1.
	MaxRunning float64
	// Weight is positive.
	Weight float64
}

// Policy orders keys that compete for free slots. It need not be safe for
// concurrent use.
type Policy[K comparable] interface {
	// Next returns the index of the candidate to serve next. There is at
	// least one.
	Next(now time.Time, waiting []Candidate[K]) int
	// Started records that a request of a candidate was placed, with its
	// expected cost in tokens.
	Started(now time.Time, c Candidate[K], cost float64)
}

// FIFO serves the oldest request first. The zero value is ready.
type FIFO[K comparable] struct{}

// Next implements Policy.
func (FIFO[K]) Next(_ time.Time, waiting []Candidate[K]) int {
	best := 0
	for i := range waiting {
		if waiting[i].Since.Before(waiting[best].Since) {
			best = i
		}
	}
	return best
}

// Started implements Policy.
func (FIFO[K]) Started(time.Time, Candidate[K], float64) {}

// RoundRobin serves the keys in turn, each in proportion to its weight. The
// zero value is ready.
type RoundRobin[K comparable] struct {
	// passes holds the virtual time at which each key is due.
	passes map[K]float64
	// virtual is the virtual time of the key served last.
	virtual float64
}

// Next implements Policy.
func (r *RoundRobin[K]) Next(_ time.Time, waiting []Candidate[K]) int {
	best := 0
	for i := range waiting {
		a, b := r.due(waiting[i].Key), r.due(waiting[best].Key)
		if a < b || a == b && waiting[i].Since.Before(waiting[best].Since) {
			best = i
		}
	}
	return best
}

// Started implements Policy.
func (r *RoundRobin[K]) Started(_ time.Time, c Candidate[K], _ float64) {
	if r.passes == nil {
		r.passes = make(map[K]float64)
	}
	due := r.due(c.Key)
	r.virtual = max(r.virtual, due)
	r.passes[c.Key] = due + 1/c.Weight
	if len(r.passes) > maxKeptWorkspaces {
		r.sweep()
	}
}

func (r *RoundRobin[K]) due(k K) float64 {
	return max(r.passes[k], r.virtual)
}

// sweep drops the passes that no longer exceed the virtual time, which have no
// effect on the order.
func (r *RoundRobin[K]) sweep() {
	for k, v := range r.passes {
		if v <= r.virtual {
			delete(r.passes, k)
		}
	}
}

// MaxMin serves the key that runs the fewest requests for its weight. The zero
// value is ready.
type MaxMin[K comparable] struct{}

// Next implements Policy.
func (MaxMin[K]) Next(_ time.Time, waiting []Candidate[K]) int {
	return least(waiting, func(c *Candidate[K]) float64 { return c.Running / c.Weight })
}

// Started implements Policy.
func (MaxMin[K]) Started(time.Time, Candidate[K], float64) {}

// Share serves the key with the smallest weighted ratio of running requests to
// those it could run with the cell to itself. The zero value is ready.
type Share[K comparable] struct{}

// Next implements Policy.
func (Share[K]) Next(_ time.Time, waiting []Candidate[K]) int {
	return least(waiting, func(c *Candidate[K]) float64 { return c.Running / (c.MaxRunning * c.Weight) })
}

// Started implements Policy.
func (Share[K]) Started(time.Time, Candidate[K], float64) {}

// least returns the index of the candidate with the least value. Among equals
// it is the one that has waited longest.
func least[K comparable](waiting []Candidate[K], value func(*Candidate[K]) float64) int {
	best := 0
	low := value(&waiting[0])
	for i := 1; i < len(waiting); i++ {
		v := value(&waiting[i])
		if v < low || v == low && waiting[i].Since.Before(waiting[best].Since) {
			best, low = i, v
		}
	}
	return best
}
