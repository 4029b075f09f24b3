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
func (x *call) stream(ctx context.Context) error {
	started := false
	cause := errNoServer
	for ctx.Err() == nil {
		s, ok := x.balancer.choose(x.fleet.Servers().List, x.service, x.domain, x.tried)
		if !ok && !started {
			break
		}
		if !ok {
			clear(x.tried)
			fleet.Sleep(ctx, retryInterval)
			continue
		}
		x.tried[s.ID] = true
		start := time.Now()
		err := x.streamFrom(ctx, s, &started)
		x.balancer.done(s.ID, time.Since(start), backend.Load{}, err != nil && ctx.Err() == nil)
		x.metrics.Attempt(metrics.KindLive, outcome{err: err}.name(), s.Address.String(), time.Since(start))
		if err == nil {
			return nil
		}
		cause = err
		x.logFailure(outcome{server: s.ID, err: err})
		if x.ran && !x.route.Resumable {
			break
		}
	}
	return x.refusal(ctx, cause)
}

// streamFrom sends the request to a server and passes on its events, or a response
// that is not a stream.
func (x *call) streamFrom(ctx context.Context, s backend.Server, started *bool) error {
	resp, err := x.client.Do(ctx, s, x.request.Request)
	if err != nil {
		x.ran = x.ran || !errors.Is(err, backend.ErrNotSent)
		return err
	}
	defer resp.Body.Close()
	if resp.NotRun {
		x.refused = true
		return errors.Wrapf(backend.ErrNotSent, "refused with status %d", resp.Status)
	}
	x.ran = true
	if resp.Status != http.StatusOK {
		if *started {
			return errors.Wrapf(backend.ErrIncomplete, "status %d", resp.Status)
		}
		return x.copyResponse(resp)
	}
	if !*started {
		*started = true
		x.sink.Begin(resp.Status, resp.Header, -1)
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
		if err := x.sink.Write(e.Raw); err != nil {
			return err
		}
		x.request.ResumeAfter = e.ID
	}
}

// copyResponse passes on a response that is not a stream.
func (x *call) copyResponse(resp *backend.Response) error {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err != nil {
		return errors.Wrap(backend.ErrIncomplete, err.Error())
	}
	return x.deliver(outcome{status: resp.Status, header: resp.Header, body: b})
}
