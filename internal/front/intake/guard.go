package intake

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	// maxFields is the maximum number of fields of a request's header. A short field costs
	// about twenty times its size once it is decoded.
	maxFields = 128
	// maxPipelined is the number of requests that a client may send on one connection before it
	// has the response to the one before. Ordinary clients send none.
	maxPipelined = 32
	// minHeaderAge is the time for which the header of a request may arrive before its
	// connection can be shed in favour of another one.
	minHeaderAge = 50 * time.Millisecond
	// addressShare is the fraction of the connections that one address may hold. It is high
	// because a balancer or a NAT may stand before many clients.
	addressShare = 0.75
	// noTimeout turns off the HTTP server's own timeouts, which would end headers and idle
	// connections before a longer time of the configuration.
	noTimeout time.Duration = -1
	// serverHeaderBytes is the HTTP server's own limit of a header.
	serverHeaderBytes = 1 << 20
)

// Defaults for limits that are not configured.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

type connKey struct{}

type accountKey struct{}

// Limits are the limits of a request's header and of connections. A zero value means the
// default.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Options are the parts and limits of a Guard.
type Options struct {
	// Name is the listener's name in log lines.
	Name string
	// Budget is the daemon's; nil has no limit.
	Budget *Budget
	// Connections is the maximum number of connections; 0 means no limit.
	Connections int
	// Limits returns the limits in effect; nil means the defaults.
	Limits func() Limits
	// Checks is set for a listener whose requests are short and have no bodies: those with one
	// are refused, and when there is no place, any connection can be closed, the one that has
	// done nothing for the longest time first.
	Checks bool
	// Count is called for each connection that is closed and each request that is refused;
	// it may be nil.
	Count func(Cause)
	Log   *zap.Logger
}

// Guard bounds the connections of one listener and what their clients send. Use New.
type Guard struct {
	options Options

	mutex     sync.Mutex
	conns     map[*conn]struct{}
	addresses map[netip.Addr]int
}

// New returns a Guard.
func New(o Options) *Guard {
	return &Guard{options: o, conns: make(map[*conn]struct{}), addresses: make(map[netip.Addr]int)}
}

// Connections returns the number of open connections.
func (g *Guard) Connections() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.conns)
}

// Listen listens at an address, with buffers of the kernel of so many bytes for each
// connection.
func Listen(ctx context.Context, at netip.AddrPort, bufferBytes int) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, r syscall.RawConn) error {
		var failed error
		err := r.Control(func(fd uintptr) {
			// Accepted connections inherit both.
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bufferBytes)
			if failed == nil {
				failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bufferBytes)
			}
		})
		if err != nil {
			return err
		}
		return failed
	}}
	return c.Listen(ctx, "tcp", at.String())
}

// Server returns an HTTP server for a handler, whose Serve must be given a listener of
// Wrap.
func (g *Guard) Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: g.handler(h), ReadHeaderTimeout: noTimeout, IdleTimeout: noTimeout,
		MaxHeaderBytes: serverHeaderBytes, ErrorLog: zap.NewStdLog(g.options.Log), ConnState: hook,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
}

// Wrap returns a listener that accepts as many connections as are allowed.
func (g *Guard) Wrap(l net.Listener) net.Listener {
	return &listener{Listener: l, guard: g}
}

// handler serves requests within the limits.
func (g *Guard) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		withBody := r.Body != http.NoBody
		if !c.serve(withBody) {
			// This request is still served.
			g.count(causePipelined, c)
			c.refuse()
			w.Header().Set("Connection", "close")
		}
		switch {
		case len(r.Header) > maxFields:
			g.refuse(w, c, http.StatusRequestHeaderFieldsTooLarge, causeHeader)
			return
		case withBody && g.options.Checks:
			g.refuse(w, c, http.StatusRequestEntityTooLarge, causeBody)
			return
		}
		a := g.options.Budget.open(c)
		defer a.end()
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), accountKey{}, a)))
	})
}

// refuse answers a request and closes its connection.
func (g *Guard) refuse(w http.ResponseWriter, c *conn, status int, cause Cause) {
	c.refuse()
	g.count(cause, c)
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

// limits returns the limits in effect.
func (g *Guard) limits() Limits {
	var l Limits
	if g.options.Limits != nil {
		l = g.options.Limits()
	}
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// count counts and logs why a connection is closed or a request refused.
func (g *Guard) count(cause Cause, c *conn) {
	if g.options.Count != nil {
		g.options.Count(cause)
	}
	g.options.Log.Info("client limited", zap.String("Listener", g.options.Name), zap.String("Cause", string(cause)),
		zap.Stringer("Address", c.address), zap.Int("Connections", g.Connections()), zap.Int64("Bytes", g.options.Budget.Used()))
}

// add returns the connection, or nil if there is no place for it.
func (g *Guard) add(n net.Conn) *conn {
	c := &conn{Conn: n, guard: g, address: addressOf(n), since: time.Now()}
	victim, ok := g.place(c)
	if victim != nil {
		g.count(causeConnections, victim)
		victim.drop()
	}
	if !ok {
		g.count(CauseFull, c)
		n.Close()
		return nil
	}
	limits := g.limits()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.setOwnDeadline(c.since.Add(limits.HeaderTimeout))
	return c
}

// place registers a connection if there is a place, or if another one can be closed, which
// it returns.
func (g *Guard) place(c *conn) (*conn, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	most := g.options.Connections
	full := most > 0 && len(g.conns) >= most
	crowded := most > 0 && float64(g.addresses[c.address]) >= addressShare*float64(most)
	var victim *conn
	if full || crowded {
		if victim = g.victim(c, crowded); victim == nil {
			return nil, false
		}
		g.forget(victim)
	}
	g.conns[c] = struct{}{}
	g.addresses[c.address]++
	return victim, true
}

// victim returns the connection whose place is given to another one; nil if there is none. If
// one address has most of the connections, it is one of these, so that clients of other
// addresses keep theirs. The mutex is held.
func (g *Guard) victim(c *conn, crowded bool) *conn {
	crowd := c.address
	if !crowded {
		crowd = netip.Addr{}
		for a, n := range g.addresses {
			if 2*n > len(g.conns) {
				crowd = a
			}
		}
	}
	var victim, ofCrowd *conn
	longest, longestOfCrowd := time.Duration(0), time.Duration(0)
	for other := range g.conns {
		d := other.expendable(c.since)
		if d > longest {
			victim, longest = other, d
		}
		if d > longestOfCrowd && other.address == crowd {
			ofCrowd, longestOfCrowd = other, d
		}
	}
	if ofCrowd != nil || crowded {
		return ofCrowd
	}
	return victim
}

func (g *Guard) remove(c *conn) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.forget(c)
}

// forget removes a connection if it is registered. The mutex is held.
func (g *Guard) forget(c *conn) {
	if _, ok := g.conns[c]; !ok {
		return
	}
	delete(g.conns, c)
	if g.addresses[c.address]--; g.addresses[c.address] == 0 {
		delete(g.addresses, c.address)
	}
}

// listener accepts connections within the limits of its guard.
type listener struct {
	net.Listener

	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.add(n); c != nil {
			return c, nil
		}
	}
}

// addressOf returns the address of a connection's client.
func addressOf(c net.Conn) netip.Addr {
	if t, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return t.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
