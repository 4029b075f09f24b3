package experiment

import (
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
	"github.com/lacewingtally/lacewingtally/internal/control/server"
	"github.com/lacewingtally/lacewingtally/internal/model/engine"
	"github.com/lacewingtally/lacewingtally/internal/model/trace"
)

const (
	// messageDelay is the time that a message between daemons takes.
	messageDelay = time.Millisecond
	// vmListLag is the age of the data in the VM list.
	vmListLag = 15 * time.Second
	// reportPeriod is the interval between load reports of the servers, and
	// reportLag the delay until admission receives them.
	reportPeriod = time.Second
	reportLag    = time.Second
	// tickPeriod is the interval at which admission checks deadlines.
	tickPeriod = 500 * time.Millisecond
	// moveMargin is how long before a reclaim the tasks of the server are
	// moved.
	moveMargin = 5 * time.Second
)

// startTime is the virtual time at which every run starts.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation is the state of one run.
type simulation struct {
	eventQueue
	trace   *trace.Trace
	variant Variant
	pools   map[fleet.Pool]*pool
	// poolNames lists the keys of pools in a fixed order.
	poolNames []fleet.Pool
	nodes     map[fleet.ServerID]*node
	// nodeIDs lists the keys of nodes in the order in which they started.
	nodeIDs []fleet.ServerID
	asks    map[cell.AskID]*task
	jobs    map[*engine.Job]*task
	// lastID is the last number used as an ID of an ask or a job.
	lastID int
	// restarts is the number of servers started again after a reclaim.
	restarts int
	// storeDown is whether the table service is unavailable.
	storeDown bool
	trainers  []*trainer
	counters  counters
}

// node is one backend server.
type node struct {
	server  fleet.Server
	engine  *engine.Engine
	pool    *pool
	startAt time.Time
	// timer is the number of the engine's current timer; earlier timers have
	// no effect.
	timer int
	gone  bool
	// versions contains the loaded weight version of each trainer.
	versions []int
}

type pool struct {
	admission Admission
	directory server.Directory
	// live lists the servers that are running, before the delay of the VM list.
	live []fleet.Server
}

func newSimulation(t *trace.Trace, v Variant) *simulation {
	m := &simulation{
		trace:   t,
		variant: v,
		pools:   make(map[fleet.Pool]*pool),
		nodes:   make(map[fleet.ServerID]*node),
		asks:    make(map[cell.AskID]*task),
		jobs:    make(map[*engine.Job]*task),
	}
	m.now = startTime
	for _, s := range slices.Concat(t.Deployment.Engines, t.Deployment.Services) {
		if m.pools[s.Pool] == nil {
			m.pools[s.Pool] = &pool{admission: v.Admission(t.Seed)}
			m.poolNames = append(m.poolNames, s.Pool)
		}
		if !v.Spot {
			s.Kind = fleet.Standard
		}
		m.startServer(s)
	}
	for _, name := range m.poolNames {
		m.updateList(m.pools[name])
	}
	for i := range t.Deployment.Trainers {
		m.trainers = append(m.trainers, newTrainer(m, i))
	}
	m.scheduleEvents()
	return m
}

// startServer adds a running server to its pool.
func (m *simulation) startServer(s fleet.Server) {
	p := m.pools[s.Pool]
	n := &node{
		server:   s,
		engine:   engine.New(m.now, s.Capacity),
		pool:     p,
		startAt:  m.now,
		versions: make([]int, len(m.trace.Deployment.Trainers)),
	}
	for i, t := range m.trainers {
		n.versions[i] = t.version
	}
	m.nodes[s.ID] = n
	m.nodeIDs = append(m.nodeIDs, s.ID)
	p.live = append(slices.Clone(p.live), s)
}

// apply applies decisions of admission to their tasks.
func (m *simulation) apply(decisions []cell.Decision) {
	for _, d := range slices.Clone(decisions) {
		k := m.asks[d.Ask]
		if k == nil {
			continue
		}
		delete(m.asks, d.Ask)
		k.ask = ""
		if d.Reason != "" {
			m.handleRefusal(k, d.RetryAt)
			continue
		}
		m.dispatch(k, d.Grant)
	}
}

// updateList updates the directory of a pool with its present servers and passes
// the usable ones to admission.
func (m *simulation) updateList(p *pool) {
	p.directory.UpdateList(m.now, p.live)
	m.offerServers(p)
}

func (m *simulation) offerServers(p *pool) {
	s := p.directory.Snapshot()
	var usable []fleet.Server
	for _, v := range s.Servers {
		if s.Usable(v.ID) {
			usable = append(usable, v)
		}
	}
	m.apply(p.admission.Servers(m.now, usable))
}

// run replays the trace and returns the measures.
func (m *simulation) run() Result {
	m.runUntil(startTime.Add(m.trace.Duration))
	return m.result()
}

func (m *simulation) scheduleEvents() {
	m.scheduleArrival(0)
	for _, f := range m.trace.Faults {
		m.at(startTime.Add(f.At), func() { m.applyFault(f) })
	}
	m.every(tickPeriod, func() {
		for _, name := range m.poolNames {
			m.apply(m.pools[name].admission.Tick(m.now))
		}
	})
	m.every(reportPeriod, m.reportLoads)
	m.every(stragglerInterval, m.moveStragglers)
	m.every(windowLength, m.closeWindow)
	for _, t := range m.trainers {
		t.submit()
	}
}

// scheduleArrival schedules arrival i, which schedules the next one when it runs.
func (m *simulation) scheduleArrival(i int) {
	if i >= len(m.trace.Arrivals) {
		return
	}
	a := &m.trace.Arrivals[i]
	m.at(startTime.Add(a.At), func() {
		m.handleArrival(a)
		m.scheduleArrival(i + 1)
	})
}

// reportLoads sends the load of each server to its admission, delayed by
// reportLag.
func (m *simulation) reportLoads() {
	for _, id := range m.nodeIDs {
		n := m.nodes[id]
		if n.gone {
			continue
		}
		running, waiting := n.engine.Load()
		l := cell.Load{Server: id, Running: running, Waiting: waiting, At: m.now}
		m.after(reportLag, func() { m.apply(n.pool.admission.Report(m.now, l)) })
	}
}

// resetTimer sets the timer of a server's engine to the end of its next job.
func (m *simulation) resetTimer(n *node) {
	n.timer++
	timer := n.timer
	at, ok := n.engine.NextAt()
	if !ok {
		return
	}
	m.at(at, func() {
		if n.timer == timer && !n.gone {
			m.finishJobs(n, n.engine.Advance(m.now))
			m.resetTimer(n)
		}
	})
}

// finishJobs completes the tasks whose jobs are done.
func (m *simulation) finishJobs(n *node, done []*engine.Job) {
	for _, j := range done {
		k := m.jobs[j]
		delete(m.jobs, j)
		m.recordAttempt(k, n, j.Tokens)
		k.kept += j.Tokens
		m.releaseGrant(n, k, gate.Report{Outcome: gate.Completed, Tokens: j.Tokens})
		m.complete(k, j)
	}
}

func (m *simulation) releaseGrant(n *node, k *task, r gate.Report) {
	id := k.grant.ID
	m.after(messageDelay, func() { m.apply(n.pool.admission.Release(m.now, id, r)) })
}
