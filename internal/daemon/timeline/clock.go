package timeline

import "time"

// hybridClock is a hybrid logical clock: it follows the wall clock, never runs
// backwards and stays ahead of every observed time. The zero value is ready to
// use.
type hybridClock struct {
	// last is the largest time returned or observed.
	last uint64
}

// observe advances the clock to the logical time of a received message.
func (h *hybridClock) observe(logical uint64) {
	h.last = max(h.last, logical)
}

// tick advances the clock and returns a time later than all returned or
// observed before.
func (h *hybridClock) tick(now time.Time) uint64 {
	wall := uint64(max(now.UnixNano(), 0))
	h.last = max(h.last+1, wall)
	return h.last
}
