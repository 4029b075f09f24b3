package schedule

import (
	"maps"
	"math"
	"time"
)

const (
	// defaultLoadFactor is the fraction by which each further item is assumed to slow
	// a server down while there are few samples.
	defaultLoadFactor = 0.025
	// maxLoadFactor bounds the estimate.
	maxLoadFactor = 0.1
	// priorVariance is the weight of defaultLoadFactor, as the sum of the squared
	// deviations of load of samples that would show it.
	priorVariance = 100.0
	// loadMemory is the number of samples after which the weight of a sample has
	// decreased to about a third, so that the estimate follows changes.
	loadMemory = 2000.0
	// meanWeight is the weight of a new sample in a server's averages. They cover more
	// samples than the load takes to rise and fall, so that samples deviate from them.
	meanWeight = 0.02
	// maxPaceDeviation is the relative deviation from a server's average time per token
	// beyond which a sample is ignored: a fault of the server and not its load.
	maxPaceDeviation = 0.5
)

// LoadEffect estimates by which fraction each further item slows servers down, from
// samples of their time per token under different loads. Engines differ in this by a
// factor of ten: where load hardly matters, moving items to emptier servers only
// interrupts them. The zero value has no samples.
type LoadEffect struct {
	servers map[string]loadAverage
	// covariance is the sum of the products of the deviations of load and of the time
	// per token, and variance that of the squared deviations of load.
	covariance, variance float64
}

// loadAverage holds moving averages of a server's samples.
type loadAverage struct {
	// load is in items, and pace in nanoseconds per token.
	load, pace float64
}

// Observe adds a sample: the time per token on a server while it ran load items.
func (e *LoadEffect) Observe(server string, pace time.Duration, load int) {
	if e.servers == nil {
		e.servers = make(map[string]loadAverage)
	}
	average, known := e.servers[server]
	if !known || average.pace <= 0 {
		e.servers[server] = loadAverage{load: float64(load), pace: float64(pace)}
		return
	}
	moreLoad := float64(load) - average.load
	longer := float64(pace) - average.pace
	e.servers[server] = loadAverage{load: average.load + meanWeight*moreLoad, pace: average.pace + meanWeight*longer}
	if math.Abs(longer) > maxPaceDeviation*average.pace {
		return
	}
	// The effect is relative to the time per token at low load.
	slower := longer / (average.pace / (1 + e.Factor()*average.load))
	const keep = 1 - 1/loadMemory
	e.covariance = keep*e.covariance + moreLoad*slower
	e.variance = keep*e.variance + moreLoad*moreLoad
}

// Retain forgets the averages of all servers but those for which known returns true.
func (e *LoadEffect) Retain(known func(server string) bool) {
	maps.DeleteFunc(e.servers, func(id string, _ loadAverage) bool { return !known(id) })
}

// Factor returns the estimate.
func (e *LoadEffect) Factor() float64 {
	factor := (defaultLoadFactor*priorVariance + e.covariance) / (priorVariance + e.variance)
	return max(0, min(maxLoadFactor, factor))
}

// Unloaded returns the time per token at low load, given the one under load items.
func (e *LoadEffect) Unloaded(pace time.Duration, load int) time.Duration {
	return time.Duration(float64(pace) / (1 + e.Factor()*float64(load)))
}
