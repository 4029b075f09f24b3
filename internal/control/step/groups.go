// Package step decides what matters to a trainer that waits for a training step. Its
// functions do no I/O and read no clock.
//
// A step is a batch job whose items form groups. The trainer uses complete groups
// only, and goes on once it has read as many of them as it desires. The items of a
// step end one after another, the longest far behind the others.
package step

// Groups are the groups of a step's items. NewGroups creates them; the zero value
// has no items.
type Groups struct {
	// groupOf holds the index of each item's group, by the position of the item.
	groupOf []int
	// sizes holds the number of items of each group.
	sizes   []int
	desired int
}

// NewGroups returns the groups of a step, given the name of each item's group and
// the number of groups that the trainer desires. Items without a name are groups of
// their own.
func NewGroups(names []string, desired int) Groups {
	g := Groups{desired: desired}
	index := make(map[string]int)
	for _, name := range names {
		n, known := index[name]
		if !known || name == "" {
			n = len(g.sizes)
			g.sizes = append(g.sizes, 0)
			index[name] = n
		}
		g.sizes[n]++
		g.groupOf = append(g.groupOf, n)
	}
	return g
}

// Missing returns how many more groups must become complete for the trainer to go
// on, given the positions of the items that have a result. Positions outside the step
// are ignored.
func (g Groups) Missing(finished []int) int {
	counts := make([]int, len(g.sizes))
	complete := 0
	for _, position := range finished {
		if position < 0 || position >= len(g.groupOf) {
			continue
		}
		n := g.groupOf[position]
		if counts[n]++; counts[n] == g.sizes[n] {
			complete++
		}
	}
	return max(0, min(g.desired, len(g.sizes))-complete)
}
