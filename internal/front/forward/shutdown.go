package forward

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/control/shutdown"
)

// ShutDown makes the Forwarder begin only requests that a schedule allows, and answer at
// its AnswersAt those for which no response has begun.
func (f *Forwarder) ShutDown(s shutdown.Schedule) {
	f.shutdown.Store(&s)
	time.AfterFunc(time.Until(s.AnswersAt), func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		for c := range f.calls {
			if !c.begun.Load() {
				c.cancel(errShutDown)
			}
		}
	})
}

// begins returns the refusal of a request that arrives now and is answered by a time at the latest, if
// this daemon shuts down too soon for it; nil otherwise. Other daemons can take it at once.
func (f *Forwarder) begins(until time.Time) error {
	s := f.shutdown.Load()
	if s == nil || s.Begins(time.Now(), until) {
		return nil
	}
	return refusal.NotRun(refusal.ReasonDraining, time.Now(), errShutDown)
}

// admits is begins for a call about batch jobs, or a batch job that is submitted on a route. Its
// caller connects anew for each, and another daemon answers as well.
func (f *Forwarder) admits(r route.Route) error {
	if r.Kind != route.Batch {
		return nil
	}
	s := f.shutdown.Load()
	if s == nil {
		return nil
	}
	return f.begins(s.EndsAt)
}

// track records a request that runs, so that it is answered when this daemon shuts down. release must
// be called when it has ended.
func (c *call) track(ctx context.Context) (tracked context.Context, release func()) {
	ctx, c.cancel = context.WithCancelCause(ctx)
	f := c.Forwarder
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.calls == nil {
		f.calls = make(map[*call]struct{})
	}
	f.calls[c] = struct{}{}
	return ctx, func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		delete(f.calls, c)
		c.cancel(nil)
	}
}

// shutDownRefusal returns the refusal of a request that ended because this daemon shuts down, instead of
// one for its deadline.
func (c *call) shutDownRefusal(cause error) *refusal.Error {
	c.log.Info("request answered before its server, as this daemon shuts down", zap.String("Request", c.request.ID), zap.Bool("MayHaveRun", c.ran))
	if c.ran {
		return refusal.MayHaveRun(refusal.ReasonDraining, time.Time{}, cause)
	}
	return refusal.NotRun(refusal.ReasonDraining, time.Now(), cause)
}
