package proxy

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/backend/engine"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/attempt"
	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
)

// suspicion returns the quarantine's entry of the request; an owed request has none.
func (p *placement) suspicion() quarantine.Entry {
	if p.run.Owed {
		return quarantine.Entry{}
	}
	return p.options.Suspects.Check(time.Now(), p.fingerprint)
}

// recordCrash records that the server crashed while it ran the request, unless the
// server was leaving. It returns a refusal if this quarantines the request.
func (p *placement) recordCrash(ctx context.Context, g gate.Grant, reserved bool, r attempt.Result, err error) error {
	if r != attempt.ResultCrashed || !isLive(p.options, g.Server.ID) {
		// A leaving server stops by itself; the request is not the cause.
		return nil
	}
	c := quarantine.Crash{Server: g.Server.ID}
	var e *engine.CrashError
	if errors.As(err, &e) {
		c.Boot = e.Boot
	}
	p.options.record(p.event(timeline.ServerCrashed, g.Server.ID))
	if p.run.Owed {
		return nil
	}
	if p.options.Suspects.RecordCrash(ctx, p.fingerprint, c, reserved) != quarantine.Quarantined {
		return nil
	}
	until := p.options.Suspects.Check(time.Now(), p.fingerprint).Until
	return refusal.GaveUp(refusal.ReasonQuarantine, until, err)
}

// reservedServers returns the servers that a suspect must not use, because they
// are reserved for other suspects.
func (p *placement) reservedServers(suspect bool) []fleet.ServerID {
	if !suspect {
		return nil
	}
	return p.options.Suspects.ReservedServers()
}
