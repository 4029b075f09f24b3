// Package backend defines the interface to backend servers: their descriptions,
// requests to them, and orders to load weights.
package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/option"
)

// Errors of a Client.
var (
	// ErrNotSent reports that no byte of a request was sent: it has not run.
	ErrNotSent = errors.New("backend: not sent")
	// ErrLimited reports that no byte of a request was sent, because the server limits
	// its rate. It wraps ErrNotSent.
	ErrLimited = errors.Wrap(ErrNotSent, "rate limit of the server")
	// ErrCold reports that no byte of a request was sent, because the server is cold and
	// has had as many requests as it takes. It wraps ErrLimited.
	ErrCold = errors.Wrap(ErrLimited, "server is cold")
	// ErrDown reports that no byte of a request was sent, because nothing listens at the
	// server's address. It wraps ErrNotSent.
	ErrDown = errors.Wrap(ErrNotSent, "connection refused")
	// ErrEvacuated reports that no byte of a request was sent, because the server's failure
	// domain is evacuated. It wraps ErrNotSent.
	ErrEvacuated = errors.Wrap(ErrNotSent, "failure domain is evacuated")
	// ErrIncomplete reports that a request may have run, but that no complete
	// response was received.
	ErrIncomplete = errors.New("backend: response missing or truncated")
	// ErrMoved reports that a response was broken off by this daemon, to continue it on a
	// server whose failure domain is not evacuated. It wraps ErrIncomplete.
	ErrMoved = errors.Wrap(ErrIncomplete, "failure domain is evacuated")
)

// Server is a backend server as described by its row in the server table.
type Server struct {
	// ID identifies one server; it may stay the same across a restart.
	ID      string
	Service string
	Address netip.AddrPort
	// Domain is the failure domain.
	Domain string
	// Software is the version of the server's software; empty if its row contains none.
	// Servers of one service may run different versions at the same time.
	Software string
	// Slots is the number of requests that the server runs at the same time.
	Slots int
	// Draining is set once the server has announced that it will shut down, and while its
	// failure domain is evacuated.
	Draining bool
	// Evacuated is whether the operators evacuate the server's failure domain: until that ends
	// nothing is sent to the server. It implies Draining.
	Evacuated bool
	// ShutdownAt is the announced time of the server's shutdown; zero if none.
	ShutdownAt time.Time
	// StartedAt is when the server started.
	StartedAt time.Time
	// ColdUntil is until when the server is cold according to its row; zero if the row
	// names no time left. It may be later than the server will be warm, by the age of the
	// row.
	ColdUntil time.Time
	// StatesCold is whether the row contains whether the server is cold.
	StatesCold bool
	// SeenAt is when this daemon first read a row of this incarnation, and SeenAtStart
	// whether that was among the first rows that it read.
	SeenAt      time.Time
	SeenAtStart bool
	// Spot is set on spot servers, which the platform may reclaim.
	Spot bool
	// Weights holds the version of the weights of each model.
	Weights map[string]int
	// Orders is the number of orders that the server had accepted since its start
	// when its row was written.
	Orders int
}

// Incarnation identifies one run of a server: observations of a server are no
// longer valid after it restarts.
func (s Server) Incarnation() string {
	return s.ID + "@" + strconv.FormatInt(s.StartedAt.UnixMilli(), 36)
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
	// Workspace is empty on public routes.
	Workspace string
	// Priority is the priority, from 0 (highest) to 9; it is sent only if
	// HasPriority is set.
	Priority    int
	HasPriority bool
	// ResumeAfter is the ID of the last event received; 0 requests the stream from
	// the beginning.
	ResumeAfter int
	// Repeatable is whether the request may be cancelled and sent again.
	Repeatable bool
	// SendBy is until when the request may wait to be sent if the server limits its
	// rate; zero if it may not wait.
	SendBy time.Time
}

// Response is a server's response to a request. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of the body in bytes, or -1.
	Length int64
	// NotRun is whether the server states that it has not run the request.
	NotRun bool
	// Weights is the version of the weights that process the request; 0 if
	// unknown.
	Weights int
	// Stamp is the server's signature of the response; empty if there is none.
	Stamp string
	// Load is the load that the server reports, if Load.Known is set.
	Load Load
	// NewWeights returns the new version of the weights from the fields of an
	// event; ok is false if the event does not change the weights.
	NewWeights func(fields map[string]string) (version int, ok bool)
}

// Load is the load reported by a server.
type Load struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Slowdown is how many times as long as usual work takes on the server's machine at
	// this moment; 1 is as long as usual, 0 unknown.
	Slowdown float64
}

// Order asks a server to load a version of a model's weights.
type Order struct {
	Model   string
	Version int
	// FinishRuns makes the server finish the running requests first; otherwise it
	// ends their streams.
	FinishRuns bool
	// Holder is the ID of the daemon that holds the duty, and Fence its fencing
	// token.
	Holder string
	Fence  int64
	// Expected is the number of orders that the sender believes the server has
	// accepted. The server refuses the order if the number differs.
	Expected int
}

// Outcome is a server's response to an order.
type Outcome uint8

// Outcomes of an Order.
const (
	// Refused reports that the order is not carried out.
	Refused Outcome = iota
	// Accepted reports that the order is being carried out.
	Accepted
	// AlreadyLoaded reports that the server already has the version.
	AlreadyLoaded
)

// Status is the status reported by a server.
type Status struct {
	// Busy is whether an order is being carried out.
	Busy bool
	// Weights holds the version of the weights of each model.
	Weights map[string]int
	// Orders is the number of orders accepted since the server's start.
	Orders int
	// Running and Waiting are the numbers of running and waiting requests.
	Running int
	Waiting int
}

// Observer receives what servers announce in their responses, of whatever kind. Its
// methods must not block.
type Observer interface {
	// RecordLeaving records that a server will shut down.
	RecordLeaving(s Server)
	// RecordLimit records the rate, in requests per second, that a server allows to all
	// daemons together, as named in its response to a request sent at sentAt. The rate is
	// empty if the response names none.
	RecordLimit(s Server, rate option.Option[float64], sentAt time.Time)
	// RecordCold records until when a server is cold, as named in a response. The server
	// is not cold if that time has passed.
	RecordCold(s Server, until time.Time)
}

// Dialer connects to a backend server.
type Dialer func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// Client sends requests and orders to backend servers.
type Client interface {
	// Do sends a request once. Its errors wrap ErrNotSent or ErrIncomplete.
	Do(ctx context.Context, s Server, r Request) (*Response, error)
	// SendOrder sends an order to a server.
	SendOrder(ctx context.Context, s Server, o Order) (Outcome, error)
	// QueryStatus returns the status of a server.
	QueryStatus(ctx context.Context, s Server) (Status, error)
}
