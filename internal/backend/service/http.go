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

// HTTP is a Service over HTTP. Use NewHTTP.
type HTTP struct {
	client *exchange.Client
}

// NewHTTP returns a Service. A nil client has the defaults.
func NewHTTP(client *exchange.Client) *HTTP {
	if client == nil {
		client = exchange.New()
	}
	return &HTTP{client: client}
}

// Do implements Service.
func (h *HTTP) Do(ctx context.Context, to netip.AddrPort, r Request) (Answer, error) {
	q, err := build(ctx, to, r)
	if err != nil {
		return Answer{}, errors.Wrap(ErrNotSent, err.Error())
	}
	a, err := h.client.Do(q)
	if err != nil {
		return Answer{}, h.explain(ctx, to, err)
	}
	if err := check(a, r); err != nil {
		a.Body.Close()
		return Answer{}, err
	}
	answer, err := read(a)
	if err != nil {
		a.Body.Close()
		return Answer{}, h.explain(ctx, to, err)
	}
	return answer, nil
}

// explain turns ErrCut into ErrCrashed when the server refuses connections.
func (h *HTTP) explain(ctx context.Context, to netip.AddrPort, err error) error {
	if !errors.Is(err, ErrCut) || ctx.Err() != nil || h.client.Listens(ctx, to) {
		return err
	}
	return errors.Wrap(ErrCrashed, err.Error())
}

func build(ctx context.Context, to netip.AddrPort, r Request) (*http.Request, error) {
	path, err := url.PathUnescape(r.Path)
	if err != nil {
		return nil, errors.Wrap(err, "service: path")
	}
	u := url.URL{Scheme: "http", Host: to.String(), Path: path, RawPath: r.Path, RawQuery: r.RawQuery}
	q, err := http.NewRequestWithContext(ctx, r.Method, u.String(), bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(err, "service: request")
	}
	for k, v := range r.Header {
		q.Header[k] = v
	}
	if _, ok := q.Header["User-Agent"]; !ok {
		// The library would else add its own.
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

// check refuses an answer that echoes another attempt, and one that ends with
// its connection: a cut could not be told from its end.
func check(a *http.Response, r Request) error {
	if e := a.Header.Get(AttemptHeader); e != "" && e != r.Attempt {
		return errors.Wrap(ErrProtocol, "answer to another attempt")
	}
	if a.ContentLength < 0 && len(a.TransferEncoding) == 0 && r.Method != http.MethodHead {
		return errors.Wrap(ErrProtocol, "answer without a length")
	}
	return nil
}

func read(a *http.Response) (Answer, error) {
	x := Answer{Status: a.StatusCode, Header: a.Header}
	if streams(a) {
		x.Rest = a.Body
		return x, nil
	}
	b, err := io.ReadAll(io.LimitReader(a.Body, BufferLimit))
	if err != nil {
		return Answer{}, errors.Wrap(ErrCut, err.Error())
	}
	x.Body = b
	if len(b) == BufferLimit {
		x.Rest = a.Body
		return x, nil
	}
	return x, a.Body.Close()
}
