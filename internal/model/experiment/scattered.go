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

// scattered is the baseline without dispatchers: each entry daemon sends at
// once to the less loaded, by lagging report, of two servers taken at random.
// Requests wait in the engines.
type scattered struct {
	random  *rand.Rand
	servers []fleet.Server
	loads   map[fleet.ServerID]int
	made    int
}

func newScattered(seed uint64) *scattered {
	return &scattered{random: rand.New(rand.NewPCG(seed, 2)), loads: make(map[fleet.ServerID]int)}
}

// Ask implements Admission.
func (s *scattered) Ask(now time.Time, a cell.Ask) []cell.Decision {
	var fit []fleet.Server
	for _, v := range s.servers {
		spotFits := a.Request.SpotAllowed && a.Request.Class != fleet.Critical
		if (v.Kind != fleet.Spot || spotFits) && !slices.Contains(a.Request.Exclude, v.ID) {
			fit = append(fit, v)
		}
	}
	if len(fit) == 0 {
		return []cell.Decision{{Ask: a.ID, Reason: refusal.ReasonNoServer, RetryAt: now.Add(time.Second)}}
	}
	first, second := fit[s.random.IntN(len(fit))], fit[s.random.IntN(len(fit))]
	if s.loads[second.ID] < s.loads[first.ID] {
		first = second
	}
	s.made++
	g := gate.Grant{ID: strconv.Itoa(s.made), Server: first, NotAfter: now.Add(cell.GrantWindow), Request: a.Request}
	return []cell.Decision{{Ask: a.ID, Grant: g}}
}

// Cancel implements Admission.
func (s *scattered) Cancel(time.Time, cell.AskID) []cell.Decision { return nil }

// Release implements Admission.
func (s *scattered) Release(time.Time, string, gate.Report) []cell.Decision { return nil }

// Report implements Admission.
func (s *scattered) Report(_ time.Time, l cell.Load) []cell.Decision {
	s.loads[l.Server] = l.Running + l.Waiting
	return nil
}

// Servers implements Admission.
func (s *scattered) Servers(_ time.Time, servers []fleet.Server) []cell.Decision {
	s.servers = slices.Clone(servers)
	return nil
}

// Tick implements Admission.
func (s *scattered) Tick(time.Time) []cell.Decision { return nil }
