package forward

import (
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/admission"
)

// errNotInTime is the cause of the refusal of a request that would not be answered in time.
var errNotInTime = errors.New("forward: servers cannot answer in time")

// admit returns a refusal if the request would not be answered in time by what the servers
// report. It is nil for services whose servers do not report how fast they are.
func (c *call) admit() error {
	if c.fromPeer || c.throughPeer() {
		return nil
	}
	wait, ok := c.balancer.Wait(c.fleet.Servers().List, c.service)
	if !ok {
		return nil
	}
	r := admission.Request{Wait: wait, Left: time.Until(c.request.Deadline)}
	if !r.Refuse() {
		return nil
	}
	return refusal.NotRun(refusal.ReasonOverload, c.retryAt(), errNotInTime)
}

// retryAt returns when the caller of a request that found no free slot should retry.
func (c *call) retryAt() time.Time {
	now := time.Now()
	if !c.balancer.Reports(c.service) {
		return now.Add(retryAfterOverload)
	}
	r := admission.Request{Left: c.request.Deadline.Sub(now)}
	return now.Add(r.RetryAfter(c.balancer.Fraction()))
}
