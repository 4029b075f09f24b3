package experiment

import (
	"fmt"
	"slices"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/model/engine"
	"github.com/lacewingtally/lacewingtally/internal/model/trace"
)

// applyFault applies a fault of the trace. A variant without spot servers has
// nothing to reclaim.
func (m *simulation) applyFault(f trace.Fault) {
	switch f.Kind {
	case trace.ReclaimNotice, trace.Reclaim, trace.Return:
		if m.variant.Spot {
			m.applySpotFault(f)
		}
	case trace.Slow:
		n := m.nodes[f.Server]
		m.finishJobs(n, n.engine.Advance(m.now))
		n.engine.SetSpeed(m.now, f.Speed)
		m.resetTimer(n)
	case trace.StoreDown:
		m.storeDown = true
	case trace.StoreUp:
		m.storeDown = false
		m.flushDeferred()
	}
}

func (m *simulation) applySpotFault(f trace.Fault) {
	n := m.nodes[f.Server]
	switch f.Kind {
	case trace.ReclaimNotice:
		m.handleNotice(n)
	case trace.Reclaim:
		m.reclaim(n)
	case trace.Return:
		m.restarts++
		s := n.server
		s.ID = fleet.ServerID(fmt.Sprintf("%s/%d", f.Server, m.restarts))
		m.startServer(s)
		m.updateListLater(n.pool)
	}
}

// handleNotice marks a server as leaving, so that it gets no new tasks, and moves
// its tasks moveMargin before the reclaim.
func (m *simulation) handleNotice(n *node) {
	if !m.variant.Notices {
		return
	}
	n.pool.directory.MarkLeaving(m.now, n.server.ID)
	m.offerServers(n.pool)
	m.after(trace.NoticePeriod-moveMargin, func() {
		for _, j := range n.engine.Jobs() {
			if k := m.jobs[j]; k != nil {
				m.move(k)
			}
		}
	})
}

// move stops a task and asks for a grant on another server. Tokens generated so
// far are kept if the variant can resume.
func (m *simulation) move(k *task) {
	n := k.node
	generated := m.stopAttempt(k)
	if k.ended {
		return
	}
	if m.variant.Resume {
		k.kept += generated
	} else {
		m.counters.addLost(generated)
	}
	m.releaseGrant(n, k, gate.Report{Outcome: gate.Stopped, Tokens: generated})
	k.request.Exclude = []fleet.ServerID{n.server.ID}
	m.requestGrant(k)
}

// reclaim removes a server and interrupts the tasks that it still runs.
func (m *simulation) reclaim(n *node) {
	m.finishJobs(n, n.engine.Advance(m.now))
	jobs := n.engine.Jobs()
	n.gone = true
	m.counters.addCost(n, m.now)
	n.pool.live = slices.DeleteFunc(slices.Clone(n.pool.live), func(s fleet.Server) bool { return s.ID == n.server.ID })
	m.updateListLater(n.pool)
	for _, j := range jobs {
		m.interrupt(m.jobs[j], n, j)
	}
}

// interrupt asks for a new grant for a task whose server was reclaimed. The task
// resumes from the part of the answer that its daemon has, if the variant can
// resume, and otherwise starts again.
func (m *simulation) interrupt(k *task, n *node, j *engine.Job) {
	generated := j.Generated()
	delete(m.jobs, j)
	m.recordAttempt(k, n, generated)
	m.counters.interrupted++
	if m.variant.Resume {
		k.kept += generated
	} else {
		m.counters.addLost(generated + k.kept)
		m.counters.reclaimedTokens += generated + k.kept
		k.kept = 0
	}
	m.releaseGrant(n, k, gate.Report{Outcome: gate.Crashed, Tokens: generated})
	m.requestGrant(k)
}

// updateListLater passes the present servers of a pool to admission after the
// delay of the VM list.
func (m *simulation) updateListLater(p *pool) {
	live := p.live
	m.after(vmListLag, func() {
		p.directory.UpdateList(m.now, live)
		m.offerServers(p)
	})
}
