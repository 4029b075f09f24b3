package forward

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/option"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
	"github.com/lacewingtally/lacewingtally/internal/front/sse"
)

// Causes of the refusal of a stream, and of its end.
var (
	errUnknownOrigin = errors.New("forward: software version of the stream is not known")
	errOriginGone    = errors.New("forward: no server of the stream's software version")
	// errBroken reports that the connection broke while a stream was read.
	errBroken = errors.Wrap(backend.ErrIncomplete, "stream")
)

// retryAfterUnknownOrigin is the delay after which a caller should take a stream up again
// whose origin is not known: by then another daemon's heartbeat may contain it.
const retryAfterUnknownOrigin = 400 * time.Millisecond

const (
	// maxRecordTime bounds the wait until the record of a stream is in the store.
	maxRecordTime = 100 * time.Millisecond
	// maxNameTime bounds the wait until this daemon's row contains a software version, and
	// until the rows of all daemons have been read.
	maxNameTime = 500 * time.Millisecond
)

// stream passes events on to the caller as they arrive. If the connection is lost,
// a resumable stream continues on another server.
func (c *call) stream(ctx context.Context) error {
	if err := c.findOrigin(ctx); err != nil {
		return err
	}
	started := false
	cause := errNoServer
	// stalled counts the attempts since the last event in which the request may have run.
	stalled := 0
	for ctx.Err() == nil {
		events := c.events
		err := c.streamOnPath(ctx, &started)
		if err == nil {
			return nil
		}
		c.awaitDecision(ctx)
		if refused := c.condemned(err); refused != nil {
			return refused
		}
		if errors.Is(err, errNoServer) {
			if !started || !c.hasServer() {
				break
			}
			c.awaitNextRound(ctx)
			continue
		}
		cause = err
		if c.ran && !c.route.Resumable {
			break
		}
		if c.events > events {
			stalled = 0
		} else if !errors.Is(err, backend.ErrNotSent) && !errors.Is(err, backend.ErrMoved) {
			stalled++
		}
		if stalled >= c.route.MaxServers {
			break
		}
	}
	return c.refusal(ctx, cause)
}

// awaitNextRound waits until all servers and peers may be tried again.
func (c *call) awaitNextRound(ctx context.Context) {
	wait := retryInterval
	if c.refusedByPeer != nil {
		wait = max(wait, time.Until(c.refusedByPeer.RetryAt))
	}
	fleet.Sleep(ctx, wait)
	c.refusedByPeer = nil
	c.nextRound()
}

// streamOnPath makes one attempt, through a peer or at the best server. It returns
// errNoServer if there is none left in the current round.
func (c *call) streamOnPath(ctx context.Context, started *bool) error {
	if c.refusedByPeer != nil {
		return errNoServer
	}
	c.awaitCheck(ctx)
	through := c.throughPeer()
	if through && !c.noPeer {
		return c.streamThroughPeer(ctx, started)
	}
	if through && c.path.Silent() {
		return errNoServer
	}
	s, ok := c.balancer.Choose(c.fleet.Servers().List, c.service, c.mayTry)
	if !ok {
		return errNoServer
	}
	c.tried[s.ID] = true
	start := time.Now()
	err := c.streamFrom(ctx, s, start, started)
	if errors.Is(err, backend.ErrLimited) {
		c.balancer.Cancel(s.ID)
		c.limited++
	} else {
		c.balancer.Done(s.ID, time.Since(start), backend.Load{}, err != nil && ctx.Err() == nil && !errors.Is(err, backend.ErrMoved))
	}
	c.metrics.Attempt(metrics.KindLive, outcome{err: err}.name(), s.Address.String(), time.Since(start))
	if err != nil {
		c.unanswered = c.unanswered || errors.Is(err, backend.ErrNotSent)
		c.logFailure(outcome{server: s.ID, err: err})
	}
	return err
}

// streamFrom sends the request to a server and passes on its events, or a response
// that is not a stream. begunAt is when the attempt began.
func (c *call) streamFrom(ctx context.Context, s backend.Server, begunAt time.Time, started *bool) error {
	ctx, end := c.beginMovable(ctx, s)
	defer end()
	events := c.events
	if c.route.Resumable && c.request.Resumes == "" {
		c.fleet.AwaitNamed(ctx, s.Service, s.Software, maxNameTime)
	}
	resp, err := c.client.Do(ctx, s, c.request.Request)
	if err != nil {
		c.ran = c.ran || !errors.Is(err, backend.ErrNotSent)
	} else {
		defer resp.Body.Close()
		err = c.passOn(ctx, resp, s.Software, started)
	}
	if c.events > events || resp != nil && resp.Status != http.StatusOK && resp.Status != http.StatusMisdirectedRequest {
		c.Alive(s, begunAt)
	}
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, errBroken):
		c.recordBreak(s, begunAt, c.events > events)
	case resp == nil && errors.Is(err, backend.ErrIncomplete):
		c.Suspect(c.fingerprint, s, begunAt)
	}
	return movedError(ctx, err)
}

