package experiment

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
)

// randomChoice is the baseline without dispatchers: each entry daemon picks two
// servers at random and sends at once to the one with the lower load, by the
// delayed load reports. Requests wait in the queues of the engines.
type randomChoice struct {
	random  *rand.Rand
	servers []fleet.Server
	loads   map[fleet.ServerID]int
	granted int
}

func newRandomChoice(seed uint64) *randomChoice {
	return &randomChoice{random: rand.New(rand.NewPCG(seed, 2)), loads: make(map[fleet.ServerID]int)}
}

// Ask implements Admission.
func (s *randomChoice) Ask(now time.Time, a cell.Ask) []cell.Decision {
	var usable []fleet.Server
	for _, v := range s.servers {
		spotAllowed := a.Request.SpotAllowed && a.Request.Class != fleet.Critical
		if (v.Kind != fleet.Spot || spotAllowed) && !slices.Contains(a.Request.Exclude, v.ID) {
			usable = append(usable, v)
		}
	}
	if len(usable) == 0 {
		return []cell.Decision{{Ask: a.ID, Reason: refusal.ReasonNoServer, RetryAt: now.Add(time.Second)}}
	}
	first, second := usable[s.random.IntN(len(usable))], usable[s.random.IntN(len(usable))]
	if s.loads[second.ID] < s.loads[first.ID] {
		first = second
	}
	s.granted++
	g := gate.Grant{ID: strconv.Itoa(s.granted), Server: first, NotAfter: now.Add(cell.GrantWindow), Request: a.Request}
	return []cell.Decision{{Ask: a.ID, Grant: g}}
}

// Cancel implements Admission.
func (s *randomChoice) Cancel(time.Time, cell.AskID) []cell.Decision { return nil }

// Release implements Admission.
func (s *randomChoice) Release(time.Time, string, gate.Report) []cell.Decision { return nil }

// Report implements Admission.
func (s *randomChoice) Report(_ time.Time, l cell.Load) []cell.Decision {
	s.loads[l.Server] = l.Running + l.Waiting
	return nil
}

// Servers implements Admission.
func (s *randomChoice) Servers(_ time.Time, servers []fleet.Server) []cell.Decision {
	s.servers = slices.Clone(servers)
	return nil
}

// Tick implements Admission.
func (s *randomChoice) Tick(time.Time) []cell.Decision { return nil }
