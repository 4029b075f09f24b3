package fleet

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Uptime returns the time since the machine's start, which also counts while
// the machine is suspended, unlike Go's monotonic clock.
func Uptime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists on every kernel that Go supports.
		panic(err)
	}
	return time.Duration(t.Nano())
}

// StoreClock estimates the store's clock from its answers. The zero value knows
// no answer. Its methods may be called from any goroutine.
type StoreClock struct {
	mutex sync.Mutex
	// now is the newest reading, and at the uptime at which its call was sent.
	now time.Time
	at  time.Duration
}

// Now returns the store's clock, never ahead of it by more than a call takes;
// ok is false before the first answer.
func (s *StoreClock) Now() (now time.Time, ok bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.now.IsZero() {
		return time.Time{}, false
	}
	return s.now.Add(Uptime() - s.at), true
}

// Ahead returns by how much a time of day is ahead of the store's clock, 0
// before the first answer.
func (s *StoreClock) Ahead(now time.Time) time.Duration {
	stored, ok := s.Now()
	if !ok {
		return 0
	}
	return now.Round(0).Sub(stored)
}

// Saw takes the reading of an answer to a call that was sent at an uptime.
func (s *StoreClock) Saw(now time.Time, sentAt time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.After(s.now) {
		s.now, s.at = now, sentAt
	}
}
