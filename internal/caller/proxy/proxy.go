// Package proxy carries the requests of callers to backend servers and the
// answers back.
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
	// bodyLimit bounds the body of a request, in bytes.
	bodyLimit = 8 << 20
	// defaultPatience is how long a request without a deadline may take.
	defaultPatience = 10 * time.Minute
	// excludeWait bounds one wait for a server that is not excluded.
	excludeWait = 2 * time.Second
	// firstPatience bounds the silence of a server in the first attempt of a
	// repeatable request. Each later attempt bears twice as much, up to
	// lastPatience: the first one leaves a connection that went silent soon,
	// the later ones leave a slow server its time.
	firstPatience = 3 * time.Second
	lastPatience  = 24 * time.Second
	// oncePatience is that for a request that may not be repeated.
	oncePatience = 10 * time.Second
	// idLimit bounds a request ID, in bytes.
	idLimit = 256
	// keepWait bounds the wait of an answer for its claim to keep it.
	keepWait = 100 * time.Millisecond
	// releaseWait bounds the wait of a refusal for its claim to be deleted.
	releaseWait = time.Second
	// reserveWait is the wait for the reservation of a server.
	reserveWait = 50 * time.Millisecond
	// returnAfter is when to come back while a view is unconfirmed.
	returnAfter = 2 * time.Second
	// settleTimeout bounds what is done for a request after it has ended.
	settleTimeout = 10 * time.Second
	// tokenLimit bounds the tokens of one answer.
	tokenLimit = 1 << 16
)

// Budget decides on retries. Its method may be called from any goroutine.
type Budget interface {
	// Retry reports whether a workspace may retry now, and counts it.
	Retry(now time.Time, w fleet.Workspace) bool
}

// Claims are made for requests that may not be repeated; *claim.Store has them.
type Claims interface {
	// Begin returns a claim that permits sending, or a kept answer, or a
	// *refusal.Error.
	Begin(ctx context.Context, w fleet.Workspace, id fleet.RequestID, fingerprint uint64) (*claim.Held, *claim.Answer, error)
}

// Options are what the parts of this package need. Gate and Source are
// required; the zero value of every other field works.
type Options struct {
	// Budget nil allows every retry.
	Budget Budget
	// Claims nil refuses requests that need a claim.
	Claims Claims
	// Engines makes the client of a server; nil uses engine.NewHTTP at a pace
	// that follows the number of streams.
	Engines func(s fleet.Server) engine.Engine
	Gate    gate.Gate
	// Meter nil counts nothing.
	Meter gate.Meter
	// Recorder nil records nothing.
	Recorder timeline.Recorder
	// Services nil uses service.NewHTTP.
	Services service.Service
	Source   view.Source
	// Suspects nil knows none.
	Suspects Suspects
}

// Suspects are requests that ran on a server that crashed; *suspect.Runtime
// keeps them. Its methods may be called from any goroutine.
type Suspects interface {
	ClearSuspect(ctx context.Context, f quarantine.Fingerprint)
	ReservedServers() []fleet.ServerID
	Check(now time.Time, f quarantine.Fingerprint) quarantine.Entry
	RecordCrash(ctx context.Context, f quarantine.Fingerprint, c quarantine.Crash, apart bool) quarantine.Status
	Release(ctx context.Context, f quarantine.Fingerprint)
	Reserve(ctx context.Context, f quarantine.Fingerprint, s fleet.ServerID) bool
}

// complete fills the fields that may be left out.
func (o Options) complete() Options {
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

// noSuspects is Suspects that knows none.
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

// sleep waits until an instant and reports whether the context still runs.
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
