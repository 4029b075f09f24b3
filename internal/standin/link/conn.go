package link

import (
	"bytes"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// conn is a connection whose steps can fail.
type conn struct {
	net.Conn
	decide func(Event) Action
	to     netip.AddrPort

	mutex sync.Mutex
	// fault is FaultBreak or FaultSilent once the connection has failed.
	fault         Fault
	readDeadline  time.Time
	writeDeadline time.Time

	// pending is what was read and is still to be given; it belongs to the
	// reader.
	pending []byte
	reads   int
	writes  int

	once sync.Once
	// closed is closed by Close.
	closed chan struct{}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	if len(c.pending) > 0 {
		n := copy(b, c.pending)
		c.pending = c.pending[n:]
		return n, nil
	}
	if f := c.failed(); f != 0 {
		return 0, c.fail(f, c.deadline(false))
	}
	n, err := c.Conn.Read(b)
	if f := c.failed(); f != 0 {
		// The connection failed while this read waited.
		return 0, c.fail(f, c.deadline(false))
	}
	if n == 0 {
		return n, err
	}
	a := c.decide(Event{To: c.to, Step: StepRead, Index: c.reads, Data: b[:n]})
	c.reads++
	switch a.Fault {
	case FaultBreak, FaultSilent:
		c.end(a.Fault)
		n = min(n, a.Bytes)
		if n == 0 {
			return 0, c.fail(a.Fault, c.deadline(false))
		}
	case FaultDelay:
		if err := c.hold(a.Delay, c.deadline(false)); err != nil {
			return 0, err
		}
	case FaultDoubled:
		c.pending = bytes.Clone(b[:n])
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mutex.Lock()
	c.readDeadline = t
	c.mutex.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mutex.Lock()
	c.writeDeadline = t
	c.mutex.Unlock()
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if f := c.failed(); f != 0 {
		return 0, c.fail(f, c.deadline(true))
	}
	a := c.decide(Event{To: c.to, Step: StepWrite, Index: c.writes, Data: b})
	c.writes++
	switch a.Fault {
	case FaultBreak, FaultSilent:
		return c.writeSome(b, a)
	case FaultDelay:
		if err := c.hold(a.Delay, c.deadline(true)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

func (c *conn) deadline(write bool) time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if write {
		return c.writeDeadline
	}
	return c.readDeadline
}

func (c *conn) end(f Fault) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.fault = f
}

func (c *conn) fail(f Fault, deadline time.Time) error {
	if f == FaultBreak {
		_ = c.Close()
		return ErrBroken
	}
	return c.hold(time.Hour, deadline)
}

func (c *conn) failed() Fault {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.fault
}

// hold waits for d, but no longer than the deadline and the connection.
func (c *conn) hold(d time.Duration, deadline time.Time) error {
	if deadline.IsZero() || time.Until(deadline) > d {
		return wait(c.closed, d)
	}
	if err := wait(c.closed, time.Until(deadline)); err != nil {
		return err
	}
	return os.ErrDeadlineExceeded
}

// writeSome lets a part of a write pass. A silent connection takes the rest as
// if it went.
func (c *conn) writeSome(b []byte, a Action) (int, error) {
	c.end(a.Fault)
	n, err := c.Conn.Write(b[:min(len(b), a.Bytes)])
	if err != nil {
		return n, err
	}
	if a.Fault == FaultSilent {
		return len(b), nil
	}
	if n == len(b) {
		_ = c.Close()
		return n, nil
	}
	return n, c.fail(a.Fault, time.Time{})
}
