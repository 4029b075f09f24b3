// Package vmlist is a client for the platform's list of VMs, which lags.
package vmlist

import (
	"context"
	"net/netip"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
)

// PathList is the path of the HTTP interface.
const PathList = "/VMList/List"

// Daemon is a VM that runs a daemon.
type Daemon struct {
	Address       netip.AddrPort
	Region        fleet.Region
	FailureDomain fleet.FailureDomain
	State         fleet.State
}

// HTTP is a Service over HTTP. Use NewHTTP.
type HTTP struct {
	client *rest.Client
}

// List is the state of the VMs at a time in the past.
type List struct {
	// At is the time of the state, on the platform's clock.
	At      time.Time
	Daemons []Daemon
	Servers []fleet.Server
}

// Service is the platform's VM list.
type Service interface {
	// List returns the live and the leaving VMs. Its errors are those of
	// package rest.
	List(ctx context.Context) (List, error)
}

// NewHTTP returns a client of the VM list at an address.
func NewHTTP(at netip.AddrPort) *HTTP {
	return &HTTP{client: rest.New(at)}
}

// Close closes idle connections.
func (h *HTTP) Close() {
	h.client.Close()
}

// List implements Service.
func (h *HTTP) List(ctx context.Context) (List, error) {
	var l List
	err := h.client.Call(ctx, PathList, rest.Empty{}, &l)
	return l, err
}
