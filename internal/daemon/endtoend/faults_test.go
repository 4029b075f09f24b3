package endtoend

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/api/operatorv1"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/standin/service"
)

// TestEngineStopsResponding freezes the engine that generates an answer, so that
// its connection stays open but sends nothing. The answer must continue on
// another engine.
func TestEngineStopsResponding(t *testing.T) {
	c := newCluster(t, withSlowEngines(50))
	m := &callerv1.GenerateRequest{RequestId: "story-1", Pool: string(pool), Prompt: "a story", MaxTokens: 80}
	frozen := false
	a, err := c.generate(0, callerKey, m, func(w generation) {
		if w.tokens < 20 || frozen {
			return
		}
		for _, e := range c.engines {
			if c.hasRunStory(e) {
				frozen = true
				e.freeze()
				return
			}
		}
	})
	must.NoError(t, err)
	must.True(t, frozen)
	must.Eq(t, expected(m), a.text)
}

// TestServiceStopsResponding makes the plain service run a request without
// answering. The request must be refused as possibly run, and retries must not
// run it again.
func TestServiceStopsResponding(t *testing.T) {
	c := newCluster(t)
	c.fault(c.service.address, []service.Fault{{Kind: service.FaultHang, Word: "silent", Count: 1}})
	a := c.plain(0, callerKey, "/bookings/oven", "quiet-1", "silent")
	must.Eq(t, "MayHaveRun", a.refusal, must.Sprint(a))
	for i := range c.daemons {
		a = c.plain(i, callerKey, "/bookings/oven", "quiet-1", "silent")
		must.Eq(t, "MayHaveRun", a.refusal, must.Sprint(a))
	}
	must.Eq(t, 1, c.runs()["quiet-1"])
}

// TestStoreAnswersAreLost makes the table apply writes without answering. Each
// request must still run at most once, and an accepted configuration must stay.
func TestStoreAnswersAreLost(t *testing.T) {
	c := newCluster(t)
	c.fault(c.table, tableFault{Mode: "AnswersLost"})
	for n := range 5 {
		id := fmt.Sprintf("lost-%d", n)
		a := c.plain(n%len(c.daemons), callerKey, "/bookings/oven", id, id)
		if a.status == http.StatusOK {
			must.StrContains(t, a.body, id)
		} else {
			must.NotEq(t, "", a.refusal, must.Sprint(a))
		}
	}
	next := c.config()
	next.Defaults = map[config.Setting]float64{config.Weight: 3}
	r, err := c.tryApply(0, next, "while answers are lost")
	applied := err == nil
	c.fault(c.table, tableFault{})
	for n := range 5 {
		id := fmt.Sprintf("lost-%d", n)
		eventually(t, id+" has its answer", func() bool {
			a := c.plain((n+1)%len(c.daemons), callerKey, "/bookings/oven", id, id)
			return a.status == http.StatusOK && strings.Contains(a.body, id) || a.refusal == "MayHaveRun"
		})
		must.LessEq(t, 1, c.runs()[id])
	}
	g, err := c.operator(1).GetConfig(t.Context(), asOperator(&operatorv1.GetConfigRequest{}))
	must.NoError(t, err)
	if applied {
		must.Eq(t, r.GetRevision(), g.Msg.GetRevision())
	}
}

// TestConcurrentConfigChanges changes the configuration through all daemons at
// once. Each change must be accepted or refused as conflicting, and the history
// must have one revision for each accepted change.
func TestConcurrentConfigChanges(t *testing.T) {
	c := newCluster(t)
	const rounds = 3
	var mutex sync.Mutex
	accepted, conflicts := 0, 0
	for n := range rounds {
		var g sync.WaitGroup
		for i := range c.daemons {
			g.Go(func() {
				next := c.config()
				next.Defaults = map[config.Setting]float64{config.Weight: float64(1 + 10*n + i)}
				_, err := c.tryApply(i, next, fmt.Sprintf("change %d-%d", n, i))
				mutex.Lock()
				defer mutex.Unlock()
				switch {
				case err == nil:
					accepted++
				case connect.CodeOf(err) == connect.CodeAborted:
					conflicts++
				default:
					t.Errorf("daemon %d: %v", i, err)
				}
			})
		}
		g.Wait()
	}
	must.Eq(t, rounds*len(c.daemons), accepted+conflicts)
	must.GreaterEq(t, rounds, accepted)
	h, err := c.operator(0).ListConfig(t.Context(), asOperator(&operatorv1.ListConfigRequest{Limit: 50}))
	must.NoError(t, err)
	must.Len(t, 1+accepted, h.Msg.GetRevisions())
	t.Logf("%d changes accepted, %d refused as conflicting", accepted, conflicts)
	for i := range c.daemons {
		eventually(t, "every daemon reports the newest revision", func() bool {
			s := c.status(i)
			return s != nil && s.GetRevision() == uint64(1+accepted)
		})
	}
}

// TestDrainedFailureDomain drains a failure domain under load. Its engine must
// receive no new requests until the drain ends.
func TestDrainedFailureDomain(t *testing.T) {
	c := newCluster(t)
	// burst sends nine requests and reports whether the engine ran any of them.
	burst := func(id string) bool {
		var g sync.WaitGroup
		for n := range 9 {
			m := &callerv1.GenerateRequest{
				RequestId: fmt.Sprintf("%s-%d", id, n), Pool: string(pool), Prompt: fmt.Sprint(id, n), MaxTokens: 30,
			}
			g.Go(func() {
				if _, err := c.generate(n%len(c.daemons), callerKey, m, nil); err != nil {
					t.Error(err)
				}
			})
		}
		g.Wait()
		text, err := c.fetch(http.MethodGet, c.engines[1].address, "/runs", nil)
		must.NoError(t, err)
		return strings.Contains(text, id+"-")
	}
	attempts := 0
	eventually(t, "the engine receives requests", func() bool {
		attempts++
		return burst(fmt.Sprintf("before-%d", attempts))
	})
	next := c.config()
	next.Drains = []config.Drain{{FailureDomain: domains[1], Reason: "new power supply"}}
	c.apply(0, next, "drain")
	eventually(t, "the engine receives no new requests", func() bool {
		attempts++
		return !burst(fmt.Sprintf("early-%d", attempts))
	})
	for n := range 5 {
		must.False(t, burst(fmt.Sprintf("drained-%d", n)))
	}
	c.apply(1, c.config(), "drain ended")
	eventually(t, "the engine receives requests again", func() bool {
		attempts++
		return burst(fmt.Sprintf("after-%d", attempts))
	})
}
