package transport

import (
	"io"
	"net"
	"slices"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// maxCarried is the number of requests with an ID after which a connection is closed. It
// bounds the memory of a connection, 8 bytes for each ID.
const maxCarried = 256

// conn is a connection that records whether a request was written to it, and whether it broke.
type conn struct {
	net.Conn

	// writing is held during each write to Conn.
	writing sync.Mutex

	mutex sync.Mutex
	// carried contains the hashes of the IDs of the requests for which it was used.
	carried []uint64
	// current is the use that reads and writes belong to.
	current *use
	// sealed connections reject every write.
	sealed bool
	// broken is the error of a write that failed because the connection broke; nil if none did.
	broken error
	// peerEnded is set once a write failed because the peer had closed or reset the connection. Later
	// writes are discarded.
	peerEnded bool
}

// use is the use of a connection for one request.
type use struct {
	// written is set before the first write, so that a write that fails half-way counts.
	written bool
	// head is the header of the response as far as it was received.
	head head
}

// begin starts a use of the connection for the request with an ID, or 0 if responses to it
// have no ID. The connection is closed if it must not carry the request.
func (c *conn) begin(id uint64) *use {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.current = &use{}
	if c.peerEnded || !c.mayCarry(id) {
		c.sealed = true
		c.Conn.Close()
		return c.current
	}
	if id != 0 {
		c.carried = append(c.carried, id)
	}
	return c.current
}

// mayCarry reports whether the connection may carry the request with an ID: it has not carried it
// before.
func (c *conn) mayCarry(id uint64) bool {
	return id == 0 || len(c.carried) < maxCarried && !slices.Contains(c.carried, id)
}

// Close implements net.Conn. Writes after it send nothing.
func (c *conn) Close() error {
	c.mutex.Lock()
	c.sealed = true
	c.mutex.Unlock()
	return c.Conn.Close()
}

// Read implements net.Conn. It returns io.EOF only if the peer closed the connection. The kernel
// reports a broken connection once: if a write gets the error, reads from Conn end as if the peer
// had closed the connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.recordRead(b[:n])
	if errors.Is(err, io.EOF) {
		err = c.endOfStream()
	}
	return n, err
}

// recordRead records bytes that were received in the current use.
func (c *conn) recordRead(b []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.current != nil {
		c.current.head.read(b)
	}
}

// headOf returns the header of the response as far as it was received in a use.
func (c *conn) headOf(u *use) head {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return u.head
}

// endOfStream returns the error on which the connection broke, or io.EOF if the peer closed it.
func (c *conn) endOfStream() error {
	if !c.writing.TryLock() {
		// The write in progress may have got the error. Closing the connection makes it return. The
		// response ends here, and net/http would not send the rest of the request either.
		_ = c.Close()
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.broken != nil {
		return c.broken
	}
	return io.EOF
}

// seal reports whether nothing was written in a use. If so, it makes all later writes fail,
// since net/http may still write after it has abandoned a request.
func (c *conn) seal(u *use) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if u.written {
		return false
	}
	c.sealed = true
	return true
}

// Write implements net.Conn. Once the peer has ended the connection, writes succeed and discard what they
// are given: on an error net/http would close the connection, and lose a response that was received but
// not read yet. Reads from such a connection do not wait.
func (c *conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	discard, err := c.beginWrite()
	if err != nil {
		return 0, err
	}
	if discard {
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	if err != nil && c.recordFailure(err) {
		return len(b), nil
	}
	return n, err
}

// beginWrite records a write in the current use, and reports whether to discard what is written.
func (c *conn) beginWrite() (discard bool, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sealed {
		return false, net.ErrClosed
	}
	if c.current != nil {
		c.current.written = true
	}
	return c.peerEnded, nil
}

// recordFailure records the error of a write, and reports whether the peer has ended the connection.
func (c *conn) recordFailure(err error) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if isBreak(err) {
		c.broken = err
	}
	c.peerEnded = errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	return c.peerEnded
}

// isBreak reports whether an error of a write means that the connection broke before the peer
// closed it. After a FIN, the kernel reports a reset as EPIPE.
func isBreak(err error) bool {
	var code syscall.Errno
	return errors.As(err, &code) && code != syscall.EPIPE
}
