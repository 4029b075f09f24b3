// Package exchange makes HTTP exchanges with backend servers, each on its own
// connection, and reports whether any byte of the request was sent.
//
// Connections are never reused: an open connection may be dead without notice.
package exchange

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/transport"
)

// Time limits of an exchange.
const (
	// DialTimeout bounds the time to establish a connection.
	DialTimeout = time.Second
	// DefaultIOTimeout bounds each read and write unless WithIOTimeout sets
	// another bound.
	DefaultIOTimeout = 3 * time.Second

	// keepAliveInterval and keepAliveCount configure the kernel's TCP
	// keep-alive probes, which also detect a dead connection while a long
	// read timeout allows the server to send nothing.
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// NotRunHeader is set to "true" in a response by a server that has not started
// the request.
const NotRunHeader = "Request-Not-Run"

// Errors of an exchange.
var (
	// ErrCrashed is returned when the server has failed since the request was
	// sent to it.
	ErrCrashed = errors.New("exchange: server crashed")
	// ErrTruncated is returned when the request was sent, in part or completely,
	// but no complete response was received.
	ErrTruncated = errors.New("exchange: no complete response")
	// ErrNotSent is returned when no byte of the request was sent.
	ErrNotSent = errors.New("exchange: not sent")
	// ErrProtocol is returned when the response is not a valid response to
	// this request.
	ErrProtocol = errors.New("exchange: protocol violated")
	// ErrRefused is returned when the server reported that it did not start
	// the request.
	ErrRefused = errors.New("exchange: refused by server")
)

// Client makes exchanges. Use New. Its methods may be called from any
// goroutine.
type Client struct {
	dial      Dial
	transport *transport.Transport
}

// Dial connects to a server.
type Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// ioTimeoutKey is the context key of WithIOTimeout.
type ioTimeoutKey struct{}

// Option configures a Client.
type Option func(*Client)

// New returns a Client.
func New(options ...Option) *Client {
	c := &Client{dial: dialTCP}
	for _, o := range options {
		o(c)
	}
	c.transport = transport.New(c.connect, transport.WithoutReuse())
	return c
}

// WithDial makes the client connect with d.
func WithDial(d Dial) Option {
	return func(c *Client) { c.dial = d }
}

// WithIOTimeout returns a context that sets the timeout of each read and each
// write of an exchange.
func WithIOTimeout(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, ioTimeoutKey{}, d)
}

// Do sends r once, on a new connection. Its errors are ErrNotSent, ErrTruncated
// and ErrRefused. The response body must be closed; an error while reading it is
// equivalent to ErrTruncated.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	resp, err := c.transport.RoundTrip(r)
	if err != nil {
		return nil, classify(err)
	}
	if resp.Header.Get(NotRunHeader) == "true" {
		resp.Body.Close()
		return nil, errors.Wrapf(ErrRefused, "status %d", resp.StatusCode)
	}
	return resp, nil
}

// Listens reports whether the server may be listening. It returns false only if the
// server refuses connections, since an unreachable server may still run.
func (c *Client) Listens(ctx context.Context, to netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	n, err := c.dial(ctx, to)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	n.Close()
	return true
}

func (c *Client) connect(ctx context.Context, _, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "exchange: parse address")
	}
	timeout, ok := ctx.Value(ioTimeoutKey{}).(time.Duration)
	if !ok {
		timeout = DefaultIOTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	n, err := c.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n, timeout: timeout}, nil
}

func classify(err error) error {
	if errors.Is(err, transport.ErrNotSent) {
		return &Error{Kind: ErrNotSent, Cause: err}
	}
	return &Error{Kind: ErrTruncated, Cause: err}
}

func dialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveInterval,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}}
	return d.DialContext(ctx, "tcp", to.String())
}
