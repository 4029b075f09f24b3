package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingtally/lacewingtally/internal/base/set"
)

// Survey is what the placement of items depends on of all servers, also those on
// which a daemon has no slots. It changes more slowly than the slots, so that a
// daemon before many servers need not make it for each decision.
type Survey struct {
	// fastest is the time per token of the fastest server.
	fastest time.Duration
	// loadFactor is the fraction by which each further item slows a server down.
	loadFactor float64
	// reserved contains the IDs of the servers that are reserved for long items.
	reserved set.Set[string]
}

// candidate is a server that may be reserved.
type candidate struct {
	id string
	// near is whether the server is about as fast as the fastest.
	near bool
	hash uint64
}

// NewSurvey selects the servers to reserve for long items. All daemons that have
// the same list of servers select the same ones first. loadFactor is the fraction by which
// each further item slows a server down.
func NewSurvey(servers []Server, loadFactor float64) Survey {
	v := Survey{fastest: FastestPace(servers), loadFactor: loadFactor}
	order := make([]candidate, 0, len(servers))
	for _, s := range servers {
		if !s.Slow(v.fastest) && s.Loading == "" {
			order = append(order, candidate{id: s.ID, near: s.nearFastest(v.fastest), hash: xxhash.Sum64String(s.ID)})
		}
	}
	slices.SortFunc(order, candidate.compare)
	for _, c := range order[:int(v.longShare()*float64(len(order)))] {
		v.reserved.Add(c.id)
	}
	return v
}

// maxRerunCost limits what a rerun may cost the other items on its server together, as a
// fraction of its own time.
const maxRerunCost = 0.1

// ForReruns returns the servers on which a rerun slows the other items down by little:
// where load matters, only those that run few.
func (v Survey) ForReruns(servers []Server) []Server {
	var out []Server
	for _, s := range servers {
		if v.loadFactor*float64(s.Load) <= maxRerunCost {
			out = append(out, s)
		}
	}
	return out
}

// longShare returns the fraction of the servers that is reserved for long items: the
// less load slows servers down, the less long items gain, and the more the slots are
// needed for the short ones.
func (v Survey) longShare() float64 {
	return maxLongShare * min(1, v.loadFactor/defaultLoadFactor)
}

// compare orders the candidates by the preference for reserving them.
func (c candidate) compare(o candidate) int {
	if c.near != o.near {
		if c.near {
			return -1
		}
		return 1
	}
	return cmp.Compare(c.hash, o.hash)
}
