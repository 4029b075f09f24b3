package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
)

func TestCellWithoutServersRefuses(t *testing.T) {
	var c Cell
	d := c.Ask(at(0), request("1", "a", fleet.Live, 0))
	must.Len(t, 1, d)
	must.Eq(t, refusal.ReasonNoServer, d[0].Reason)
	must.True(t, d[0].RetryAt.After(at(0)))
}

func TestAskIsIdempotent(t *testing.T) {
	var c Cell
	c.Servers(at(0), standard(1, 2))
	first := granted(c.Ask(at(0), request("1", "a", fleet.Live, 0)))["1"]
	second := granted(c.Ask(at(1), request("1", "a", fleet.Live, 0)))["1"]
	must.Eq(t, first.ID, second.ID)
	must.Eq(t, 1, c.Summary().Free)
}

func TestUrgentClassGoesFirst(t *testing.T) {
	var c Cell
	c.Servers(at(0), standard(1, 1))
	g := granted(c.Ask(at(0), request("running", "a", fleet.Live, 0)))["running"]
	must.MapEmpty(t, granted(c.Ask(at(1), request("training", "a", fleet.Training, 1))))
	must.MapEmpty(t, granted(c.Ask(at(2), request("live", "a", fleet.Live, 2))))
	must.MapEmpty(t, granted(c.Ask(at(3), request("critical", "a", fleet.Critical, 3))))
	for _, want := range []AskID{"critical", "live", "training"} {
		next := granted(c.Release(at(4), g.ID, gate.Report{Outcome: gate.Completed}))
		must.MapContainsKey(t, next, want)
		g = next[want]
	}
}

func TestTrainingFloor(t *testing.T) {
	c := Cell{Settings: Settings{TrainingFloor: 0.25}}
	c.Servers(at(0), standard(1, 4))
	var live []string
	for i := range 20 {
		for id, g := range granted(c.Ask(at(0), request(fmt.Sprintf("live-%02d", i), "a", fleet.Live, float64(i)))) {
			must.StrContains(t, string(id), "live")
			live = append(live, g.ID)
		}
	}
	must.MapEmpty(t, granted(c.Ask(at(1), request("training", "b", fleet.Training, 20))))
	must.MapContainsKey(t, granted(c.Release(at(2), live[0], gate.Report{})), AskID("training"))
	must.MapEmpty(t, granted(c.Ask(at(3), request("training-2", "b", fleet.Training, 21))))
	must.MapNotContainsKey(t, granted(c.Release(at(4), live[1], gate.Report{})), AskID("training-2"))
}

func TestLiveReserve(t *testing.T) {
	c := Cell{Settings: Settings{LiveReserve: 0.25}}
	c.Servers(at(0), standard(1, 4))
	c.Ask(at(0), request("live", "a", fleet.Live, 0))
	n := 0
	for i := range 4 {
		n += len(granted(c.Ask(at(1), request(fmt.Sprint(i), "b", fleet.Training, 1))))
	}
	must.Eq(t, 2, n)
	must.MapLen(t, 1, granted(c.Ask(at(2), request("live-2", "a", fleet.Live, 2))))
}

func TestSpotPolicy(t *testing.T) {
	c := Cell{Settings: Settings{LiveReserve: 0.1}}
	c.Servers(at(0), append(standard(1, 10), spot(2, 10)...))
	g := granted(c.Ask(at(0), request("training", "a", fleet.Training, 0)))["training"]
	must.Eq(t, fleet.Spot, g.Server.Kind)
	g = granted(c.Ask(at(0), request("critical", "a", fleet.Critical, 0)))["critical"]
	must.Eq(t, fleet.Standard, g.Server.Kind)
	onSpot := map[fleet.FailureDomain]int{}
	for i := range 20 {
		a := request(fmt.Sprint(i), "a", fleet.Live, 0)
		a.Request.SpotAllowed = true
		for _, g := range granted(c.Ask(at(1), a)) {
			if g.Server.Kind == fleet.Spot {
				onSpot[g.Server.FailureDomain]++
			}
		}
	}
	must.Eq(t, map[fleet.FailureDomain]int{"praha-0": 1, "praha-1": 1}, onSpot)
}

