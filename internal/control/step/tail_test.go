package step_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/step"
)

// TestTailOfAStep covers steps that leave out some groups, a single one, or none.
func TestTailOfAStep(t *testing.T) {
	names := make([]string, 40)
	tenth := step.NewGroups(names, 36).LeftOutShare()
	must.True(t, step.InTail(tenth, 4, 40))
	must.False(t, step.InTail(tenth, 5, 40))
	must.True(t, step.InTail(tenth, 1, 3), must.Sprint("a daemon with few items has a tail as well"))
	must.False(t, step.InTail(tenth, 3, 3))
	all := step.NewGroups(names, 40).LeftOutShare()
	must.False(t, step.InTail(all, 1, 40))
	must.Eq(t, 0, step.NewGroups(nil, 3).LeftOutShare())
}

// TestTailNeedsMostItemsToBeFinished replays a step that is asked while newer weights
// are already loaded: none of its items may be run twice at its beginning.
func TestTailNeedsMostItemsToBeFinished(t *testing.T) {
	share := step.NewGroups(make([]string, 14), 13).LeftOutShare()
	for unfinished := 14; unfinished > 1; unfinished-- {
		must.False(t, step.InTail(share, unfinished, 14))
	}
}
