package quarantine_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/standin/recorded"
)

var (
	start  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	holder = netip.MustParseAddrPort("127.0.0.1:80")
)

// poison is the fingerprint of the request that crashes every server it runs
// on.
const poison quarantine.Fingerprint = 1

// model runs requests on servers, as permitted by a Quarantine. One of the
// requests crashes each server it runs on.
type model struct {
	quarantine quarantine.Quarantine
	now        time.Time
	boots      map[fleet.ServerID]int
	// running maps each server to the requests that run there, and each request
	// to whether it is isolated, that is, holds the server's reservation.
	running map[fleet.ServerID]map[quarantine.Fingerprint]bool
	// crashed counts, for each request, the servers that crashed while it ran.
	crashed map[quarantine.Fingerprint]int
}

const servers = 5

func (m *model) place(f quarantine.Fingerprint, s fleet.ServerID) {
	for _, r := range m.running {
		if _, ok := r[f]; ok {
			return
		}
	}
	isolated := false
	switch m.quarantine.Check(m.now, f).Status {
	case quarantine.Quarantined:
		return
	case quarantine.Suspect:
		v := quarantine.Reservation{Fingerprint: f, Holder: holder, Server: s}
		if isolated = m.quarantine.Reserve(m.now, v); !isolated {
			return
		}
	}
	if m.running[s] == nil {
		m.running[s] = make(map[quarantine.Fingerprint]bool)
	}
	m.running[s][f] = isolated
}

// crash crashes a server with all requests that run there.
func (m *model) crash(s fleet.ServerID) {
	c := quarantine.Crash{Server: s, Boot: fmt.Sprint(m.boots[s])}
	m.boots[s]++
	for f, isolated := range m.running[s] {
		m.crashed[f]++
		m.quarantine.RecordCrash(m.now, quarantine.CrashReport{Crash: c, Fingerprint: f, Isolated: isolated, At: m.now})
	}
	delete(m.running, s)
}

// finish completes a request.
func (m *model) finish(f quarantine.Fingerprint, s fleet.ServerID) {
	isolated, ok := m.running[s][f]
	if !ok {
		return
	}
	delete(m.running[s], f)
	if isolated {
		m.quarantine.ClearSuspect(m.now, f)
	}
}

// check requires that only the request that crashes servers is quarantined,
// after two crashes, and that no two suspects share a server.
func (m *model) check(t *rapid.T) {
	for f := poison; f <= 12; f++ {
		if f != poison && m.quarantine.Check(m.now, f).Status == quarantine.Quarantined {
			t.Fatalf("harmless request %d is quarantined", f)
		}
	}
	if m.crashed[poison] > 2 {
		t.Fatalf("%d servers crashed", m.crashed[poison])
	}
	if m.crashed[poison] == 2 && m.quarantine.Check(m.now, poison).Status != quarantine.Quarantined {
		t.Fatal("not quarantined after two crashes")
	}
	for s, r := range m.running {
		n := 0
		for _, isolated := range r {
			if isolated {
				n++
			}
		}
		if n > 1 {
			t.Fatalf("%d suspects on %s", n, s)
		}
	}
}

// drive runs random steps. Only a server that runs the poison crashes.
func drive(t *rapid.T, m *model) {
	server := rapid.Custom(func(t *rapid.T) fleet.ServerID {
		return fleet.ServerID(fmt.Sprint(rapid.IntRange(1, servers).Draw(t, "server")))
	})
	request := rapid.Custom(func(t *rapid.T) quarantine.Fingerprint {
		return quarantine.Fingerprint(rapid.IntRange(1, 12).Draw(t, "request"))
	})
	t.Repeat(map[string]func(*rapid.T){
		"place": func(t *rapid.T) { m.place(request.Draw(t, "request"), server.Draw(t, "server")) },
		"finish": func(t *rapid.T) {
			if f := request.Draw(t, "request"); f != poison {
				m.finish(f, server.Draw(t, "server"))
			}
		},
		"crash": func(t *rapid.T) {
			for s, r := range m.running {
				if _, ok := r[poison]; ok {
					m.crash(s)
					return
				}
			}
		},
		"time": func(t *rapid.T) {
			m.now = m.now.Add(time.Second)
			for s, r := range m.running {
				for f, isolated := range r {
					if isolated {
						v := quarantine.Reservation{Fingerprint: f, Holder: holder, Server: s}
						m.quarantine.Renew(m.now, v)
					}
				}
			}
		},
		"": m.check,
	})
}