// passOn passes on the events of a response of a server that runs a software version, or
// the response if it is not a stream.
func (c *call) passOn(ctx context.Context, resp *backend.Response, software string, started *bool) error {
	if resp.NotRun {
		c.refused = true
		return errors.Wrapf(backend.ErrNotSent, "refused with status %d", resp.Status)
	}
	c.ran = true
	if resp.Status != http.StatusOK {
		if *started {
			return errors.Wrapf(backend.ErrIncomplete, "status %d", resp.Status)
		}
		err := c.copyResponse(ctx, resp)
		if err == nil && resp.Status < http.StatusInternalServerError {
			c.Cleared(c.fingerprint)
		}
		return err
	}
	if !*started {
		*started = true
		c.serving = software
		c.begun.Store(true)
		c.sink.Begin(resp.Status, resp.Header, -1)
	}
	events := sse.NewReader(resp.Body)
	for first := true; ; first = false {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			if !first {
				c.Cleared(c.fingerprint)
			}
			return nil
		}
		if err != nil {
			return errors.Wrap(errBroken, err.Error())
		}
		c.events++
		if first {
			c.suspects.progressed(c.fingerprint)
		}
		c.recordOrigin(ctx, software)
		if err := c.sink.Write(e.Raw); err != nil {
			return err
		}
		c.request.ResumeAfter = e.ID
	}
}

// findOrigin determines the software version that can continue the stream that the caller
// takes up, if it does. It returns a refusal if that version is not known although there
// are several, or if none of its servers is left.
func (c *call) findOrigin(ctx context.Context) error {
	if _, known := c.software.Get(); known || c.request.ResumeAfter == 0 {
		return nil
	}
	k := c.streamKey()
	versions, complete := c.origins.software(k)
	versions = addVersions(versions, c.fleet.StreamSoftware(uint64(k)))
	known := len(versions) > 0
	var notAt set.Set[netip.AddrPort]
	if !known && c.fleet.MixedSoftware(c.service) {
		versions, notAt = c.queryOrigin(ctx, k)
		known = len(versions) > 0
	}
	if !known {
		versions = c.inferOrigin(ctx, k, notAt, complete)
	}
	if len(versions) != 1 {
		return refusal.NotRun(refusal.ReasonNoServer, time.Now().Add(retryAfterUnknownOrigin), errUnknownOrigin)
	}
	software := versions[0]
	c.logTakenUp(software, known)
	c.software = option.Some(software)
	switch {
	case c.hasServer():
	case c.evacuated():
		return refusal.NotRun(refusal.ReasonEvacuated, time.Now().Add(retryAfterEvacuated), errOriginGone)
	default:
		return refusal.NotRun(refusal.ReasonNoServer, time.Time{}, errOriginGone)
	}
	return nil
}

// inferOrigin returns the software versions at which a stream can have begun whose record may
// have been lost with its daemon. The stream can continue if there is exactly one. A daemon's row
// contains a version before the daemon begins a stream at it, so that rows read from now on
// suffice. notAt and notHere are as in fleet.State.PossibleSoftware.
func (c *call) inferOrigin(ctx context.Context, k streamKey, notAt set.Set[netip.AddrPort], notHere bool) []string {
	versions, ok := c.fleet.PossibleSoftware(c.service, notAt, notHere)
	if !ok || len(versions) != 1 || !c.fleet.AwaitMembers(ctx, maxNameTime) {
		return nil
	}
	if recorded := c.fleet.StreamSoftware(uint64(k)); len(recorded) > 0 {
		return recorded
	}
	versions, _ = c.fleet.PossibleSoftware(c.service, notAt, notHere)
	return versions
}

// logTakenUp logs that a stream is taken up, and which software version began it, if that is
// known.
func (c *call) logTakenUp(software string, known bool) {
	c.log.Info("stream taken up", zap.String("Request", c.request.ID), zap.String("Resumes", c.request.Resumes),
		zap.Int("After", c.request.ResumeAfter), zap.Bool("Known", known), zap.String("Software", software))
}

// recordOrigin records that a server with a software version has sent an event, before the
// event is passed on: the caller may take the stream up elsewhere as soon as it has it. While
// several versions serve, it waits until the record is in the store, which survives all
// daemons.
func (c *call) recordOrigin(ctx context.Context, software string) {
	if c.recorded {
		return
	}
	c.recorded = true
	c.software = option.Some(software)
	c.origins.record(c.streamKey(), c.service, software)
	if c.route.Resumable && c.request.Resumes == "" && c.fleet.MixedSoftware(c.service) {
		c.fleet.AwaitHeartbeat(ctx, maxRecordTime)
	}
}

// streamKey returns the key of the stream: that of the attempt that brought its first
// event.
func (c *call) streamKey() streamKey {
	return streamKeyOf(c.request.Workspace, cmp.Or(c.request.Resumes, c.request.ID))
}

// hasServer reports whether a server is in use that can run the request.
func (c *call) hasServer() bool {
	return slices.ContainsFunc(c.fleet.Servers().List, func(s backend.Server) bool {
		return s.Service == c.service && !s.Draining && c.suitable(s)
	})
}

// copyResponse passes on a response that is not a stream.
func (c *call) copyResponse(ctx context.Context, resp *backend.Response) error {
	b, err := readResponse(ctx, resp)
	if err != nil {
		return err
	}
	return c.deliver(outcome{status: resp.Status, header: resp.Header, body: b})
}
