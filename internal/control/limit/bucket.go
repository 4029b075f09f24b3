// Package limit holds a workspace's limit over the whole fleet: each daemon
// spends a share of it that follows the demand it sees.
package limit

import (
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
)

// burst is the time whose worth of the rate may be spent at once.
const burst = 2 * time.Second

// Bucket is a token bucket whose rate may change. The zero value is full at
// its first use. Its methods are called by one goroutine.
type Bucket struct {
	// level is at most the burst; it may be negative after a Charge.
	level float64
	// at is when level was true; zero before the first use.
	at time.Time
}

// Charge takes n without asking, for a cost that was known only afterwards.
func (b *Bucket) Charge(now time.Time, rate, n float64) {
	b.fill(now, rate)
	b.level -= n
}

// Take takes n. When the bucket is below zero or has less than n and is not
// full it takes nothing and returns false and the instant to come back at.
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
	if b.at.IsZero() {
		b.level = full
		b.at = now
		return
	}
	passed := max(clock.Elapsed(b.at, now), 0)
	b.level = min(b.level+rate*passed.Seconds(), full)
	b.at = now
}
