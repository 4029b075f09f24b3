package proxy

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/backend/exchange"
	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/attempt"
	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
)

// placement runs one request in one or more attempts, each with its own grant.
// It is not safe for concurrent use.
type placement struct {
	// beforeSend, if set, is called after each grant is acquired and before
	// the request is sent. It reports whether the request is already done.
	beforeSend  func(ctx context.Context) (bool, error)
	options     Options
	fingerprint quarantine.Fingerprint
	// request is the request to the gate; Exclude lists servers that failed.
	request gate.Request
	run     attempt.Run
}

// grantChecker is a gate that can check whether a grant is still valid.
type grantChecker interface {
	Check(now time.Time, g gate.Grant) error
}

// attemptFunc makes one attempt with a grant and returns the number of tokens
// generated.
type attemptFunc func(ctx context.Context, g gate.Grant) (tokens int, err error)

// do makes attempts with f until an answer is complete or the request is refused.
// Its errors are *refusal.Error.
func (p *placement) do(ctx context.Context, f attemptFunc) error {
	for {
		g, reserved, err := p.acquire(ctx)
		if err != nil {
			return err
		}
		done, err := p.prepare(ctx)
		if done || err != nil || !usable(p.options, time.Now(), g) {
			p.release(ctx, g, reserved, attempt.ResultStopped, 0)
			if done || err != nil {
				return err
			}
			continue
		}
		if !p.run.Begin() {
			p.release(ctx, g, reserved, attempt.ResultStopped, 0)
			return p.run.Refusal(refusal.ReasonServer, time.Time{}, nil)
		}
		tokens, err := f(exchange.WithIOTimeout(ctx, p.idleTimeout()), g)
		result := resultOf(ctx, err)
		quarantined := p.recordCrash(ctx, g, reserved, result, err)
		p.release(ctx, g, reserved, result, tokens)
		d := p.run.End(time.Now(), result, err)
		switch {
		case d.Action == attempt.Deliver:
			return nil
		case quarantined != nil:
			return quarantined
		case d.Action == attempt.Refuse:
			return p.withContextCause(ctx, d.Refusal)
		}
		if err := p.prepareRetry(ctx, g, tokens > 0, d.At); err != nil {
			return err
		}
	}
}

// acquire waits for a grant that may be used now. It also reports whether the
// server is reserved for the request, as it is for a suspect.
func (p *placement) acquire(ctx context.Context) (gate.Grant, bool, error) {
	for {
		e := p.suspicion()
		if e.Status == quarantine.Quarantined {
			return gate.Grant{}, false, refusal.GaveUp(refusal.ReasonQuarantine, e.Until, nil)
		}
		suspect := e.Status == quarantine.Suspect
		g, repeat, err := p.acquireOnce(ctx, p.reservedServers(suspect))
		if repeat && sleep(ctx, time.Now().Add(reserveInterval)) {
			continue
		}
		if err != nil {
			return gate.Grant{}, false, p.denial(ctx, err)
		}
		reserved := suspect && p.options.Suspects.Reserve(ctx, p.fingerprint, g.Server.ID)
		if usable(p.options, time.Now(), g) && reserved == suspect {
			return g, reserved, nil
		}
		p.release(ctx, g, reserved, attempt.ResultStopped, 0)
		if !sleep(ctx, time.Now().Add(reserveInterval)) {
			return gate.Grant{}, false, p.withContextCause(ctx, p.run.Refusal(refusal.ReasonDeadline, time.Time{}, nil))
		}
	}
}

// acquireOnce requests a server that is neither excluded nor in reserved, and
// reports whether to request one again. The wait is limited to excludeTimeout,
// because the gate applies the same exclusions for the whole wait while servers
// and reservations change. After the timeout, servers on which the request failed
// are no longer excluded.
func (p *placement) acquireOnce(ctx context.Context, reserved []fleet.ServerID) (gate.Grant, bool, error) {
	r := p.request
	r.Exclude = append(r.Exclude[:len(r.Exclude):len(r.Exclude)], reserved...)
	if len(reserved) > 0 && !p.hasCandidate(r.Exclude) {
		return gate.Grant{}, true, refusal.NotRun(refusal.ReasonNoServer, time.Now().Add(retryAfter), nil)
	}
	if len(r.Exclude) == 0 {
		g, err := p.options.Gate.Acquire(ctx, r)
		return g, false, err
	}
	limited, cancel := context.WithTimeout(ctx, excludeTimeout)
	defer cancel()
	g, err := p.options.Gate.Acquire(limited, r)
	if err == nil {
		return g, false, nil
	}
	if limited.Err() != nil {
		// No other server was granted in time; one that failed is better than none.
		p.request.Exclude = nil
		return g, true, err
	}
	return g, len(reserved) > 0, err
}

