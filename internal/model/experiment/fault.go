package experiment

import (
	"fmt"
	"slices"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/model/machine"
	"github.com/lacewingtally/lacewingtally/internal/model/trace"
)

// fault carries a fault of the trace out. Without spot servers there is
// nothing to reclaim.
func (w *world) fault(f trace.Fault) {
	switch f.Kind {
	case trace.ReclaimNotice, trace.Reclaim, trace.Return:
		if w.variant.Spot {
			w.reclaimFault(f)
		}
	case trace.Slow:
		n := w.nodes[f.Server]
		w.collect(n, n.engine.Advance(w.now))
		n.engine.SetSpeed(w.now, f.Speed)
		w.reset(n)
	case trace.StoreDown:
		w.storeDown = true
	case trace.StoreUp:
		w.storeDown = false
		w.storeReturned()
	}
}

func (w *world) reclaimFault(f trace.Fault) {
	n := w.nodes[f.Server]
	switch f.Kind {
	case trace.ReclaimNotice:
		w.notice(n)
	case trace.Reclaim:
		w.reclaim(n)
	case trace.Return:
		w.boots++
		s := n.server
		s.ID = fleet.ServerID(fmt.Sprintf("%s/%d", f.Server, w.boots))
		w.boot(s)
		w.relist(n.pool)
	}
}

// notice closes a server for new work, and moves its work before it goes.
func (w *world) notice(n *node) {
	if !w.variant.Notices {
		return
	}
	n.pool.directory.MarkLeaving(w.now, n.server.ID)
	w.offer(n.pool)
	w.after(trace.NoticePeriod-exportMargin, func() {
		for _, j := range n.engine.Jobs() {
			if k := w.jobs[j]; k != nil {
				w.move(k)
			}
		}
	})
}

// move takes a work to another server, with what it has made so far.
func (w *world) move(k *work) {
	n := k.node
	made := w.drop(k)
	if k.over {
		return
	}
	if w.variant.Resume {
		k.produced += made
	} else {
		w.tally.lost(made)
	}
	w.release(n, k, gate.Report{Outcome: gate.Stopped, Tokens: made})
	k.request.Exclude = []fleet.ServerID{n.server.ID}
	w.ask(k)
}

// reclaim takes a server away; what it still runs is cut.
func (w *world) reclaim(n *node) {
	w.collect(n, n.engine.Advance(w.now))
	cut := n.engine.Jobs()
	n.gone = true
	w.tally.pay(n, w.now)
	n.pool.live = slices.DeleteFunc(slices.Clone(n.pool.live), func(s fleet.Server) bool { return s.ID == n.server.ID })
	w.relist(n.pool)
	for _, j := range cut {
		w.cut(w.jobs[j], n, j)
	}
}

// cut asks for a request again that its server was taken away from. It goes on
// from what its daemon holds of the answer, if the variant can, else anew.
func (w *world) cut(k *work, n *node, j *machine.Job) {
	made := j.Generated()
	delete(w.jobs, j)
	w.stopped(k, n, made)
	w.tally.cut++
	if w.variant.Resume {
		k.produced += made
	} else {
		w.tally.lost(made + k.produced)
		w.tally.reclaimed += made + k.produced
		k.produced = 0
	}
	w.release(n, k, gate.Report{Outcome: gate.Crashed, Tokens: made})
	w.ask(k)
}

// relist shows the servers of now to admission when the VM list does.
func (w *world) relist(p *pool) {
	live := p.live
	w.after(listLag, func() {
		p.directory.UpdateList(w.now, live)
		w.offer(p)
	})
}
