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
	ahead, known := median(f.Members().List)
	if !ok || !known {
		return now
	}
	return stored.Add(ahead)
}

// median returns the median offset of the daemons' clocks from the store's
// clock, and whether any offset is known.
func median(members []Member) (time.Duration, bool) {
	var all []time.Duration
	for _, m := range members {
		if m.Ahead != 0 {
			all = append(all, m.Ahead)
		}
	}
	if len(all) == 0 {
		return 0, false
	}
	slices.Sort(all)
	return all[len(all)/2], true
}
