package exchange

import (
	"net"
	"time"
)

// conn is the connection of a single exchange.
type conn struct {
	net.Conn
	// timeout bounds each read and each write.
	timeout time.Duration
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
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
