package limit

import (
	"math"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
)

// demandWindow is the time over which demand is averaged.
const demandWindow = 2 * time.Second

// Share is a daemon's part in the limit of one workspace. The zero value
// spends an equal share. Its methods are called by one goroutine.
type Share struct {
	// part is the share last given, from 0 to 1.
	part float64
	// until is when part runs out.
	until time.Time
	// demand is the decayed rate of what was asked for, a second.
	demand float64
	at     time.Time
	bucket Bucket
}

// Charge takes n without asking.
func (s *Share) Charge(now time.Time, limit, n float64, members int) {
	s.bucket.Charge(now, limit*s.Part(now, members), n)
}

// Demand returns the rate at which this daemon was asked to spend.
func (s *Share) Demand(now time.Time) float64 {
	passed := max(clock.Elapsed(s.at, now), 0)
	return s.demand * math.Exp(-passed.Seconds()/demandWindow.Seconds())
}

// Give takes the share that the ledger answered to a question sent at.
func (s *Share) Give(at time.Time, part float64) {
	s.part = part
	s.until = at.Add(ShareWindow)
}

// Part returns the part of the limit that the daemon may spend: what the
// ledger gave, or an equal share when the daemon is isolated from it.
func (s *Share) Part(now time.Time, members int) float64 {
	if clock.Passed(now, s.until) {
		return 1 / float64(max(members, 1))
	}
	return s.part
}

// Take spends n of the limit, a rate per second, or returns the instant to
// come back at.
func (s *Share) Take(now time.Time, limit, n float64, members int) (bool, time.Time) {
	s.demand = s.Demand(now) + n/demandWindow.Seconds()
	s.at = now
	return s.bucket.Take(now, limit*s.Part(now, members), n)
}
