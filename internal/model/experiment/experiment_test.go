package experiment

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/seed"
	"github.com/lacewingtally/lacewingtally/internal/model/trace"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

func TestMain(m *testing.M) {
	suite.Main(m)
}

func TestRunIsDeterministic(t *testing.T) {
	tr := trace.New(trace.Asociace(), trace.SpotReclaimed, seed.Value(), 6*time.Minute)
	for _, v := range Variants() {
		must.Eq(t, Run(&tr, v), Run(&tr, v), must.Sprint(v.Name))
	}
}

func TestEventQueueRunsInOrder(t *testing.T) {
	var q eventQueue
	q.now = startTime
	var got []int
	for i := range 50 {
		q.after(time.Duration(i%5)*time.Second, func() { got = append(got, i%5*100+i) })
	}
	q.runUntil(startTime.Add(time.Minute))
	must.Len(t, 50, got)
	must.SliceContainsAll(t, got[:10], []int{0, 5, 10, 15, 20, 25, 30, 35, 40, 45})
	for i := 1; i < len(got); i++ {
		must.Less(t, got[i], got[i-1])
	}
	must.Eq(t, startTime.Add(time.Minute), q.now)
}

func TestNothingIsReclaimedWithoutSpot(t *testing.T) {
	tr := trace.New(trace.Cosecha(), trace.SpotReclaimed, seed.Value(), 6*time.Minute)
	for _, v := range Variants() {
		if v.Spot {
			continue
		}
		r := Run(&tr, v)
		must.Eq(t, 0, r.Interrupted)
		must.Eq(t, 0, r.SpotFraction)
	}
}
