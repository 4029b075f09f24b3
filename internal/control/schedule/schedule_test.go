package schedule_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func server(id string, free, version int) schedule.Server {
	return schedule.Server{ID: id, Service: "s", Free: free, Version: func(string) int { return version }}
}

func work(id string, remaining int, due time.Duration) schedule.Work {
	return schedule.Work{ID: id, Service: "s", Model: "m", MinVersion: 1, Remaining: remaining, DueAt: start.Add(due)}
}

func TestPlaceStartsTheLeastSlackFirst(t *testing.T) {
	// A new job with a long item, and an older one with short items left.
	waiting := []schedule.Work{
		work("old-short", 100, 4*time.Second),
		work("new-long", 9000, 8*time.Second),
		work("new-short", 100, 8*time.Second),
	}
	got := schedule.Place(start, waiting, []schedule.Server{server("a", 2, 1)})
	must.Len(t, 2, got)
	must.Eq(t, "new-long", got[0].Work.ID)
	must.Eq(t, "old-short", got[1].Work.ID)
}

func TestPlaceKeepsToVersionsAndPlaces(t *testing.T) {
	w := work("x", 10, time.Second)
	w.MinVersion = 3
	got := schedule.Place(start, []schedule.Work{w}, []schedule.Server{server("old", 5, 2), server("full", 0, 3)})
	must.Len(t, 0, got)
	got = schedule.Place(start, []schedule.Work{w}, []schedule.Server{server("old", 5, 2), server("new", 1, 4)})
	must.Len(t, 1, got)
	must.Eq(t, "new", got[0].Server)
}

func TestPlaceAvoidsSlowLoadingAndFailedServers(t *testing.T) {
	slow, busy, failed, good := server("slow", 9, 1), server("busy", 9, 1), server("failed", 9, 1), server("good", 1, 1)
	slow.Pace, busy.Pace, failed.Pace, good.Pace = 3*time.Millisecond, time.Millisecond, time.Millisecond, time.Millisecond
	busy.Busy = true
	w := work("x", 10, time.Second)
	w.Avoid = "failed"
	got := schedule.Place(start, []schedule.Work{w}, []schedule.Server{slow, busy, failed, good})
	must.Eq(t, "good", got[0].Server)
}

func TestPlaceWaitsBeforeARetry(t *testing.T) {
	w := work("x", 10, time.Second)
	w.NotBefore = start.Add(time.Millisecond)
	must.Len(t, 0, schedule.Place(start, []schedule.Work{w}, []schedule.Server{server("a", 1, 1)}))
}

func TestQuotasAddUp(t *testing.T) {
	for daemons := 1; daemons < 40; daemons++ {
		for rotation := range 7 {
			sum := 0
			for rank := range daemons {
				sum += schedule.Quota(12, rank, daemons, rotation)
			}
			must.Eq(t, 12, sum)
		}
	}
}

func TestShareGivesTheLongestToTheLeastLoaded(t *testing.T) {
	got := schedule.Share([]int{10, 90, 50, 40}, []float64{1, 1})
	must.Eq(t, []int{0, 0, 1, 1}, got)
}

func TestMoveLeavesASilentServerOnlyForRoomElsewhere(t *testing.T) {
	r := schedule.Running{Work: work("x", 1000, time.Second), Server: "dark", ProgressAt: start, Begun: true}
	now := start.Add(time.Second)
	must.Len(t, 1, schedule.Move(now, []schedule.Running{r}, []schedule.Server{server("dark", 3, 1), server("b", 1, 1)}))
	must.Len(t, 0, schedule.Move(now, []schedule.Running{r}, []schedule.Server{server("dark", 3, 1), server("b", 0, 1)}))
	must.Len(t, 0, schedule.Move(start.Add(100*time.Millisecond), []schedule.Running{r}, []schedule.Server{server("dark", 3, 1), server("b", 1, 1)}))
}

func TestMoveLeavesASlowServerWhenThatIsSooner(t *testing.T) {
	slow, fast := server("slow", 0, 1), server("fast", 1, 1)
	slow.Pace, fast.Pace = 3*time.Millisecond, time.Millisecond
	r := schedule.Running{Work: work("x", 2000, time.Second), Server: "slow", ProgressAt: start, Begun: true}
	must.Len(t, 1, schedule.Move(start, []schedule.Running{r}, []schedule.Server{slow, fast}))
	r.Work.Remaining = 20
	must.Len(t, 0, schedule.Move(start, []schedule.Running{r}, []schedule.Server{slow, fast}))
}
