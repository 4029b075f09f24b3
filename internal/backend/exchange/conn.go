package exchange

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Write states of a connection.
const (
	unwritten int32 = iota
	// written is set before the first write starts, so that a write that
	// fails part-way counts as sent.
	written
	// sealed connections reject every write.
	sealed
)

// errSealed is returned by a write after seal.
var errSealed = errors.New("exchange: connection sealed")

// conn is the connection of a single exchange.
type conn struct {
	net.Conn
	// timeout bounds each read and each write.
	timeout time.Duration
	// state is unwritten, written or sealed; it changes at most once, from
	// unwritten.
	state atomic.Int32
}

// Read implements net.Conn. It fails when the server sends nothing within the
// timeout.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write implements net.Conn. It fails when the server does not read within the
// timeout.
func (c *conn) Write(b []byte) (int, error) {
	if !c.state.CompareAndSwap(unwritten, written) && c.state.Load() == sealed {
		return 0, errSealed
	}
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// seal reports whether no byte has been written. If so, it makes all later
// writes fail, since net/http may still write after it has abandoned a request.
func (c *conn) seal() bool {
	return c.state.CompareAndSwap(unwritten, sealed)
}
