package wire

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// maxCalls is the maximum number of open calls on one connection.
const maxCalls = 1 << 14

// Server answers calls over TCP. Use NewServer.
type Server struct {
	mux      *Mux
	verify   Verifier
	counters *Counters
	clock    Clock
	places   places
}

// Verifier checks that the daemon on a connection may use the address that it
// claims.
type Verifier func(c net.Conn, claimed netip.AddrPort) error

// serverConn is one accepted connection.
type serverConn struct {
	server *Server
	link   *frameLink
	// from is the address of the peer.
	from netip.AddrPort
	wait sync.WaitGroup

	mutex sync.Mutex
	// cancels contains the cancel functions of the open calls, by call ID.
	cancels map[uint64]context.CancelFunc
}

// NewServer returns a server that answers with the handlers in mux.
func NewServer(mux *Mux, verify Verifier, counters *Counters, options ...Option) *Server {
	o := newOptions(options)
	return &Server{mux: mux, verify: verify, counters: counters, clock: o.clock, places: places{limits: o.limits}}
}

// Serve accepts connections until the context ends. It then closes the listener
// and the connections and waits for their handlers.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	closeListener := func() { _ = l.Close() }
	defer closeListener()
	stop := context.AfterFunc(ctx, closeListener)
	defer stop()
	var w sync.WaitGroup
	defer w.Wait()
	defer cancel()
	for {
		c, err := s.accept(ctx, l)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "wire: accept")
		}
		w.Go(func() { s.serve(ctx, c) })
	}
}

func (s *Server) serve(ctx context.Context, c net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.places.remove(c)
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	r := bufio.NewReader(c)
	from, err := s.greet(c, r)
	if err != nil {
		if errors.Is(err, ErrFrame) {
			s.counters.BadFrames.Add(1)
		}
		c.Close()
		return
	}
	s.places.greeted(c)
	// The queue of a link is large: only daemons get one.
	v := &serverConn{server: s, from: from, link: newFrameLink(c, queueLength, s.counters, s.clock), cancels: make(map[uint64]context.CancelFunc)}
	v.link.reader, v.link.reserve = r, s.places.limits.Reserve
	stopLink := context.AfterFunc(ctx, v.link.close)
	defer stopLink()
	v.wait.Go(v.link.write)
	// The cause is not needed: the calls of the connection end with it.
	_ = v.link.read(func(f frame) error { return v.handle(ctx, f) })
	cancel()
	v.wait.Wait()
}

func (c *serverConn) cancel(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if cancel := c.cancels[id]; cancel != nil {
		cancel()
	}
}

// greet reads the first frame of a connection, and returns the address of the peer.
func (s *Server) greet(c net.Conn, r *bufio.Reader) (netip.AddrPort, error) {
	if err := c.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		return netip.AddrPort{}, err
	}
	f, err := readFrameWithin(r, maxGreeting, nil)
	if err != nil {
		return netip.AddrPort{}, err
	}
	s.counters.BytesRead.Add(int64(headerSize + len(f.body)))
	s.clock.Observe(f.logical)
	if f.typ != frameHello {
		return netip.AddrPort{}, errors.Wrap(ErrFrame, "first frame is not a hello")
	}
	var h hello
	if err := msgpack.Unmarshal(f.body, &h); err != nil {
		return netip.AddrPort{}, errors.Wrap(ErrFrame, err.Error())
	}
	if !h.Address.IsValid() {
		return netip.AddrPort{}, errors.Wrap(ErrFrame, "hello without an address")
	}
	return h.Address, s.verify(c, h.Address)
}

func (c *serverConn) handle(ctx context.Context, f frame) error {
	if f.typ == frameCall || f.typ == frameOpen {
		return c.start(ctx, f)
	}
	f.free()
	switch f.typ {
	case frameCancel:
		c.cancel(f.id)
		return nil
	default:
		return errors.Wrapf(ErrFrame, "unexpected frame type %d from the calling peer", f.typ)
	}
}

func (c *serverConn) run(ctx context.Context, f frame) frame {
	if f.typ == frameOpen {
		return c.runStream(ctx, f)
	}
	h := c.server.mux.Handler(f.call)
	if h == nil {
		return failure(f.id, errors.Errorf("no handler for kind %d", f.call))
	}
	answer, err := h(ctx, c.from, f.body)
	if err != nil {
		return failure(f.id, err)
	}
	body, err := msgpack.Marshal(answer)
	if err != nil {
		return failure(f.id, err)
	}
	if len(body) > MaxBody {
		return failure(f.id, errors.Errorf("answer of %d bytes", len(body)))
	}
	return frame{typ: frameAnswer, call: f.call, id: f.id, body: body}
}

func (c *serverConn) start(ctx context.Context, f frame) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if f.denied {
		c.server.places.refused()
		return c.link.send(failure(f.id, errNoMemory), nil)
	}
	if _, ok := c.cancels[f.id]; ok || len(c.cancels) >= maxCalls {
		f.free()
		return errors.Wrapf(ErrFrame, "call %d is already open or exceeds the limit: %d calls are open", f.id, len(c.cancels))
	}
	ctx, cancel := context.WithCancel(ctx)
	c.cancels[f.id] = cancel
	c.wait.Go(func() {
		defer f.free()
		defer c.finish(f.id, cancel)
		if err := c.link.send(c.run(ctx, f), nil); err != nil {
			c.link.close()
		}
	})
	return nil
}

func (c *serverConn) finish(id uint64, cancel context.CancelFunc) {
	cancel()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.cancels, id)
}

func failure(id uint64, err error) frame {
	return frame{typ: frameFail, id: id, body: []byte(err.Error())}
}
