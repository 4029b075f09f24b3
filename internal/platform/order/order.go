// Package order is a client for the platform's service for ordering backend
// servers by failure domain and kind.
package order

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
)

// Errors of a Service, besides those of package rest.
var (
	// ErrAbsent is returned when no order with the ID was received.
	ErrAbsent = errors.New("order: absent")
	// ErrMismatch is returned when another order has the same ID.
	ErrMismatch = errors.New("order: ID holds another order")
	// ErrStale is returned when the service has received a newer epoch.
	ErrStale = errors.New("order: stale epoch")
	// ErrUnfilled is returned when the platform has too few such servers
	// available.
	ErrUnfilled = errors.New("order: no capacity")
)

// Paths of the HTTP interface.
const (
	PathFind  = "/Order/Find"
	PathList  = "/Order/List"
	PathPlace = "/Order/Place"
)

// HTTP is a Service over HTTP. Use NewHTTP.
type HTTP struct {
	client *rest.Client
}

// ID identifies an order; it is the same in each repetition.
type ID string

// Line is the target number of backend servers for a Slot.
type Line struct {
	Slot  Slot
	Count int
}

// Order sets the target number of backend servers of one slot. The count is
// absolute, so that repeating an order changes nothing.
type Order struct {
	ID    ID
	Epoch fleet.Epoch
	Line  Line
}

// Query is a request for an order by its ID.
type Query struct {
	ID     ID
	Region fleet.Region
	// Epoch makes a service that checks epochs refuse older ones from then
	// on.
	Epoch fleet.Epoch
}

// Service is the platform's ordering service. A guard of the context (see
// rest.WithGuard) runs immediately before an order is written.
type Service interface {
	// Find returns an order by its ID. Its errors are ErrAbsent, ErrStale and
	// those of package rest.
	Find(ctx context.Context, q Query) (Order, error)
	// List returns the targets currently in effect in a region, sorted by
	// slot (see Compare).
	List(ctx context.Context, r fleet.Region) ([]Line, error)
	// Place executes an order. It is idempotent by the order's ID. Its errors
	// are ErrMismatch, ErrStale, ErrUnfilled and those of package rest.
	Place(ctx context.Context, o Order) error
}

// Slot identifies the backend servers that an order concerns: those of one kind
// in one region, failure domain and pool.
type Slot struct {
	Region        fleet.Region
	FailureDomain fleet.FailureDomain
	Pool          fleet.Pool
	Kind          fleet.Kind
}

// NewHTTP returns a client of the ordering service at an address.
func NewHTTP(at netip.AddrPort) *HTTP {
	return &HTTP{client: rest.New(at, ErrAbsent, ErrMismatch, ErrStale, ErrUnfilled)}
}

// Close closes idle connections.
func (h *HTTP) Close() {
	h.client.Close()
}

// Find implements Service.
func (h *HTTP) Find(ctx context.Context, q Query) (Order, error) {
	var o Order
	err := h.client.Call(ctx, PathFind, q, &o)
	return o, err
}

// List implements Service.
func (h *HTTP) List(ctx context.Context, r fleet.Region) ([]Line, error) {
	var lines []Line
	err := h.client.Call(ctx, PathList, r, &lines)
	return lines, err
}

// Place implements Service.
func (h *HTTP) Place(ctx context.Context, o Order) error {
	return h.client.Call(ctx, PathPlace, o, nil)
}
