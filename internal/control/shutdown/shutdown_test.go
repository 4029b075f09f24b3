package shutdown_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/shutdown"
)

// TestRequestsBegunDuringShutdown guards against requests being begun late in a grace period of 8 s
// that are cut at its end, and against refusals of those that are answered in time.
func TestRequestsBegunDuringShutdown(t *testing.T) {
	start := time.Unix(1000, 0)
	s := shutdown.New(start, 8*time.Second)
	for name, x := range map[string]struct {
		schedule     shutdown.Schedule
		arrives, end time.Duration
		want         bool
	}{
		"no shutdown":                     {shutdown.Schedule{}, time.Hour, 2 * time.Hour, true},
		"before the balancer has noticed": {s, 2200 * time.Millisecond, time.Minute, true},
		"late and short":                  {s, 5 * time.Second, 6500 * time.Millisecond, true},
		"late and long":                   {s, 5 * time.Second, 7 * time.Second, false},
		"after the listeners are closed":  {s, 2300 * time.Millisecond, 8 * time.Second, false},
		"after the answers":               {s, 6900 * time.Millisecond, 6950 * time.Millisecond, false},
		"short grace period":              {shutdown.New(start, 2*time.Second), 900 * time.Millisecond, 950 * time.Millisecond, false},
	} {
		must.Eq(t, x.want, x.schedule.Begins(start.Add(x.arrives), start.Add(x.end)), must.Sprint(name))
	}
	must.True(t, s.ClosesAt.Before(s.AnswersAt) && s.AnswersAt.Before(s.EndsAt))
}
