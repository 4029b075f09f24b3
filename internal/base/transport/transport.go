// Package transport sends HTTP requests. It is the only constructor of HTTP clients in the
// product: net/http repeats some requests on its own when a reused connection breaks, among
// them those that have an Idempotency-Key header and no body, whatever they do at the
// server. A Transport never does; whether to repeat a request is decided by its callers.
package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// maxUnusable is the maximum number of connections that are tried for one request as long as
// no byte of it is written.
const maxUnusable = 16

// ErrNotSent is returned when no byte of a request was written to a connection.
var ErrNotSent = errors.New("transport: not sent")

// errRepeated is the cause of the cancellation of a request that net/http repeats.
var errRepeated = errors.New("transport: repeated by net/http")

// Dial connects to an address, like net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Option configures a Transport.
type Option func(*http.Transport)

// Transport implements http.RoundTripper over HTTP/1.1 without TLS and without proxies. Its
// methods may be called from any goroutine. Use New.
type Transport struct {
	inner *http.Transport
}

// New returns a Transport that connects with d.
func New(d Dial, options ...Option) *Transport {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		DisableCompression: true,
		Protocols:          protocols,
	}
	for _, o := range options {
		o(t)
	}
	return &Transport{inner: t}
}

// WithBuffers sets the size of each connection's read and write buffers, in bytes.
func WithBuffers(size int) Option {
	return func(t *http.Transport) { t.ReadBufferSize, t.WriteBufferSize = size, size }
}

// WithHeaderLimit bounds the status line and header of a response, in bytes.
func WithHeaderLimit(size int64) Option {
	return func(t *http.Transport) { t.MaxResponseHeaderBytes = size }
}

// WithIdle keeps up to n idle connections to an address open, each for a time.
func WithIdle(n int, d time.Duration) Option {
	return func(t *http.Transport) { t.MaxIdleConnsPerHost, t.IdleConnTimeout = n, d }
}

// WithoutReuse sends each request on a connection of its own.
func WithoutReuse() Option {
	return func(t *http.Transport) { t.DisableKeepAlives = true }
}

// CloseIdleConnections closes the connections on which no request runs.
func (t *Transport) CloseIdleConnections() {
	t.inner.CloseIdleConnections()
}

// Do is RoundTrip under the name that connect clients use. It follows no redirects.
func (t *Transport) Do(r *http.Request) (*http.Response, error) {
	return t.RoundTrip(r)
}

// RoundTrip sends a request at most once. Its errors wrap ErrNotSent if the request was
// not sent; all others, among them ErrInvalid, mean that the receiver may have acted on it.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, _, err := t.send(r, 0)
	return resp, err
}

// Send is RoundTrip for the request with an ID that its response repeats. It uses only
// connections that have not carried that ID before, as a late copy of the response to an
// earlier attempt could not be told from the response to this one. discard closes the
// connection after the response; it must be called if the response belongs to another
// request.
func (t *Transport) Send(r *http.Request, id string) (resp *http.Response, discard func(), err error) {
	resp, c, err := t.send(r, max(1, xxhash.Sum64String(id)))
	return resp, func() {
		if c != nil {
			_ = c.Close()
		}
	}, err
}

// send sends a request on a connection that has not carried id, if that is not 0. It tries
// another connection as long as nothing was written.
func (t *Transport) send(r *http.Request, id uint64) (*http.Response, *conn, error) {
	var err error
	for range maxUnusable {
		e := &exchange{id: id}
		var resp *http.Response
		resp, err = e.roundTrip(t.inner, r)
		if err == nil {
			return e.accept(resp)
		}
		if !e.unsent() {
			return nil, nil, err
		}
		if !e.reused || r.Context().Err() != nil || r.Body != nil && r.Body != http.NoBody && r.GetBody == nil {
			break
		}
		if r.GetBody != nil {
			body, bodyErr := r.GetBody()
			if bodyErr != nil {
				break
			}
			repeated := *r
			repeated.Body = body
			r = &repeated
		}
	}
	return nil, nil, &notSentError{cause: err}
}

// exchange is one call of net/http's RoundTrip, which may take several connections.
type exchange struct {
	id     uint64
	cancel context.CancelCauseFunc

	mutex sync.Mutex
	// conn and use are the last connection taken and its use by this exchange; nil if none.
	conn   *conn
	use    *use
	reused bool
}

// accept returns a response and its connection. It closes both if the response is invalid.
func (e *exchange) accept(r *http.Response) (*http.Response, *conn, error) {
	if err := validate(r, e.conn.headOf(e.use)); err != nil {
		_ = e.conn.Close()
		_ = r.Body.Close()
		return nil, nil, err
	}
	return r, e.conn, nil
}

func (e *exchange) roundTrip(t *http.Transport, r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	e.cancel = cancel
	traced := r.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: e.take}))
	traced.GetBody = nil
	resp, err := t.RoundTrip(traced)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	// The context must last as long as the body is read.
	resp.Body = &body{ReadCloser: resp.Body, cancel: cancel}
	return resp, nil
}

// take begins the use of a connection, before anything is written to it. The connection
// is closed if the request may have been written to an earlier one, or if it has carried the
// request before.
func (e *exchange) take(i httptrace.GotConnInfo) {
	c, ok := i.Conn.(*conn)
	if !ok {
		// Connections are made by New's dial only.
		i.Conn.Close()
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.conn != nil && !e.conn.seal(e.use) {
		_ = c.Close()
		e.cancel(errRepeated)
		return
	}
	e.conn, e.reused = c, i.Reused
	e.use = c.begin(e.id)
}

// unsent reports whether nothing was written. If so, nothing will be.
func (e *exchange) unsent() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.conn == nil || e.conn.seal(e.use)
}

// body is a response's body that releases the context when it is closed.
type body struct {
	io.ReadCloser

	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

// notSentError is ErrNotSent with its cause.
type notSentError struct {
	cause error
}

// Error implements error.
func (e *notSentError) Error() string {
	return ErrNotSent.Error() + ": " + e.cause.Error()
}

// Is makes the error match ErrNotSent.
func (e *notSentError) Is(target error) bool {
	return target == ErrNotSent
}

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error {
	return e.cause
}
