package experiment

import (
	"strconv"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
	"github.com/lacewingtally/lacewingtally/internal/model/engine"
	"github.com/lacewingtally/lacewingtally/internal/model/trace"
)

const (
	// ownPromptTokens is the length of the part of a prompt that is not shared, in
	// tokens.
	ownPromptTokens = 100
	// maxRetries is the number of times that a caller retries after a refusal.
	maxRetries = 3
	// prefillTokenTime is the time for prefill work of one generated token in a
	// full batch.
	prefillTokenTime = 25 * time.Millisecond
)

// task is one request or one sample, over all its attempts.
type task struct {
	arrival *trace.Arrival
	// sample is nil for a request from a caller.
	sample    *sample
	request   gate.Request
	arrivedAt time.Time
	// kept is the number of tokens kept from earlier attempts.
	kept    int
	retries int
	// ask is set while the task waits for a grant; job and node are set while
	// it runs.
	ask   cell.AskID
	job   *engine.Job
	node  *node
	grant gate.Grant
	// firstAt is when the first token was generated.
	firstAt time.Time
	ended   bool
}

// handleArrival asks for a grant for a request from a caller, and schedules its
// timeout.
func (m *simulation) handleArrival(a *trace.Arrival) {
	k := &task{arrival: a, arrivedAt: m.now}
	k.request = gate.Request{
		Workspace:   a.Workspace,
		Pool:        a.Pool,
		Class:       a.Class,
		Prefix:      a.Prefix,
		Tokens:      a.ExpectedTokens,
		Deadline:    m.now.Add(a.Timeout),
		SpotAllowed: a.SpotAllowed,
	}
	m.requestGrant(k)
	m.after(a.Timeout, func() { m.giveUp(k) })
}

// requestGrant asks the admission of the pool for a grant.
func (m *simulation) requestGrant(k *task) {
	m.lastID++
	id := cell.AskID(strconv.Itoa(m.lastID))
	k.ask = id
	m.asks[id] = k
	m.after(messageDelay, func() {
		if k.ended || k.ask != id {
			return
		}
		r := k.request
		if m.variant.OneClass {
			r.Class = fleet.Live
		}
		a := cell.Ask{ID: id, Request: r, Since: k.arrivedAt}
		if m.variant.Bounded {
			a.MaxWaiting = maxWaiting
		} else {
			a.Request.Deadline = k.arrivedAt.Add(m.trace.Duration)
		}
		m.apply(m.pools[r.Pool].admission.Ask(m.now, a))
	})
}

// dispatch sends a task to the server of its grant.
func (m *simulation) dispatch(k *task, g gate.Grant) {
	m.after(messageDelay, func() {
		n := m.nodes[g.Server.ID]
		k.grant = g
		if k.ended {
			m.releaseGrant(n, k, gate.Report{Outcome: gate.Stopped})
			return
		}
		if n.gone {
			m.releaseGrant(n, k, gate.Report{Outcome: gate.Unreachable})
			k.request.Exclude = append(k.request.Exclude, g.Server.ID)
			m.requestGrant(k)
			return
		}
		m.startAttempt(k, n)
	})
}

func (m *simulation) startAttempt(k *task, n *node) {
	m.lastID++
	total, prefix := k.size()
	k.job = &engine.Job{
		ID:           m.lastID,
		Class:        k.request.Class,
		Prefix:       k.request.Prefix,
		PrefixTokens: prefix,
		PromptTokens: ownPromptTokens + k.kept,
		Tokens:       total - k.kept,
	}
	k.node = n
	if k.sample != nil {
		k.sample.recordVersion(n)
	}
	m.jobs[k.job] = k
	m.finishJobs(n, n.engine.Advance(m.now))
	n.engine.Add(m.now, k.job)
	m.resetTimer(n)
}

// stopAttempt removes a running task from its server and returns the number of
// tokens generated there. It returns 0 if the task completed before.
func (m *simulation) stopAttempt(k *task) int {
	n, j := k.node, k.job
	m.finishJobs(n, n.engine.Advance(m.now))
	if k.job != j {
		return 0
	}
	n.engine.Remove(m.now, j)
	generated := j.Generated()
	delete(m.jobs, j)
	m.recordAttempt(k, n, generated)
	m.resetTimer(n)
	return generated
}

// recordAttempt ends an attempt and counts the tokens that it generated.
func (m *simulation) recordAttempt(k *task, n *node, generated int) {
	if k.firstAt.IsZero() && generated > 0 {
		k.firstAt = k.job.StartedAt.Add(time.Duration(k.job.Prefill * float64(prefillTokenTime)))
	}
	k.job, k.node = nil, nil
	if n.server.Pool == "models" {
		m.counters.addGenerated(n.server.Kind, generated)
	}
}

// giveUp ends a request whose caller has timed out.
func (m *simulation) giveUp(k *task) {
	if k.ended {
		return
	}
	if k.job != nil {
		n := k.node
		generated := m.stopAttempt(k)
		if k.ended {
			return
		}
		m.counters.addLost(generated + k.kept)
		m.releaseGrant(n, k, gate.Report{Outcome: gate.Stopped, Tokens: generated})
	}
	m.cancelAsk(k)
	k.ended = true
	m.counters.addFailed(k)
}

// cancelAsk cancels the pending ask of a task, if any.
func (m *simulation) cancelAsk(k *task) {
	if k.ask == "" {
		return
	}
	id := k.ask
	delete(m.asks, id)
	k.ask = ""
	m.apply(m.pools[k.request.Pool].admission.Cancel(m.now, id))
}

// handleRefusal schedules a retry. A request from a caller ends when its retries
// are used up or the retry would be after its deadline.
func (m *simulation) handleRefusal(k *task, retryAt time.Time) {
	if k.ended {
		return
	}
	if k.sample != nil {
		m.at(retryAt, func() {
			if !k.ended {
				m.requestGrant(k)
			}
		})
		return
	}
	k.retries++
	if k.retries > maxRetries || !retryAt.Before(k.request.Deadline) {
		k.ended = true
		m.counters.addFailed(k)
		return
	}
	m.at(retryAt, func() {
		if !k.ended {
			m.requestGrant(k)
		}
	})
}

// complete ends a task whose answer is complete.
func (m *simulation) complete(k *task, j *engine.Job) {
	if k.firstAt.IsZero() {
		k.firstAt = j.StartedAt.Add(time.Duration(j.Prefill * float64(prefillTokenTime)))
	}
	k.ended = true
	if k.sample != nil {
		k.sample.finish()
		return
	}
	m.counters.addServed(k)
}

// size returns the number of tokens in the complete answer and in the shared
// prompt prefix.
func (k *task) size() (total, prefix int) {
	if k.sample != nil {
		return k.sample.tokens, samplePromptTokens
	}
	return k.arrival.Tokens, k.arrival.PrefixTokens
}
