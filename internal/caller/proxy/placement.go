package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/backend/exchange"
	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/attempt"
	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
)

// placement runs one request over as many grants as it takes. It is used by
// one goroutine.
type placement struct {
	// before, if set, is called with each grant before it is used. It reports
	// whether the request is done without being sent.
	before      func(ctx context.Context) (bool, error)
	options     Options
	fingerprint quarantine.Fingerprint
	// request is what is asked of the gate; Exclude holds servers that failed.
	request gate.Request
	run     attempt.Run
}

// checker is a gate that can tell whether a grant still holds.
type checker interface {
	Check(now time.Time, g gate.Grant) error
}

// send makes one attempt with a grant and returns how it ended, with the
// number of tokens generated.
type send func(ctx context.Context, g gate.Grant) (tokens int, err error)

// do repeats s until it is whole or the request is refused. Its errors are
// *refusal.Error.
func (p *placement) do(ctx context.Context, s send) error {
	for {
		g, apart, err := p.acquire(ctx)
		if err != nil {
			return err
		}
		done, err := p.prepare(ctx)
		if done || err != nil || !usable(p.options, time.Now(), g) {
			p.release(ctx, g, apart, attempt.ResultStopped, 0)
			if done || err != nil {
				return err
			}
			continue
		}
		if !p.run.Begin() {
			p.release(ctx, g, apart, attempt.ResultStopped, 0)
			return p.run.Refusal(refusal.ReasonServer, time.Time{}, nil)
		}
		tokens, err := s(exchange.WithPatience(ctx, p.patience()), g)
		result := resultOf(ctx, err)
		condemned := p.blame(ctx, g, apart, result, err)
		p.release(ctx, g, apart, result, tokens)
		d := p.run.End(time.Now(), result, err)
		switch {
		case d.Action == attempt.Deliver:
			return nil
		case condemned != nil:
			return condemned
		case d.Action == attempt.Refuse:
			return p.final(ctx, d.Refusal)
		}
		if err := p.again(ctx, g, tokens > 0, d.At); err != nil {
			return err
		}
	}
}

// acquire waits for a grant that may be used now.
func (p *placement) acquire(ctx context.Context) (gate.Grant, bool, error) {
	for {
		e := p.options.Suspects.Check(time.Now(), p.fingerprint)
		if e.Status == quarantine.Quarantined {
			return gate.Grant{}, false, refusal.GaveUp(refusal.ReasonQuarantine, e.Until, nil)
		}
		suspect := e.Status == quarantine.Suspect
		g, again, err := p.ask(ctx, p.busy(suspect))
		if again && sleep(ctx, time.Now().Add(reserveWait)) {
			continue
		}
		if err != nil {
			return gate.Grant{}, false, p.denied(ctx, err)
		}
		apart := suspect && p.options.Suspects.Reserve(ctx, p.fingerprint, g.Server.ID)
		if usable(p.options, time.Now(), g) && apart == suspect {
			return g, apart, nil
		}
		p.release(ctx, g, apart, attempt.ResultStopped, 0)
		if !sleep(ctx, time.Now().Add(reserveWait)) {
			return gate.Grant{}, false, p.final(ctx, p.run.Refusal(refusal.ReasonDeadline, time.Time{}, nil))
		}
	}
}

// ask asks the gate for a server that is neither excluded nor busy, and reports
// whether to ask anew: the gate holds to what is excluded for as long as the
// request waits, while the servers and what runs on them change.
func (p *placement) ask(ctx context.Context, busy []fleet.ServerID) (gate.Grant, bool, error) {
	r := p.request
	r.Exclude = append(r.Exclude[:len(r.Exclude):len(r.Exclude)], busy...)
	if len(busy) > 0 && !p.left(r.Exclude) {
		return gate.Grant{}, true, refusal.NotRun(refusal.ReasonNoServer, time.Now().Add(returnAfter), nil)
	}
	if len(r.Exclude) == 0 {
		g, err := p.options.Gate.Acquire(ctx, r)
		return g, false, err
	}
	short, cancel := context.WithTimeout(ctx, excludeWait)
	defer cancel()
	g, err := p.options.Gate.Acquire(short, r)
	if err == nil {
		return g, false, nil
	}
	if short.Err() != nil {
		// A server that failed before is better than none.
		p.request.Exclude = nil
		return g, true, err
	}
	return g, len(busy) > 0, err
}

// exclude keeps the next attempts off a server, as long as another one is left.
func (p *placement) exclude(id fleet.ServerID) {
	p.request.Exclude = append(p.request.Exclude, id)
	if p.left(p.request.Exclude) {
		return
	}
	p.request.Exclude = []fleet.ServerID{id}
	if !p.left(p.request.Exclude) {
		p.request.Exclude = nil
	}
}

// left reports whether the view shows a server that is not excluded. A pool
// that it does not show at all may have some.
func (p *placement) left(exclude []fleet.ServerID) bool {
	shown := false
	for _, s := range p.options.Source.State().Servers {
		if s.Pool != p.request.Pool || s.State != fleet.StateLive {
			continue
		}
		shown = true
		if !slices.Contains(exclude, s.ID) {
			return true
		}
	}
	return !shown
}

