package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
)

const (
	// firstSuspension is how long a server that failed gets no work.
	firstSuspension = 500 * time.Millisecond
	// longestSuspension bounds it after further failures.
	longestSuspension = 30 * time.Second
	// busySuspension is how long a server that refused work gets none.
	busySuspension = 100 * time.Millisecond
	// prefixes is how many prefixes are remembered a server.
	prefixes = 256
)

// serverSet is the servers of a cell.
type serverSet struct {
	byID map[fleet.ServerID]*serverState
	// usable are those that may get work, in the order of their IDs.
	usable []*serverState
	// capacity is the sum over usable; standard that of its standard servers.
	capacity int
	standard int
	// liveOnSpot counts grants that are not for training on spot servers, a
	// failure domain.
	liveOnSpot map[fleet.FailureDomain]int
	// paces is reused by repace.
	paces []float64
}

// serverState is one server.
type serverState struct {
	server fleet.Server
	usable bool
	// slow is whether it is clearly slower than the others.
	slow bool
	// running counts the cell's grants on it.
	running int
	// peak and peakBefore are the most that ran since the last report and in
	// the interval before it.
	peak       int
	peakBefore int
	// foreign is the load that the reports show beyond the cell's own.
	foreign int
	// reportedAt is when the newest report was taken.
	reportedAt time.Time
	// reported is the running and waiting requests of the newest report.
	reported int
	// pace is the server's rate of generation.
	pace pace
	// suspendedUntil is when the server may get work after a failure.
	suspendedUntil time.Time
	// failures counts failures since the last whole answer.
	failures int
	// recent holds prefixes sent to the server, as a ring.
	recent []uint64
	next   int
	known  map[uint64]int
}

// Servers replaces the servers that may get work. Grants on the others run
// on; requests that no server suits any more are refused.
func (c *Cell) Servers(now time.Time, servers []fleet.Server) []Decision {
	c.out = c.out[:0]
	c.servers.replace(servers)
	for _, it := range c.waiting(func(it *item) bool { return !c.servers.suits(&it.ask) }) {
		c.refuse(now, it.ask, refusal.ReasonNoServer, now.Add(noServerRetry))
		c.unqueue(it)
	}
	c.schedule(now)
	return c.out
}

// alone returns how many requests a workspace could run with the cell alone.
func (s *serverSet) alone(spotAllowed bool) int {
	if spotAllowed {
		return s.capacity
	}
	return s.standard
}

// free returns the slots that are not taken.
func (s *serverSet) free() int {
	n := 0
	for _, v := range s.usable {
		n += max(v.free(), 0)
	}
	return n
}

// get returns the state of a server, known or not.
func (s *serverSet) get(id fleet.ServerID) *serverState {
	if s.byID == nil {
		s.byID = make(map[fleet.ServerID]*serverState)
		s.liveOnSpot = make(map[fleet.FailureDomain]int)
	}
	v := s.byID[id]
	if v == nil {
		v = &serverState{server: fleet.Server{ID: id, Capacity: 1}}
		s.byID[id] = v
	}
	return v
}

func (s *serverSet) replace(servers []fleet.Server) {
	for _, v := range s.byID {
		v.usable = false
	}
	s.usable = s.usable[:0]
	s.capacity, s.standard = 0, 0
	for _, v := range servers {
		e := s.get(v.ID)
		e.server = v
		e.server.Capacity = max(v.Capacity, 1)
		e.usable = true
		s.usable = append(s.usable, e)
		s.capacity += e.server.Capacity
		if v.Kind != fleet.Spot {
			s.standard += e.server.Capacity
		}
	}
	slices.SortFunc(s.usable, func(a, b *serverState) int { return cmp.Compare(a.server.ID, b.server.ID) })
	for id, v := range s.byID {
		if !v.usable && v.running == 0 {
			delete(s.byID, id)
		}
	}
}

// open reports whether a standard and a spot server have a free slot now.
func (s *serverSet) open(now time.Time) (standard, spot bool) {
	for _, v := range s.usable {
		if v.free() <= 0 || v.suspended(now) {
			continue
		}
		if v.server.Kind == fleet.Spot {
			spot = true
		} else {
			standard = true
		}
	}
	return standard, spot
}

// standardFree returns the free slots of standard servers.
func (s *serverSet) standardFree() int {
	n := 0
	for _, v := range s.usable {
		if v.server.Kind != fleet.Spot {
			n += max(v.free(), 0)
		}
	}
	return n
}

// suits reports whether any server could ever run the request.
func (s *serverSet) suits(a *Ask) bool {
	for _, v := range s.usable {
		if v.suits(a) {
			return true
		}
	}
	return false
}

// ended counts the outcome of a grant.
func (s *serverState) ended(now time.Time, o gate.Outcome) {
	switch o {
	case gate.Completed:
		s.failures = 0
	case gate.Crashed, gate.Unreachable:
		wait := min(firstSuspension<<min(s.failures, 6), longestSuspension)
		s.failures++
		s.suspend(now.Add(wait))
	case gate.Refused:
		s.suspend(now.Add(busySuspension))
	}
}

// free returns the slots that are not taken, below 0 when there are too many.
func (s *serverState) free() int {
	return s.server.Capacity - s.running - s.foreign
}

func (s *serverState) knows(prefix uint64) bool {
	return prefix != 0 && s.known[prefix] > 0
}

func (s *serverState) remember(prefix uint64) {
	if prefix == 0 {
		return
	}
	if s.known == nil {
		s.known = make(map[uint64]int, prefixes)
	}
	s.known[prefix]++
	if len(s.recent) < prefixes {
		s.recent = append(s.recent, prefix)
		return
	}
	old := s.recent[s.next]
	s.recent[s.next] = prefix
	s.next = (s.next + 1) % prefixes
	if s.known[old]--; s.known[old] == 0 {
		delete(s.known, old)
	}
}

// report takes a report. It lags, so only what exceeds the most that the cell
// itself had running of late counts as load from elsewhere.
func (s *serverState) report(l Load) {
	if !l.At.After(s.reportedAt) {
		return
	}
	s.reportedAt = l.At
	s.reported = l.Running + l.Waiting
	s.foreign = max(s.reported-max(s.peak, s.peakBefore, s.running), 0)
	s.peakBefore = s.peak
	s.peak = s.running
}

func (s *serverState) start() {
	s.running++
	s.peak = max(s.peak, s.running)
}

func (s *serverState) suits(a *Ask) bool {
	r := &a.Request
	if s.server.Kind == fleet.Spot && !spotSuits(a) {
		return false
	}
	return len(r.Exclude) == 0 || !slices.Contains(r.Exclude, s.server.ID)
}

func (s *serverState) suspend(until time.Time) {
	if until.After(s.suspendedUntil) {
		s.suspendedUntil = until
	}
}

func (s *serverState) suspended(now time.Time) bool {
	return !s.suspendedUntil.IsZero() && !clock.Passed(now, s.suspendedUntil)
}

// spotSuits reports whether spot servers may run the request: training, which
// resumes, and short live answers.
func spotSuits(a *Ask) bool {
	r := &a.Request
	if !r.SpotAllowed || r.Class == fleet.Critical {
		return false
	}
	return r.Class == fleet.Training || r.Tokens <= shortTokens
}
