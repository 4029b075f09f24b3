package rest

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrGuarded says that the guard refused the call as the last step before its
// first byte was written: nothing was sent.
var ErrGuarded = errors.New("platform: stopped by the guard")

type guardKey struct{}

type guardStateKey struct{}

// guardState is the guard of one call.
type guardState struct {
	// check is nil when the call has no guard.
	check func() error
	// stopped is set once check has refused.
	stopped atomic.Bool
}

// guardedConn asks the guard before each write. The guard so runs after the
// name was resolved, the connection made and the request encoded: between it
// and the kernel there is only the write call.
type guardedConn struct {
	net.Conn
	guard *guardState
}

// WithGuard returns a context whose calls ask check immediately before each
// write to the connection, and write nothing when it fails.
func WithGuard(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, guardKey{}, check)
}

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) {
	if c.guard != nil && c.guard.check != nil {
		if err := c.guard.check(); err != nil {
			c.guard.stopped.Store(true)
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

func (g *guardState) with(ctx context.Context) context.Context {
	return context.WithValue(ctx, guardStateKey{}, g)
}

// CheckGuard runs the guard of ctx, if it has one. Services within the process
// use it in place of a connection.
func CheckGuard(ctx context.Context) error {
	check, ok := ctx.Value(guardKey{}).(func() error)
	if !ok || check == nil {
		return nil
	}
	if err := check(); err != nil {
		return errors.Wrap(ErrGuarded, err.Error())
	}
	return nil
}

func guardOf(ctx context.Context) *guardState {
	g, _ := ctx.Value(guardStateKey{}).(*guardState)
	return g
}

// newGuardedConn makes closing c discard what the kernel has not sent yet, so
// that a call that was given up does not go out later.
func newGuardedConn(c net.Conn, g *guardState) net.Conn {
	if t, ok := c.(*net.TCPConn); ok {
		// A connection that refuses the option works as any other.
		_ = t.SetLinger(0)
	}
	return &guardedConn{Conn: c, guard: g}
}

func newGuardState(ctx context.Context) *guardState {
	check, _ := ctx.Value(guardKey{}).(func() error)
	return &guardState{check: check}
}
