package link

import (
	"bytes"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// conn is a connection into whose steps faults can be injected.
type conn struct {
	net.Conn
	decide func(Event) Action
	to     netip.AddrPort

	mutex sync.Mutex
	// fault is FaultBreak or FaultHang after the connection has failed.
	fault         Fault
	readDeadline  time.Time
	writeDeadline time.Time

	// pending is data that was read but not yet returned. Only the reader uses
	// it.
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
	if f := c.currentFault(); f != 0 {
		return 0, c.failure(f, c.deadline(false))
	}
	n, err := c.Conn.Read(b)
	if f := c.currentFault(); f != 0 {
		// The connection failed while this read was blocked.
		return 0, c.failure(f, c.deadline(false))
	}
	if n == 0 {
		return n, err
	}
	a := c.decide(Event{To: c.to, Step: StepRead, Index: c.reads, Data: b[:n]})
	c.reads++
	switch a.Fault {
	case FaultBreak, FaultHang:
		c.setFault(a.Fault)
		n = min(n, a.Bytes)
		if n == 0 {
			return 0, c.failure(a.Fault, c.deadline(false))
		}
	case FaultDelay:
		if err := c.delay(a.Delay, c.deadline(false)); err != nil {
			return 0, err
		}
	case FaultDuplicate:
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
	if f := c.currentFault(); f != 0 {
		return 0, c.failure(f, c.deadline(true))
	}
	a := c.decide(Event{To: c.to, Step: StepWrite, Index: c.writes, Data: b})
	c.writes++
	switch a.Fault {
	case FaultBreak, FaultHang:
		return c.writePartial(b, a)
	case FaultDelay:
		if err := c.delay(a.Delay, c.deadline(true)); err != nil {
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

func (c *conn) setFault(f Fault) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.fault = f
}

// failure returns the error of a step after fault f. With FaultHang it blocks
// until the deadline or until the connection is closed.
func (c *conn) failure(f Fault, deadline time.Time) error {
	if f == FaultBreak {
		_ = c.Close()
		return ErrBroken
	}
	return c.delay(time.Hour, deadline)
}

func (c *conn) currentFault() Fault {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.fault
}

// delay waits for d. It returns an error if the deadline passes or the connection
// is closed first.
func (c *conn) delay(d time.Duration, deadline time.Time) error {
	if deadline.IsZero() || time.Until(deadline) > d {
		return wait(c.closed, d)
	}
	if err := wait(c.closed, time.Until(deadline)); err != nil {
		return err
	}
	return os.ErrDeadlineExceeded
}

// writePartial writes the first a.Bytes bytes and fails the connection. With
// FaultHang it reports the remaining bytes as written.
func (c *conn) writePartial(b []byte, a Action) (int, error) {
	c.setFault(a.Fault)
	n, err := c.Conn.Write(b[:min(len(b), a.Bytes)])
	if err != nil {
		return n, err
	}
	if a.Fault == FaultHang {
		return len(b), nil
	}
	if n == len(b) {
		_ = c.Close()
		return n, nil
	}
	return n, c.failure(a.Fault, time.Time{})
}
