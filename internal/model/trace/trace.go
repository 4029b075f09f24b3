package trace

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Scenarios of a trace.
const (
	Calm          Scenario = "calm"
	Overloaded    Scenario = "overloaded"
	SpotReclaimed Scenario = "spot reclaimed"
	Stragglers    Scenario = "stragglers"
	StoreOutage   Scenario = "store outage"
)

// Kinds of faults.
const (
	// ReclaimNotice announces that the server will be reclaimed after
	// NoticePeriod.
	ReclaimNotice FaultKind = iota + 1
	// Reclaim removes the server.
	Reclaim
	// Return starts a reclaimed server again, as a new boot.
	Return
	// Slow changes the speed of a server to Fault.Speed.
	Slow
	// StoreDown and StoreUp start and end an outage of the table service.
	StoreDown
	StoreUp
)

const (
	// FullLength is the length of the traces in the report.
	FullLength = 30 * time.Minute
	// NoticePeriod is the time between a reclaim notice and the reclaim.
	NoticePeriod = 20 * time.Second
	// meanLiveTokens is the mean length of a live answer.
	meanLiveTokens = 120
	// prefixTokens is the length of a shared prompt prefix.
	prefixTokens = 1500
	// liveTimeout is how long a caller waits for a complete live answer.
	liveTimeout = 30 * time.Second
	// serviceTimeout is how long a caller waits for an answer of the plain
	// service.
	serviceTimeout = 5 * time.Second
	// burstFactor is the rate of the requests that the overloading workspace
	// adds, as a multiple of its ordinary rate.
	burstFactor = 30
	// maxTokens is the largest length of an answer.
	maxTokens = 4096
)

// Arrival is one request from a caller.
type Arrival struct {
	// At is the time since the start of the trace.
	At        time.Duration
	Workspace fleet.Workspace
	Class     fleet.Class
	Pool      fleet.Pool
	// Prefix identifies the shared prompt prefix; 0 means none.
	Prefix       uint64
	PrefixTokens int
	Tokens       int
	// ExpectedTokens is the length that the caller states in the request.
	ExpectedTokens int
	// Timeout is how long the caller waits for the complete answer.
	Timeout time.Duration
	// SpotAllowed is whether the request may run on spot servers.
	SpotAllowed bool
}

// Fault is an external change to a server or to the table service.
type Fault struct {
	At     time.Duration
	Kind   FaultKind
	Server fleet.ServerID
	// Speed is the relative speed that a Slow fault sets; 1 is normal.
	Speed float64
}

// FaultKind is the kind of a Fault.
type FaultKind int

// Scenario is the name of the load or fault pattern of a trace.
type Scenario string

// Trace contains the arrivals and faults of one run.
type Trace struct {
	Deployment Deployment
	Scenario   Scenario
	Seed       uint64
	// Duration is the length of the trace.
	Duration time.Duration
	// Arrivals and Faults are ordered by time.
	Arrivals []Arrival
	Faults   []Fault
	// OverloadingWorkspace sends far more requests than its share; it is empty
	// when no workspace does.
	OverloadingWorkspace fleet.Workspace
	// LongFraction is the fraction of samples that are far longer than the
	// others.
	LongFraction float64
}

// New generates a trace of the given length for a deployment in a scenario. The
// same seed gives the same trace.
func New(d Deployment, s Scenario, seed uint64, end time.Duration) Trace {
	t := Trace{Deployment: d, Scenario: s, Seed: seed, Duration: end, LongFraction: 0.002}
	r := rand.New(rand.NewPCG(seed, xxhash.Sum64String(d.Name+"/"+string(s))))
	for i := range d.Workspaces {
		t.addLive(r, &d.Workspaces[i], 1, 0, end)
	}
	t.addService(r)
	switch s {
	case Overloaded:
		w := &d.Workspaces[len(d.Workspaces)-2]
		t.OverloadingWorkspace = w.Name
		t.addLive(r, w, burstFactor, end/4, end*3/4)
	case SpotReclaimed:
		t.addReclaim(end/3, d.Domains[0])
		t.addReclaim(end*2/3, d.Domains[1])
	case Stragglers:
		t.LongFraction = 0.02
		t.addSlowdowns(r)
	case StoreOutage:
		t.Faults = append(t.Faults, Fault{At: end / 3, Kind: StoreDown}, Fault{At: end / 2, Kind: StoreUp})
	}
	slices.SortStableFunc(t.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(t.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return t
}

// Length draws the length of an answer from a log-normal distribution with the
// given mean.
func Length(r *rand.Rand, mean float64) int {
	const sigma = 0.7
	n := mean * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)
	return min(max(int(n), 1), maxTokens)
}

// SampleLength draws the length of a training sample.
func (t *Trace) SampleLength(r *rand.Rand, mean float64) int {
	n := Length(r, mean)
	if r.Float64() < t.LongFraction {
		n *= 6
	}
	return min(n, maxTokens)
}

func (t *Trace) addLive(r *rand.Rand, w *Workspace, factor float64, from, to time.Duration) {
	rate := t.Deployment.LiveRate * w.Share * factor
	for at := from + interarrival(r, rate); at < to; at += interarrival(r, rate) {
		n := Length(r, meanLiveTokens)
		t.Arrivals = append(t.Arrivals, Arrival{
			At:             at,
			Workspace:      w.Name,
			Class:          fleet.Live,
			Pool:           "models",
			Prefix:         xxhash.Sum64String(string(w.Name)) + uint64(r.IntN(w.Prefixes)),
			PrefixTokens:   prefixTokens,
			Tokens:         n,
			ExpectedTokens: max(int(float64(n)*math.Exp(0.3*r.NormFloat64())), 1),
			Timeout:        liveTimeout,
			SpotAllowed:    w.SpotAllowed,
		})
	}
}

// addReclaim adds faults that reclaim all spot servers of a failure domain; they
// return five minutes after the notice.
func (t *Trace) addReclaim(at time.Duration, d fleet.FailureDomain) {
	for _, s := range t.Deployment.Engines {
		if s.Kind != fleet.Spot || s.FailureDomain != d {
			continue
		}
		t.Faults = append(t.Faults,
			Fault{At: at, Kind: ReclaimNotice, Server: s.ID},
			Fault{At: at + NoticePeriod, Kind: Reclaim, Server: s.ID},
			Fault{At: at + 5*time.Minute, Kind: Return, Server: s.ID},
		)
	}
}

func (t *Trace) addService(r *rand.Rand) {
	for at := interarrival(r, t.Deployment.ServiceRate); at < t.Duration; at += interarrival(r, t.Deployment.ServiceRate) {
		w := t.Deployment.Workspaces[r.IntN(len(t.Deployment.Workspaces))]
		t.Arrivals = append(t.Arrivals, Arrival{
			At:             at,
			Workspace:      w.Name,
			Class:          fleet.Critical,
			Pool:           "desk",
			Tokens:         Length(r, 8),
			ExpectedTokens: 8,
			Timeout:        serviceTimeout,
		})
	}
}

// addSlowdowns adds faults that slow a random engine down for three minutes out
// of every four.
func (t *Trace) addSlowdowns(r *rand.Rand) {
	for at := 2 * time.Minute; at < t.Duration; at += 4 * time.Minute {
		s := t.Deployment.Engines[r.IntN(len(t.Deployment.Engines))].ID
		t.Faults = append(t.Faults,
			Fault{At: at, Kind: Slow, Server: s, Speed: 0.2},
			Fault{At: at + 3*time.Minute, Kind: Slow, Server: s, Speed: 1},
		)
	}
}

func interarrival(r *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
}
