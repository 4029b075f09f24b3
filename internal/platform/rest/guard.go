package rest

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrGuarded is returned when the guard refused the call immediately before its
// first byte was written: nothing was sent.
var ErrGuarded = errors.New("platform: refused by guard")

type guardKey struct{}

type guardStateKey struct{}

// guardState is the guard of one call.
type guardState struct {
	// check is nil when the call has no guard.
	check func() error
	// refused is set once check has returned an error.
	refused atomic.Bool
}

// guardedConn runs the guard before each write, that is, after the name was
// resolved, the connection established and the request encoded: only the write
// system call follows it.
type guardedConn struct {
	net.Conn
	guard *guardState
}

// WithGuard returns a context whose calls run check immediately before each
// write to the connection, and write nothing if it fails.
func WithGuard(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, guardKey{}, check)
}

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) {
	if c.guard != nil && c.guard.check != nil {
		if err := c.guard.check(); err != nil {
			c.guard.refused.Store(true)
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

func (g *guardState) with(ctx context.Context) context.Context {
	return context.WithValue(ctx, guardStateKey{}, g)
}

// CheckGuard runs the guard of ctx, if any. In-process services, which have no
// connection, call it directly.
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

// newGuardedConn wraps c. Closing it discards data that the kernel has not sent
// yet, so that an abandoned call is not sent later.
func newGuardedConn(c net.Conn, g *guardState) net.Conn {
	if t, ok := c.(*net.TCPConn); ok {
		// Without the option the connection still works.
		_ = t.SetLinger(0)
	}
	return &guardedConn{Conn: c, guard: g}
}

func newGuardState(ctx context.Context) *guardState {
	check, _ := ctx.Value(guardKey{}).(func() error)
	return &guardState{check: check}
}
