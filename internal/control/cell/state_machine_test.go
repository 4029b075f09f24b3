package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
)

// driver applies random events to a cell and checks the invariants after each.
type driver struct {
	cell    Cell
	now     time.Time
	usable  map[fleet.ServerID]fleet.Server
	granted map[AskID]gate.Grant
	waiting map[AskID]Ask
	running map[fleet.ServerID]int
	// asked counts the asks so far.
	asked int
}

func newDriver(p Policy[fleet.Workspace]) *driver {
	d := &driver{
		now:     start,
		usable:  make(map[fleet.ServerID]fleet.Server),
		granted: make(map[AskID]gate.Grant),
		waiting: make(map[AskID]Ask),
		running: make(map[fleet.ServerID]int),
	}
	d.cell.Policy = p
	d.cell.Settings = DefaultSettings()
	return d
}

// checkDecisions checks decisions against the asks that wait.
func (d *driver) checkDecisions(t *rapid.T, decisions []Decision) {
	for _, v := range slices.Clone(decisions) {
		a, ok := d.waiting[v.Ask]
		must.True(t, ok, must.Sprintf("%s was not waiting", v.Ask))
		delete(d.waiting, v.Ask)
		if v.Reason != "" {
			must.False(t, v.RetryAt.Before(d.now))
			continue
		}
		s, ok := d.usable[v.Grant.Server.ID]
		must.True(t, ok, must.Sprint("granted on a server that is not usable"))
		must.False(t, slices.Contains(a.Request.Exclude, s.ID))
		must.True(t, s.Kind != fleet.Spot || a.Request.SpotAllowed && a.Request.Class != fleet.Critical)
		d.running[s.ID]++
		must.LessEq(t, s.Capacity, d.running[s.ID], must.Sprint("above capacity"))
		d.granted[v.Ask] = v.Grant
	}
}

func (d *driver) ask(t *rapid.T) {
	d.asked++
	class := fleet.Class(rapid.IntRange(0, 2).Draw(t, "class"))
	a := request(fmt.Sprint(d.asked), fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "workspace")), class, 0)
	a.Since = d.now
	a.Request.Deadline = d.now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "deadline")) * time.Second)
	a.Request.SpotAllowed = rapid.Bool().Draw(t, "spot")
	if rapid.Bool().Draw(t, "exclude") {
		a.Request.Exclude = []fleet.ServerID{"standard-0"}
	}
	d.waiting[a.ID] = a
	d.checkDecisions(t, d.cell.Ask(d.now, a))
}

func (d *driver) cancel(t *rapid.T) {
	ids := keys(d.waiting)
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(t, "cancelled")
	delete(d.waiting, id)
	d.checkDecisions(t, d.cell.Cancel(d.now, id))
}

func (d *driver) release(t *rapid.T) {
	ids := keys(d.granted)
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(t, "released")
	outcome := rapid.SampledFrom([]gate.Outcome{gate.Completed, gate.Crashed, gate.Refused, gate.Stopped}).Draw(t, "outcome")
	d.end(t, id, outcome)
	d.checkDecisions(t, d.cell.Release(d.now, "unknown", gate.Report{}))
}

func (d *driver) end(t *rapid.T, id AskID, o gate.Outcome) {
	g := d.granted[id]
	delete(d.granted, id)
	d.running[g.Server.ID]--
	d.checkDecisions(t, d.cell.Release(d.now, g.ID, gate.Report{Outcome: o, Tokens: 50}))
}

func (d *driver) servers(t *rapid.T) {
	all := append(standard(3, 2), spot(2, 2)...)
	d.usable = make(map[fleet.ServerID]fleet.Server)
	var list []fleet.Server
	for i, s := range all {
		if i == 0 || rapid.Bool().Draw(t, "up") {
			d.usable[s.ID] = s
			list = append(list, s)
		}
	}
	d.checkDecisions(t, d.cell.Servers(d.now, list))
}

func (d *driver) tick(t *rapid.T) {
	d.now = d.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	d.cell.recordContact(d.now, fleet.MemberID{})
	d.checkDecisions(t, d.cell.Tick(d.now))
}

// drain makes all servers usable and ends grants until nothing waits; it fails
// if a request starves or a slot is leaked.
func (d *driver) drain(t *rapid.T) {
	d.usable = make(map[fleet.ServerID]fleet.Server)
	all := append(standard(3, 2), spot(2, 2)...)
	for _, s := range all {
		d.usable[s.ID] = s
	}
	d.checkDecisions(t, d.cell.Servers(d.now, all))
	for round := 0; len(d.waiting) > 0; round++ {
		must.Less(t, 2*d.asked+100, round, must.Sprint("starved"))
		for _, id := range keys(d.granted) {
			d.end(t, id, gate.Completed)
		}
		d.now = d.now.Add(time.Second)
		d.cell.recordContact(d.now, fleet.MemberID{})
		d.checkDecisions(t, d.cell.Tick(d.now))
	}
	for _, id := range keys(d.granted) {
		d.end(t, id, gate.Completed)
	}
	must.Eq(t, d.cell.servers.capacity, d.cell.Summary().Free, must.Sprint("a slot leaked"))
	must.MapEmpty(t, d.cell.grants)
	must.MapEmpty(t, d.cell.asks)
}

func TestCellStateMachine(t *testing.T) {
	policies := map[string]func() Policy[fleet.Workspace]{
		"MaxMin":     func() Policy[fleet.Workspace] { return MaxMin[fleet.Workspace]{} },
		"Share":      func() Policy[fleet.Workspace] { return Share[fleet.Workspace]{} },
		"RoundRobin": func() Policy[fleet.Workspace] { return &RoundRobin[fleet.Workspace]{} },
		"FIFO":       func() Policy[fleet.Workspace] { return FIFO[fleet.Workspace]{} },
	}
	for name, p := range policies {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				d := newDriver(p())
				d.servers(t)
				t.Repeat(map[string]func(*rapid.T){
					"ask":     d.ask,
					"ask2":    d.ask,
					"cancel":  d.cancel,
					"release": d.release,
					"servers": d.servers,
					"tick":    d.tick,
				})
				d.drain(t)
			})
		})
	}
}

// TestNoRequestStarves lets one workspace flood a full cell before two others
// ask: the live request of a new workspace is served next in its class, and the
// training floor serves the trainer's sample.
func TestNoRequestStarves(t *testing.T) {
	c := Cell{Settings: DefaultSettings()}
	c.Servers(at(0), standard(2, 5))
	n := 0
	flood := func() {
		n++
		c.Ask(at(0), request(fmt.Sprint("flood-", n), "flood", fleet.Live, 0))
	}
	for range 100 {
		flood()
	}
	c.Ask(at(1), request("newcomer", "newcomer", fleet.Live, 1))
	c.Ask(at(1), request("sample", "trainer", fleet.Training, 1))
	served := map[AskID]int{}
	for i := range 20 {
		var id string
		for id = range c.grants {
			if c.grants[id].ask.Request.Workspace == "flood" {
				break
			}
		}
		flood()
		for got := range granted(c.Release(at(2), id, gate.Report{Outcome: gate.Completed})) {
			served[got] = i
		}
	}
	must.MapContainsKey(t, served, AskID("newcomer"))
	must.MapContainsKey(t, served, AskID("sample"))
	must.LessEq(t, 2, served["newcomer"])
	must.LessEq(t, 2, served["sample"])
}

func keys[V any](m map[AskID]V) []AskID {
	var out []AskID
	for id := range m {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
