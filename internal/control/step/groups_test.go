package step_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/step"
)

func TestMissing(t *testing.T) {
	names := []string{"a", "b", "a", "c", "b", "", ""}
	for _, test := range []struct {
		name     string
		desired  int
		finished []int
		want     int
	}{
		{"nothing finished", 3, nil, 3},
		{"parts of groups do not count", 3, []int{0, 1}, 3},
		{"groups complete in any order", 3, []int{4, 0, 1, 2}, 1},
		{"items without a group are groups of their own", 3, []int{5, 6}, 1},
		{"more groups than desired", 2, []int{0, 1, 2, 3, 4}, 0},
		{"more groups desired than there are", 9, []int{0, 1, 2, 3, 4, 5, 6}, 0},
		{"positions outside the step", 3, []int{-1, 7, 3}, 2},
		{"no groups desired", 0, nil, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			must.Eq(t, test.want, step.NewGroups(names, test.desired).Missing(test.finished))
		})
	}
}
