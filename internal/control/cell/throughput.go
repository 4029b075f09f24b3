package cell

import (
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
)

const (
	// throughputSamples sets the decay of a throughput: a new answer has a weight
	// of 1/throughputSamples.
	throughputSamples = 8
	// throughputMaxAge is how long a throughput is valid without a new answer; a
	// slow server is tried again afterwards.
	throughputMaxAge = 30 * time.Second
	// slowFraction is the fraction of the median throughput below which a server
	// is slow.
	slowFraction = 0.5
	// minTokens is the length of the shortest answer whose throughput is
	// counted, in tokens.
	minTokens = 16
)

// throughput is an exponentially decayed mean of the tokens per second of a
// server's answers. The zero value has no samples.
type throughput struct {
	perSecond float64
	// until is when the value expires.
	until time.Time
}

func (t *throughput) add(now time.Time, tokens int, held time.Duration) {
	if tokens < minTokens || held <= 0 {
		return
	}
	v := float64(tokens) / held.Seconds()
	if !t.valid(now) {
		t.perSecond = v
	}
	t.perSecond += (v - t.perSecond) / throughputSamples
	t.until = now.Add(throughputMaxAge)
}

func (t *throughput) valid(now time.Time) bool {
	return !t.until.IsZero() && !clock.Passed(now, t.until)
}

// markSlow marks the servers that are clearly slower than the median, and unmarks
// the others. With fewer than three known throughputs no server counts as slow.
func (s *serverSet) markSlow(now time.Time) {
	s.throughputs = s.throughputs[:0]
	for _, v := range s.usable {
		if v.throughput.valid(now) {
			s.throughputs = append(s.throughputs, v.throughput.perSecond)
		}
	}
	bound := 0.0
	if len(s.throughputs) > 2 {
		slices.Sort(s.throughputs)
		bound = slowFraction * s.throughputs[len(s.throughputs)/2]
	}
	for _, v := range s.usable {
		v.slow = v.throughput.valid(now) && v.throughput.perSecond < bound
	}
}
