package fleet

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Uptime returns the time since the VM booted. Unlike Go's monotonic clock it
// includes time during which the VM was suspended.
func Uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on every kernel that Go supports.
		panic(err)
	}
	return time.Duration(t.Nano())
}

// maxDrift is how much a second of the VM's clock may differ from one of the store's
// clock, in parts of it: quartz clocks that are not adjusted differ by up to 100 millionths.
const maxDrift = 200e-6

// clockUnit is the unit in which responses contain the store's clock, rounded down.
const clockUnit = time.Millisecond

// StoreClock estimates the store's clock from its responses. Each response bounds it from
// both sides: the store read its clock after the call was sent and before the response
// arrived, which may be long before for a call that waits for changes. The bounds of
// all responses are intersected. The zero value has no estimate. Its methods may be called
// from any goroutine.
type StoreClock struct {
	mutex sync.Mutex
	known bool
	// lowest and highest bound the time of the store's clock at uptime 0, as of uptime at.
	lowest, highest time.Time
	at              time.Duration
}

// Now returns an estimate of the store's clock; ok is false before the first response.
// Where a promise depends on the time, use Earliest or Latest.
func (s *StoreClock) Now() (now time.Time, ok bool) {
	earliest, latest, ok := s.bounds(Uptime())
	return earliest.Add(latest.Sub(earliest) / 2), ok
}

// Earliest returns the earliest time that the store's clock may have; ok is false before the
// first response.
func (s *StoreClock) Earliest() (now time.Time, ok bool) {
	now, _, ok = s.bounds(Uptime())
	return now, ok
}

// Latest returns the latest time that the store's clock may have; ok is false before the
// first response.
func (s *StoreClock) Latest() (now time.Time, ok bool) {
	_, now, ok = s.bounds(Uptime())
	return now, ok
}

// Ahead returns how far a time of day is ahead of the store's clock, or 0 before
// the first response.
func (s *StoreClock) Ahead(now time.Time) time.Duration {
	stored, ok := s.Now()
	if !ok {
		return 0
	}
	return now.Round(0).Sub(stored)
}

// Observe records the store's clock from the response to a call sent at uptime sentAt, which
// has just arrived. It reports whether the response contradicts earlier ones: one of
// the clocks was set, and only the newest response counts.
func (s *StoreClock) Observe(now time.Time, sentAt time.Duration) (contradiction bool) {
	return s.observe(now, sentAt, Uptime())
}

func (s *StoreClock) observe(now time.Time, sentAt, receivedAt time.Duration) (contradiction bool) {
	if now.IsZero() {
		return false
	}
	now = now.Round(0)
	lowest, highest := now.Add(-receivedAt), now.Add(clockUnit-sentAt)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.known {
		d := s.drift(receivedAt)
		s.lowest, s.highest, s.at = s.lowest.Add(-d), s.highest.Add(d), max(s.at, receivedAt)
		contradiction = lowest.After(s.highest) || highest.Before(s.lowest)
	}
	if !s.known || contradiction {
		s.known, s.lowest, s.highest, s.at = true, lowest, highest, receivedAt
		return contradiction
	}
	if lowest.After(s.lowest) {
		s.lowest = lowest
	}
	if highest.Before(s.highest) {
		s.highest = highest
	}
	return false
}

// bounds returns the earliest and the latest time that the store's clock may have at an
// uptime. It changes nothing: drift is rounded down to nanoseconds, which would add up to a
// wrong bound if each reading did so.
func (s *StoreClock) bounds(uptime time.Duration) (earliest, latest time.Time, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	d := s.drift(uptime)
	return s.lowest.Add(uptime - d), s.highest.Add(uptime + d), s.known
}

// drift returns how far the clocks may have drifted apart from at to an uptime. It is called
// with the mutex held.
func (s *StoreClock) drift(uptime time.Duration) time.Duration {
	return time.Duration(float64(max(0, uptime-s.at)) * maxDrift)
}
