package share

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// minLateShare is the fraction of a daemon's slots in which work of late steps starts
// first, so that it is not starved.
const minLateShare = 0.1

// IsLate reports whether an item starts after those that can be on time: its step is
// late, or can be on time without its group.
func (s Shares) IsLate(step, group string) bool {
	v := s.Steps[step]
	return s.Overloaded && (v.Class == Late || v.leftOut.Contains(group))
}

// Arrange returns waiting items in the order in which they start, given in the order of
// their slack. late is the number of late items that the daemon runs, and slots the number
// of its slots. Late items whose number is below the minimum share come first, then those
// that can be on time, then the other late ones.
func Arrange[T any](s Shares, bySlack []T, of func(T) (step, group string), late, slots int) []T {
	if !s.Overloaded {
		return bySlack
	}
	var first, rest []T
	for _, it := range bySlack {
		if s.IsLate(of(it)) {
			rest = append(rest, it)
		} else {
			first = append(first, it)
		}
	}
	slices.SortStableFunc(rest, func(a, b T) int {
		x, xAt := s.lateRank(of(a))
		y, yAt := s.lateRank(of(b))
		return cmp.Or(cmp.Compare(x, y), xAt.Compare(yAt))
	})
	reserved := min(len(rest), max(0, int(math.Ceil(minLateShare*float64(slots)))-late))
	return slices.Concat(rest[:reserved], first, rest[reserved:])
}

// lateRank orders late items: late steps that are given up soonest come first, so that
// they end before, then groups that a step can be on time without.
func (s Shares) lateRank(step, _ string) (int, time.Time) {
	v := s.Steps[step]
	if v.Class == Late {
		return 0, v.giveUpAt
	}
	return 1, v.giveUpAt
}
