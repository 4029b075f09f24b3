package server

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	suite.Main(m)
}

func live(ids ...fleet.ServerID) []fleet.Server {
	var out []fleet.Server
	for _, id := range ids {
		out = append(out, fleet.Server{ID: id, State: fleet.StateLive, FailureDomain: "lima-a", Region: "lima", Pool: "p"})
	}
	return out
}

func TestLeavingIsPermanent(t *testing.T) {
	var d Directory
	must.Eq(t, []Event{{Kind: Opened, Server: "a"}, {Kind: Opened, Server: "b"}}, d.UpdateList(start, live("a", "b")))
	must.Eq(t, []Event{{Kind: Closed, Server: "a"}}, d.MarkLeaving(start, "a"))
	must.SliceEmpty(t, d.UpdateList(start.Add(time.Minute), live("a", "b")), must.Sprint("an old list must not reopen a leaving server"))
	d.UpdateList(start.Add(2*time.Minute), live("b"))
	must.SliceEmpty(t, d.UpdateList(start.Add(3*time.Minute), live("a", "b")), must.Sprint("an old list must not bring a leaving server back"))
	must.False(t, d.Snapshot().Usable("a"))
	must.Eq(t, []fleet.ServerID{"a"}, d.Leaving())
}

func TestNoticeBeforeFirstListing(t *testing.T) {
	var d Directory
	must.SliceEmpty(t, d.MarkLeaving(start, "a"))
	must.SliceEmpty(t, d.UpdateList(start.Add(time.Second), live("a")))
	s := d.Snapshot()
	v, ok := s.Server("a")
	must.True(t, ok)
	must.Eq(t, fleet.StateLeaving, v.State)
	must.SliceEmpty(t, s.UsableIn("lima", "p"))
}

func TestDrainIsReverted(t *testing.T) {
	var d Directory
	d.UpdateList(start, live("a"))
	must.Eq(t, []Event{{Kind: Closed, Server: "a"}}, d.Drain([]fleet.FailureDomain{"lima-a"}))
	must.Eq(t, []Event{{Kind: Opened, Server: "a"}}, d.Drain(nil))
}

func TestGoneServersAreRemoved(t *testing.T) {
	var d Directory
	d.UpdateList(start, live("a"))
	d.MarkLeaving(start, "a")
	d.UpdateList(start.Add(time.Second), nil)
	must.SliceEmpty(t, d.Leaving())
	d.UpdateList(start.Add(forgetAfter/2), nil)
	must.MapLen(t, 1, d.entries)
	d.UpdateList(start.Add(2*forgetAfter), nil)
	must.MapEmpty(t, d.entries)
}

func TestRegistryPublishes(t *testing.T) {
	r := NewRegistry()
	old := r.Snapshot()
	r.UpdateList(start, live("a"))
	<-old.Superseded
	must.Eq(t, 1, r.Snapshot().Count(RegionPool{Region: "lima", Pool: "p"}))
	old = r.Snapshot()
	must.SliceEmpty(t, r.MarkLeaving(start, "never-seen"))
	<-old.Superseded
	must.Eq(t, []fleet.ServerID{"never-seen"}, r.Snapshot().Leaving)
	must.Eq(t, []RegionPool{{Region: "lima", Pool: "p"}}, r.Snapshot().RegionPools())
	r.Drain([]fleet.FailureDomain{"lima-a"})
	must.SliceEmpty(t, r.Snapshot().RegionPools())
}
