package intake

import (
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Phases of a connection.
const (
	// phaseIdle: no byte of the next request has arrived. A new connection begins with it.
	phaseIdle phase = iota
	// phaseHeader: the header of a request arrives.
	phaseHeader
	// phaseBody: a request is being served and its body may still arrive.
	phaseBody
	// phaseServe: a request is being served whose body is complete.
	phaseServe
)

const (
	// pieceBytes is the size of one write, in bytes: the time to write one is limited.
	pieceBytes = 16 << 10
	// writeTimeout limits the time for which a write of a piece may be blocked.
	writeTimeout = 10 * time.Second
	// bodyPause limits the time without a byte of a body that is being read.
	bodyPause = 5 * time.Second
	// refusalTimeout limits the time to write the response to a header that is too large.
	refusalTimeout = 100 * time.Millisecond
)

// tooLargeResponse is the response to a request whose header is not read to its end.
const tooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// errShed is returned by reads from a connection that was shed.
var errShed = errors.New("intake: connection shed")

type phase uint8

// conn is a connection of a client.
type conn struct {
	net.Conn

	guard   *Guard
	address netip.Addr
	// sending is what it sends, receiving the body that it receives.
	sending, receiving transfer

	mutex sync.Mutex
	phase phase
	// used is whether a request has been served on it.
	used bool
	// since is when the phase began.
	since time.Time
	// refused is whether its request was refused: it is about to be closed.
	refused bool
	// pipelined is the number of requests that were sent before the response to the one before,
	// and answered whether a part of the current response has been written.
	pipelined int
	answered  bool
	// fields and bytes are those of the header so far, newline is whether the last line is
	// complete and headerEnded whether the header is.
	fields, bytes        int
	newline, headerEnded bool
	// server and own are the read deadlines that the HTTP server and this package have set;
	// the sooner one holds.
	server, own time.Time
	// bodyUntil is the time by which the body must be complete, zero if there is none, and
	// bodyShed whether its reading was ended to make room.
	bodyUntil time.Time
	bodyShed  bool
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.remove(c)
	return c.Conn.Close()
}

// drop closes the connection, which may have been closed already.
func (c *conn) drop() {
	_ = c.Close()
}

// CloseWrite lets the HTTP server end a connection whose client still sends, so that the
// client can read the response.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(p[:n]) {
		c.refuseHeader()
		return 0, errShed
	}
	return n, err
}

// received records what was read. It reports whether the header is within the limits.
func (c *conn) received(p []byte) bool {
	now := time.Now()
	limits := c.guard.limits()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch c.phase {
	case phaseIdle:
		c.enter(phaseHeader, now)
		c.setOwnDeadline(now.Add(limits.HeaderTimeout))
		return c.scan(p, limits)
	case phaseHeader:
		return c.scan(p, limits)
	case phaseBody:
		c.receiving.progress(now, len(p))
		if !c.bodyShed {
			c.extendBody(now)
		}
	case phaseServe:
		// A client may have the response before the handler returns.
		if !c.answered {
			c.pipelined++
		}
	}
	return true
}

// scan counts the bytes and fields of a header up to its end. What was read ahead with the
// request before is not counted; it is less than the HTTP server's buffer.
func (c *conn) scan(p []byte, limits Limits) bool {
	for _, b := range p {
		if c.headerEnded {
			break
		}
		c.bytes++
		switch b {
		case '\n':
			c.fields++
			c.headerEnded, c.newline = c.newline, true
		case '\r':
		default:
			c.newline = false
		}
	}
	// The request line and the empty line are counted as well.
	return c.bytes <= limits.HeaderBytes && c.fields <= maxFields+2
}

// refuseHeader answers a request whose header is too large and closes the connection.
func (c *conn) refuseHeader() {
	if err := c.SetWriteDeadline(time.Now().Add(refusalTimeout)); err == nil {
		// The client may not read the response.
		_, _ = c.Conn.Write([]byte(tooLargeResponse))
	}
	c.guard.count(causeHeader, c)
	c.drop()
}

