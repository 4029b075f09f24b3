package throttle

import (
	"context"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
)

// Client is a backend.Client whose requests keep to the rates that servers allow. All
// requests to servers go through it. Its errors may wrap backend.ErrLimited.
type Client struct {
	inner  backend.Client
	limits *Limits
}

// NewClient returns a Client that sends requests through another one.
func NewClient(c backend.Client, l *Limits) *Client {
	return &Client{inner: c, limits: l}
}

// Do implements backend.Client. It waits for a slot until r.SendBy.
func (c *Client) Do(ctx context.Context, s backend.Server, r backend.Request) (*backend.Response, error) {
	if err := c.limits.Admit(ctx, s, r.SendBy); err != nil {
		return nil, notSent(err)
	}
	resp, err := c.inner.Do(ctx, s, r)
	if errors.Is(err, backend.ErrDown) {
		c.limits.recordDown(s)
	}
	return resp, err
}

// QueryStatus implements backend.Client.
func (c *Client) QueryStatus(ctx context.Context, s backend.Server) (backend.Status, error) {
	if !c.limits.AdmitExempt(s) {
		return backend.Status{}, backend.ErrLimited
	}
	return c.inner.QueryStatus(ctx, s)
}

// SendOrder implements backend.Client.
func (c *Client) SendOrder(ctx context.Context, s backend.Server, o backend.Order) (backend.Outcome, error) {
	if !c.limits.AdmitExempt(s) {
		return backend.Refused, backend.ErrLimited
	}
	return c.inner.SendOrder(ctx, s, o)
}

// notSent returns an error for a request that was not sent. It wraps backend.ErrNotSent.
func notSent(err error) error {
	if errors.Is(err, backend.ErrNotSent) {
		return err
	}
	return errors.Wrap(backend.ErrNotSent, err.Error())
}
