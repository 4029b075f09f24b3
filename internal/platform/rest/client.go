// Package rest implements typed calls to the platform's services: JSON over HTTP
// with Pascal case field names.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/transport"
)

// Errors of a call.
var (
	// ErrUnavailable is returned when the service did not accept the call:
	// nothing was changed.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown is returned when no valid response was received: the call
	// may have taken effect.
	ErrUnknown = errors.New("platform: outcome unknown")
)

const (
	dialTimeout = 2 * time.Second
	idleTimeout = 2 * time.Second
	// maxIdleConnections is the number of idle connections kept open.
	maxIdleConnections = 32
	// maxBody bounds the body of a request or response, in bytes.
	maxBody = 64 << 20
)

// Client calls one service. Its methods may be called from any goroutine.
type Client struct {
	base  string
	plain *transport.Transport
	// guarded opens a new connection for each call, so that a guard applies
	// to exactly one call.
	guarded *transport.Transport
	// sentinels are the errors that a response may contain, as their text.
	sentinels []error
}

// New returns a client of the service at an address. sentinels lists the errors
// that the service may return.
func New(at netip.AddrPort, sentinels ...error) *Client {
	return &Client{
		base:      "http://" + at.String(),
		plain:     newTransport(false),
		guarded:   newTransport(true),
		sentinels: sentinels,
	}
}

// Call sends request to a path and decodes the response body into response,
// which may be nil. Its errors are ErrUnavailable, ErrUnknown, ErrGuarded and the
// client's sentinels.
func (c *Client) Call(ctx context.Context, path string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	guard := newGuardState(ctx)
	r, err := http.NewRequestWithContext(guard.with(ctx), http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.client(guard).Do(r)
	if err != nil {
		return callError(err, guard)
	}
	defer resp.Body.Close()
	return c.decode(resp, response)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.plain.CloseIdleConnections()
	c.guarded.CloseIdleConnections()
}

func (c *Client) client(g *guardState) *transport.Transport {
	if g.check != nil {
		return c.guarded
	}
	return c.plain
}

func (c *Client) decode(r *http.Response, response any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	if r.StatusCode == http.StatusServiceUnavailable {
		return ErrUnavailable
	}
	if r.StatusCode != http.StatusOK {
		return c.responseError(r.StatusCode, body)
	}
	if response == nil {
		return nil
	}
	if err := json.Unmarshal(body, response); err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	return nil
}

func callError(err error, g *guardState) error {
	if g.refused.Load() {
		return errors.Wrap(ErrGuarded, err.Error())
	}
	if errors.Is(err, transport.ErrNotSent) {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return errors.Wrap(ErrUnknown, err.Error())
}

func (c *Client) responseError(status int, body []byte) error {
	var e errorBody
	if err := json.Unmarshal(body, &e); err == nil {
		for _, s := range c.sentinels {
			if e.Error == s.Error() {
				return s
			}
		}
	}
	return errors.Wrapf(ErrUnknown, "status %d", status)
}

// errorBody is the body of a response with a status other than 200.
type errorBody struct {
	// Error is the text of a sentinel error.
	Error string
}

func newTransport(fresh bool) *transport.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	if !fresh {
		return transport.New(d.DialContext, transport.WithIdle(maxIdleConnections, idleTimeout))
	}
	return transport.New(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newGuardedConn(c, guardOf(ctx)), nil
	}, transport.WithoutReuse())
}
