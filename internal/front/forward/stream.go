package forward

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
	"github.com/lacewingtally/lacewingtally/internal/front/sse"
)

// errBroken reports that the connection broke while a stream was read.
var errBroken = errors.Wrap(backend.ErrIncomplete, "stream")

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
		if refused := c.quarantineRefusal(err); refused != nil {
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
	s, ok := c.chooseForStream()
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
	if err := c.awaitNamed(ctx, s); err != nil {
		return err
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
