package endtoend

import (
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/api/callerv1"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
)

// answersInOutage is the number of answers that each daemon gives during an
// outage. Together they take many times as long as a view stays confirmed without
// being confirmed again.
const answersInOutage = 40

// TestStoreOutage makes the table unavailable. Daemons must continue to serve,
// and must refuse requests that need the table as not run.
func TestStoreOutage(t *testing.T) {
	c := newCluster(t)
	next := c.config()
	next.Defaults = map[config.Setting]float64{config.Weight: 2}
	c.fault(c.table, tableFault{Mode: "Outage"})
	eventually(t, "all daemons report the outage", func() bool {
		for i := range c.daemons {
			if s := c.status(i); s == nil || s.GetStoreReachable() {
				return false
			}
		}
		return true
	})
	for n := range answersInOutage {
		for i := range c.daemons {
			m := &callerv1.GenerateRequest{Pool: string(pool), Prompt: "during the outage", MaxTokens: 10, Seed: uint64(n)}
			a, err := c.generate(i, callerKey, m, nil)
			must.NoError(t, err)
			must.Eq(t, expected(m), a.text)
		}
	}
	_, err := c.tryApply(0, next, "outage")
	must.Eq(t, connect.CodeUnavailable, connect.CodeOf(err))

	a := c.plain(1, callerKey, "/bookings/oven", "dark-1", "x")
	must.Eq(t, "NotRun", a.refusal)
	must.StrContains(t, a.body, "Store")
	must.MapNotContainsKey(t, c.runs(), "dark-1")
	a = c.plain(1, callerKey, "/bookings/oven", "", "without ID")
	must.Eq(t, http.StatusOK, a.status, must.Sprint(a))

	c.fault(c.table, tableFault{})
	eventually(t, "the change is applied after the outage", func() bool {
		r, err := c.tryApply(0, next, "after the outage")
		return err == nil && r.GetInForce() || connect.CodeOf(err) == connect.CodeFailedPrecondition
	})
	eventually(t, "the refused request runs after the outage", func() bool {
		a = c.plain(1, callerKey, "/bookings/oven", "dark-1", "x")
		return a.status == http.StatusOK
	})
	must.Eq(t, 1, c.runs()["dark-1"])
}

// TestDaemonStartsDuringOutage starts a daemon while the table is unavailable. It
// must serve with the view of its peers.
func TestDaemonStartsDuringOutage(t *testing.T) {
	c := newCluster(t)
	c.daemons[2].terminate(t)
	c.fault(c.table, tableFault{Mode: "Outage"})
	c.startDaemon(c.daemons[2])
	eventually(t, "the new daemon serves", func() bool {
		m := &callerv1.GenerateRequest{Pool: string(pool), Prompt: "newcomer", MaxTokens: 5}
		a, err := c.generate(2, callerKey, m, nil)
		return err == nil && a.text == expected(m)
	})
	must.Eq(t, "NotRun", c.plain(2, strings.ToUpper(callerKey), "/bookings/oven", "", "").refusal)
}
