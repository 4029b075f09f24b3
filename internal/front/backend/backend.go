// Package backend is the interface to backend servers: what is known of each,
// requests to them, and orders that change the weights they serve.
package backend

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Client.
var (
	// ErrNotSent says that no byte of a request left: it has not run.
	ErrNotSent = errors.New("backend: not sent")
	// ErrCut says that a request may have run and no whole answer came.
	ErrCut = errors.New("backend: answer cut")
)

// Server is a backend server as the directory describes it.
type Server struct {
	// ID is unique for one server; a restarted one may keep it.
	ID      string
	Service string
	Address netip.AddrPort
	Domain  string
	Slots   int
	// Draining is set once the server has announced that it leaves.
	Draining bool
	// LeavesAt is when the server ends, if it said so; else zero.
	LeavesAt time.Time
	// BornAt is the server's start.
	BornAt time.Time
	// Spot tells servers that the platform may take back.
	Spot bool
	// Weights gives the version of each model.
	Weights map[string]int
	// Orders counts the orders that the server accepted since its start.
	Orders int
}

// Incarnation names one run of a server, for what is known of it must be
// forgotten when it starts again.
func (s Server) Incarnation() string {
	return s.ID + "@" + strconv.FormatInt(s.BornAt.UnixMilli(), 36)
}

// Request is one attempt of a request to one server.
type Request struct {
	ID     string
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Workspace is empty on open routes.
	Workspace string
	// Urgency is 0 (first) to 9; it is sent only if HasUrgency is set.
	Urgency    int
	HasUrgency bool
	// ResumeAfter is the last event received; 0 starts at the beginning.
	ResumeAfter int
}

// Response is a server's answer. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body in bytes, or -1.
	Length int64
	// NotRun is whether the server states that it has not run the request.
	NotRun bool
	// Weights is the version of the weights that run the request; 0 if unknown.
	Weights int
	// Load is what the server says of its load, if Known.
	Load Load
	// NewWeights returns the version named by the fields of an event at which
	// the weights change.
	NewWeights func(fields map[string]string) (version int, ok bool)
}

// Load is a server's account of its load.
type Load struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
}

// Order asks a server to load a version of a model's weights.
type Order struct {
	Model   string
	Version int
	// FinishRuns has the server finish its runs first; else it ends their
	// streams.
	FinishRuns bool
	// Holder and Fence identify who gives the order.
	Holder string
	Fence  int64
	// Expected is the number of orders that the server must have accepted.
	Expected int
}

// Outcome is a server's answer to an order.
type Outcome uint8

// Outcomes of an Order.
const (
	// Refused means that the order is not carried out.
	Refused Outcome = iota
	// Accepted means that the order is being carried out.
	Accepted
	// Holds means that the server has the version already.
	Holds
)

// Status is a server's account of itself.
type Status struct {
	// Busy is whether an order is being carried out.
	Busy    bool
	Weights map[string]int
	Orders  int
	Running int
	Waiting int
}

// Client speaks to backend servers.
type Client interface {
	// Do sends a request once. Its errors are ErrNotSent and ErrCut.
	Do(ctx context.Context, s Server, r Request) (*Response, error)
	// Give gives an order.
	Give(ctx context.Context, s Server, o Order) (Outcome, error)
	// Ask asks a server for its status.
	Ask(ctx context.Context, s Server) (Status, error)
}
