package proxy_test

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	standengine "github.com/lacewingtally/lacewingtally/internal/standin/engine"
	standservice "github.com/lacewingtally/lacewingtally/internal/standin/service"
)

// TestPoisonWithCells is a cell of TestMatrixPoison with the dispatchers' own
// admission, which keeps a request waiting for a server that is not excluded.
func TestPoisonWithCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fixtureOptions{
			daemons: 3, engines: 4, cells: true, engine: []standengine.Option{standengine.WithTokensPerSecond(20)},
		})
		defer f.close()
		for _, e := range f.engines {
			e.SetFaults(standengine.Fault{Kind: standengine.FaultCrash, After: 4, Word: "poison", Down: 1000})
		}
		var w sync.WaitGroup
		for n, prompt := range innocents {
			w.Go(func() {
				text, err := f.generate(n%3, key, prompt, nil)
				must.NoError(t, err)
				must.EqOp(t, standengine.Text(prompt, 7, 0, tokens), text)
			})
		}
		begun := time.Now()
		_, err := f.generate(0, key, "poison", nil)
		poisoned(t, err)
		must.Less(t, 10*time.Second, time.Since(begun))
		w.Wait()
		must.EqOp(t, 2, crashes(f))
	})
}

// TestAllServersFailOnce cuts the first answer of every server: the request goes
// back to one that failed before it waits for another for ever.
func TestAllServersFailOnce(t *testing.T) {
	for _, cells := range []bool{false, true} {
		for _, servers := range []int{1, 2, 3} {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, fixtureOptions{engines: servers, services: servers, cells: cells})
				defer f.close()
				for n := range servers {
					f.engines[n].SetFaults(standengine.Fault{Kind: standengine.FaultCut, After: n, Count: 1})
					f.services[n].SetFaults(standservice.Fault{Kind: standservice.FaultCut, Count: 1})
				}
				begun := time.Now()
				text, err := f.generate(0, key, "ovens", nil)
				must.NoError(t, err)
				must.EqOp(t, standengine.Text("ovens", 7, 0, tokens), text)
				status, _, _ := f.post(0, "/prices", "", "two", nil)
				must.EqOp(t, http.StatusOK, status)
				must.Less(t, 5*time.Second, time.Since(begun))
			})
		}
	}
}
