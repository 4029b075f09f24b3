package transport_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/transport"
)

const (
	// smallUpload and largeUpload are the sizes of request bodies, in bytes. A large one exceeds
	// the buffers of a connection on loopback, so that the client still writes it when the
	// response arrives.
	smallUpload = 10
	largeUpload = 16 << 20
	// tries is how often each exchange is repeated: which of the client's threads notices a reset
	// first differs from one to the next.
	tries = 40
)

// zeros is the content of the request bodies.
var zeros = make([]byte, largeUpload)

// ending ends a connection on which a response was written.
type ending func(t *testing.T, c *net.TCPConn)

// reset sends a RST.
func reset(t *testing.T, c *net.TCPConn) {
	must.NoError(t, c.SetLinger(0))
	must.NoError(t, c.Close())
}

// resetLater sends a RST once the client has had time to read the response so far.
func resetLater(t *testing.T, c *net.TCPConn) {
	time.Sleep(10 * time.Millisecond)
	reset(t, c)
}

// finishThenReset sends a FIN and then a RST.
func finishThenReset(t *testing.T, c *net.TCPConn) {
	must.NoError(t, c.CloseWrite())
	reset(t, c)
}

// finishThenResetLater sends a FIN, and a RST once the client has had time to read it.
func finishThenResetLater(t *testing.T, c *net.TCPConn) {
	must.NoError(t, c.CloseWrite())
	resetLater(t, c)
}

// finish sends a FIN and reads the rest of the request.
func finish(t *testing.T, c *net.TCPConn) {
	must.NoError(t, c.CloseWrite())
	_, _ = io.Copy(io.Discard, c) // The client may end the connection before it has sent all.
	must.NoError(t, c.Close())
}

// listenEarly returns the address of a server that writes a response once it has read the first
// bytes of a request, and then ends the connection.
func listenEarly(t *testing.T, response string, end ending) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, err = c.Read(make([]byte, 1<<10))
			must.NoError(t, err)
			_, err = io.WriteString(c, response)
			must.NoError(t, err)
			end(t, c.(*net.TCPConn))
		}
	}()
	t.Cleanup(func() {
		must.NoError(t, l.Close())
		<-stopped
	})
	return l.Addr().String()
}

// upload sends a request with a body and returns the body of its response as far as it was read.
func upload(t *testing.T, c *transport.Transport, address string, size int) ([]byte, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/x", bytes.NewReader(zeros[:size]))
	must.NoError(t, err)
	resp, err := c.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

// TestResetResponseIsIncomplete resets the connection after a part of a response whose end is that of
// the connection.
func TestResetResponseIsIncomplete(t *testing.T) {
	const stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"
	for _, test := range []struct{ name, response string }{
		{"success", "HTTP/1.1 200 OK\r\n\r\npart"},
		{"failure", "HTTP/1.1 404 Not Found\r\n\r\npart"},
		{"stream", stream},
		{"old protocol", "HTTP/1.0 200 OK\r\n\r\npart"},
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart"},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
		{"header", "HTTP/1.1 200 OK\r\nX-A: a\r\n"},
	} {
		for _, size := range []int{smallUpload, largeUpload} {
			for name, end := range map[string]ending{"at once": reset, "later": resetLater} {
				t.Run(fmt.Sprintf("%s %d %s", test.name, size, name), func(t *testing.T) {
					t.Parallel()
					address := listenEarly(t, test.response, end)
					complete := 0
					for range tries {
						if _, err := upload(t, newTransport(t), address, size); err == nil {
							complete++
						}
					}
					must.Eq(t, 0, complete, must.Sprintf("%d of %d taken as complete", complete, tries))
				})
			}
		}
	}
}

// TestWholeResponseArrivesDespiteReset ends the connection after a whole response.
func TestWholeResponseArrivesDespiteReset(t *testing.T) {
	const (
		length = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
		chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
		closed = "HTTP/1.1 200 OK\r\n\r\nwhole"
	)
	for _, test := range []struct {
		name, response string
		end            ending
	}{
		{"length, reset", length, reset},
		{"length, reset later", length, resetLater},
		{"chunks, reset", chunks, reset},
		{"chunks, reset later", chunks, resetLater},
		{"length, closed, reset", length, finishThenReset},
		{"closed, reset", closed, finishThenReset},
		{"closed, reset later", closed, finishThenResetLater},
		{"closed", closed, finish},
	} {
		for _, size := range []int{smallUpload, largeUpload} {
			t.Run(fmt.Sprintf("%s %d", test.name, size), func(t *testing.T) {
				t.Parallel()
				address := listenEarly(t, test.response, test.end)
				whole := 0
				for range tries {
					if b, err := upload(t, newTransport(t), address, size); err == nil && string(b) == "whole" {
						whole++
					}
				}
				must.Eq(t, tries, whole, must.Sprintf("%d of %d arrived", whole, tries))
			})
		}
	}
}

// TestConnectionReportsResetOnce checks what the transport relies on: a write that is under way gets
// ECONNRESET if the connection is reset, and a read that follows an end of the stream as after a FIN. If
// a FIN came before the reset, the write gets EPIPE.
func TestConnectionReportsResetOnce(t *testing.T) {
	for _, test := range []struct {
		name string
		end  ending
		want error
	}{
		{"reset", resetLater, syscall.ECONNRESET},
		{"closed, reset", finishThenResetLater, syscall.EPIPE},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for range tries {
				c, err := net.Dial("tcp", listenEarly(t, "part", test.end))
				must.NoError(t, err)
				_, err = c.Write(zeros)
				must.ErrorIs(t, err, test.want)
				b, err := io.ReadAll(c)
				must.NoError(t, err)
				must.Eq(t, "part", string(b))
				must.NoError(t, c.Close())
			}
		})
	}
}

// TestConnectionThatPeerEndedIsNotReused sends a request after each response that was followed by a reset
// during the upload: it must be sent on a new connection.
func TestConnectionThatPeerEndedIsNotReused(t *testing.T) {
	address := listenEarly(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", reset)
	c := newTransport(t)
	for range tries {
		b, err := upload(t, c, address, largeUpload)
		must.NoError(t, err)
		must.Eq(t, "whole", string(b))
	}
}
