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

// Scenarios.
const (
	Calm       Scenario = "calm"
	Overloaded Scenario = "overloaded"
	Reclaimed  Scenario = "spot reclaimed"
	Stragglers Scenario = "stragglers"
	StoreLost  Scenario = "store outage"
)

// Kinds of Fault.
const (
	// Notice says that the server will be reclaimed soon.
	Notice FaultKind = iota + 1
	// Reclaim takes the server away.
	Reclaim
	// Return gives a reclaimed server back, as a new boot.
	Return
	// Slow makes a server run at Speed.
	Slow
	// StoreDown and StoreUp begin and end an outage of the table service.
	StoreDown
	StoreUp
)

const (
	// Whole is the length of the traces of the report.
	Whole = 30 * time.Minute
	// NoticeTime is how long before a reclaim its notice comes.
	NoticeTime = 20 * time.Second
	// liveTokens is the mean length of a live answer.
	liveTokens = 120
	// prefixTokens is the length of a shared prompt.
	prefixTokens = 1500
	// liveDeadline is how long a caller waits for a whole live answer.
	liveDeadline = 30 * time.Second
	// serviceDeadline is how long a caller waits for a plain service.
	serviceDeadline = 5 * time.Second
	// burstFactor is how much the overloading workspace asks for above its
	// ordinary rate.
	burstFactor = 30
	// longestTokens bounds an answer.
	longestTokens = 4096
)

// Arrival is one request of a caller.
type Arrival struct {
	// At is the time since the begin of the trace.
	At        time.Duration
	Workspace fleet.Workspace
	Class     fleet.Class
	Pool      fleet.Pool
	// Prefix is the shared prompt; 0 is none.
	Prefix       uint64
	PrefixTokens int
	Tokens       int
	// Expected is what the caller names as the length.
	Expected int
	// Patience is how long the caller waits for the whole answer.
	Patience time.Duration
	// SpotAllowed is whether the route may use spot servers.
	SpotAllowed bool
}

// Fault is a change from outside.
type Fault struct {
	At     time.Duration
	Kind   FaultKind
	Server fleet.ServerID
	// Speed is the speed of a Slow server, 1 being ordinary.
	Speed float64
}

// FaultKind tells faults apart.
type FaultKind int

// Scenario names what goes wrong in a trace.
type Scenario string

// Trace is one run's arrivals and faults.
type Trace struct {
	Deployment Deployment
	Scenario   Scenario
	Seed       uint64
	// End is the length of the trace.
	End time.Duration
	// Arrivals and Faults are in the order of time.
	Arrivals []Arrival
	Faults   []Fault
	// Overloading is the workspace that asks for far more than its part;
	// empty when none does.
	Overloading fleet.Workspace
	// LongPart is the part of the samples that are far longer than others.
	LongPart float64
}

// New makes a trace of a deployment in a scenario, of a length. The same seed
// gives the same trace.
func New(d Deployment, s Scenario, seed uint64, end time.Duration) Trace {
	t := Trace{Deployment: d, Scenario: s, Seed: seed, End: end, LongPart: 0.002}
	r := rand.New(rand.NewPCG(seed, xxhash.Sum64String(d.Name+"/"+string(s))))
	for i := range d.Workspaces {
		t.addLive(r, &d.Workspaces[i], 1, 0, end)
	}
	t.addService(r)
	switch s {
	case Overloaded:
		w := &d.Workspaces[len(d.Workspaces)-2]
		t.Overloading = w.Name
		t.addLive(r, w, burstFactor, end/4, end*3/4)
	case Reclaimed:
		t.addReclaim(end/3, d.Domains[0])
		t.addReclaim(end*2/3, d.Domains[1])
	case Stragglers:
		t.LongPart = 0.02
		t.addSlow(r)
	case StoreLost:
		t.Faults = append(t.Faults, Fault{At: end / 3, Kind: StoreDown}, Fault{At: end / 2, Kind: StoreUp})
	}
	slices.SortStableFunc(t.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	slices.SortStableFunc(t.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return t
}

// Length draws the length of an answer around a mean, with a long tail.
func Length(r *rand.Rand, mean float64) int {
	const sigma = 0.7
	n := mean * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)
	return min(max(int(n), 1), longestTokens)
}

// SampleLength draws the length of a training sample.
func (t *Trace) SampleLength(r *rand.Rand, mean float64) int {
	n := Length(r, mean)
	if r.Float64() < t.LongPart {
		n *= 6
	}
	return min(n, longestTokens)
}

func (t *Trace) addLive(r *rand.Rand, w *Workspace, factor float64, from, to time.Duration) {
	rate := t.Deployment.LiveRate * w.Part * factor
	for at := from + wait(r, rate); at < to; at += wait(r, rate) {
		n := Length(r, liveTokens)
		t.Arrivals = append(t.Arrivals, Arrival{
			At:           at,
			Workspace:    w.Name,
			Class:        fleet.Live,
			Pool:         "models",
			Prefix:       xxhash.Sum64String(string(w.Name)) + uint64(r.IntN(w.Prefixes)),
			PrefixTokens: prefixTokens,
			Tokens:       n,
			Expected:     max(int(float64(n)*math.Exp(0.3*r.NormFloat64())), 1),
			Patience:     liveDeadline,
			SpotAllowed:  w.SpotAllowed,
		})
	}
}

// addReclaim takes all spot servers of a failure domain for five minutes.
func (t *Trace) addReclaim(at time.Duration, d fleet.FailureDomain) {
	for _, s := range t.Deployment.Engines {
		if s.Kind != fleet.Spot || s.FailureDomain != d {
			continue
		}
		t.Faults = append(t.Faults,
			Fault{At: at, Kind: Notice, Server: s.ID},
			Fault{At: at + NoticeTime, Kind: Reclaim, Server: s.ID},
			Fault{At: at + 5*time.Minute, Kind: Return, Server: s.ID},
		)
	}
}

func (t *Trace) addService(r *rand.Rand) {
	for at := wait(r, t.Deployment.ServiceRate); at < t.End; at += wait(r, t.Deployment.ServiceRate) {
		w := t.Deployment.Workspaces[r.IntN(len(t.Deployment.Workspaces))]
		t.Arrivals = append(t.Arrivals, Arrival{
			At:        at,
			Workspace: w.Name,
			Class:     fleet.Critical,
			Pool:      "desk",
			Tokens:    Length(r, 8),
			Expected:  8,
			Patience:  serviceDeadline,
		})
	}
}

// addSlow makes engines slow for a while, one after another.
func (t *Trace) addSlow(r *rand.Rand) {
	for at := 2 * time.Minute; at < t.End; at += 4 * time.Minute {
		s := t.Deployment.Engines[r.IntN(len(t.Deployment.Engines))].ID
		t.Faults = append(t.Faults,
			Fault{At: at, Kind: Slow, Server: s, Speed: 0.2},
			Fault{At: at + 3*time.Minute, Kind: Slow, Server: s, Speed: 1},
		)
	}
}

func wait(r *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(r.ExpFloat64() / perSecond * float64(time.Second))
}
