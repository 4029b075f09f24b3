package transport_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

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

// TestFoldedField responds with a field before whose name there is a blank, which net/http takes for a part
// of the value of the field before.
func TestFoldedField(t *testing.T) {
	for name, value := range fields {
		for _, blank := range []string{" ", "\t", "  ", " \t"} {
			mustBeInvalidField(t, blank+name+": "+value)
			mustBeInvalidField(t, blank+name+" : "+value)
		}
	}
	mustBeInvalidField(t, " ")
	mustBeInvalidField(t, "\t: a")
	mustBeInvalidField(t, "X-A:\r\n a")
	mustBeInvalidField(t, "X-A:\n a")
}

// TestValidHeader responds with headers in unusual forms that are valid, and with bodies that look like lines
// that are not.
func TestValidHeader(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: r\r\nX-A:a\r\nX-B: \t b \t\r\nX-C:\r\nx_d!#$%&'*+-.^`|~0: d\r\nContent-Length: 4\r\n\r\n a: ",
		"HTTP/1.0 200 OK\nX-Id: r\nContent-Length: 5\n\n\n a: ",
		"HTTP/1.1 200\r\nX-Id: r\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 \r\nX-Id: r\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1  200 OK\r\nX-Id: r\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX-A: a\r\n\r\nHTTP/1.1  102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: r\r\nContent-Length: 2\r\n\r\n a",
	} {
		s := listen(t, respondOnce(response))
		must.NoError(t, post(t, newTransport(t), s, http.MethodPost, "", "body", "r"), must.Sprint(response))
	}
}

// TestFoldedFieldAfterInformationalResponse folds a line of a header that follows another.
func TestFoldedFieldAfterInformationalResponse(t *testing.T) {
	mustBeInvalid(t, "HTTP/1.1 103 Early Hints\r\nX-A: a\r\n\r\nHTTP/1.1 200 OK\r\nX-B: b\r\n Content-Length: 2\r\n\r\nokay")
}

// TestFoldedFieldInParts folds a line of a header that is received byte by byte, on a connection that
// has carried another response.
func TestFoldedFieldInParts(t *testing.T) {
	s := listen(t, func(c net.Conn, r *http.Request, n int) bool {
		if n == 1 {
			return ok(c, r, n)
		}
		for _, b := range []byte("HTTP/1.1 200 OK\r\nX-Id: r2\r\nX-A: a\r\n Content-Length: 2\r\n\r\nokay") {
			if _, err := c.Write([]byte{b}); err != nil {
				return false
			}
			time.Sleep(time.Millisecond)
		}
		return true
	})
	c := newTransport(t)
	must.NoError(t, post(t, c, s, http.MethodPost, "", "body", "r1"))
	must.ErrorIs(t, post(t, c, s, http.MethodPost, "", "body", "r2"), transport.ErrInvalid)
	must.Eq(t, 1, s.connections.Load())
}
