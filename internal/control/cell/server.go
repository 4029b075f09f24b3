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
	// minSuspension is how long a server gets no work after a failure. It
	// doubles with each further failure, up to maxSuspension.
	minSuspension = 500 * time.Millisecond
	maxSuspension = 30 * time.Second
	// busySuspension is how long a server gets no work after it refused a
	// request.
	busySuspension = 100 * time.Millisecond
	// maxPrefixes is how many prefixes are recorded per server.
	maxPrefixes = 256
)

// serverSet holds the servers of a cell.
type serverSet struct {
	byID map[fleet.ServerID]*serverState
	// usable are the servers that may get work, sorted by ID.
	usable []*serverState
	// capacity is the number of slots of the usable servers, standard that of
	// the standard servers among them.
	capacity int
	standard int
	// liveOnSpot counts the grants on spot servers that are not for training,
	// per failure domain.
	liveOnSpot map[fleet.FailureDomain]int
	// throughputs is a buffer reused by markSlow.
	throughputs []float64
}

// serverState is the state of one server.
type serverState struct {
	server fleet.Server
	usable bool
	// slow is whether it is clearly slower than the others.
	slow bool
	// running counts the cell's grants on the server.
	running int
	// peak and peakBefore are the highest values of running since the last
	// report and in the interval before it.
	peak       int
	peakBefore int
	// external is the reported load that exceeds the cell's own.
	external int
	// reportedAt is when the server measured the newest report.
	reportedAt time.Time
	// reported is the number of running and waiting requests in the newest
	// report.
	reported int
	// throughput is the server's rate of generation.
	throughput throughput
	// suspendedUntil is when the server may get work again after a failure.
	suspendedUntil time.Time
	// failures counts failures since the last complete answer.
	failures int
	// recent is a ring buffer of the prefixes sent to the server, with the
	// oldest at index oldest. prefixCounts counts their occurrences in it.
	recent       []uint64
	oldest       int
	prefixCounts map[uint64]int
}

// Servers replaces the servers that may get work. Grants on other servers stay
// valid. Waiting requests that none of the new servers can run are refused.
func (c *Cell) Servers(now time.Time, servers []fleet.Server) []Decision {
	c.out = c.out[:0]
	c.servers.replace(servers)
	for _, st := range c.waiting(func(st *askState) bool { return !c.servers.canRun(&st.ask) }) {
		c.refuse(now, st.ask, refusal.ReasonNoServer, now.Add(noServerRetryDelay))
		c.removeAsk(st)
	}
	c.schedule(now)
	return c.out
}

// maxRunning returns how many requests a workspace could run with the cell to
// itself.
func (s *serverSet) maxRunning(spotAllowed bool) int {
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

// get returns the state of a server. A server without one gets a state with one
// slot that is not usable.
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

// freeKinds reports whether a standard server and whether a spot server has a
// free slot now.
func (s *serverSet) freeKinds(now time.Time) (standard, spot bool) {
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

// canRun reports whether any server could ever run the request.
func (s *serverSet) canRun(a *Ask) bool {
	for _, v := range s.usable {
		if v.canRun(a) {
			return true
		}
	}
	return false
}

// recordOutcome updates the count of failures and suspends the server after a
// failure or refusal.
func (s *serverState) recordOutcome(now time.Time, o gate.Outcome) {
	switch o {
	case gate.Completed:
		s.failures = 0
	case gate.Crashed, gate.Unreachable:
		wait := min(minSuspension<<min(s.failures, 6), maxSuspension)
		s.failures++
		s.suspend(now.Add(wait))
	case gate.Refused:
		s.suspend(now.Add(busySuspension))
	}
}

// free returns the number of free slots. It is negative if more are taken than
// the server has.
func (s *serverState) free() int {
	return s.server.Capacity - s.running - s.external
}

func (s *serverState) cached(prefix uint64) bool {
	return prefix != 0 && s.prefixCounts[prefix] > 0
}

func (s *serverState) recordPrefix(prefix uint64) {
	if prefix == 0 {
		return
	}
	if s.prefixCounts == nil {
		s.prefixCounts = make(map[uint64]int, maxPrefixes)
	}
	s.prefixCounts[prefix]++
	if len(s.recent) < maxPrefixes {
		s.recent = append(s.recent, prefix)
		return
	}
	old := s.recent[s.oldest]
	s.recent[s.oldest] = prefix
	s.oldest = (s.oldest + 1) % maxPrefixes
	if s.prefixCounts[old]--; s.prefixCounts[old] == 0 {
		delete(s.prefixCounts, old)
	}
}

// report records a load report. Reports lag, so only load above the recent peak
// of the cell's own grants counts as load from elsewhere.
func (s *serverState) report(l Load) {
	if !l.At.After(s.reportedAt) {
		return
	}
	s.reportedAt = l.At
	s.reported = l.Running + l.Waiting
	s.external = max(s.reported-max(s.peak, s.peakBefore, s.running), 0)
	s.peakBefore = s.peak
	s.peak = s.running
}

func (s *serverState) addGrant() {
	s.running++
	s.peak = max(s.peak, s.running)
}

func (s *serverState) canRun(a *Ask) bool {
	r := &a.Request
	if s.server.Kind == fleet.Spot && !spotCanRun(a) {
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

// spotCanRun reports whether spot servers may run the request: training, which
// can be resumed, and short live answers.
func spotCanRun(a *Ask) bool {
	r := &a.Request
	if !r.SpotAllowed || r.Class == fleet.Critical {
		return false
	}
	return r.Class == fleet.Training || r.Tokens <= maxSpotTokens
}
