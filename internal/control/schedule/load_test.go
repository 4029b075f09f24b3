package schedule_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/schedule"
)

// observeSteps feeds an estimate with the samples of some steps on nine servers: their
// load rises to a dozen items and falls again. Each item slows a server down by the
// given factor, one server is slow throughout and one for a while.
func observeSteps(factor float64) *schedule.LoadEffect {
	r := rand.New(rand.NewPCG(1, 0))
	var e schedule.LoadEffect
	for n := range 4000 {
		for s := range 9 {
			load := max(0, 12-n%25+r.IntN(4))
			pace := 640e3 * (1 + factor*float64(load)) * (1 + 0.02*r.NormFloat64())
			if s == 0 || s == 1 && n > 1000 && n < 1500 {
				pace *= 3.5
			}
			e.Observe(strconv.Itoa(s), time.Duration(pace), load)
		}
	}
	return &e
}

// TestLoadEffectIsEstimated covers engines that load slows down by different degrees.
func TestLoadEffectIsEstimated(t *testing.T) {
	for _, factor := range []float64{0, 0.003, 0.025, 0.06} {
		got := observeSteps(factor).Factor()
		must.Between(t, factor-0.004, got, factor+0.004, must.Sprint(factor))
	}
}

func TestLoadEffectWithoutSamples(t *testing.T) {
	var e schedule.LoadEffect
	must.Eq(t, 0.025, e.Factor())
	must.Eq(t, 800*time.Microsecond, e.Unloaded(time.Millisecond, 10))
}

func TestLoadEffectForgetsServers(t *testing.T) {
	e := observeSteps(0)
	e.Retain(func(string) bool { return false })
	before := e.Factor()
	// The first sample of a server tells nothing about load.
	e.Observe("0", time.Second, 1000)
	must.Eq(t, before, e.Factor())
}

// TestBurstTakesAllSlotsWhereLoadHardlyMatters replays the start of a step, many short
// items and two long ones, on servers that are not slowed down by load: all items must
// start at once.
func TestBurstTakesAllSlotsWhereLoadHardlyMatters(t *testing.T) {
	waiting := burst(46)
	for _, test := range []struct {
		factor float64
		placed int
	}{{0.003, 48}, {0.025, 26}} {
		servers := []schedule.Server{server("a", 12, 1), server("b", 12, 1), server("c", 12, 1), server("d", 12, 1)}
		survey := schedule.NewSurvey(servers, observeSteps(test.factor).Factor())
		must.Len(t, test.placed, survey.Place(start, waiting, servers), must.Sprint(test.factor))
	}
}

// TestRerunsCostOtherItemsLittle offers a nearly idle server and a busy one for reruns.
func TestRerunsCostOtherItemsLittle(t *testing.T) {
	idle, busy := server("idle", 12, 1), server("busy", 4, 1)
	idle.Load, busy.Load = 2, 8
	for _, test := range []struct {
		factor float64
		want   int
	}{{0.003, 2}, {0.025, 1}, {0.06, 0}} {
		servers := []schedule.Server{idle, busy}
		survey := schedule.NewSurvey(servers, observeSteps(test.factor).Factor())
		must.Len(t, test.want, survey.ForReruns(servers), must.Sprint(test.factor))
	}
}

// TestItemsStayWhereLoadHardlyMatters replays the middle of a step: a long item runs on
// a server with a dozen others while another server has become empty. Moving it is
// worth an interruption only on engines that load slows down.
func TestItemsStayWhereLoadHardlyMatters(t *testing.T) {
	for _, test := range []struct {
		factor float64
		moved  int
	}{{0.003, 0}, {0.025, 1}} {
		loaded, empty := server("loaded", 4, 1), server("empty", 16, 1)
		loaded.Load = 12
		loaded.Pace, empty.Pace = 640*time.Microsecond, 640*time.Microsecond
		r := schedule.Running{Item: item("x", 9000, 8*time.Second), Server: "loaded", SentAt: start.Add(-2 * time.Second), ProgressAt: start, Started: true}
		servers := []schedule.Server{loaded, empty}
		survey := schedule.NewSurvey(servers, observeSteps(test.factor).Factor())
		must.Len(t, test.moved, survey.Move(start, []schedule.Running{r}, servers), must.Sprint(test.factor))
	}
}
