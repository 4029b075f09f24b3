// Package raw is a server for tests that writes given bytes as its response, whether or not they are one
// in HTTP, and ends its connections in a given way.
package raw

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

const (
	// UploadBytes exceeds the buffers of a connection on loopback: a client still writes a request
	// of that size when the response arrives.
	UploadBytes = 16 << 20
	// headBytes is how much of a request is read before the response is written.
	headBytes = 1 << 10
	// pause is the time that the client has to read what was sent so far.
	pause = 10 * time.Millisecond
)

// Ending ends a connection on which a response was written.
type Ending func(c *net.TCPConn) error

// Finish sends a FIN and reads the rest of the request. The client may end the connection before it
// has sent all.
func Finish(c *net.TCPConn) error {
	if err := c.CloseWrite(); err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, c)
	return c.Close()
}

// FinishThenReset sends a FIN and then a RST.
func FinishThenReset(c *net.TCPConn) error {
	if err := c.CloseWrite(); err != nil {
		return err
	}
	return Reset(c)
}

// FinishThenResetLater sends a FIN, and a RST once the client has had time to read it.
func FinishThenResetLater(c *net.TCPConn) error {
	if err := c.CloseWrite(); err != nil {
		return err
	}
	return ResetLater(c)
}

// Reset sends a RST.
func Reset(c *net.TCPConn) error {
	if err := c.SetLinger(0); err != nil {
		return err
	}
	return c.Close()
}

// ResetLater sends a RST once the client has had time to read the response so far.
func ResetLater(c *net.TCPConn) error {
	time.Sleep(pause)
	return Reset(c)
}

// Serve starts a server and returns its address. On each connection, one at a time, it reads the first bytes
// of a request, writes a response and ends the connection. It stops with the test.
func Serve(t *testing.T, response string, end Ending) netip.AddrPort {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			test.NoError(t, respond(c.(*net.TCPConn), response, end))
		}
	}()
	t.Cleanup(func() {
		must.NoError(t, l.Close())
		<-stopped
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

func respond(c *net.TCPConn, response string, end Ending) error {
	defer func() { _ = c.Close() }() // After an error; else it is closed already.
	if _, err := c.Read(make([]byte, headBytes)); err != nil {
		return err
	}
	if _, err := io.WriteString(c, response); err != nil {
		return err
	}
	return end(c)
}

// EachBroken runs a check against servers that send a sound body in broken responses that net/http
// accepts. The check's request must contain the padding, so that it lasts until the response arrives.
func EachBroken(t *testing.T, body string, check func(t *testing.T, to netip.AddrPort, padding string)) {
	t.Helper()
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	for name, response := range map[string]string{
		"status 000":           "HTTP/1.1 000 None\r\n" + length + body,
		"status 600":           "HTTP/1.1 600 None\r\n" + length + body,
		"blank in a name":      "HTTP/1.1 200 OK\r\nX A: a\r\n" + length + body,
		"length after a blank": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n" + body,
		"blank before a name":  "HTTP/1.1 200 OK\r\nX-A: a\r\n Content-Length: 2\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) { check(t, Serve(t, response, Finish), "") })
	}
	t.Run("reset during the upload", func(t *testing.T) {
		check(t, Serve(t, "HTTP/1.1 200 OK\r\n\r\n"+body, ResetLater), strings.Repeat("x", UploadBytes))
	})
}
