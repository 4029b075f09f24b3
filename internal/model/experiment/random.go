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
func (r *randomChoice) Ask(now time.Time, a cell.Ask) []cell.Decision {
	var usable []fleet.Server
	for _, v := range r.servers {
		spotAllowed := a.Request.SpotAllowed && a.Request.Class != fleet.Critical
		if (v.Kind != fleet.Spot || spotAllowed) && !slices.Contains(a.Request.Exclude, v.ID) {
			usable = append(usable, v)
		}
	}
	if len(usable) == 0 {
		return []cell.Decision{{Ask: a.ID, Reason: refusal.ReasonNoServer, RetryAt: now.Add(time.Second)}}
	}
	first, second := usable[r.random.IntN(len(usable))], usable[r.random.IntN(len(usable))]
	if r.loads[second.ID] < r.loads[first.ID] {
		first = second
	}
	r.granted++
	g := gate.Grant{ID: strconv.Itoa(r.granted), Server: first, NotAfter: now.Add(cell.GrantWindow), Request: a.Request}
	return []cell.Decision{{Ask: a.ID, Grant: g}}
}

// Cancel implements Admission.
func (r *randomChoice) Cancel(time.Time, cell.AskID) []cell.Decision { return nil }

// Release implements Admission.
func (r *randomChoice) Release(time.Time, string, gate.Report) []cell.Decision { return nil }

// Report implements Admission.
func (r *randomChoice) Report(_ time.Time, l cell.Load) []cell.Decision {
	r.loads[l.Server] = l.Running + l.Waiting
	return nil
}

// Servers implements Admission.
func (r *randomChoice) Servers(_ time.Time, servers []fleet.Server) []cell.Decision {
	r.servers = slices.Clone(servers)
	return nil
}

// Tick implements Admission.
func (r *randomChoice) Tick(time.Time) []cell.Decision { return nil }