// exclude excludes a server from the next attempts. If this leaves no live server,
// it ends the exclusion of the others; if the server is the only live one, it
// excludes none.
func (p *placement) exclude(id fleet.ServerID) {
	p.request.Exclude = append(p.request.Exclude, id)
	if p.hasCandidate(p.request.Exclude) {
		return
	}
	p.request.Exclude = []fleet.ServerID{id}
	if !p.hasCandidate(p.request.Exclude) {
		p.request.Exclude = nil
	}
}

// hasCandidate reports whether the view lists a live server that is not excluded.
// It is also true if the view lists no live server of the pool, because the pool
// may have servers that the view does not list yet.
func (p *placement) hasCandidate(exclude []fleet.ServerID) bool {
	listed := false
	for _, s := range p.options.Source.State().Servers {
		if s.Pool != p.request.Pool || s.State != fleet.StateLive {
			continue
		}
		listed = true
		if !slices.Contains(exclude, s.ID) {
			return true
		}
	}
	return !listed
}

// prepareRetry excludes the failed server and waits until the time at. It returns
// a refusal if the retry budget is exhausted or the context ends. A retry after
// some progress repeats no token and uses no retry budget.
func (p *placement) prepareRetry(ctx context.Context, g gate.Grant, progress bool, at time.Time) error {
	now := time.Now()
	if !progress && !p.options.retry(now, p.request.Workspace) {
		return p.run.Refusal(refusal.ReasonRetryBudget, now.Add(retryAfter), nil)
	}
	p.exclude(g.Server.ID)
	if !sleep(ctx, at) {
		return p.withContextCause(ctx, p.run.Refusal(refusal.ReasonDeadline, time.Time{}, nil))
	}
	return nil
}

// denial converts a refusal by the gate into one that covers all attempts of the
// request.
func (p *placement) denial(ctx context.Context, err error) error {
	var e *refusal.Error
	if !errors.As(err, &e) {
		e = refusal.NotRun(refusal.ReasonNoServer, time.Now().Add(retryAfter), err)
	}
	return p.withContextCause(ctx, p.run.Refusal(e.Reason, e.RetryAt, err))
}

func (p *placement) event(k timeline.Kind, s fleet.ServerID) timeline.Event {
	return timeline.Event{Kind: k, Request: p.request.ID, Workspace: p.request.Workspace, Server: s}
}

// withContextCause returns e, or, if the context has ended, a refusal with the
// reason for its end.
func (p *placement) withContextCause(ctx context.Context, e *refusal.Error) error {
	if ctx.Err() == nil {
		return e
	}
	var cause *refusal.Error
	if errors.As(context.Cause(ctx), &cause) {
		return p.run.Refusal(cause.Reason, cause.RetryAt, e)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return p.run.Refusal(refusal.ReasonDeadline, time.Now().Add(retryAfter), e)
	}
	return p.run.Refusal(refusal.ReasonCancelled, time.Time{}, e)
}

// idleTimeout returns how long the server may send nothing during this attempt.
func (p *placement) idleTimeout() time.Duration {
	if !p.run.Repeatable {
		return onceIdleTimeout
	}
	return min(firstIdleTimeout<<p.run.Retries(), maxIdleTimeout)
}

func (p *placement) prepare(ctx context.Context) (bool, error) {
	if p.beforeSend == nil {
		return false, nil
	}
	return p.beforeSend(ctx)
}

func (p *placement) release(ctx context.Context, g gate.Grant, reserved bool, r attempt.Result, tokens int) {
	p.options.Gate.Release(g, gate.Report{Outcome: outcomeOf(r), Tokens: tokens})
	switch {
	case !reserved:
	case r == attempt.ResultComplete:
		p.options.Suspects.ClearSuspect(ctx, p.fingerprint)
	case r != attempt.ResultCrashed:
		p.options.Suspects.Release(ctx, p.fingerprint)
	}
}

// isLive reports whether a server has not begun to leave. A server that the view
// does not list yet counts as live.
func isLive(o Options, id fleet.ServerID) bool {
	for _, s := range o.Source.State().Servers {
		if s.ID == id {
			return s.State == fleet.StateLive
		}
	}
	return true
}

// usable reports whether a grant may still be used. A server that has begun to
// leave gets no new requests, even with a grant.
func usable(o Options, now time.Time, g gate.Grant) bool {
	if c, ok := o.Gate.(grantChecker); ok && c.Check(now, g) != nil {
		return false
	}
	return !clock.Passed(now, g.NotAfter) && isLive(o, g.Server.ID)
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
	case ctx.Err() != nil, errors.Is(err, errCallerGone):
		return attempt.ResultStopped
	case errors.Is(err, exchange.ErrCrashed):
		return attempt.ResultCrashed
	case errors.Is(err, exchange.ErrTruncated):
		return attempt.ResultTruncated
	default:
		return attempt.ResultProtocol
	}
}
