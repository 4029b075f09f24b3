package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of many processes in one order, in which each
// event comes after those it may have been caused by. An event that occurs in
// several lists is returned once.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, compare)
	return slices.CompactFunc(all, func(a, b Event) bool { return compare(a, b) == 0 })
}

// compare orders events by logical time. Two events of one run of a process
// never share one, so events that compare as equal are the same.
func compare(a, b Event) int {
	return cmp.Or(
		cmp.Compare(a.Logical, b.Logical),
		cmp.Compare(a.Process, b.Process),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}
