package fleet

import (
	"slices"
	"time"
)

// Day returns the time of day as most daemons know it: the store's clock, plus
// the median of what their own times of day are ahead of it. A jump of the clock
// of one VM, this one among them, does not move it.
func (f *State) Day() time.Time {
	now := time.Now()
	stored, ok := f.Clock.Now()
	ahead, known := median(f.Members().List)
	if !ok || !known {
		return now
	}
	return stored.Add(ahead)
}

// median returns the median of what daemons are ahead of the store's clock.
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
