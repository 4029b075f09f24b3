package exchange

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// States of a connection's writing.
const (
	unwritten int32 = iota
	// written is set before the first write begins, so that a write which
	// fails half-way counts as sent.
	written
	// sealed connections refuse every write.
	sealed
)

// errSealed is the error of a write after seal.
var errSealed = errors.New("exchange: connection sealed")

// conn is the connection of one exchange.
type conn struct {
	net.Conn
	// patience bounds each read and each write.
	patience time.Duration
	// state is unwritten, written or sealed, and leaves unwritten once.
	state atomic.Int32
}

// Read implements net.Conn. It fails when the server stays silent.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.patience)); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Write implements net.Conn. It fails when the server does not read.
func (c *conn) Write(b []byte) (int, error) {
	if !c.state.CompareAndSwap(unwritten, written) && c.state.Load() == sealed {
		return 0, errSealed
	}
	if err := c.SetWriteDeadline(time.Now().Add(c.patience)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// seal reports whether no byte has been written, and then none will be: the
// HTTP library may still be about to write when it gives up on a request.
func (c *conn) seal() bool {
	return c.state.CompareAndSwap(unwritten, sealed)
}
