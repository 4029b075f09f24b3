package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
	"github.com/lacewingtally/lacewingtally/internal/front/sse"
)

// stream passes events on to the caller as they arrive. If the connection is lost,
// a resumable stream continues on another server.
func (c *call) stream(ctx context.Context) error {
	started := false
	cause := errNoServer
	for ctx.Err() == nil {
		s, ok := c.balancer.Choose(c.fleet.Servers().List, c.service, c.tried)
		if !ok && !started {
			break
		}
		if !ok {
			clear(c.tried)
			fleet.Sleep(ctx, retryInterval)
			continue
		}
		c.tried[s.ID] = true
		start := time.Now()
		err := c.streamFrom(ctx, s, &started)
		if errors.Is(err, backend.ErrLimited) {
			c.balancer.Cancel(s.ID)
			c.limited++
		} else {
			c.balancer.Done(s.ID, time.Since(start), backend.Load{}, err != nil && ctx.Err() == nil)
		}
		c.metrics.Attempt(metrics.KindLive, outcome{err: err}.name(), s.Address.String(), time.Since(start))
		if err == nil {
			return nil
		}
		cause = err
		c.logFailure(outcome{server: s.ID, err: err})
		if c.ran && !c.route.Resumable {
			break
		}
	}
	return c.refusal(ctx, cause)
}

// streamFrom sends the request to a server and passes on its events, or a response
// that is not a stream.
func (c *call) streamFrom(ctx context.Context, s backend.Server, started *bool) error {
	resp, err := c.client.Do(ctx, s, c.request.Request)
	if err != nil {
		c.ran = c.ran || !errors.Is(err, backend.ErrNotSent)
		return err
	}
	defer resp.Body.Close()
	if resp.NotRun {
		c.refused = true
		return errors.Wrapf(backend.ErrNotSent, "refused with status %d", resp.Status)
	}
	c.ran = true
	if resp.Status != http.StatusOK {
		if *started {
			return errors.Wrapf(backend.ErrIncomplete, "status %d", resp.Status)
		}
		return c.copyResponse(resp)
	}
	if !*started {
		*started = true
		c.sink.Begin(resp.Status, resp.Header, -1)
	}
	events := sse.NewReader(resp.Body)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(backend.ErrIncomplete, err.Error())
		}
		if err := c.sink.Write(e.Raw); err != nil {
			return err
		}
		c.request.ResumeAfter = e.ID
	}
}

// copyResponse passes on a response that is not a stream.
func (c *call) copyResponse(resp *backend.Response) error {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err != nil {
		return errors.Wrap(backend.ErrIncomplete, err.Error())
	}
	return c.deliver(outcome{status: resp.Status, header: resp.Header, body: b})
}
