// Package limit enforces a workspace's rate limit over the whole fleet: each
// daemon spends a share of the limit that follows the demand on that daemon.
package limit

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
)

// burst is the capacity of a bucket, as the time in which the rate fills it.
const burst = 2 * time.Second

// Bucket is a token bucket whose rate may change. The zero value is full at
// its first use. It is not safe for concurrent use.
type Bucket struct {
	// level is at most the bucket's capacity. It may be negative after Charge
	// or after Take of more than the capacity.
	level float64
	// updatedAt is when level was updated; zero before the first use.
	updatedAt time.Time
}

// Charge takes n unconditionally, for a cost that is known only afterwards.
func (b *Bucket) Charge(now time.Time, rate, n float64) {
	b.fill(now, rate)
	b.level -= n
}

// Take takes n. If the bucket is empty or negative, or has less than n and is not
// full, it takes nothing and returns false and the time to retry at.
func (b *Bucket) Take(now time.Time, rate, n float64) (bool, time.Time) {
	b.fill(now, rate)
	full := rate * burst.Seconds()
	need := min(n, full)
	if b.level >= need && b.level > 0 {
		b.level -= n
		return true, time.Time{}
	}
	if rate <= 0 {
		return false, now.Add(time.Minute)
	}
	wait := time.Duration((need - b.level) / rate * float64(time.Second))
	return false, now.Add(min(max(wait, time.Millisecond), time.Minute))
}

func (b *Bucket) fill(now time.Time, rate float64) {
	full := rate * burst.Seconds()
	if b.updatedAt.IsZero() {
		b.level = full
		b.updatedAt = now
		return
	}
	passed := max(clock.Elapsed(b.updatedAt, now), 0)
	b.level = min(b.level+rate*passed.Seconds(), full)
	b.updatedAt = now
}
