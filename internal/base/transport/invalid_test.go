package transport_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/lacewingtally/lacewingtally/internal/base/transport"
)

// respondOnce responds with text to the first request of each connection, and properly to later ones.
func respondOnce(text string) func(net.Conn, *http.Request, int) bool {
	return func(c net.Conn, r *http.Request, n int) bool {
		if n > 1 {
			return ok(c, r, n)
		}
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// mustBeInvalid checks that a response is none, with an error that says that the request may have run, and
// that its connection is not used again.
func mustBeInvalid(t *testing.T, response string) {
	t.Helper()
	s := listen(t, respondOnce(response))
	c := newTransport(t)
	for n := range 2 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.address+"/x", strings.NewReader("body"))
		must.NoError(t, err)
		resp, _, err := c.Send(r, fmt.Sprint(n))
		if err == nil {
			must.NoError(t, resp.Body.Close())
		}
		test.Error(t, err, test.Sprintf("%q is a response", response))
		must.False(t, errors.Is(err, transport.ErrNotSent))
		must.Eq(t, int64(n+1), s.connections.Load())
		must.Eq(t, int64(n+1), s.requests.Load())
	}
}

// TestStatusOutOfRange responds with statuses that are none of a final response.
func TestStatusOutOfRange(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "+20", "-20", "0", "20", "2000", "abc", ""} {
		for _, rest := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "\r\n"} {
			t.Run(fmt.Sprintf("%s %q", status, rest), func(t *testing.T) {
				mustBeInvalid(t, "HTTP/1.1 "+status+" Text\r\nX-Id: r1\r\n"+rest)
			})
		}
	}
}

// TestStatusInRange responds with the first and last statuses of final responses, and after another
// that is not final.
func TestStatusInRange(t *testing.T) {
	for _, status := range []string{"200", "299", "421", "500", "599", "100 Continue\r\n\r\nHTTP/1.1 200", "103 Early Hints\r\nX-A: a\r\n\r\nHTTP/1.1 200"} {
		s := listen(t, respondOnce("HTTP/1.1 "+status+" Text\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok"))
		must.NoError(t, post(t, newTransport(t), s, http.MethodPost, "", "body", "r1"))
	}
}

// mustBeInvalidField checks that a response with a line in its header is none, wherever the line stands.
func mustBeInvalidField(t *testing.T, line string) {
	t.Helper()
	for _, head := range []string{line + "\r\nX-Id: 1\r\n", "X-Id: 1\r\n" + line + "\r\n", "X-Id: 1\r\nX-B: b\r\n" + line + "\r\nX-C: c\r\n"} {
		mustBeInvalid(t, "HTTP/1.1 200 OK\r\n"+head+"\r\n2\r\nok\r\n0\r\n\r\n")
	}
}

// fields are the names and values of fields of which two would decide where the body ends.
var fields = map[string]string{"X-A": "a", "Content-Length": "2", "Transfer-Encoding": "chunked"}

// TestInvalidFieldName responds with a field whose name holds a byte that no name may hold.
func TestInvalidFieldName(t *testing.T) {
	for name, value := range fields {
		for _, invalid := range []string{" ", "  ", "\t", "\x00", "\x01", "\x0b", "\x1b", "\r", "\x7f", "\x80", "(", "é", " 2"} {
			for _, field := range []string{name + invalid, name[:2] + invalid + name[2:]} {
				mustBeInvalidField(t, field+": "+value)
			}
		}
	}
	mustBeInvalidField(t, ": a")
	mustBeInvalidField(t, "no colon")
}