// again prepares the next attempt, at an instant. One that goes on where the
// last one ended repeats no token and needs no budget.
func (p *placement) again(ctx context.Context, g gate.Grant, progress bool, at time.Time) error {
	now := time.Now()
	if !progress && !p.options.retry(now, p.request.Workspace) {
		return p.run.Refusal(refusal.ReasonRetryBudget, now.Add(returnAfter), nil)
	}
	p.exclude(g.Server.ID)
	if !sleep(ctx, at) {
		return p.final(ctx, p.run.Refusal(refusal.ReasonDeadline, time.Time{}, nil))
	}
	return nil
}

// blame counts a crash against the request and returns its final answer when
// that makes it quarantined.
func (p *placement) blame(ctx context.Context, g gate.Grant, apart bool, r attempt.Result, err error) error {
	if r != attempt.ResultCrashed || !live(p.options, g.Server.ID) {
		// A server that leaves ends by itself.
		return nil
	}
	c := quarantine.Crash{Server: g.Server.ID}
	var e *engine.CrashError
	if errors.As(err, &e) {
		c.Boot = e.Boot
	}
	p.options.record(p.event(timeline.ServerCrashed, g.Server.ID))
	if p.options.Suspects.RecordCrash(ctx, p.fingerprint, c, apart) != quarantine.Quarantined {
		return nil
	}
	until := p.options.Suspects.Check(time.Now(), p.fingerprint).Until
	return refusal.GaveUp(refusal.ReasonQuarantine, until, err)
}

// busy returns the servers that a suspect must leave to other suspects.
func (p *placement) busy(suspect bool) []fleet.ServerID {
	if !suspect {
		return nil
	}
	return p.options.Suspects.ReservedServers()
}

// denied turns the gate's refusal into what is true of the whole request.
func (p *placement) denied(ctx context.Context, err error) error {
	var e *refusal.Error
	if !errors.As(err, &e) {
		e = refusal.NotRun(refusal.ReasonNoServer, time.Now().Add(returnAfter), err)
	}
	return p.final(ctx, p.run.Refusal(e.Reason, e.RetryAt, err))
}

func (p *placement) event(k timeline.Kind, s fleet.ServerID) timeline.Event {
	return timeline.Event{Kind: k, Request: p.request.ID, Workspace: p.request.Workspace, Server: s}
}

// final gives a refusal the reason for which the context ended, if it did.
func (p *placement) final(ctx context.Context, e *refusal.Error) error {
	if ctx.Err() == nil {
		return e
	}
	var cause *refusal.Error
	if errors.As(context.Cause(ctx), &cause) {
		return p.run.Refusal(cause.Reason, cause.RetryAt, e)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return p.run.Refusal(refusal.ReasonDeadline, time.Now().Add(returnAfter), e)
	}
	return p.run.Refusal(refusal.ReasonCancelled, time.Time{}, e)
}

// patience is how long the server may be silent in this attempt.
func (p *placement) patience() time.Duration {
	if !p.run.Repeatable {
		return oncePatience
	}
	return min(firstPatience<<p.run.Retries(), lastPatience)
}

func (p *placement) prepare(ctx context.Context) (bool, error) {
	if p.before == nil {
		return false, nil
	}
	return p.before(ctx)
}

func (p *placement) release(ctx context.Context, g gate.Grant, apart bool, r attempt.Result, tokens int) {
	p.options.Gate.Release(g, gate.Report{Outcome: outcomeOf(r), Tokens: tokens})
	switch {
	case !apart:
	case r == attempt.ResultComplete:
		p.options.Suspects.ClearSuspect(ctx, p.fingerprint)
	case r != attempt.ResultCrashed:
		p.options.Suspects.Release(ctx, p.fingerprint)
	}
}

// live reports whether a server has not begun to leave. One that the view does
// not show yet is live.
func live(o Options, id fleet.ServerID) bool {
	for _, s := range o.Source.State().Servers {
		if s.ID == id {
			return s.State == fleet.StateLive
		}
	}
	return true
}

// usable reports whether a grant may still be used: a server that has begun to
// leave gets no new work, whoever granted it.
func usable(o Options, now time.Time, g gate.Grant) bool {
	if c, ok := o.Gate.(checker); ok && c.Check(now, g) != nil {
		return false
	}
	return !clock.Passed(now, g.NotAfter) && live(o, g.Server.ID)
}

func outcomeOf(r attempt.Result) gate.Outcome {
	switch r {
	case attempt.ResultComplete:
		return gate.Completed
	case attempt.ResultCrashed:
		return gate.Crashed
	case attempt.ResultRefused:
		return gate.Refused
	case attempt.ResultNotSent:
		return gate.Unreachable
	default:
		return gate.Stopped
	}
}

func resultOf(ctx context.Context, err error) attempt.Result {
	switch {
	case err == nil:
		return attempt.ResultComplete
	case errors.Is(err, exchange.ErrNotSent):
		return attempt.ResultNotSent
	case errors.Is(err, exchange.ErrRefused):
		return attempt.ResultRefused
	case ctx.Err() != nil, errors.Is(err, errCaller):
		return attempt.ResultStopped
	case errors.Is(err, exchange.ErrCrashed):
		return attempt.ResultCrashed
	case errors.Is(err, exchange.ErrCut):
		return attempt.ResultTruncated
	default:
		return attempt.ResultProtocol
	}
}
