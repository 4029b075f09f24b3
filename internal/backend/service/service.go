// Package service speaks to plain services over HTTP.
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
	// AttemptHeader names the attempt; a service may echo it.
	AttemptHeader = "Attempt-Id"
	// RequestHeader names the request, the same in all its attempts.
	RequestHeader = "Request-Id"
	// WorkspaceHeader names the workspace that the request runs for.
	WorkspaceHeader = "Lacewingtally-Workspace"
)

// BufferLimit bounds the part of an answer that is read before any of it is
// given on, in bytes.
const BufferLimit = 1 << 20

// Errors of a Service.
var (
	// ErrCrashed says that the server failed while it ran the request.
	ErrCrashed = exchange.ErrCrashed
	// ErrCut says that no whole answer came.
	ErrCut = exchange.ErrCut
	// ErrNotSent says that no byte of the request was sent.
	ErrNotSent = exchange.ErrNotSent
	// ErrProtocol says that the answer is not one to this attempt, or that
	// its end cannot be told.
	ErrProtocol = exchange.ErrProtocol
	// ErrRefused says that the server stated that it did not begin.
	ErrRefused = exchange.ErrRefused
)

// Answer is the answer of a service.
type Answer struct {
	Status int
	Header http.Header
	// Body is the whole body, or its first part when Rest is set.
	Body []byte
	// Rest is nil for an answer that was received whole; else it must be
	// closed, and an error in reading it means that the answer was cut.
	Rest io.ReadCloser
}

// Request is one attempt of a request.
type Request struct {
	ID        fleet.RequestID
	Attempt   string
	Workspace fleet.Workspace
	Method    string
	// Path is in its escaped form.
	Path     string
	RawQuery string
	// Header holds no credentials and nothing that concerns one connection.
	Header http.Header
	Body   []byte
}

// Service sends requests to the servers of plain services. Its method may be
// called from any goroutine.
type Service interface {
	// Do sends one attempt, once. Its errors tell apart ErrNotSent,
	// ErrRefused, ErrCut, ErrCrashed and ErrProtocol.
	Do(ctx context.Context, to netip.AddrPort, r Request) (Answer, error)
}

// streams reports whether the answer is made to be read as it comes.
func streams(a *http.Response) bool {
	return strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}
