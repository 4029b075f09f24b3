package window_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/window"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"
	"github.com/lacewingtally/lacewingtally/internal/platform/usage"
)

type charge struct {
	epoch fleet.Epoch
}

func (c charge) Check(now time.Time) (fleet.Epoch, time.Time, error) {
	return c.epoch, now.Add(3 * time.Second), nil
}

type events struct{}

func (events) Record(timeline.Event) {}

func usageOf(tokens uint64) gate.Usage {
	return gate.Usage{At: time.Now(), Workspace: "w", Pool: "p", Kind: fleet.Spot, Requests: 1, Tokens: tokens}
}

// totals adds up the reports, each window once. Repeated reports of a window must
// be equal.
func totals(t *testing.T, reports []usage.Report) (requests, tokens uint64) {
	bodies := make(map[string]string)
	for _, r := range reports {
		if known, ok := bodies[r.Window]; ok {
			must.Eq(t, known, string(r.Body))
			continue
		}
		bodies[r.Window] = string(r.Body)
		var f window.Totals
		must.NoError(t, json.Unmarshal(r.Body, &f))
		for _, l := range f.Lines {
			requests += l.Requests
			tokens += l.Tokens
		}
	}
	return requests, tokens
}

func TestUsageReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, u := &table.Memory{}, &usage.Memory{}
		a := window.NewWriter(m, "r", "a")
		b := window.NewWriter(m, "r", "b")
		d := window.NewDuty(m, u, "r", "a", events{})
		for range 4 {
			a.Add(usageOf(10))
			b.Add(usageOf(1))
			must.NoError(t, a.Flush(t.Context()))
			must.NoError(t, b.Flush(t.Context()))
			time.Sleep(window.Length)
			must.NoError(t, d.Step(t.Context(), charge{epoch: 1}))
		}
		time.Sleep(3 * window.Length)
		must.NoError(t, d.Step(t.Context(), charge{epoch: 1}))
		requests, tokens := totals(t, u.Received())
		must.Eq(t, 8, requests)
		must.Eq(t, 44, tokens)
	})
}

func TestLateUsageBecomesAdjustment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, u := &table.Memory{}, &usage.Memory{}
		a := window.NewWriter(m, "r", "a")
		d := window.NewDuty(m, u, "r", "b", events{})
		a.Add(usageOf(1))
		must.NoError(t, a.Flush(t.Context()))
		late := window.Of(time.Now())
		a.Add(usageOf(5))
		time.Sleep(2 * window.Length)
		must.NoError(t, d.Step(t.Context(), charge{epoch: 1}))
		must.NoError(t, a.Flush(t.Context()))
		must.NoError(t, a.Flush(t.Context()))
		time.Sleep(2 * window.Length)
		must.NoError(t, d.Step(t.Context(), charge{epoch: 1}))
		reports := u.Received()
		last := reports[len(reports)-1]
		var f window.Totals
		must.NoError(t, json.Unmarshal(last.Body, &f))
		must.Eq(t, late, f.Lines[0].Subject.Adjusts)
		must.Eq(t, 5, f.Lines[0].Tokens)
		_, tokens := totals(t, reports)
		must.Eq(t, 6, tokens)
	})
}
