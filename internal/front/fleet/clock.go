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

// StoreClock estimates the store's clock from its responses. The zero value has
// no estimate. Its methods may be called from any goroutine.
type StoreClock struct {
	mutex sync.Mutex
	// now is the newest reading, and at is the uptime at which its call was sent.
	now time.Time
	at  time.Duration
}

// Now returns an estimate of the store's clock, ahead of it by at most the
// duration of a call; ok is false before the first response.
func (s *StoreClock) Now() (now time.Time, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.now.IsZero() {
		return time.Time{}, false
	}
	return s.now.Add(Uptime() - s.at), true
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

// Observe records the store's clock from the response to a call sent at uptime
// sentAt. Readings that are not newer are ignored.
func (s *StoreClock) Observe(now time.Time, sentAt time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.After(s.now) {
		s.now, s.at = now, sentAt
	}
}
