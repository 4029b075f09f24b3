// Package order speaks to the platform's interface for ordering backend
// servers by failure domain and kind.
package order

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
)

// Errors of a Service, besides those of rest.
var (
	// ErrAbsent says that no order with the ID has arrived.
	ErrAbsent = errors.New("order: absent")
	// ErrMismatch says that another order has the same ID.
	ErrMismatch = errors.New("order: ID holds another order")
	// ErrStale says that the receiver has seen a newer epoch.
	ErrStale = errors.New("order: stale epoch")
	// ErrUnfilled says that the platform has no such servers now.
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

// ID identifies an order in every repetition of it.
type ID string

// Line is how many backend servers should run for one Slot.
type Line struct {
	Slot  Slot
	Count int
}

// Order sets the number of backend servers of one slot. It is a target, not a
// difference, so that repeating it changes nothing.
type Order struct {
	ID    ID
	Epoch fleet.Epoch
	Line  Line
}

// Query asks for an order by its ID.
type Query struct {
	ID     ID
	Region fleet.Region
	// Epoch makes a receiver that checks fencing numbers refuse older ones
	// from now on.
	Epoch fleet.Epoch
}

// Service is the platform's ordering interface. A guard of the context (see
// rest.WithGuard) is asked immediately before an order is written.
type Service interface {
	// Find returns an order by its ID. Its errors are ErrAbsent, ErrStale and
	// those of rest.
	Find(ctx context.Context, q Query) (Order, error)
	// List returns the targets now in force in a region, in the order of
	// their slots.
	List(ctx context.Context, r fleet.Region) ([]Line, error)
	// Place carries an order out. It is idempotent by the order's ID. Its
	// errors are ErrMismatch, ErrStale, ErrUnfilled and those of rest.
	Place(ctx context.Context, o Order) error
}

// Slot is what an order is about.
type Slot struct {
	Region        fleet.Region
	FailureDomain fleet.FailureDomain
	Pool          fleet.Pool
	Kind          fleet.Kind
}

// NewHTTP returns a client of the ordering interface at an address.
func NewHTTP(at netip.AddrPort) *HTTP {
	return &HTTP{client: rest.New(at, ErrAbsent, ErrMismatch, ErrStale, ErrUnfilled)}
}

// Close closes the idle connections.
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