// Write implements net.Conn. The deadline moves with each piece, and counts only while the
// write is blocked.
func (c *conn) Write(p []byte) (int, error) {
	c.mutex.Lock()
	c.answered = true
	c.mutex.Unlock()
	c.sending.begin(time.Now())
	defer c.sending.end()
	written := 0
	for written < len(p) {
		now := time.Now()
		if err := c.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+pieceBytes)])
		written += n
		c.sending.progress(time.Now(), n)
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.guard.count(causeSlow, c)
			}
			return written, err
		}
	}
	return written, nil
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// SetReadDeadline implements net.Conn. The HTTP server also ends a pending read with it.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.server = t
	return c.applyDeadline()
}

// setOwnDeadline sets the deadline of this package, zero for none. The mutex is held.
func (c *conn) setOwnDeadline(t time.Time) {
	c.own = t
	// A connection that is closed already needs no deadline.
	_ = c.applyDeadline()
}

func (c *conn) applyDeadline() error {
	t := c.server
	if t.IsZero() || !c.own.IsZero() && c.own.Before(t) {
		t = c.own
	}
	return c.Conn.SetReadDeadline(t)
}

// enter begins a phase. The mutex is held.
func (c *conn) enter(p phase, now time.Time) {
	if c.phase == phaseBody {
		c.receiving.end()
	}
	c.phase, c.since = p, now
	if p == phaseBody {
		c.receiving.begin(now)
	}
}

// idle begins the wait for the next request.
func (c *conn) idle() {
	now := time.Now()
	limits := c.guard.limits()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.enter(phaseIdle, now)
	c.used, c.refused = true, false
	c.fields, c.bytes, c.newline, c.headerEnded = 0, 0, false, false
	c.setOwnDeadline(now.Add(limits.IdleTimeout))
}

// serve begins the serving of a request, with or without a body to read. It reports whether
// the client may send more on the connection.
func (c *conn) serve(withBody bool) bool {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == phaseIdle {
		// The header was read together with the request before.
		c.pipelined++
	}
	c.answered = false
	c.receive(withBody, now)
	return c.pipelined <= maxPipelined
}

// receive begins the phase in which a request is served. The mutex is held.
func (c *conn) receive(withBody bool, now time.Time) {
	if withBody {
		c.enter(phaseBody, now)
		c.bodyUntil, c.bodyShed = time.Time{}, false
		c.extendBody(now)
		return
	}
	c.enter(phaseServe, now)
	c.setOwnDeadline(time.Time{})
}

// extendBody sets the time for the next bytes of the body. The mutex is held.
func (c *conn) extendBody(now time.Time) {
	t := now.Add(bodyPause)
	if !c.bodyUntil.IsZero() && c.bodyUntil.Before(t) {
		t = c.bodyUntil
	}
	c.setOwnDeadline(t)
}

// slow implements holder.
func (c *conn) slow(now time.Time) bool {
	return c.receiving.slow(now) || c.sending.slow(now)
}

// shed implements holder.
func (c *conn) shed(cause Cause) {
	if c.sending.slow(time.Now()) {
		c.stopSending(cause)
		return
	}
	c.stopReceiving(cause)
}

// stopReceiving ends the reading of the body, so that the request is refused.
func (c *conn) stopReceiving(cause Cause) {
	c.mutex.Lock()
	stopped := c.phase == phaseBody && !c.bodyShed
	if stopped {
		c.bodyShed = true
		c.receiving.end()
		c.setOwnDeadline(time.Unix(1, 0))
	}
	c.mutex.Unlock()
	if stopped {
		c.guard.count(cause, c)
	}
}

// stopSending closes the connection, whose client reads too slowly.
func (c *conn) stopSending(cause Cause) {
	c.guard.count(cause, c)
	c.drop()
}

// expendable returns how soon the connection is shed when there is no place for another
// one: the largest value first, never if it is 0. Idle connections are kept, because their
// clients may use them at any moment.
func (c *conn) expendable(now time.Time) time.Duration {
	c.mutex.Lock()
	p, age, used, refused := c.phase, now.Sub(c.since), c.used, c.refused
	c.mutex.Unlock()
	switch {
	case refused:
		return age + time.Hour
	case c.guard.options.Checks:
		return max(age, 1)
	case p == phaseHeader || p == phaseIdle && !used:
		if age >= minHeaderAge {
			return age
		}
	case c.slow(now):
		return age
	}
	return 0
}

// refuse records that the request is refused.
func (c *conn) refuse() {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.refused = true
}

// hook is the http.Server's ConnState.
func hook(n net.Conn, s http.ConnState) {
	if c, ok := n.(*conn); ok && s == http.StateIdle {
		c.idle()
	}
}
