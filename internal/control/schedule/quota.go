package schedule

import (
	"math"
	"slices"
	"time"
)

// reportDelay is how long it may take until daemons know the items that another one runs.
const reportDelay = 1500 * time.Millisecond

// Quota returns how many of a server's slots the daemon with the given rank may
// take without coordination. All quotas of a server add up to its slots.
// rotation distributes the remainder over the daemons differently for each
// server. With a negative rank or no daemons, all slots are returned.
func Quota(slots, rank, daemons, rotation int) int {
	if daemons < 1 || rank < 0 {
		return slots
	}
	r := (rank + rotation) % daemons
	return slots*(r+1)/daemons - slots*r/daemons
}

// RoomAtRate returns how many more items a daemon may run on a server that limits its rate,
// given the number of items that all daemons run there, as far as known. Its part of the
// rate permits each start, so quotas are not needed: until daemons know of an item that
// another one started, no more than the rate allows are started.
func RoomAtRate(slots, load int, rate float64) int {
	unknown := math.Ceil(rate * reportDelay.Seconds())
	return max(0, slots-load-int(min(unknown, float64(slots))))
}

// MayUseSpare reports whether a daemon without a slot in its quota of a server
// may use a slot that other daemons leave free. load is the number of items that
// all daemons run there, as far as known, and index identifies the daemon. turn
// changes with time and is the same for all daemons: in each turn only about as
// many daemons may use a slot as there are free slots, although all of them see
// the same empty server.
func MayUseSpare(slots, load, index, daemons, rotation, turn int) bool {
	free := int(spareShare*float64(slots)) - load
	slotless := daemons - slots
	if free <= 0 || daemons < 1 {
		return false
	}
	if slotless <= free {
		return true
	}
	return (index+rotation+turn*free)%daemons < free*daemons/slotless
}

// Assign distributes items over daemons in proportion to their weights: from the
// longest item on, each goes to the daemon that would finish it first, unless fixed
// has the index of a daemon for it and not -1. It returns the index of a daemon for
// each item.
func Assign(lengths []int, weights []float64, fixed []int) []int {
	order := make([]int, len(lengths))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return lengths[b] - lengths[a] })
	load := make([]float64, len(weights))
	out := make([]int, len(lengths))
	for i := range out {
		out[i] = -1
		if i < len(fixed) && fixed[i] >= 0 {
			out[i] = fixed[i]
			load[fixed[i]] += float64(lengths[i])
		}
	}
	for _, i := range order {
		if out[i] >= 0 {
			continue
		}
		best := 0
		for d := range weights {
			if (load[d]+float64(lengths[i]))/weights[d] < (load[best]+float64(lengths[i]))/weights[best] {
				best = d
			}
		}
		load[best] += float64(lengths[i])
		out[i] = best
	}
	return out
}
