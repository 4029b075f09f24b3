package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/backend/exchange"
)

// HTTP implements Service. Use NewHTTP.
type HTTP struct {
	client *exchange.Client
}

// NewHTTP returns an HTTP. If client is nil, a client with default options is
// used.
func NewHTTP(client *exchange.Client) *HTTP {
	if client == nil {
		client = exchange.New()
	}
	return &HTTP{client: client}
}

// Do implements Service.
func (h *HTTP) Do(ctx context.Context, to netip.AddrPort, r Request) (Response, error) {
	q, err := newRequest(ctx, to, r)
	if err != nil {
		return Response{}, errors.Wrap(ErrNotSent, err.Error())
	}
	resp, err := h.client.Do(q)
	if err != nil {
		return Response{}, h.detectCrash(ctx, to, err)
	}
	if err := checkResponse(resp, r); err != nil {
		resp.Body.Close()
		return Response{}, err
	}
	x, err := readResponse(resp)
	if err != nil {
		resp.Body.Close()
		return Response{}, h.detectCrash(ctx, to, err)
	}
	return x, nil
}

// detectCrash replaces ErrTruncated by ErrCrashed when the server refuses
// connections.
func (h *HTTP) detectCrash(ctx context.Context, to netip.AddrPort, err error) error {
	if !errors.Is(err, ErrTruncated) || ctx.Err() != nil || h.client.Listens(ctx, to) {
		return err
	}
	return errors.Wrap(ErrCrashed, err.Error())
}

func newRequest(ctx context.Context, to netip.AddrPort, r Request) (*http.Request, error) {
	path, err := url.PathUnescape(r.Path)
	if err != nil {
		return nil, errors.Wrap(err, "service: parse path")
	}
	u := url.URL{Scheme: "http", Host: to.String(), Path: path, RawPath: r.Path, RawQuery: r.RawQuery}
	q, err := http.NewRequestWithContext(ctx, r.Method, u.String(), bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(err, "service: create request")
	}
	for k, v := range r.Header {
		q.Header[k] = v
	}
	if _, ok := q.Header["User-Agent"]; !ok {
		// Keeps net/http from adding its own.
		q.Header["User-Agent"] = nil
	}
	q.Header.Set(AttemptHeader, r.Attempt)
	q.Header.Set(RequestHeader, string(r.ID))
	q.Header.Del(WorkspaceHeader)
	if r.Workspace != "" {
		q.Header.Set(WorkspaceHeader, string(r.Workspace))
	}
	return q, nil
}

// checkResponse rejects a response that echoes another attempt, and one whose
// end is marked only by the end of the connection: it could not be distinguished
// from a truncated one.
func checkResponse(resp *http.Response, r Request) error {
	if e := resp.Header.Get(AttemptHeader); e != "" && e != r.Attempt {
		return errors.Wrap(ErrProtocol, "response to another attempt")
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && r.Method != http.MethodHead {
		return errors.Wrap(ErrProtocol, "response has neither a length nor chunked encoding")
	}
	return nil
}

func readResponse(resp *http.Response) (Response, error) {
	x := Response{Status: resp.StatusCode, Header: resp.Header}
	if isStream(resp) {
		x.Rest = resp.Body
		return x, nil
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, BufferLimit))
	if err != nil {
		return Response{}, errors.Wrap(ErrTruncated, err.Error())
	}
	x.Body = b
	if len(b) == BufferLimit {
		x.Rest = resp.Body
		return x, nil
	}
	return x, resp.Body.Close()
}
