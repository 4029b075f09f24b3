package cell

import (
	"cmp"
	"slices"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Use is the number of requests that a workspace has running and waiting in a
// cell.
type Use struct {
	Workspace fleet.Workspace
	Running   int
	Waiting   int
}

// Use returns the running and waiting requests of each workspace, sorted by
// name.
func (c *Cell) Use() []Use {
	counts := make(map[fleet.Workspace]*Use)
	useOf := func(w fleet.Workspace) *Use {
		if counts[w] == nil {
			counts[w] = &Use{Workspace: w}
		}
		return counts[w]
	}
	for _, g := range c.grants {
		useOf(g.ask.Request.Workspace).Running++
	}
	for _, st := range c.asks {
		if st.grant == nil {
			useOf(st.ask.Request.Workspace).Waiting++
		}
	}
	uses := make([]Use, 0, len(counts))
	for _, u := range counts {
		uses = append(uses, *u)
	}
	slices.SortFunc(uses, func(a, b Use) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return uses
}
