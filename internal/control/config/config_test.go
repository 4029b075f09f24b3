package config_test

import (
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/platform/table"

	"github.com/lacewingtally/lacewingtally/internal/standin/suite"
)

func TestMain(m *testing.M) {
	suite.Main(m)
}

func valid() config.Config {
	return config.Config{
		Workspaces: []config.Workspace{{Name: "w"}, {Name: "x"}},
		Keys:       []config.Key{{Hash: config.HashKey("k"), Workspace: "w"}},
		Defaults:   map[config.Setting]float64{config.Weight: 2},
		Exceptions: []config.Exception{{Workspace: "w", Setting: config.MaxWaiting, Value: 3, Reason: "why"}},
		Pools:      []config.Pool{{Name: "p", Protocol: config.ProtocolEngine, LiveFloor: 1, MaxServers: 2}},
		Routes:     []config.Route{{Path: "/p", Pool: "p"}},
		Drains:     []config.Drain{{FailureDomain: "d", Reason: "why"}},
	}
}

func TestValidate(t *testing.T) {
	must.NoError(t, valid().Validate())
	must.NoError(t, config.Config{}.Validate())
	for place, change := range map[string]func(*config.Config){
		"Workspaces[1].Name":      func(c *config.Config) { c.Workspaces[1].Name = "w" },
		"Workspaces[0].Name":      func(c *config.Config) { c.Workspaces[0].Name = "a b" },
		"Keys[0].Hash":            func(c *config.Config) { c.Keys[0].Hash = "k" },
		"Keys[1].Hash":            func(c *config.Config) { c.Keys = append(c.Keys, c.Keys[0]) },
		"Keys[0].Workspace":       func(c *config.Config) { c.Keys[0].Workspace = "y" },
		"Defaults.Unknown":        func(c *config.Config) { c.Defaults["Unknown"] = 1 },
		"Defaults.Weight":         func(c *config.Config) { c.Defaults[config.Weight] = 0 },
		"Defaults.RetryShare":     func(c *config.Config) { c.Defaults[config.RetryShare] = math.NaN() },
		"Exceptions[0].Workspace": func(c *config.Config) { c.Exceptions[0].Workspace = "y" },
		"Exceptions[0].Setting":   func(c *config.Config) { c.Exceptions[0].Value = -1 },
		"Exceptions[0].Setting:":  func(c *config.Config) { c.Exceptions[0].Setting = config.SwapsPerSecond },
		"Exceptions[0].Reason":    func(c *config.Config) { c.Exceptions[0].Reason = " " },
		"Exceptions[1]":           func(c *config.Config) { c.Exceptions = append(c.Exceptions, c.Exceptions[0]) },
		"Pools[0].Protocol":       func(c *config.Config) { c.Pools[0].Protocol = "Other" },
		"Pools[0].LiveFloor":      func(c *config.Config) { c.Pools[0].LiveFloor = 3 },
		"Pools[0].MaxServers":     func(c *config.Config) { c.Pools[0].MaxServers = -1 },
		"Pools[1].Name":           func(c *config.Config) { c.Pools = append(c.Pools, c.Pools[0]) },
		"Routes[0].Path":          func(c *config.Config) { c.Routes[0].Path = "p" },
		"Routes[1].Path":          func(c *config.Config) { c.Routes = append(c.Routes, c.Routes[0]) },
		"Routes[0].Pool":          func(c *config.Config) { c.Routes[0].Pool = "q" },
		"Routes[0].Class":         func(c *config.Config) { c.Routes[0].Class = 9 },
		"Drains[0].Reason":        func(c *config.Config) { c.Drains[0].Reason = "" },
		"Drains[1].FailureDomain": func(c *config.Config) { c.Drains = append(c.Drains, c.Drains[0]) },
	} {
		c := valid()
		change(&c)
		err := c.Validate()
		must.ErrorIs(t, err, config.ErrInvalid)
		must.StrContains(t, err.Error(), strings.TrimSuffix(place, ":")+":")
	}
}

func TestParse(t *testing.T) {
	b, err := config.Marshal(valid())
	must.NoError(t, err)
	c, err := config.Parse(b)
	must.NoError(t, err)
	must.Eq(t, valid(), c)
	for text, want := range map[string]string{
		"Workspaces: []\nOther: 1\n":            "line 2",
		"Workspaces:\n- Name: a\n  Name: b\n":   "line 3",
		"Workspaces: 3\n":                       "line 1",
		"Workspaces: []\n---\nWorkspaces: []\n": "more than one",
	} {
		_, err := config.Parse([]byte(text))
		must.ErrorIs(t, err, config.ErrInvalid)
		must.StrContains(t, err.Error(), want)
	}
}

func TestDiff(t *testing.T) {
	a, b := valid(), valid()
	must.Len(t, 0, config.Diff(a, b))
	b.Keys[0].WithdrawnAt = time.Unix(1, 0)
	b.Workspaces = append(b.Workspaces, config.Workspace{Name: "y"})
	b.Drains = nil
	d := config.Diff(a, b)
	must.Len(t, 3, d)
	must.Eq(t, config.Removed, d[0].Kind)
	must.Eq(t, config.Changed, d[1].Kind)
	must.Eq(t, config.SectionKeys, d[1].Section)
	must.Eq(t, config.Added, d[2].Kind)
}

func TestApply(t *testing.T) {
	ctx := context.Background()
	s := config.Store{Table: &table.Memory{}}
	_, err := s.Apply(ctx, 0, valid(), "op", " ")
	must.ErrorIs(t, err, config.ErrNoReason)
	c, err := s.Apply(ctx, 0, valid(), "op", "first")
	must.NoError(t, err)
	must.Eq(t, 1, c.Revision)
	_, err = s.Apply(ctx, 1, valid(), "op", "same")
	must.ErrorIs(t, err, config.ErrUnchanged)
	c.Drains = nil
	_, err = s.Apply(ctx, 1, c, "op", "second")
	must.NoError(t, err)
	_, err = s.Apply(ctx, 1, valid(), "op", "late")
	must.ErrorIs(t, err, config.ErrStaleBase)
	must.StrContains(t, err.Error(), "Removed Drains/d")
	es, err := s.List(ctx, 0, 10)
	must.NoError(t, err)
	must.Len(t, 2, es)
	must.Eq(t, "second", es[1].Reason)
	got, err := s.Get(ctx, 2)
	must.NoError(t, err)
	must.Len(t, 0, got.Drains)
	_, err = s.Get(ctx, 3)
	must.ErrorIs(t, err, config.ErrNotFound)
}

func TestApplyKeepsKeys(t *testing.T) {
	ctx := context.Background()
	s := config.Store{Table: &table.Memory{}}
	c, err := s.Apply(ctx, 0, valid(), "op", "first")
	must.NoError(t, err)
	moved := valid()
	moved.Keys[0].Workspace = "x"
	_, err = s.Apply(ctx, 1, moved, "op", "move")
	must.ErrorIs(t, err, config.ErrInvalid)
	c.Keys[0].WithdrawnAt = time.Unix(1, 0).UTC()
	_, err = s.Apply(ctx, 1, c, "op", "withdraw")
	must.NoError(t, err)
	_, err = s.Apply(ctx, 2, valid(), "op", "grant again")
	must.ErrorIs(t, err, config.ErrInvalid)
}

func TestKeyLookupDoesNotAllocate(t *testing.T) {
	s := config.NewSnapshot(valid())
	must.Zero(t, testing.AllocsPerRun(100, func() {
		if _, ok := s.Workspace("k"); !ok {
			t.Error("key not found")
		}
	}))
}
