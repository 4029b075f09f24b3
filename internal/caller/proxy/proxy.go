// Package proxy forwards the requests of callers to backend servers and returns
// the answers.
package proxy

import (
	"context"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/backend/service"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/claim"
	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
)

const (
	// bodyLimit is the maximum size of a request body, in bytes.
	bodyLimit = 8 << 20
	// defaultTimeout bounds a request without a deadline.
	defaultTimeout = 10 * time.Minute
	// excludeTimeout bounds the wait for a server that is not excluded.
	excludeTimeout = 2 * time.Second
	// firstIdleTimeout is how long a server may send nothing during the first
	// attempt of a repeatable request. It doubles with each later attempt, up
	// to maxIdleTimeout: the first attempt quickly abandons a connection that
	// stops responding, the later ones allow for slow servers.
	firstIdleTimeout = 3 * time.Second
	maxIdleTimeout   = 24 * time.Second
	// onceIdleTimeout is how long a server may send nothing if the request may not
	// be repeated.
	onceIdleTimeout = 10 * time.Second
	// idLimit is the maximum length of a request ID, in bytes.
	idLimit = 256
	// keepClaimTimeout bounds how long an answer is delayed while it is stored
	// in its claim.
	keepClaimTimeout = 100 * time.Millisecond
	// releaseClaimTimeout bounds how long a refusal is delayed while its claim
	// is deleted.
	releaseClaimTimeout = time.Second
	// reserveInterval is the interval between two attempts to get a server that
	// may be used and, for a suspect, reserved.
	reserveInterval = 50 * time.Millisecond
	// retryAfter is the retry delay returned with a refusal, for example while
	// the view is unconfirmed.
	retryAfter = 2 * time.Second
	// settleTimeout bounds the update of a claim after its request has ended.
	settleTimeout = 10 * time.Second
	// tokenLimit is the maximum number of tokens of one answer.
	tokenLimit = 1 << 16
)

// Budget limits retries. Its method may be called from any goroutine.
type Budget interface {
	// Retry reports whether a workspace may retry now, and if so counts the
	// retry.
	Retry(now time.Time, w fleet.Workspace) bool
}

// Claims makes the claims for requests that may not be repeated. *claim.Store
// implements it.
type Claims interface {
	// Begin returns a claim that permits sending the request, or the answer
	// kept from an earlier call. Its error is a *refusal.Error.
	Begin(ctx context.Context, w fleet.Workspace, id fleet.RequestID, fingerprint uint64) (*claim.Held, *claim.Answer, error)
}

// Options are the dependencies of the handlers in this package. Gate and Source
// are required; every other field may be left at its zero value.
type Options struct {
	// Budget limits retries; nil allows every retry.
	Budget Budget
	// Claims makes claims; if nil, requests that need one are refused.
	Claims Claims
	// Engines returns the client for a server; nil uses engine.NewHTTP with
	// an interval between reads that grows with the number of streams.
	Engines func(s fleet.Server) engine.Engine
	Gate    gate.Gate
	// Meter counts usage; nil counts nothing.
	Meter gate.Meter
	// Recorder records events; nil records nothing.
	Recorder timeline.Recorder
	// Services is the client for services; nil uses service.NewHTTP.
	Services service.Service
	Source   view.Source
	// Suspects tracks suspects; if nil, no request is ever a suspect.
	Suspects Suspects
}

// Suspects tracks requests that ran on a server when it crashed. *suspect.Runtime
// implements it. Its methods may be called from any goroutine.
type Suspects interface {
	ClearSuspect(ctx context.Context, f quarantine.Fingerprint)
	ReservedServers() []fleet.ServerID
	Check(now time.Time, f quarantine.Fingerprint) quarantine.Entry
	RecordCrash(ctx context.Context, f quarantine.Fingerprint, c quarantine.Crash, isolated bool) quarantine.Status
	Release(ctx context.Context, f quarantine.Fingerprint)
	Reserve(ctx context.Context, f quarantine.Fingerprint, s fleet.ServerID) bool
}

// withDefaults returns o with defaults for Services and Suspects.
func (o Options) withDefaults() Options {
	if o.Services == nil {
		o.Services = service.NewHTTP(nil)
	}
	if o.Suspects == nil {
		o.Suspects = noSuspects{}
	}
	return o
}

func (o Options) meter(u gate.Usage) {
	if o.Meter != nil {
		o.Meter.Add(u)
	}
}

func (o Options) record(e timeline.Event) {
	if o.Recorder != nil {
		o.Recorder.Record(e)
	}
}

func (o Options) retry(now time.Time, w fleet.Workspace) bool {
	return o.Budget == nil || o.Budget.Retry(now, w)
}

// noSuspects implements Suspects without any suspect.
type noSuspects struct{}

// ClearSuspect implements Suspects.
func (noSuspects) ClearSuspect(context.Context, quarantine.Fingerprint) {}

// ReservedServers implements Suspects.
func (noSuspects) ReservedServers() []fleet.ServerID { return nil }

// Check implements Suspects.
func (noSuspects) Check(time.Time, quarantine.Fingerprint) quarantine.Entry {
	return quarantine.Entry{}
}

// RecordCrash implements Suspects.
func (noSuspects) RecordCrash(context.Context, quarantine.Fingerprint, quarantine.Crash, bool) quarantine.Status {
	return quarantine.Clear
}

// Release implements Suspects.
func (noSuspects) Release(context.Context, quarantine.Fingerprint) {}

// Reserve implements Suspects.
func (noSuspects) Reserve(context.Context, quarantine.Fingerprint, fleet.ServerID) bool { return true }

// sleep waits until the given time and reports whether the context is still
// active.
func sleep(ctx context.Context, until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
