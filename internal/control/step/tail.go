package step

import "math"

// LeftOutShare returns the fraction of the groups that the trainer does not wait for.
func (g Groups) LeftOutShare() float64 {
	if len(g.sizes) == 0 || g.desired >= len(g.sizes) {
		return 0
	}
	return 1 - float64(g.desired)/float64(len(g.sizes))
}

// InTail reports whether so few of a daemon's items of a step are unfinished that
// their groups may be those that the step leaves out. These groups return in a later
// step, which accepts newer weights only and then waits for all of them, so that it
// pays to generate their items again under newer weights while slots are free. It
// returns false for a step that leaves no group out.
func InTail(leftOutShare float64, unfinished, items int) bool {
	return unfinished <= int(math.Ceil(leftOutShare*float64(items)))
}
