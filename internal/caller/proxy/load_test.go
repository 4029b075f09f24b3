package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/retry"
	standengine "github.com/lacewingtally/lacewingtally/internal/standin/engine"
	"github.com/lacewingtally/lacewingtally/internal/standin/link"
)

// countingBudget is a retry budget that counts the retries it allows.
type countingBudget struct {
	mutex   sync.Mutex
	budget  retry.Budget
	retries int
}

func (b *countingBudget) Retry(now time.Time, w fleet.Workspace) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	ok, _ := b.budget.Retry(now, w)
	if ok {
		b.retries++
	}
	return ok
}

// TestRetryStorm sends 300 requests while no server is reachable. With the retry
// budget, the number of attempts must stay close to the number of requests;
// without it, every request makes all 8 attempts.
func TestRetryStorm(t *testing.T) {
	for _, budgeted := range []bool{true, false} {
		t.Run(fmt.Sprint(budgeted), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mutex sync.Mutex
				dials := 0
				refuse := func(e link.Event) link.Action {
					mutex.Lock()
					defer mutex.Unlock()
					dials++
					return link.Action{Fault: link.FaultBreak}
				}
				b := &countingBudget{}
				o := fixtureOptions{engines: 5, decide: refuse}
				if budgeted {
					o.budget = b
				}
				f := newFixture(t, o)
				defer f.close()
				var w sync.WaitGroup
				for range 300 {
					w.Go(func() {
						b.mutex.Lock()
						b.budget.Attempt(time.Now(), "bakers", 0.1)
						b.mutex.Unlock()
						_, err := f.generate(0, key, "ovens", nil)
						must.Positive(t, refusalOf(t, err).RetryAfter.AsDuration())
					})
				}
				w.Wait()
				if budgeted {
					must.EqOp(t, 300+b.retries, dials)
					must.LessEq(t, 33, b.retries)
					return
				}
				// Each request makes the maximum number of attempts.
				must.EqOp(t, 300*8, dials)
			})
		})
	}
}

// TestDrainWaits drains a daemon during a stream and a service call. Drain must
// wait for both, also while the stream is resumed on another engine.
func TestDrainWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fixtureOptions{
			engines: 2, services: 1, engine: []standengine.Option{standengine.WithTokensPerSecond(1)},
		})
		defer f.close()
		f.engines[0].SetFaults(standengine.Fault{Kind: standengine.FaultCut, After: 6})
		var w sync.WaitGroup
		w.Go(func() {
			text, err := f.generate(0, key, "ovens", nil)
			must.NoError(t, err)
			must.EqOp(t, standengine.Text("ovens", 7, 0, tokens), text)
		})
		w.Go(func() {
			status, _, _ := f.post(0, "/bookings", "id-1", "two", nil)
			must.EqOp(t, http.StatusOK, status)
		})
		synctest.Wait()
		short, cancel := context.WithTimeout(f.ctx, 5*time.Second)
		must.ErrorIs(t, f.daemons[0].requests.Drain(short), context.DeadlineExceeded)
		cancel()
		must.NoError(t, f.daemons[0].requests.Drain(f.ctx))
		w.Wait()
	})
}
