package cell

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.yaml.in/yaml/v3"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
)

// trace is a list of events with their times and expected outcomes.
type trace struct {
	Servers []traceServer `yaml:"Servers"`
	// Settle is whether the cell waits for the registration of its daemon.
	Settle bool         `yaml:"Settle"`
	Events []traceEvent `yaml:"Events"`
}

type traceServer struct {
	ID       fleet.ServerID `yaml:"ID"`
	Capacity int            `yaml:"Capacity"`
}

type traceEvent struct {
	// At is in seconds since the start.
	At       float64           `yaml:"At"`
	Usable   *[]fleet.ServerID `yaml:"Usable"`
	Ask      *traceAsk         `yaml:"Ask"`
	Register *traceRegister    `yaml:"Register"`
	// Release is the ask whose grant ends or, with ByGrant, the grant.
	Release string `yaml:"Release"`
	ByGrant bool   `yaml:"ByGrant"`
	Tick    bool   `yaml:"Tick"`
	// Granted and Refused are the complete outcome of the event.
	Granted map[AskID]fleet.ServerID `yaml:"Granted"`
	Refused map[AskID]refusal.Reason `yaml:"Refused"`
}

type traceAsk struct {
	ID        AskID           `yaml:"ID"`
	Workspace fleet.Workspace `yaml:"Workspace"`
	Class     fleet.Class     `yaml:"Class"`
	// Wait is the time until the deadline, in seconds.
	Wait float64 `yaml:"Wait"`
}

type traceRegister struct {
	Sequence uint64                    `yaml:"Sequence"`
	Running  map[string]fleet.ServerID `yaml:"Running"`
}

func TestReplay(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.yaml")
	must.NoError(t, err)
	must.SliceNotEmpty(t, paths)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) { replay(t, path) })
	}
}

func replay(t *testing.T, path string) {
	f, err := os.Open(path)
	must.NoError(t, err)
	defer f.Close()
	d := yaml.NewDecoder(f)
	d.KnownFields(true)
	var r trace
	must.NoError(t, d.Decode(&r))
	p := player{grants: make(map[AskID]string)}
	for _, s := range r.Servers {
		p.servers = append(p.servers, fleet.Server{ID: s.ID, Capacity: s.Capacity})
	}
	p.cell.Servers(start, p.servers)
	if r.Settle {
		p.cell.Settle(start, []fleet.MemberID{{}})
	}
	for i, e := range r.Events {
		p.play(t, i, &e)
	}
}

// player applies the events of a trace to a cell.
type player struct {
	cell    Cell
	servers []fleet.Server
	// grants are the IDs of the grants issued, by ask.
	grants map[AskID]string
}

func (p *player) play(t *testing.T, i int, e *traceEvent) {
	now := at(e.At)
	placed := map[AskID]fleet.ServerID{}
	refused := map[AskID]refusal.Reason{}
	record := func(decisions []Decision) {
		for _, d := range decisions {
			if d.Reason != "" {
				refused[d.Ask] = d.Reason
				continue
			}
			placed[d.Ask] = d.Grant.Server.ID
			p.grants[d.Ask] = d.Grant.ID
		}
	}
	if e.Usable != nil {
		usable := slices.DeleteFunc(slices.Clone(p.servers), func(s fleet.Server) bool { return !slices.Contains(*e.Usable, s.ID) })
		record(p.cell.Servers(now, usable))
	}
	if a := e.Ask; a != nil {
		deadline := now.Add(time.Duration(a.Wait * float64(time.Second)))
		record(p.cell.Ask(now, Ask{ID: a.ID, Since: now, Request: gate.Request{Workspace: a.Workspace, Class: a.Class, Deadline: deadline}}))
	}
	if g := e.Register; g != nil {
		v := Registration{Sequence: g.Sequence}
		for id, s := range g.Running {
			v.Running = append(v.Running, Running{Grant: id, Ask: AskID("of " + id), Server: s})
		}
		record(p.cell.Register(now, v))
	}
	if e.Release != "" {
		id := p.grants[AskID(e.Release)]
		if e.ByGrant {
			id = e.Release
		}
		record(p.cell.Release(now, id, gate.Report{Outcome: gate.Completed}))
	}
	if e.Tick {
		record(p.cell.Tick(now))
	}
	if e.Granted == nil {
		e.Granted = map[AskID]fleet.ServerID{}
	}
	if e.Refused == nil {
		e.Refused = map[AskID]refusal.Reason{}
	}
	must.Eq(t, e.Granted, placed, must.Sprintf("event %d", i))
	must.Eq(t, e.Refused, refused, must.Sprintf("event %d", i))
}
