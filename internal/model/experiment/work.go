package experiment

import (
	"strconv"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
	"github.com/lacewingtally/lacewingtally/internal/model/machine"
	"github.com/lacewingtally/lacewingtally/internal/model/trace"
)

const (
	// ownPrompt is the length of the part of a prompt that is not shared.
	ownPrompt = 100
	// maxRepeats is how often a caller comes back after a refusal.
	maxRepeats = 3
	// promptTime is the time for one token's worth of prompt in a full batch.
	promptTime = 25 * time.Millisecond
)

// work is one request or one sample, over all its attempts.
type work struct {
	arrival *trace.Arrival
	// sample is nil for a request of a caller.
	sample    *sample
	request   gate.Request
	arrivedAt time.Time
	// produced counts the tokens kept of earlier attempts.
	produced int
	repeats  int
	// ask is set while the work waits; job and node while it runs.
	ask   cell.AskID
	job   *machine.Job
	node  *node
	grant gate.Grant
	// firstAt is when the first token came.
	firstAt time.Time
	over    bool
}

// live takes a request of a caller.
func (w *world) live(a *trace.Arrival) {
	k := &work{arrival: a, arrivedAt: w.now}
	k.request = gate.Request{
		Workspace:   a.Workspace,
		Pool:        a.Pool,
		Class:       a.Class,
		Prefix:      a.Prefix,
		Tokens:      a.ExpectedTokens,
		Deadline:    w.now.Add(a.Timeout),
		SpotAllowed: a.SpotAllowed,
	}
	w.ask(k)
	w.after(a.Timeout, func() { w.giveUp(k) })
}

// ask asks for a grant.
func (w *world) ask(k *work) {
	w.made++
	id := cell.AskID(strconv.Itoa(w.made))
	k.ask = id
	w.asks[id] = k
	w.after(hop, func() {
		if k.over || k.ask != id {
			return
		}
		r := k.request
		if w.variant.OneClass {
			r.Class = fleet.Live
		}
		a := cell.Ask{ID: id, Request: r, Since: k.arrivedAt}
		if w.variant.Bounded {
			a.MaxWaiting = maxWaiting
		} else {
			a.Request.Deadline = k.arrivedAt.Add(w.trace.Duration)
		}
		w.decide(w.pools[r.Pool].admission.Ask(w.now, a))
	})
}

// begin sends the work to the server of its grant.
func (w *world) begin(k *work, g gate.Grant) {
	w.after(hop, func() {
		n := w.nodes[g.Server.ID]
		k.grant = g
		if k.over {
			w.release(n, k, gate.Report{Outcome: gate.Stopped})
			return
		}
		if n.gone {
			w.release(n, k, gate.Report{Outcome: gate.Unreachable})
			k.request.Exclude = append(k.request.Exclude, g.Server.ID)
			w.ask(k)
			return
		}
		w.send(k, n)
	})
}

func (w *world) send(k *work, n *node) {
	w.made++
	total, prefix := k.size()
	k.job = &machine.Job{
		ID:           w.made,
		Class:        k.request.Class,
		Prefix:       k.request.Prefix,
		PrefixTokens: prefix,
		PromptTokens: ownPrompt + k.produced,
		Tokens:       total - k.produced,
	}
	k.node = n
	if k.sample != nil {
		k.sample.starts(n)
	}
	w.jobs[k.job] = k
	w.collect(n, n.engine.Advance(w.now))
	n.engine.Add(w.now, k.job)
	w.reset(n)
}

// drop takes the work off its server and returns how many tokens it had made
// there.
func (w *world) drop(k *work) int {
	n, j := k.node, k.job
	w.collect(n, n.engine.Advance(w.now))
	if k.job != j {
		return 0
	}
	n.engine.Remove(w.now, j)
	made := j.Generated()
	delete(w.jobs, j)
	w.stopped(k, n, made)
	w.reset(n)
	return made
}

// stopped counts what an attempt made.
func (w *world) stopped(k *work, n *node, made int) {
	if k.firstAt.IsZero() && made > 0 {
		k.firstAt = k.job.StartedAt.Add(time.Duration(k.job.Prefill * float64(promptTime)))
	}
	k.job, k.node = nil, nil
	if n.server.Pool == "models" {
		w.tally.made(n.server.Kind, made)
	}
}

// giveUp ends a request whose caller has left.
func (w *world) giveUp(k *work) {
	if k.over {
		return
	}
	if k.job != nil {
		n := k.node
		made := w.drop(k)
		if k.over {
			return
		}
		w.tally.lost(made + k.produced)
		w.release(n, k, gate.Report{Outcome: gate.Stopped, Tokens: made})
	}
	w.withdraw(k)
	k.over = true
	w.tally.failed(k)
}

// withdraw takes back an ask.
func (w *world) withdraw(k *work) {
	if k.ask == "" {
		return
	}
	id := k.ask
	delete(w.asks, id)
	k.ask = ""
	w.decide(w.pools[k.request.Pool].admission.Cancel(w.now, id))
}

// refused lets the caller come back, or ends the request.
func (w *world) refused(k *work, retryAt time.Time) {
	if k.over {
		return
	}
	if k.sample != nil {
		w.at(retryAt, func() {
			if !k.over {
				w.ask(k)
			}
		})
		return
	}
	k.repeats++
	if k.repeats > maxRepeats || !retryAt.Before(k.request.Deadline) {
		k.over = true
		w.tally.failed(k)
		return
	}
	w.at(retryAt, func() {
		if !k.over {
			w.ask(k)
		}
	})
}

// finished ends a work whose whole answer came.
func (w *world) finished(k *work, j *machine.Job) {
	if k.firstAt.IsZero() {
		k.firstAt = j.StartedAt.Add(time.Duration(j.Prefill * float64(promptTime)))
	}
	k.over = true
	if k.sample != nil {
		k.sample.finish()
		return
	}
	w.tally.served(k)
}

// size returns the work's whole length and that of its shared prompt.
func (k *work) size() (total, prefix int) {
	if k.sample != nil {
		return k.sample.tokens, samplePrompt
	}
	return k.arrival.Tokens, k.arrival.PrefixTokens
}
