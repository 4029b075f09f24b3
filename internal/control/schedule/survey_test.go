package schedule_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
)

// TestServersWithoutSlotsOnlyMatterInTheSurvey places items on all servers, and with
// a survey of all of them on those that have slots for this daemon. Both must lead to
// the same placements.
func TestServersWithoutSlotsOnlyMatterInTheSurvey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all, usable []schedule.Server
		for n := range rapid.IntRange(1, 40).Draw(t, "Servers") {
			s := server(fmt.Sprint("s", n), rapid.IntRange(0, 2).Draw(t, "Free"), 1)
			s.Pace = time.Duration(rapid.IntRange(0, 3).Draw(t, "Pace")) * 500 * time.Microsecond
			s.Load = rapid.IntRange(0, 4).Draw(t, "Load")
			all = append(all, s)
			if s.Free > 0 {
				usable = append(usable, s)
			}
		}
		var waiting []schedule.Item
		for n := range rapid.IntRange(0, 30).Draw(t, "Items") {
			it := item(fmt.Sprint(n), rapid.IntRange(100, 9000).Draw(t, "Remaining"), 6*time.Second)
			it.ReadyAt = start
			waiting = append(waiting, it)
		}
		survey := schedule.NewSurvey(all, new(schedule.LoadEffect).Factor())
		got := survey.Place(start, slices.Clone(waiting), usable)
		must.Eq(t, schedule.Place(start, waiting, all), got)
	})
}