func TestExcludeAndSuspension(t *testing.T) {
	var c Cell
	c.Servers(at(0), standard(2, 4))
	a := request("1", "a", fleet.Live, 0)
	a.Request.Exclude = []fleet.ServerID{"standard-0"}
	g := granted(c.Ask(at(0), a))["1"]
	must.Eq(t, fleet.ServerID("standard-1"), g.Server.ID)
	c.Release(at(0), g.ID, gate.Report{Outcome: gate.Crashed})
	for i := range 4 {
		g := granted(c.Ask(at(0.1), request(fmt.Sprint("x", i), "a", fleet.Live, 0)))
		must.Eq(t, fleet.ServerID("standard-0"), g[AskID(fmt.Sprint("x", i))].Server.ID)
	}
	must.MapEmpty(t, granted(c.Ask(at(0.2), request("y", "a", fleet.Live, 0))))
	must.MapContainsKey(t, granted(c.Tick(at(1))), AskID("y"))
}

func TestPrefixAffinity(t *testing.T) {
	var c Cell
	c.Servers(at(0), standard(4, 8))
	a := request("1", "a", fleet.Live, 0)
	a.Request.Prefix = 7
	first := granted(c.Ask(at(0), a))["1"].Server.ID
	a.ID = "2"
	must.Eq(t, first, granted(c.Ask(at(0), a))["2"].Server.ID)
	for i := range 8 {
		a.ID = AskID(fmt.Sprint("more-", i))
		c.Ask(at(0), a)
	}
	must.Less(t, 8, c.servers.byID[first].running)
}

func TestBoundedWaitingAndEarlyRefusal(t *testing.T) {
	var c Cell
	c.Servers(at(0), standard(1, 1))
	g := granted(c.Ask(at(0), request("0", "a", fleet.Live, 0)))["0"]
	for i := 1; i <= 10; i++ {
		a := request(fmt.Sprint(i), "a", fleet.Live, 0)
		a.MaxWaiting = 10
		must.SliceEmpty(t, c.Ask(at(0), a))
	}
	a := request("11", "a", fleet.Live, 0)
	a.MaxWaiting = 10
	d := c.Ask(at(0), a)
	must.Eq(t, refusal.ReasonOverload, d[0].Reason)
	must.True(t, d[0].RetryAt.After(at(0)))
	d = c.Release(at(1), g.ID, gate.Report{Outcome: gate.Completed})
	must.MapLen(t, 1, granted(d))
	a = request("late", "a", fleet.Live, 1)
	a.Request.Deadline = at(2)
	d = c.Ask(at(1), a)
	must.Eq(t, refusal.ReasonOverload, d[0].Reason, must.Sprint("nine requests wait at a rate of one per second"))
}

func TestWaitingRequestPastDeadlineIsRefused(t *testing.T) {
	var c Cell
	c.Servers(at(0), standard(1, 1))
	c.Ask(at(0), request("0", "a", fleet.Live, 0))
	a := request("1", "a", fleet.Live, 0)
	a.Request.Deadline = at(5)
	must.SliceEmpty(t, c.Ask(at(0), a))
	must.SliceEmpty(t, c.Tick(at(4)))
	d := c.Tick(at(5))
	must.Len(t, 1, d)
	must.Eq(t, refusal.ReasonDeadline, d[0].Reason)
}

func TestLeavingServerGetsNoGrants(t *testing.T) {
	var c Cell
	c.Servers(at(0), standard(2, 1))
	g := granted(c.Ask(at(0), request("1", "a", fleet.Live, 0)))["1"]
	var other []fleet.Server
	for _, s := range standard(2, 1) {
		if s.ID != g.Server.ID {
			other = append(other, s)
		}
	}
	c.Servers(at(1), other)
	must.MapContainsKey(t, granted(c.Ask(at(1), request("2", "a", fleet.Live, 0))), AskID("2"))
	c.Ask(at(1), request("3", "a", fleet.Live, 0))
	must.MapEmpty(t, granted(c.Release(at(2), g.ID, gate.Report{Outcome: gate.Completed})))
	d := c.Servers(at(3), nil)
	must.Len(t, 1, d)
	must.Eq(t, refusal.ReasonNoServer, d[0].Reason)
}

