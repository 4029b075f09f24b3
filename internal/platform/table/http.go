package table

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

// Paths of the table service.
const (
	PathCommit = "/table/commit"
	PathRead   = "/table/read"
	PathScan   = "/table/scan"
)

const (
	defaultDialTimeout = 500 * time.Millisecond
	defaultCallTimeout = 2 * time.Second
	// idleTimeout is short, so that a commit is rarely sent on a connection
	// that is dead without notice.
	idleTimeout = 2 * time.Second
	// maxResponseBytes bounds the body of one response.
	maxResponseBytes = 16 << 20
	// maxIdleConnections bounds the connections kept open.
	maxIdleConnections = 8
)

// HTTP is a Table over the service's HTTP interface. Its methods may be called
// from any goroutine. Use NewHTTP.
type HTTP struct {
	// base is the URL of the service, without a path.
	base string
	// callTimeout bounds one call, including the dial.
	callTimeout time.Duration
	client      *transport.Transport
}

// HTTPOption configures an HTTP.
type HTTPOption func(*HTTP)

// ReadRequest is the request body of a read.
type ReadRequest struct {
	Keys []Key
}

// RowsResponse is the response body of a read or a scan.
type RowsResponse struct {
	Rows []Row
}

// ScanRequest is the request body of a scan.
type ScanRequest struct {
	Prefix Key
	After  Key
	Limit  int
}

// NewHTTP returns a client of the service at a.
func NewHTTP(a netip.AddrPort, options ...HTTPOption) *HTTP {
	h := &HTTP{base: "http://" + a.String(), callTimeout: defaultCallTimeout}
	d := net.Dialer{Timeout: defaultDialTimeout}
	h.client = transport.New(d.DialContext, transport.WithIdle(maxIdleConnections, idleTimeout))
	for _, o := range options {
		o(h)
	}
	return h
}

// WithCallTimeout bounds each call.
func WithCallTimeout(d time.Duration) HTTPOption {
	return func(h *HTTP) { h.callTimeout = d }
}

// Close closes idle connections.
func (h *HTTP) Close() {
	h.client.CloseIdleConnections()
}

// Commit implements Table.
func (h *HTTP) Commit(ctx context.Context, t Txn) error {
	status, _, sent, err := h.call(ctx, PathCommit, t)
	if err != nil && !sent {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	if err != nil {
		return errors.Wrap(ErrUnknown, err.Error())
	}
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrConflict
	case http.StatusBadRequest:
		return ErrInvalid
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	}
	return errors.Wrapf(ErrUnknown, "status %d", status)
}

// Read implements Table.
func (h *HTTP) Read(ctx context.Context, keys ...Key) ([]Row, error) {
	rows, err := h.rows(ctx, PathRead, ReadRequest{Keys: keys})
	if err != nil {
		return nil, err
	}
	if len(rows) != len(keys) {
		return nil, errors.Wrap(ErrUnavailable, "response does not match the keys")
	}
	for i, k := range keys {
		if rows[i].Key != k {
			return nil, errors.Wrap(ErrUnavailable, "response does not match the keys")
		}
	}
	return rows, nil
}

// Scan implements Table.
func (h *HTTP) Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	return h.rows(ctx, PathScan, ScanRequest{Prefix: prefix, After: after, Limit: limit})
}

// call posts request and returns the status and body of the response. When it
// fails, sent reports whether a byte of the request may have been sent. If not, the service
// has not received the call.
func (h *HTTP) call(ctx context.Context, path string, request any) (status int, body []byte, sent bool, err error) {
	b, err := json.Marshal(request)
	if err != nil {
		return 0, nil, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, h.callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, h.base+path, bytes.NewReader(b))
	if err != nil {
		return 0, nil, false, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := h.client.RoundTrip(r)
	if err != nil {
		return 0, nil, !errors.Is(err, transport.ErrNotSent), err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, body, true, err
}

func (h *HTTP) rows(ctx context.Context, path string, request any) ([]Row, error) {
	status, body, _, err := h.call(ctx, path, request)
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	if status == http.StatusBadRequest {
		return nil, ErrInvalid
	}
	if status != http.StatusOK {
		return nil, errors.Wrapf(ErrUnavailable, "status %d", status)
	}
	var r RowsResponse
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	return r.Rows, nil
}
