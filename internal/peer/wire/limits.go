package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxGreeting is the largest body of the first frame, in bytes.
	maxGreeting = 1 << 10
	// maxUngreeted is the number of connections that may not have sent their first frame: a
	// daemon sends it at once.
	maxUngreeted = 64
	// reserveThreshold is the size in bytes from which a frame's body is charged, and
	// frameCost what each of its bytes costs until its call has ended: itself and its decoded
	// copy.
	reserveThreshold = 64 << 10
	frameCost        = 2
	// acceptRetry is the delay after an error of a listener that may pass, such as a lack of
	// descriptors.
	acceptRetry = 50 * time.Millisecond
)

// errNoMemory is returned for a call that is not run because there is no memory for it.
var errNoMemory = errors.New("wire: no memory for the call")

// Limits bound what clients can make a Server hold. The zero value sets no limits.
type Limits struct {
	// Connections is the maximum number of connections.
	Connections int
	// Reserve reserves memory for large bodies, in bytes, until release is called.
	Reserve func(bytes int64) (release func(), ok bool)
	// Refused is called for each connection and call that is refused; it may be nil.
	Refused func()
}

// WithLimits sets the limits of a Server.
func WithLimits(l Limits) Option {
	return func(o *options) { o.limits = l }
}

// places are the connections of a Server.
type places struct {
	limits Limits

	mutex sync.Mutex
	open  map[net.Conn]struct{}
	// ungreeted are the connections without a first frame, the oldest first.
	ungreeted []net.Conn
}

// add reports whether there is a place for a connection. It closes the oldest one without a
// first frame if there are too many of these.
func (p *places) add(c net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	full := p.limits.Connections > 0 && len(p.open) >= p.limits.Connections
	if p.limits.Connections > 0 && len(p.ungreeted) > 0 && (full || len(p.ungreeted) >= maxUngreeted) {
		p.refused()
		oldest := p.ungreeted[0]
		p.ungreeted = p.ungreeted[1:]
		delete(p.open, oldest)
		oldest.Close()
		full = false
	}
	if full {
		p.refused()
		return false
	}
	if p.open == nil {
		p.open = make(map[net.Conn]struct{})
	}
	p.open[c] = struct{}{}
	p.ungreeted = append(p.ungreeted, c)
	return true
}

// greeted records the first frame of a connection.
func (p *places) greeted(c net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for n, u := range p.ungreeted {
		if u == c {
			p.ungreeted = append(p.ungreeted[:n:n], p.ungreeted[n+1:]...)
			return
		}
	}
}

// remove removes a closed connection.
func (p *places) remove(c net.Conn) {
	p.greeted(c)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.open, c)
}

func (p *places) refused() {
	if p.limits.Refused != nil {
		p.limits.Refused()
	}
}

// accept accepts the next connection for which there is a place. It waits while the listener
// fails for a time.
func (s *Server) accept(ctx context.Context, l net.Listener) (net.Conn, error) {
	for {
		c, err := l.Accept()
		var passing interface{ Temporary() bool }
		switch {
		case err == nil && s.places.add(c):
			return c, nil
		case err == nil:
			c.Close()
		case ctx.Err() != nil || !errors.As(err, &passing) || !passing.Temporary():
			return nil, err
		default:
			time.Sleep(acceptRetry)
		}
	}
}