func TestRegistrationAfterDispatcherChange(t *testing.T) {
	m := fleet.MemberID{Incarnation: "m"}
	var c Cell
	c.Servers(at(0), standard(1, 2))
	c.Settle(at(0), []fleet.MemberID{m, {Incarnation: "dead"}})
	must.SliceEmpty(t, c.Ask(at(0), request("new", "a", fleet.Live, 0)))
	r := Registration{Entry: m, Sequence: 1, Running: []Running{
		{Grant: "old-1", Ask: "1", Server: "standard-0"},
		{Grant: "old-2", Ask: "2", Server: "standard-0"},
	}}
	must.SliceEmpty(t, c.Register(at(0.01), r))
	must.SliceEmpty(t, c.Register(at(0.02), r), must.Sprint("a duplicate changes nothing"))
	must.SliceEmpty(t, c.Tick(at(1)), must.Sprint("both slots are registered as taken"))
	r.Sequence = 2
	r.Running = r.Running[:1]
	must.MapContainsKey(t, granted(c.Register(at(2), r)), AskID("new"))
	r.Sequence = 1
	must.SliceEmpty(t, c.Register(at(3), r), must.Sprint("a registration out of order is ignored"))
}

func TestRegistrationEndsGrantWhoseReleaseWasLost(t *testing.T) {
	m := fleet.MemberID{Incarnation: "m"}
	var c Cell
	c.Servers(at(0), standard(1, 1))
	a := request("1", "a", fleet.Live, 0)
	a.Entry = m
	must.MapLen(t, 1, granted(c.Ask(at(0), a)))
	must.SliceEmpty(t, c.Register(at(1), Registration{Entry: m, Sequence: 1}))
	must.Eq(t, 0, c.Summary().Free, must.Sprint("the grant may still be in flight"))
	c.Register(at(3), Registration{Entry: m, Sequence: 2})
	must.Eq(t, 1, c.Summary().Free)
}

func TestRegistrationDoesNotRestoreReleasedGrant(t *testing.T) {
	m := fleet.MemberID{Incarnation: "m"}
	var c Cell
	c.Servers(at(0), standard(1, 1))
	a := request("1", "a", fleet.Live, 0)
	a.Entry = m
	g := granted(c.Ask(at(0), a))["1"]
	c.Release(at(1), g.ID, gate.Report{Outcome: gate.Completed})
	c.Register(at(1), Registration{Entry: m, Sequence: 1, Running: []Running{{Grant: g.ID, Ask: "1", Server: g.Server.ID}}})
	must.Eq(t, 1, c.Summary().Free)
	c.Tick(at(2 + daemonTimeout.Seconds()))
	must.MapEmpty(t, c.released)
}

func TestUnresponsiveDaemonLosesItsGrants(t *testing.T) {
	var c Cell
	c.Servers(at(0), standard(1, 1))
	must.MapLen(t, 1, granted(c.Ask(at(0), request("1", "a", fleet.Live, 0))))
	c.Tick(at(daemonTimeout.Seconds() - 1))
	must.Eq(t, 0, c.Summary().Free)
	c.Tick(at(daemonTimeout.Seconds() + 1))
	must.Eq(t, 1, c.Summary().Free)
}

func TestReportsAddOnlyExternalLoad(t *testing.T) {
	var c Cell
	c.Servers(at(0), standard(1, 8))
	for i := range 4 {
		c.Ask(at(0), request(fmt.Sprint(i), "a", fleet.Live, 0))
	}
	c.Report(at(1), Load{Server: "standard-0", Running: 4, At: at(0.5)})
	must.Eq(t, 4, c.Summary().Free)
	c.Report(at(2), Load{Server: "standard-0", Running: 6, Waiting: 1, At: at(1.5)})
	must.Eq(t, 1, c.Summary().Free)
	c.Report(at(3), Load{Server: "standard-0", Running: 6, Waiting: 1, At: at(1.4)})
	must.Eq(t, 1, c.Summary().Free)
}

func TestRetryTimesAreJittered(t *testing.T) {
	seen := map[time.Time]bool{}
	for i := range 32 {
		seen[jitter(at(0), at(4), AskID(fmt.Sprint(i)))] = true
	}
	must.Greater(t, 16, len(seen))
}
