package limit

import (
	"math"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
)

// demandWindow is the time over which demand is averaged.
const demandWindow = 2 * time.Second

// Share is a daemon's share of a limit of one workspace. The zero value spends
// an equal share. It is not safe for concurrent use.
type Share struct {
	// fraction is the fraction of the limit last given, from 0 to 1.
	fraction float64
	// until is when fraction expires.
	until time.Time
	// demand is the decayed rate of requested spending per second at demandAt.
	demand   float64
	demandAt time.Time
	bucket   Bucket
}

// Charge spends n of the limit unconditionally.
func (s *Share) Charge(now time.Time, limit, n float64, members int) {
	s.bucket.Charge(now, limit*s.Fraction(now, members), n)
}

// Demand returns the rate of spending requested of this daemon, per second.
func (s *Share) Demand(now time.Time) float64 {
	passed := max(clock.Elapsed(s.demandAt, now), 0)
	return s.demand * math.Exp(-passed.Seconds()/demandWindow.Seconds())
}

// SetFraction records the share that the ledger returned. at is when the daemon
// asked for it.
func (s *Share) SetFraction(at time.Time, fraction float64) {
	s.fraction = fraction
	s.until = at.Add(ShareWindow)
}

// Fraction returns the fraction of the limit that the daemon may spend: the share
// given by the ledger, or an equal share if that has expired because the daemon
// cannot reach the ledger.
func (s *Share) Fraction(now time.Time, members int) float64 {
	if clock.Passed(now, s.until) {
		return 1 / float64(max(members, 1))
	}
	return s.fraction
}

// Take spends n of the limit, which is a rate per second. If that exceeds the
// daemon's share, it returns false and the time to retry at.
func (s *Share) Take(now time.Time, limit, n float64, members int) (bool, time.Time) {
	s.demand = s.Demand(now) + n/demandWindow.Seconds()
	s.demandAt = now
	return s.bucket.Take(now, limit*s.Fraction(now, members), n)
}
