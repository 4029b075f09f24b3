package cell

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
)

// TestSlowServerIsUsedLast makes one of four servers slow: it gets work only if
// the others are full, and no longer counts as slow once its throughput has
// expired.
func TestSlowServerIsUsedLast(t *testing.T) {
	var c Cell
	c.Servers(at(0), standard(4, 2))
	slow := fleet.ServerID("standard-1")
	n := 0
	ask := func(seconds float64) gate.Grant {
		n++
		id := AskID(fmt.Sprint(n))
		return granted(c.Ask(at(seconds), request(string(id), "a", fleet.Live, seconds)))[id]
	}
	var held []gate.Grant
	for range 8 {
		held = append(held, ask(0))
	}
	for _, g := range held {
		if g.Server.ID != slow {
			c.Release(at(1), g.ID, gate.Report{Outcome: gate.Completed, Tokens: 100})
		}
	}
	for _, g := range held {
		if g.Server.ID == slow {
			c.Release(at(10), g.ID, gate.Report{Outcome: gate.Completed, Tokens: 100})
		}
	}
	c.Tick(at(10))
	for range 6 {
		must.NotEq(t, slow, ask(11).Server.ID)
	}
	must.Eq(t, slow, ask(11).Server.ID)
	c.Tick(at(10 + 2*throughputMaxAge.Seconds()))
	must.False(t, c.servers.byID[slow].slow)
}
