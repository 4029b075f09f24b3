// Package usage is a client for the platform's usage reporting service.
package usage

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
)

// ErrMismatch is returned when the window was reported before with other figures.
var ErrMismatch = errors.New("usage: window holds other figures")

// PathReport is the path of the HTTP interface.
const PathReport = "/Usage/Report"

// HTTP is a Service over HTTP. Use NewHTTP.
type HTTP struct {
	client *rest.Client
}

// Report is the usage report of one window.
type Report struct {
	Region fleet.Region
	// Window identifies the window within its region.
	Window string
	Epoch  fleet.Epoch
	// Body contains the figures and is the same in each repetition.
	Body []byte
}

// Service is the platform's usage reporting service.
type Service interface {
	// Report reports the usage of a window. It is idempotent by region and
	// window. Its errors are ErrMismatch and those of package rest.
	Report(ctx context.Context, r Report) error
}

// NewHTTP returns a client of the reporting service at an address.
func NewHTTP(at netip.AddrPort) *HTTP {
	return &HTTP{client: rest.New(at, ErrMismatch)}
}

// Close closes idle connections.
func (h *HTTP) Close() {
	h.client.Close()
}

// Report implements Service.
func (h *HTTP) Report(ctx context.Context, r Report) error {
	return h.client.Call(ctx, PathReport, r, nil)
}