func newModel() *model {
	return &model{
		now:     start,
		boots:   make(map[fleet.ServerID]int),
		running: make(map[fleet.ServerID]map[quarantine.Fingerprint]bool),
		crashed: make(map[quarantine.Fingerprint]int),
	}
}

func TestQuarantineModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { drive(t, newModel()) })
}

// TestSharedCrashesQuarantineHarmlessRequest shows that counting crashes while
// several suspects ran on the same server quarantines a harmless request: one
// that ran beside the poison on two servers, because both requests were
// repeated.
func TestSharedCrashesQuarantineHarmlessRequest(t *testing.T) {
	for _, shared := range []bool{false, true} {
		var q quarantine.Quarantine
		q.Policy.SharedCrashes = shared
		for _, s := range []fleet.ServerID{"1", "2"} {
			for _, f := range []quarantine.Fingerprint{poison, 2} {
				q.RecordCrash(start, quarantine.CrashReport{Crash: quarantine.Crash{Server: s}, Fingerprint: f, At: start})
			}
		}
		must.EqOp(t, shared, q.Check(start, 2).Status == quarantine.Quarantined)
	}
}

// trace is a recorded sequence of calls with the expected results.
type trace struct {
	Name  string `yaml:"Name"`
	Steps []struct {
		After    time.Duration          `yaml:"After"`
		Call     string                 `yaml:"Call"`
		Request  quarantine.Fingerprint `yaml:"Request"`
		Server   fleet.ServerID         `yaml:"Server"`
		Boot     string                 `yaml:"Boot"`
		Isolated bool                   `yaml:"Isolated"`
		Holder   netip.AddrPort         `yaml:"Holder"`
		Want     string                 `yaml:"Want"`
	} `yaml:"Steps"`
}

func TestTraces(t *testing.T) {
	recorded.Each(t, func(t *testing.T, traces []trace) {
		must.SliceNotEmpty(t, traces)
		for _, x := range traces {
			t.Run(x.Name, func(t *testing.T) { replay(t, x) })
		}
	})
}

func replay(t *testing.T, x trace) {
	var q quarantine.Quarantine
	now := start
	for n, s := range x.Steps {
		now = now.Add(s.After)
		v := quarantine.Reservation{Fingerprint: s.Request, Holder: s.Holder, Server: s.Server}
		got := ""
		switch s.Call {
		case "ClearSuspect":
			q.ClearSuspect(now, s.Request)
		case "Accept":
			got = fmt.Sprint(q.Accept(now, v))
		case "MarkQuarantined":
			q.MarkQuarantined(now, s.Request, now.Add(quarantine.Window))
		case "Release":
			q.Release(now, s.Request)
		case "Renew":
			got = fmt.Sprint(q.Renew(now, v))
		case "Reserve":
			got = fmt.Sprint(q.Reserve(now, v))
		case "RecordCrash":
			c := quarantine.Crash{Server: s.Server, Boot: s.Boot}
			q.RecordCrash(now, quarantine.CrashReport{Crash: c, Fingerprint: s.Request, Isolated: s.Isolated, At: now})
		}
		if got == "" {
			got = q.Check(now, s.Request).Status.String()
		}
		must.EqOp(t, s.Want, got, must.Sprintf("step %d: %s", n, s.Call))
	}
}
