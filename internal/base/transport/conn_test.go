package transport

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// failingConn is a connection whose writes fail and whose reads end, as after a FIN.
type failingConn struct {
	net.Conn

	err    error
	closed bool
}

// Close implements net.Conn.
func (f *failingConn) Close() error {
	f.closed = true
	return nil
}

// Read implements net.Conn.
func (f *failingConn) Read([]byte) (int, error) {
	return 0, io.EOF
}

// Write implements net.Conn.
func (f *failingConn) Write([]byte) (int, error) {
	return 0, f.err
}

// TestReadAfterFailedWrite checks how reads end after a write failed, and whether net/http gets the error of
// the write, which would make it close the connection.
func TestReadAfterFailedWrite(t *testing.T) {
	for _, test := range []struct {
		failure         error
		discarded, ends bool
	}{
		{syscall.ECONNRESET, true, false},
		{syscall.EPIPE, true, true},
		{syscall.ETIMEDOUT, false, false},
		{syscall.EHOSTUNREACH, false, false},
		{os.ErrDeadlineExceeded, false, true},
		{net.ErrClosed, false, true},
	} {
		t.Run(test.failure.Error(), func(t *testing.T) {
			c := &conn{Conn: &failingConn{err: &net.OpError{Op: "write", Err: os.NewSyscallError("write", test.failure)}}}
			n, err := c.Write([]byte("request"))
			if test.discarded {
				must.NoError(t, err)
				must.Eq(t, len("request"), n)
			} else {
				must.ErrorIs(t, err, test.failure)
			}
			_, err = c.Read(make([]byte, 1))
			if test.ends {
				must.ErrorIs(t, err, io.EOF)
			} else {
				must.ErrorIs(t, err, test.failure)
			}
		})
	}
}

// TestConnectionThatPeerEndedIsNotReused uses a connection again on which a write found that the peer had
// ended it: it must be closed, and count as one to which nothing was written.
func TestConnectionThatPeerEndedIsNotReused(t *testing.T) {
	for _, failure := range []error{syscall.ECONNRESET, syscall.EPIPE} {
		f := &failingConn{err: failure}
		c := &conn{Conn: f}
		first := c.begin(1)
		_, err := c.Write([]byte("request"))
		must.NoError(t, err)
		must.False(t, c.seal(first))
		must.False(t, f.closed)
		second := c.begin(2)
		must.True(t, f.closed)
		_, err = c.Write([]byte("request"))
		must.ErrorIs(t, err, net.ErrClosed)
		must.True(t, c.seal(second))
	}
}
