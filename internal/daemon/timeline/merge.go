package timeline

import (
	"cmp"
	"slices"
)

// Merge merges the events of many processes into one order in which each event
// follows all events that may have caused it. An event that occurs in several
// lists is returned once.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compare)
	return slices.CompactFunc(all, func(a, b Event) bool { return compare(a, b) == 0 })
}

// compare orders events by logical time. Two events of one incarnation of a
// process never have the same logical time, so events that compare as equal are
// the same event.
func compare(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Logical, b.Logical),
		cmp.Compare(a.Process, b.Process),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}
