// Package service is a client for plain HTTP services.
package service

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"

	"github.com/lacewingtally/lacewingtally/internal/backend/exchange"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
)

// Headers of a request to a service.
const (
	// AttemptHeader identifies the attempt; a service may echo it.
	AttemptHeader = "Attempt-Id"
	// RequestHeader identifies the request; it is the same in all attempts.
	RequestHeader = "Request-Id"
	// WorkspaceHeader names the workspace that the request runs for.
	WorkspaceHeader = "Lacewingtally-Workspace"
)

// BufferLimit bounds the part of a response that is read before any of it is
// forwarded, in bytes.
const BufferLimit = 1 << 20

// Errors of a Service.
var (
	// ErrCrashed is returned when the server failed while it ran the request.
	ErrCrashed = exchange.ErrCrashed
	// ErrTruncated is returned when the request was sent, in part or completely,
	// but no complete response was received.
	ErrTruncated = exchange.ErrTruncated
	// ErrNotSent is returned when no byte of the request was sent.
	ErrNotSent = exchange.ErrNotSent
	// ErrProtocol is returned when the response belongs to another attempt,
	// or when its end cannot be determined.
	ErrProtocol = exchange.ErrProtocol
	// ErrRefused is returned when the server reported that it did not start
	// the request.
	ErrRefused = exchange.ErrRefused
)

// Response is the response of a service.
type Response struct {
	Status int
	Header http.Header
	// Body is the complete body, or its first part when Rest is set.
	Body []byte
	// Rest is the remainder of the body. It is nil for a response that was
	// received completely; otherwise it must be closed, and an error while
	// reading it means that the response was truncated.
	Rest io.ReadCloser
}

// Request is one attempt of a request.
type Request struct {
	ID        fleet.RequestID
	Attempt   string
	Workspace fleet.Workspace
	Method    string
	// Path is in escaped form.
	Path     string
	RawQuery string
	// Header contains no credentials and no hop-by-hop headers.
	Header http.Header
	Body   []byte
}

// Service sends requests to the backend servers of plain services. Its method
// may be called from any goroutine.
type Service interface {
	// Do sends one attempt, once. Its errors are ErrNotSent, ErrRefused,
	// ErrTruncated, ErrCrashed and ErrProtocol.
	Do(ctx context.Context, to netip.AddrPort, r Request) (Response, error)
}

// isStream reports whether the response is an event stream, which is to be read
// as it arrives.
func isStream(a *http.Response) bool {
	return strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}
