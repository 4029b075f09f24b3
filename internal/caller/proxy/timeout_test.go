package proxy_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/platform/table"
	standengine "github.com/lacewingtally/lacewingtally/internal/standin/engine"
	"github.com/lacewingtally/lacewingtally/internal/standin/link"
	standservice "github.com/lacewingtally/lacewingtally/internal/standin/service"
)

// TestUnresponsiveConnectionIsAbandoned makes a connection unresponsive in the
// middle of a stream. The stream must resume after the first idle timeout of 3 s.
func TestUnresponsiveConnectionIsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var once atomic.Bool
		hang := func(e link.Event) link.Action {
			if e.Step == link.StepRead && e.Index == middleRead && once.CompareAndSwap(false, true) {
				return link.Action{Fault: link.FaultHang}
			}
			return link.Action{}
		}
		f := newFixture(t, fixtureOptions{engines: 2, decide: hang})
		defer f.close()
		start := time.Now()
		text, err := f.generate(0, key, "ovens", nil)
		must.NoError(t, err)
		must.EqOp(t, standengine.Text("ovens", 7, 0, tokens), text)
		must.Less(t, 4*time.Second, time.Since(start))
		must.Greater(t, 2*time.Second, time.Since(start))
	})
}

// TestSlowServersComplete uses engines that generate a token every 5 s, longer than
// the first idle timeout. Later attempts must allow for that.
func TestSlowServersComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fixtureOptions{engines: 3, engine: []standengine.Option{standengine.WithTokensPerSecond(0.2)}})
		defer f.close()
		text, err := f.generate(0, key, "ovens", nil)
		must.NoError(t, err)
		must.EqOp(t, standengine.Text("ovens", 7, 0, tokens), text)
	})
}

// TestSlowServiceRunsOnce uses a service that answers a request that may not be
// repeated after 8 s, within the idle timeout of 10 s.
func TestSlowServiceRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fixtureOptions{services: 2})
		defer f.close()
		f.services[0].SetFaults(standservice.Fault{Kind: standservice.FaultSlow, Down: 8000})
		status, _, _ := f.post(0, "/bookings", "id-1", "two", nil)
		must.EqOp(t, http.StatusOK, status)
		must.EqOp(t, 1, f.runs("id-1"))
	})
}

// TestAnswerDoesNotWaitForTable delays the commit that stores an answer by 8 s. The
// caller must receive the answer within 100 ms, and a drain must wait for the
// commit.
func TestAnswerDoesNotWaitForTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := func(_ int, x table.Txn, commit func() error) error {
			if x.Conditions[0].Version != 0 {
				time.Sleep(8 * time.Second)
			}
			return commit()
		}
		f := newFixture(t, fixtureOptions{daemons: 2, services: 1, commit: slow})
		defer f.close()
		start := time.Now()
		status, _, first := f.post(0, "/bookings", "id-1", "two", nil)
		must.EqOp(t, http.StatusOK, status)
		must.LessEq(t, 100*time.Millisecond, time.Since(start))
		status, h, _ := f.post(1, "/bookings", "id-1", "two", nil)
		must.EqOp(t, http.StatusConflict, status)
		must.EqOp(t, "MayHaveRun", h.Get("Refusal-Kind"))
		must.NoError(t, f.daemons[0].requests.Drain(f.ctx))
		must.EqOp(t, 8*time.Second, time.Since(start))
		_, _, again := f.post(1, "/bookings", "id-1", "two", nil)
		must.EqOp(t, first, again)
	})
}
