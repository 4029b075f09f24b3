package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
)

// refusal returns the error for a request without a response.
func (c *call) refusal(ctx context.Context, cause error) *refusal.Error {
	over := ctx.Err() != nil
	if errors.Is(context.Cause(ctx), errShutDown) {
		return c.shutDownRefusal(cause)
	}
	switch {
	case !c.ran && !over && c.refusedByPeer != nil:
		return c.refusedByPeer
	case !c.ran && over:
		return refusal.NotRun(refusal.ReasonDeadline, time.Time{}, cause)
	case !c.ran && c.limited > 0:
		return refusal.NotRun(refusal.ReasonOverload, time.Now().Add(max(retryAfterOverload, c.limitDelay())), cause)
	case !c.ran && c.refused:
		return refusal.NotRun(refusal.ReasonOverload, c.retryAt(), cause)
	case !c.ran && c.evacuated():
		return refusal.NotRun(refusal.ReasonEvacuated, time.Now().Add(retryAfterEvacuated), cause)
	case !c.ran && c.excludedByRegion():
		return refusal.NotRun(refusal.ReasonHome, time.Now().Add(retryAfterEvacuated), cause)
	case !c.ran:
		return refusal.NotRun(refusal.ReasonNoServer, time.Now().Add(retryAfterUnavailable), cause)
	case over:
		return refusal.MayHaveRun(refusal.ReasonDeadline, time.Time{}, cause)
	}
	return refusal.MayHaveRun(refusal.ReasonConnectionLost, time.Time{}, cause)
}

// limitDelay returns the time until this daemon may send a request to a server of the
// service that limits its rate.
func (c *call) limitDelay() time.Duration {
	return c.balancer.ShortestDelay(c.fleet.Servers().List, c.service)
}
