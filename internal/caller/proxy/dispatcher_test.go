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

// TestPoisonWithDispatchers runs one cell of TestMatrixPoison with admission by
// real dispatchers, which make a request wait for a server that is not excluded.
func TestPoisonWithDispatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fixtureOptions{
			daemons: 3, engines: 4, dispatchers: true, engine: []standengine.Option{standengine.WithTokensPerSecond(20)},
		})
		defer f.close()
		for _, e := range f.engines {
			e.SetFaults(standengine.Fault{Kind: standengine.FaultCrash, After: 4, Word: "poison", Down: 1000})
		}
		var w sync.WaitGroup
		for n, prompt := range harmlessPrompts {
			w.Go(func() {
				text, err := f.generate(n%3, key, prompt, nil)
				must.NoError(t, err)
				must.EqOp(t, standengine.Text(prompt, 7, 0, tokens), text)
			})
		}
		start := time.Now()
		_, err := f.generate(0, key, "poison", nil)
		requireQuarantined(t, err)
		must.Less(t, 10*time.Second, time.Since(start))
		w.Wait()
		must.EqOp(t, 2, crashCount(f))
	})
}

// TestAllServersFailOnce breaks off the first answer of every server. The request
// must return to a server that failed instead of waiting forever for another one.
func TestAllServersFailOnce(t *testing.T) {
	for _, dispatchers := range []bool{false, true} {
		for _, servers := range []int{1, 2, 3} {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, fixtureOptions{engines: servers, services: servers, dispatchers: dispatchers})
				defer f.close()
				for n := range servers {
					f.engines[n].SetFaults(standengine.Fault{Kind: standengine.FaultCut, After: n, Count: 1})
					f.services[n].SetFaults(standservice.Fault{Kind: standservice.FaultCut, Count: 1})
				}
				start := time.Now()
				text, err := f.generate(0, key, "ovens", nil)
				must.NoError(t, err)
				must.EqOp(t, standengine.Text("ovens", 7, 0, tokens), text)
				status, _, _ := f.post(0, "/prices", "", "two", nil)
				must.EqOp(t, http.StatusOK, status)
				must.Less(t, 5*time.Second, time.Since(start))
			})
		}
	}
}
