// Package object is a client for the platform's object store.
package object

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/platform/rest"
)

// Errors of a Store, besides rest.ErrUnavailable and rest.ErrUnknown.
var (
	// ErrAbsent is returned when there is no such object.
	ErrAbsent = errors.New("object: absent")
	// ErrExists is returned when the key exists with other bytes.
	ErrExists = errors.New("object: exists")
)

// Paths of the HTTP interface.
const (
	PathDelete = "/Object/Delete"
	PathGet    = "/Object/Get"
	PathPut    = "/Object/Put"
)

// HTTP is a Store over HTTP. Use NewHTTP.
type HTTP struct {
	client *rest.Client
}

// Key names an object. Parts are separated by slashes.
type Key string

// Object is one object. It is also the body of requests and responses.
type Object struct {
	Key  Key
	Body []byte `json:",omitempty"`
}

// Store is the platform's object store. Objects are immutable.
type Store interface {
	// Delete removes an object. Deleting an absent one is not an error.
	Delete(ctx context.Context, k Key) error
	// Get returns an object's bytes. Its errors are ErrAbsent and those of
	// package rest.
	Get(ctx context.Context, k Key) ([]byte, error)
	// Put stores an object unless the key exists. Putting the same bytes
	// again is not an error. Its errors are ErrExists and those of package
	// rest.
	Put(ctx context.Context, k Key, body []byte) error
}

// NewHTTP returns a client of the object store at an address.
func NewHTTP(at netip.AddrPort) *HTTP {
	return &HTTP{client: rest.New(at, ErrAbsent, ErrExists)}
}

// Close closes idle connections.
func (h *HTTP) Close() {
	h.client.Close()
}

// Delete implements Store.
func (h *HTTP) Delete(ctx context.Context, k Key) error {
	return h.client.Call(ctx, PathDelete, Object{Key: k}, nil)
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, k Key) ([]byte, error) {
	var o Object
	err := h.client.Call(ctx, PathGet, Object{Key: k}, &o)
	return o.Body, err
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, k Key, body []byte) error {
	return h.client.Call(ctx, PathPut, Object{Key: k, Body: body}, nil)
}
