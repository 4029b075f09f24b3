package transport_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/transport"
	"github.com/lacewingtally/lacewingtally/internal/standin/raw"
)

const (
	// smallUpload and largeUpload are the sizes of request bodies, in bytes.
	smallUpload = 10
	largeUpload = raw.UploadBytes
	// tries is how often each exchange is repeated: which of the client's goroutines gets the
	// error first differs from one to the next.
	tries = 40
)

// uploadTimeout bounds a request and its response. It is reached only if a test fails.
const uploadTimeout = 30 * time.Second

// zeros is the content of the request bodies.
var zeros = make([]byte, largeUpload)

// upload sends a request with a body and returns the body of its response as far as it was read.
func upload(t *testing.T, c *transport.Transport, to netip.AddrPort, size int) ([]byte, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), uploadTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+"/x", bytes.NewReader(zeros[:size]))
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
			for name, end := range map[string]raw.Ending{"at once": raw.Reset, "later": raw.ResetLater} {
				t.Run(fmt.Sprintf("%s %d %s", test.name, size, name), func(t *testing.T) {
					t.Parallel()
					to := raw.Serve(t, test.response, end)
					complete := 0
					for range tries {
						if _, err := upload(t, newTransport(t), to, size); err == nil {
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
		name, response, body string
		end                  raw.Ending
	}{
		{"length, reset", length, "whole", raw.Reset},
		{"length, reset later", length, "whole", raw.ResetLater},
		{"chunks, reset", chunks, "whole", raw.Reset},
		{"chunks, reset later", chunks, "whole", raw.ResetLater},
		{"no body, reset", "HTTP/1.1 204 No Content\r\n\r\n", "", raw.Reset},
		{"no body, reset later", "HTTP/1.1 204 No Content\r\n\r\n", "", raw.ResetLater},
		{"length, closed, reset", length, "whole", raw.FinishThenReset},
		{"closed, reset", closed, "whole", raw.FinishThenReset},
		{"closed, reset later", closed, "whole", raw.FinishThenResetLater},
		{"closed", closed, "whole", raw.Finish},
	} {
		for _, size := range []int{smallUpload, largeUpload} {
			t.Run(fmt.Sprintf("%s %d", test.name, size), func(t *testing.T) {
				t.Parallel()
				to := raw.Serve(t, test.response, test.end)
				whole := 0
				for range tries {
					if b, err := upload(t, newTransport(t), to, size); err == nil && string(b) == test.body {
						whole++
					}
				}
				must.Eq(t, tries, whole, must.Sprintf("%d of %d arrived", whole, tries))
			})
		}
	}
}

// TestWholeResponseArrivesDuringUpload has a server close its side of the connection after a whole response, and
// read nothing more of the request: the response must arrive although the write of the request does not end.
func TestWholeResponseArrivesDuringUpload(t *testing.T) {
	arrived := make(chan struct{})
	to := raw.Serve(t, "HTTP/1.1 200 OK\r\n\r\nwhole", func(c *net.TCPConn) error {
		time.Sleep(100 * time.Millisecond) // The buffers of the connection are full then.
		err := c.CloseWrite()
		<-arrived
		return err
	})
	sentAt := time.Now()
	b, err := upload(t, newTransport(t), to, largeUpload)
	close(arrived)
	must.Less(t, uploadTimeout/2, time.Since(sentAt))
	must.NoError(t, err)
	must.Eq(t, "whole", string(b))
}

// TestConnectionReportsResetOnce checks what the transport relies on: if the connection is reset, a write in
// progress gets ECONNRESET, and later reads end as after a FIN. If a FIN came before the reset, the write
// gets EPIPE.
func TestConnectionReportsResetOnce(t *testing.T) {
	for _, test := range []struct {
		name string
		end  raw.Ending
		want error
	}{
		{"reset", raw.ResetLater, syscall.ECONNRESET},
		{"closed, reset", raw.FinishThenResetLater, syscall.EPIPE},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for range tries {
				c, err := net.Dial("tcp", raw.Serve(t, "part", test.end).String())
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

// TestRequestsFollowResetResponses sends requests one after the other with one transport. Each response is
// whole, and followed by a reset during the upload: all must arrive.
func TestRequestsFollowResetResponses(t *testing.T) {
	to := raw.Serve(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", raw.Reset)
	c := newTransport(t)
	for range tries {
		b, err := upload(t, c, to, largeUpload)
		must.NoError(t, err)
		must.Eq(t, "whole", string(b))
	}
}
