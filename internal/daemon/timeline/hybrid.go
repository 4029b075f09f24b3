package timeline

import "time"

// hybrid is a hybrid logical clock: it follows the wall clock, never runs
// backwards and stays ahead of every time it was told. The zero value is
// ready.
type hybrid struct {
	// last is the largest time given out or observed.
	last uint64
}

// observe takes over the time of a message.
func (h *hybrid) observe(logical uint64) {
	h.last = max(h.last, logical)
}

// tick returns a time after every earlier one.
func (h *hybrid) tick(now time.Time) uint64 {
	wall := uint64(max(now.UnixNano(), 0))
	h.last = max(h.last+1, wall)
	return h.last
}
