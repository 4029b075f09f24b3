// Package exchange makes HTTP exchanges with backend servers, each on a
// connection of its own, and tells whether a byte of the request left.
//
// A connection is never used twice: an open connection may have gone silent for
// good, and the HTTP library repeats requests on connections that it reuses.
package exchange

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Time limits of an exchange.
const (
	// DialTimeout bounds the making of a connection.
	DialTimeout = time.Second
	// Patience bounds the silence of a server when WithPatience does not.
	Patience = 3 * time.Second

	// keepAliveInterval and keepAliveCount are of the kernel's probes, which
	// find a connection that the network has lost track of also while its
	// server is allowed to be silent.
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// NotRunHeader is set to "true" by a server on an answer that states that it
// has not begun the request.
const NotRunHeader = "Request-Not-Run"

// Errors of an exchange.
var (
	// ErrCrashed says that the server has failed since it was sent the
	// request.
	ErrCrashed = errors.New("exchange: server crashed")
	// ErrCut says that the request was sent, in part or whole, and that no
	// whole answer came.
	ErrCut = errors.New("exchange: answer cut")
	// ErrNotSent says that no byte of the request was sent.
	ErrNotSent = errors.New("exchange: not sent")
	// ErrProtocol says that the answer is not one to this request.
	ErrProtocol = errors.New("exchange: protocol violated")
	// ErrRefused says that the server stated that it did not begin the
	// request.
	ErrRefused = errors.New("exchange: refused by server")
)

// Client makes exchanges. Use New. Its methods may be called from any
// goroutine.
type Client struct {
	dial      Dial
	transport *http.Transport
}

// Dial makes a connection to a server.
type Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// patienceKey is the key of WithPatience's value.
type patienceKey struct{}

// Option changes a Client.
type Option func(*Client)

// New returns a Client.
func New(options ...Option) *Client {
	c := &Client{dial: dialTCP}
	for _, o := range options {
		o(c)
	}
	c.transport = &http.Transport{
		DialContext:        c.connect,
		DisableCompression: true,
		DisableKeepAlives:  true,
		Protocols:          http1(),
	}
	return c
}

// WithDial makes connections by d.
func WithDial(d Dial) Option {
	return func(c *Client) { c.dial = d }
}

// WithPatience bounds the silence of the server, between two reads, in an
// exchange with the returned context.
func WithPatience(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, patienceKey{}, d)
}

// Do sends r once, on a new connection. Its errors are ErrNotSent, ErrCut and
// ErrRefused. The body of the answer must be closed; an error in reading it is
// to be taken as ErrCut.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	var used atomic.Pointer[conn]
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if n, ok := i.Conn.(*conn); ok {
			used.Store(n)
		}
	}}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	r.GetBody = nil
	a, err := c.transport.RoundTrip(r)
	if err != nil {
		return nil, classify(used.Load(), err)
	}
	if a.Header.Get(NotRunHeader) == "true" {
		a.Body.Close()
		return nil, errors.Wrapf(ErrRefused, "status %d", a.StatusCode)
	}
	return a, nil
}

// Listens reports whether the server takes connections. Only one that refuses
// them does not: a server that can't be reached may still run.
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
		return nil, errors.Wrap(err, "exchange: address")
	}
	patience, ok := ctx.Value(patienceKey{}).(time.Duration)
	if !ok {
		patience = Patience
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	n, err := c.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n, patience: patience}, nil
}

func classify(n *conn, err error) error {
	if n == nil || n.seal() {
		return &Error{Kind: ErrNotSent, Cause: err}
	}
	return &Error{Kind: ErrCut, Cause: err}
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

func http1() *http.Protocols {
	var p http.Protocols
	p.SetHTTP1(true)
	return &p
}
