// Package rest carries typed calls to the platform's services: JSON bodies
// with Pascal case names over HTTP.
package rest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Errors of a call.
var (
	// ErrUnavailable says that the service did not take the call: nothing was
	// changed.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown says that no answer came: the call may have taken effect.
	ErrUnknown = errors.New("platform: outcome unknown")
)

const (
	dialTimeout = 2 * time.Second
	idleTimeout = 2 * time.Second
	// maxBody bounds a request and an answer, in bytes.
	maxBody = 64 << 20
)

// Client calls one service. Its methods may be called from any goroutine.
//
// Every call of the platform's services is idempotent, so that it does no harm
// when the HTTP library sends one again on a new connection.
type Client struct {
	base  string
	plain *http.Client
	// guarded opens a connection for each call, so that a guard belongs to
	// exactly one call.
	guarded *http.Client
	// known are the sentinels that an answer may name.
	known []error
}

// New returns a client of the service at an address. known lists the
// sentinels that the service answers with.
func New(at netip.AddrPort, known ...error) *Client {
	return &Client{
		base:    "http://" + at.String(),
		plain:   &http.Client{Transport: newTransport(false)},
		guarded: &http.Client{Transport: newTransport(true)},
		known:   known,
	}
}

// Call sends request to a path and decodes the answer into response, which may
// be nil. Its errors are ErrUnavailable, ErrUnknown, ErrGuarded and the
// client's sentinels.
func (c *Client) Call(ctx context.Context, path string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	guard := newGuardState(ctx)
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	ctx = httptrace.WithClientTrace(guard.with(ctx), trace)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := c.client(guard).Do(r)
	if err != nil {
		return c.failure(err, connected, guard)
	}
	defer answer.Body.Close()
	return c.decode(answer, response)
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.plain.CloseIdleConnections()
	c.guarded.CloseIdleConnections()
}

func (c *Client) client(g *guardState) *http.Client {
	if g.check != nil {
		return c.guarded
	}
	return c.plain
}

func (c *Client) decode(answer *http.Response, response any) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBody))
	if err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	if answer.StatusCode == http.StatusServiceUnavailable {
		return ErrUnavailable
	}
	if answer.StatusCode != http.StatusOK {
		return c.named(answer.StatusCode, body)
	}
	if response == nil {
		return nil
	}
	if err := json.Unmarshal(body, response); err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	return nil
}

func (c *Client) failure(err error, connected bool, g *guardState) error {
	if g.stopped.Load() {
		return errors.Wrap(ErrGuarded, err.Error())
	}
	if !connected {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return errors.Wrap(ErrUnknown, err.Error())
}

func (c *Client) named(status int, body []byte) error {
	var f failure
	if err := json.Unmarshal(body, &f); err == nil {
		for _, k := range c.known {
			if f.Error == k.Error() {
				return k
			}
		}
	}
	return errors.Wrapf(ErrUnknown, "status %d", status)
}

// failure is the body of an answer that is not OK.
type failure struct {
	// Error is the text of a sentinel.
	Error string
}

func newTransport(fresh bool) *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil || !fresh {
				return c, err
			}
			return newGuardedConn(c, guardOf(ctx)), nil
		},
		DisableKeepAlives:   fresh,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: 32,
	}
}
