package experiment

import (
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

const (
	// windowLength is the length of a usage window, and windowGrace the time
	// after its end in which its last parts may arrive.
	windowLength = time.Minute
	windowGrace  = 15 * time.Second
	// lateAfter is the time after the end of a window after which its report
	// counts as late.
	lateAfter = time.Minute
	// spotPrice is the price of a spot server; that of a standard server is 1,
	// both per hour.
	spotPrice = 0.35
)

// Result contains the measures of one run.
type Result struct {
	// Idle is the fraction of the time after their first step that trainers
	// waited for a batch.
	Idle float64
	// Lag is the mean number of weight versions that used samples were behind
	// their trainer, and MaxLagFraction the fraction of them at maxLag.
	Lag            float64
	MaxLagFraction float64
	// Discarded is the fraction of the samples discarded as too old.
	Discarded float64
	// Steps is the number of training steps started.
	Steps float64
	// WorstWait is the 99th percentile of the wait for the first token, in
	// seconds, in the workspace where it is largest; WorstInTime is the
	// fraction of complete answers in time in the workspace where it is
	// smallest. The overloading workspace is excluded.
	WorstWait   float64
	WorstInTime float64
	// ServiceWait is the 99th percentile of the wait for the plain service, in
	// seconds.
	ServiceWait float64
	// Cost is the cost of a million useful tokens, in hours of a standard
	// server.
	Cost float64
	// Late is the fraction of the usage windows that were reported late.
	Late float64
	// SpotFraction is the fraction of the tokens generated on spot servers.
	SpotFraction float64
	// ReclaimLoss is the fraction of the tokens lost because of reclaims, and
	// Interrupted the number of requests and samples interrupted by them.
	ReclaimLoss float64
	Interrupted float64
}

// counters accumulates the measures during a run.
type counters struct {
	workspaces      map[fleet.Workspace]*workspaceCounters
	serviceWaits    []float64
	standardTokens  int
	spotTokens      int
	usefulTokens    int
	lostTokens      int
	reclaimedTokens int
	interrupted     int
	cost            float64
	// unreported lists the ends of the closed windows that are not reported yet.
	unreported []time.Time
	windows    int
	late       int
}

type workspaceCounters struct {
	waits  []float64
	served int
	failed int
}

// addFailed counts a request from a caller as failed. Samples are not counted.
func (c *counters) addFailed(k *task) {
	if k.arrival == nil {
		return
	}
	c.workspace(k.request.Workspace).failed++
}

func (c *counters) addLost(tokens int) { c.lostTokens += tokens }

func (c *counters) addGenerated(k fleet.Kind, tokens int) {
	if k == fleet.Spot {
		c.spotTokens += tokens
	} else {
		c.standardTokens += tokens
	}
}

func (c *counters) workspace(w fleet.Workspace) *workspaceCounters {
	if c.workspaces == nil {
		c.workspaces = make(map[fleet.Workspace]*workspaceCounters)
	}
	x := c.workspaces[w]
	if x == nil {
		x = &workspaceCounters{}
		c.workspaces[w] = x
	}
	return x
}

// addCost adds the cost of a server up to now. Only engines count.
func (c *counters) addCost(n *node, now time.Time) {
	price := 1.0
	if n.server.Kind == fleet.Spot {
		price = spotPrice
	}
	if n.server.Pool == "models" {
		c.cost += price * now.Sub(n.startAt).Hours()
	}
}

func (c *counters) addServed(k *task) {
	wait := k.firstAt.Sub(k.arrivedAt).Seconds()
	if k.arrival.Class == fleet.Critical {
		c.serviceWaits = append(c.serviceWaits, wait)
		return
	}
	x := c.workspace(k.request.Workspace)
	x.served++
	x.waits = append(x.waits, wait)
	c.addUseful(k.arrival.Tokens)
}

func (c *counters) addUseful(tokens int) { c.usefulTokens += tokens }

// closeWindow ends a usage window. It is reported after windowGrace, or when the
// table service is available again.
func (m *simulation) closeWindow() {
	end := m.now
	m.counters.windows++
	m.after(windowGrace, func() {
		m.counters.unreported = append(m.counters.unreported, end)
		m.flushDeferred()
	})
}

// flushDeferred reports the closed usage windows and forms batches, unless the
// table service is down; both need the table service.
func (m *simulation) flushDeferred() {
	if m.storeDown {
		return
	}
	for _, end := range m.counters.unreported {
		if m.now.Sub(end) > lateAfter {
			m.counters.late++
		}
	}
	m.counters.unreported = m.counters.unreported[:0]
	for _, t := range m.trainers {
		t.formBatch()
	}
}

func (m *simulation) result() Result {
	c := &m.counters
	for _, id := range m.nodeIDs {
		if n := m.nodes[id]; !n.gone {
			c.addCost(n, m.now)
		}
	}
	generated := max(float64(c.standardTokens+c.spotTokens), 1)
	r := Result{
		WorstInTime:  1,
		ServiceWait:  percentile(c.serviceWaits, 0.99),
		Cost:         c.cost / max(float64(c.usefulTokens), 1) * 1e6,
		Late:         float64(c.late) / float64(max(c.windows, 1)),
		SpotFraction: float64(c.spotTokens) / generated,
		ReclaimLoss:  float64(c.reclaimedTokens) / generated,
		Interrupted:  float64(c.interrupted),
	}
	for name, x := range c.workspaces {
		if name == m.trace.OverloadingWorkspace {
			continue
		}
		r.WorstWait = max(r.WorstWait, percentile(x.waits, 0.99))
		r.WorstInTime = min(r.WorstInTime, float64(x.served)/float64(max(x.served+x.failed, 1)))
	}
	m.addTrainingResult(&r)
	return r
}

func (m *simulation) addTrainingResult(r *Result) {
	var used, discarded, lags, atMaxLag int
	var idle, total float64
	for _, t := range m.trainers {
		if !t.busy && !t.firstAt.IsZero() {
			t.idle += m.now.Sub(t.idleSince)
		}
		if t.firstAt.IsZero() {
			t.idle += m.trace.Duration
			t.firstAt = startTime
		}
		idle += t.idle.Seconds()
		total += m.now.Sub(t.firstAt).Seconds()
		used += t.used
		discarded += t.discarded
		r.Steps += float64(t.steps)
		for lag, n := range t.lags {
			lags += lag * n
		}
		atMaxLag += t.lags[maxLag]
	}
	r.Idle = idle / total
	r.Lag = float64(lags) / float64(max(used, 1))
	r.MaxLagFraction = float64(atMaxLag) / float64(max(used, 1))
	r.Discarded = float64(discarded) / float64(max(used+discarded, 1))
}

// percentile returns the value below which the given fraction of the values lies.
func percentile(values []float64, fraction float64) float64 {
	if len(values) == 0 {
		return 0
	}
	v := slices.Sorted(slices.Values(values))
	return v[min(int(fraction*float64(len(v))), len(v)-1)]
}
