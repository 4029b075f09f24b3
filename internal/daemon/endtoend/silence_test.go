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

// TestEngineGoesSilent freezes the engine that generates an answer: its
// connection stays open and says nothing more, and the answer goes on
// elsewhere.
func TestEngineGoesSilent(t *testing.T) {
	c := newCluster(t, withSlowEngines(50))
	m := &callerv1.GenerateRequest{RequestId: "story-1", Pool: string(pool), Prompt: "a story", MaxTokens: 80}
	frozen := false
	a, err := c.generate(0, callerKey, m, func(w text) {
		if w.tokens < 20 || frozen {
			return
		}
		for _, e := range c.engines {
			if c.busy(e) {
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

// TestServiceGoesSilent lets the plain service run a request and never answer:
// the caller learns that it may have run, and no repeat runs it again.
func TestServiceGoesSilent(t *testing.T) {
	c := newCluster(t)
	c.fault(c.service.address, []service.Fault{{Kind: service.FaultSilent, Word: "silent", Count: 1}})
	a := c.plain(0, callerKey, "/bookings/oven", "quiet-1", "silent")
	must.Eq(t, "MayHaveRun", a.refusal, must.Sprint(a))
	for i := range c.daemons {
		a = c.plain(i, callerKey, "/bookings/oven", "quiet-1", "silent")
		must.Eq(t, "MayHaveRun", a.refusal, must.Sprint(a))
	}
	must.Eq(t, 1, c.runs()["quiet-1"])
}

// TestAnswersOfTheStoreAreLost lets the table carry writes out without
// answering.
func TestAnswersOfTheStoreAreLost(t *testing.T) {
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
	r, err := c.tryApply(0, next, "in the fog")
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

// TestOperatorsRace lets operators change the configuration through all
// daemons at once: each change is accepted or refused as raced, and the
// accepted ones are the history.
func TestOperatorsRace(t *testing.T) {
	c := newCluster(t)
	const rounds = 3
	var mutex sync.Mutex
	accepted, raced := 0, 0
	for n := range rounds {
		var g sync.WaitGroup
		for i := range c.daemons {
			g.Go(func() {
				next := c.config()
				next.Defaults = map[config.Setting]float64{config.Weight: float64(1 + 10*n + i)}
				_, err := c.tryApply(i, next, fmt.Sprintf("race %d-%d", n, i))
				mutex.Lock()
				defer mutex.Unlock()
				switch {
				case err == nil:
					accepted++
				case connect.CodeOf(err) == connect.CodeAborted:
					raced++
				default:
					t.Errorf("daemon %d: %v", i, err)
				}
			})
		}
		g.Wait()
	}
	must.Eq(t, rounds*len(c.daemons), accepted+raced)
	must.GreaterEq(t, rounds, accepted)
	h, err := c.operator(0).ListConfig(t.Context(), asOperator(&operatorv1.ListConfigRequest{Limit: 50}))
	must.NoError(t, err)
	must.Len(t, 1+accepted, h.Msg.GetRevisions())
	t.Logf("%d changes accepted, %d refused as raced", accepted, raced)
	for i := range c.daemons {
		eventually(t, "every daemon holds the newest revision", func() bool {
			s := c.status(i)
			return s != nil && s.GetRevision() == uint64(1+accepted)
		})
	}
}

// TestDrainedFailureDomain takes a failure domain out of use under load: its
// engine gets nothing new, and comes back with the end of the drain.
func TestDrainedFailureDomain(t *testing.T) {
	c := newCluster(t)
	// burst reports whether the engine ran one of a few requests.
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
	tries := 0
	eventually(t, "the engine works", func() bool {
		tries++
		return burst(fmt.Sprintf("before-%d", tries))
	})
	next := c.config()
	next.Drains = []config.Drain{{FailureDomain: domains[1], Reason: "new power supply"}}
	c.apply(0, next, "drain")
	eventually(t, "the engine gets nothing new", func() bool {
		tries++
		return !burst(fmt.Sprintf("early-%d", tries))
	})
	for n := range 5 {
		must.False(t, burst(fmt.Sprintf("drained-%d", n)))
	}
	c.apply(1, c.config(), "drain ended")
	eventually(t, "the engine works again", func() bool {
		tries++
		return burst(fmt.Sprintf("after-%d", tries))
	})
}
