package check_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/option"
	"github.com/lacewingtally/lacewingtally/internal/control/check"
	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

func TestMain(m *testing.M) {
	suite.Main(m)
}

// document returns a document without problems.
func document() check.Document {
	return check.Document{
		Version: 1,
		Routes: []route.Route{{
			Name: "r", Host: "h", Prefix: "/r/", Kind: route.Batch, Services: []route.WeightedService{{Service: "s", Weight: 1}},
			Objective: time.Second, MaxWait: 2 * time.Second, DueAfter: time.Second, GiveUpAfter: time.Minute, Resumable: true,
		}},
		Services:   []route.Service{{Name: "s", Scaling: &route.Scaling{Min: 1, Max: 2, Prices: map[string]float64{"a": 1, "b": 2}}}},
		Limits:     route.Limits{HeaderBytes: 1, BodyBytes: 1, IdleTime: 1},
		Workspaces: []check.Workspace{{Name: "w", Keys: []string{"k"}}},
	}
}

// TestFindings guards against problems that are published unnoticed, and against findings
// in sound documents.
func TestFindings(t *testing.T) {
	must.SliceEmpty(t, check.Examine(document()))
	must.SliceEmpty(t, check.Diff(document(), document()))
	for want, edit := range map[string]func(*check.Document, *route.Route){
		"NeverMatches Routes/x: route r has the same host and prefix and comes first": func(d *check.Document, r *route.Route) {
			x := *r
			x.Name = "x"
			d.Routes = append(d.Routes, x)
		},
		"Mistake Routes/r: another route has the same name": func(d *check.Document, r *route.Route) {
			x := *r
			x.Prefix = "/x/"
			d.Routes = append(d.Routes, x)
		},
		"NeverMatches Routes/r: the host is empty":                                                   func(_ *check.Document, r *route.Route) { r.Host = "" },
		"NeverMatches Routes/r: prefix \"r/\" does not begin with a slash":                           func(_ *check.Document, r *route.Route) { r.Prefix = "r/" },
		"Mistake Routes/r: prefix \"/r\" does not end with a slash, so it also matches longer names": func(_ *check.Document, r *route.Route) { r.Prefix = "/r" },
		"Mistake Routes/r: service \"x\" does not exist": func(_ *check.Document, r *route.Route) {
			r.Services = append(r.Services, route.WeightedService{Service: "x", Weight: 1})
		},
		"NeverMatches Routes/r: the weight of service \"s\" is 0": func(_ *check.Document, r *route.Route) {
			r.Services = append(r.Services, route.WeightedService{Service: "s"})
		},
		"Mistake Routes/r: all weights are 0: the first service gets all requests":              func(_ *check.Document, r *route.Route) { r.Services[0].Weight = 0 },
		"Contradiction Routes/r: the response time target of 3s is above the timeout of 2s":     func(_ *check.Document, r *route.Route) { r.Objective = 3 * time.Second },
		"Contradiction Routes/r: results are due after 2m0s, but items are given up after 1m0s": func(_ *check.Document, r *route.Route) { r.DueAfter = 2 * time.Minute },
		"Mistake Routes/r: items are given up as soon as they are submitted":                    func(_ *check.Document, r *route.Route) { r.GiveUpAfter = 0 },
		"Contradiction Routes/r: only streams can be resumed":                                   func(_ *check.Document, r *route.Route) { r.Kind = route.Safe },
		"NeverMatches Services/x: no route leads to it":                                         func(d *check.Document, _ *route.Route) { d.Services = append(d.Services, route.Service{Name: "x"}) },
		"Mistake Services/s: another service has the same name and replaces it":                 func(d *check.Document, _ *route.Route) { d.Services = append(d.Services, route.Service{Name: "s"}) },
		"Contradiction Services/s: at least 3 servers are required, but 2 are allowed":          func(d *check.Document, _ *route.Route) { d.Services[0].Scaling.Min = 3 },
		"Mistake Limits: a limit is negative":                                                   func(d *check.Document, _ *route.Route) { d.Limits.BodyBytes = -1 },
		"NeverMatches Workspaces/w: it has no key, so it gets no requests":                      func(d *check.Document, _ *route.Route) { d.Workspaces[0].Keys = nil },
		"NeverMatches Workspaces/w: an empty key is never accepted":                             func(d *check.Document, _ *route.Route) { d.Workspaces[0].Keys = []string{"k", ""} },
		"Mistake Workspaces/x: it shares a key with workspace \"w\"": func(d *check.Document, _ *route.Route) {
			d.Workspaces = append(d.Workspaces, check.Workspace{Name: "x", Keys: []string{"k"}})
		},
		"NeverMatches Workspaces: a key is required and none exists, so only public routes get requests": func(d *check.Document, _ *route.Route) {
			d.Workspaces, d.KeyRequired = nil, true
		},
	} {
		d := document()
		edit(&d, &d.Routes[0])
		got := check.Examine(d)
		must.Len(t, 1, got, must.Sprint(want))
		must.Eq(t, want, got[0].String())
		must.SliceNotEmpty(t, check.Diff(document(), d), must.Sprint(want))
	}
}

// TestNegativeLimits guards against a negative limit that is published unnoticed.
func TestNegativeLimits(t *testing.T) {
	for _, l := range []route.Limits{{HeaderBytes: -1}, {BodyBytes: -1}, {HeaderTime: -1}, {IdleTime: -1}} {
		d := document()
		d.Limits = l
		must.Len(t, 1, check.Examine(d), must.Sprint(l))
	}
}

// TestDiffShowsNoKeys guards against keys in the output of a check.
func TestDiffShowsNoKeys(t *testing.T) {
	d := document()
	d.Workspaces[0].Keys = []string{"secret"}
	d.Workspaces[0].Priority = option.Some(2)
	d.Routes = nil
	got := check.Diff(document(), d)
	must.Len(t, 2, got)
	must.Eq(t, check.Removed, got[0].Kind)
	must.Eq(t, "Changed Workspaces/w: priority of the route, any region, keys c50b1b63 -> priority 2, any region, keys 623cbc7a", got[1].String())
}

// TestDiffShowsRegions guards against a restriction of a workspace to regions, or its removal,
// that is published unnoticed.
func TestDiffShowsRegions(t *testing.T) {
	d := document()
	d.Workspaces[0].Homes = route.HomesIn("eu", "asia")
	got := check.Diff(document(), d)
	must.Len(t, 1, got)
	must.StrContains(t, got[0].After, ", regions asia eu, ")
}
