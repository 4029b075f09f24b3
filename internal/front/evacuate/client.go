// Package evacuate keeps requests away from the servers of failure domains that the operators
// evacuate. The choice of a server skips them already; Client checks again right before a
// request is sent, as an evacuation may begin while the request waits.
package evacuate

import (
	"context"

	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
)

// Fleet returns the failure domains that are evacuated.
type Fleet interface {
	Evacuated() set.Set[string]
}

// Client is a backend.Client that sends nothing to servers in evacuated failure domains. Its
// errors may wrap backend.ErrEvacuated.
type Client struct {
	inner backend.Client
	fleet Fleet
}

// NewClient returns a Client that sends requests through another one, which must not wait
// before it sends them.
func NewClient(c backend.Client, f Fleet) *Client {
	return &Client{inner: c, fleet: f}
}

// Do implements backend.Client.
func (c *Client) Do(ctx context.Context, s backend.Server, r backend.Request) (*backend.Response, error) {
	if err := c.check(s); err != nil {
		return nil, err
	}
	return c.inner.Do(ctx, s, r)
}

// QueryStatus implements backend.Client.
func (c *Client) QueryStatus(ctx context.Context, s backend.Server) (backend.Status, error) {
	if err := c.check(s); err != nil {
		return backend.Status{}, err
	}
	return c.inner.QueryStatus(ctx, s)
}

// SendOrder implements backend.Client.
func (c *Client) SendOrder(ctx context.Context, s backend.Server, o backend.Order) (backend.Outcome, error) {
	if err := c.check(s); err != nil {
		return backend.Refused, err
	}
	return c.inner.SendOrder(ctx, s, o)
}

func (c *Client) check(s backend.Server) error {
	if c.fleet.Evacuated().Contains(s.Domain) {
		return backend.ErrEvacuated
	}
	return nil
}
