package experiment

import (
	"slices"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
	"github.com/lacewingtally/lacewingtally/internal/control/server"
	"github.com/lacewingtally/lacewingtally/internal/model/machine"
	"github.com/lacewingtally/lacewingtally/internal/model/trace"
)

const (
	// hop is the time of one message between daemons.
	hop = time.Millisecond
	// listLag is how old the VM list is.
	listLag = 15 * time.Second
	// reportPeriod and reportLag are of the servers' load reports.
	reportPeriod = time.Second
	reportLag    = time.Second
	// tickPeriod is how often admission looks at deadlines.
	tickPeriod = 500 * time.Millisecond
	// exportMargin is how long before a reclaim its work is moved.
	exportMargin = 5 * time.Second
)

// epoch is when every run begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world is the state of one run.
type world struct {
	agenda
	trace   *trace.Trace
	variant Variant
	pools   map[fleet.Pool]*pool
	// poolNames is in a fixed order.
	poolNames []fleet.Pool
	nodes     map[fleet.ServerID]*node
	// nodeIDs is in the order in which the servers were started.
	nodeIDs []fleet.ServerID
	asks    map[cell.AskID]*work
	jobs    map[*machine.Job]*work
	made    int
	boots   int
	// storeDown is whether the table service is out.
	storeDown bool
	trainers  []*trainer
	tally     tally
}

// node is one backend server.
type node struct {
	server  fleet.Server
	engine  *machine.Engine
	pool    *pool
	startAt time.Time
	// timer counts the engine's timers; older ones are void.
	timer int
	gone  bool
	// versions are the weights loaded, a trainer.
	versions []int
}

type pool struct {
	admission Admission
	directory server.Directory
	live      []fleet.Server
}

func newWorld(t *trace.Trace, v Variant) *world {
	w := &world{
		trace:   t,
		variant: v,
		pools:   make(map[fleet.Pool]*pool),
		nodes:   make(map[fleet.ServerID]*node),
		asks:    make(map[cell.AskID]*work),
		jobs:    make(map[*machine.Job]*work),
	}
	w.now = epoch
	for _, s := range slices.Concat(t.Deployment.Engines, t.Deployment.Services) {
		if w.pools[s.Pool] == nil {
			w.pools[s.Pool] = &pool{admission: v.Admission(t.Seed)}
			w.poolNames = append(w.poolNames, s.Pool)
		}
		if !v.Spot {
			s.Kind = fleet.Standard
		}
		w.boot(s)
	}
	for _, name := range w.poolNames {
		w.list(w.pools[name])
	}
	for i := range t.Deployment.Trainers {
		w.trainers = append(w.trainers, newTrainer(w, i))
	}
	w.schedule()
	return w
}

// boot starts a server.
func (w *world) boot(s fleet.Server) {
	p := w.pools[s.Pool]
	n := &node{
		server:   s,
		engine:   machine.New(w.now, s.Capacity),
		pool:     p,
		startAt:  w.now,
		versions: make([]int, len(w.trace.Deployment.Trainers)),
	}
	for i, t := range w.trainers {
		n.versions[i] = t.version
	}
	w.nodes[s.ID] = n
	w.nodeIDs = append(w.nodeIDs, s.ID)
	p.live = append(slices.Clone(p.live), s)
}

// decide carries decisions out.
func (w *world) decide(decisions []cell.Decision) {
	for _, d := range slices.Clone(decisions) {
		k := w.asks[d.Ask]
		if k == nil {
			continue
		}
		delete(w.asks, d.Ask)
		k.ask = ""
		if d.Reason != "" {
			w.refused(k, d.RetryAt)
			continue
		}
		w.begin(k, d.Grant)
	}
}

// list gives admission the servers that the directory holds usable.
func (w *world) list(p *pool) {
	p.directory.UpdateList(w.now, p.live)
	w.offer(p)
}

func (w *world) offer(p *pool) {
	s := p.directory.Snapshot()
	var usable []fleet.Server
	for _, v := range s.Servers {
		if s.Usable(v.ID) {
			usable = append(usable, v)
		}
	}
	w.decide(p.admission.Servers(w.now, usable))
}

// run carries the trace out and returns the measures.
func (w *world) run() Result {
	w.until(epoch.Add(w.trace.Duration))
	return w.result()
}

func (w *world) schedule() {
	w.arrive(0)
	for _, f := range w.trace.Faults {
		w.at(epoch.Add(f.At), func() { w.fault(f) })
	}
	w.every(tickPeriod, func() {
		for _, name := range w.poolNames {
			w.decide(w.pools[name].admission.Tick(w.now))
		}
	})
	w.every(reportPeriod, w.report)
	w.every(movePeriod, w.moveStragglers)
	w.every(windowLength, w.closeWindow)
	for _, t := range w.trainers {
		t.submit()
	}
}

// arrive puts the arrival i, and then the next, on the agenda.
func (w *world) arrive(i int) {
	if i >= len(w.trace.Arrivals) {
		return
	}
	a := &w.trace.Arrivals[i]
	w.at(epoch.Add(a.At), func() {
		w.live(a)
		w.arrive(i + 1)
	})
}

// report sends each server's load to its admission, late.
func (w *world) report() {
	for _, id := range w.nodeIDs {
		n := w.nodes[id]
		if n.gone {
			continue
		}
		running, waiting := n.engine.Load()
		l := cell.Load{Server: id, Running: running, Waiting: waiting, At: w.now}
		w.after(reportLag, func() { w.decide(n.pool.admission.Report(w.now, l)) })
	}
}

// reset sets the timer of a server's engine.
func (w *world) reset(n *node) {
	n.timer++
	mine := n.timer
	at, ok := n.engine.NextAt()
	if !ok {
		return
	}
	w.at(at, func() {
		if n.timer == mine && !n.gone {
			w.collect(n, n.engine.Advance(w.now))
			w.reset(n)
		}
	})
}

// collect ends the jobs that are done.
func (w *world) collect(n *node, done []*machine.Job) {
	for _, j := range done {
		k := w.jobs[j]
		delete(w.jobs, j)
		w.stopped(k, n, j.Tokens)
		k.produced += j.Tokens
		w.release(n, k, gate.Report{Outcome: gate.Completed, Tokens: j.Tokens})
		w.finished(k, j)
	}
}

func (w *world) release(n *node, k *work, r gate.Report) {
	id := k.grant.ID
	w.after(hop, func() { w.decide(n.pool.admission.Release(w.now, id, r)) })
}
