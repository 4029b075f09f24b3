// Package weights is a client for the platform's weight store, which is rate
// limited.
package weights

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
)

// Errors of a Service, besides those of package rest.
var (
	// ErrAbsent is returned when there are no such weights.
	ErrAbsent = errors.New("weights: absent")
	// ErrBusy is returned when the rate limit of the store is exceeded.
	ErrBusy = errors.New("weights: busy")
	// ErrNotNewer is returned when a published version is older than the newest,
	// or has the same number but another source.
	ErrNotNewer = errors.New("weights: version not newer")
)

// Paths of the HTTP interface.
const (
	PathFetch   = "/Weights/Fetch"
	PathNewest  = "/Weights/Newest"
	PathPublish = "/Weights/Publish"
)

// HTTP is a Service over HTTP. Use NewHTTP.
type HTTP struct {
	client *rest.Client
}

// Service is the platform's weight store.
type Service interface {
	// Fetch returns the bytes of one version. Its errors are ErrAbsent,
	// ErrBusy and those of package rest.
	Fetch(ctx context.Context, p fleet.Pool, v fleet.WeightVersion) ([]byte, error)
	// Newest returns the newest weights of the model that a pool serves. Its
	// errors are ErrAbsent and those of package rest.
	Newest(ctx context.Context, p fleet.Pool) (Weights, error)
	// Publish stores a version newer than all others. Publishing the newest
	// again is not an error. Its errors are ErrNotNewer and those of package
	// rest.
	Publish(ctx context.Context, w Weights) error
}

// Weights is one version of the weights of the model that a pool serves.
type Weights struct {
	Pool    fleet.Pool
	Version fleet.WeightVersion
	// Source is the path of the bytes in the store.
	Source string
}

// NewHTTP returns a client of the weight store at an address.
func NewHTTP(at netip.AddrPort) *HTTP {
	return &HTTP{client: rest.New(at, ErrAbsent, ErrBusy, ErrNotNewer)}
}

// Close closes idle connections.
func (h *HTTP) Close() {
	h.client.Close()
}

// Fetch implements Service.
func (h *HTTP) Fetch(ctx context.Context, p fleet.Pool, v fleet.WeightVersion) ([]byte, error) {
	var b []byte
	err := h.client.Call(ctx, PathFetch, Weights{Pool: p, Version: v}, &b)
	return b, err
}

// Newest implements Service.
func (h *HTTP) Newest(ctx context.Context, p fleet.Pool) (Weights, error) {
	var w Weights
	err := h.client.Call(ctx, PathNewest, p, &w)
	return w, err
}

// Publish implements Service.
func (h *HTTP) Publish(ctx context.Context, w Weights) error {
	return h.client.Call(ctx, PathPublish, w, nil)
}
