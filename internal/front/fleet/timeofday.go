package fleet

import (
	"slices"
	"time"
)

// TimeOfDay returns the time of day on which most daemons agree: the store's
// clock plus the median offset of the daemons' own clocks from it. A clock jump
// on a single VM, including this one, does not change it.
func (f *State) TimeOfDay() time.Time {
	now := time.Now()
	stored, ok := f.Clock.Now()
	ahead, known := medianAhead(f.Members().List)
	if !ok || !known {
		return now
	}
	return stored.Add(ahead)
}

// medianAhead returns the median offset of the daemons' clocks from the store's
// clock, and whether any offset is known.
func medianAhead(members []Member) (time.Duration, bool) {
	var offsets []time.Duration
	for _, m := range members {
		if m.Ahead != 0 {
			offsets = append(offsets, m.Ahead)
		}
	}
	if len(offsets) == 0 {
		return 0, false
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2], true
}
