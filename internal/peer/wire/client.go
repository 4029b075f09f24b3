package wire

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// dialTimeout limits the time to set up a connection.
const dialTimeout = 2 * time.Second

// Client is a Caller over TCP. It multiplexes the calls to a peer over one
// connection. Use NewClient.
type Client struct {
	self     netip.AddrPort
	dial     Dialer
	counters *Counters
	clock    Clock

	mutex    sync.Mutex
	sessions map[netip.AddrPort]*session
	streams  map[*Stream]struct{}
	closed   bool
	wait     sync.WaitGroup
}

// Dialer connects to the daemon at the address to and authenticates it.
type Dialer func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// hello is the body of the first frame of each connection.
type hello struct {
	// Address is the address at which peers call the calling daemon.
	Address netip.AddrPort
}

// session is one connection and its open calls.
type session struct {
	// ready is closed once link or err is set.
	ready chan struct{}
	link  *frameLink
	err   error

	mutex  sync.Mutex
	calls  map[uint64]*pendingCall
	lastID uint64
	// ended is set when no more answers can arrive.
	ended bool
}

type pendingCall struct {
	// done receives exactly one result.
	done chan result
	// sent is set just before the first byte of the call is written.
	sent bool
}

type result struct {
	frame frame
	err   error
}

// NewClient returns a client for the daemon that peers call at self.
func NewClient(self netip.AddrPort, dial Dialer, counters *Counters, options ...Option) *Client {
	return &Client{
		self:     self,
		dial:     dial,
		counters: counters,
		clock:    newOptions(options).clock,
		sessions: make(map[netip.AddrPort]*session),
	}
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, to netip.AddrPort, k Kind, request, response any) error {
	body, err := encode(request, MaxBody)
	if err != nil {
		return err
	}
	s, err := c.session(ctx, to)
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	answer, err := s.call(ctx, k, body)
	if err != nil {
		return err
	}
	if response == nil {
		return nil
	}
	if err := msgpack.Unmarshal(answer, response); err != nil {
		s.link.close()
		return errors.Wrapf(ErrLost, "decode answer: %v", err)
	}
	return nil
}

// Close closes all connections and waits for their goroutines.
func (c *Client) Close() {
	c.mutex.Lock()
	c.closed = true
	for _, s := range c.sessions {
		go s.close()
	}
	for s := range c.streams {
		s.link.close()
	}
	c.mutex.Unlock()
	c.wait.Wait()
}

func (c *Client) remove(to netip.AddrPort, s *session) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.sessions[to] == s {
		delete(c.sessions, to)
	}
}

// open connects s, starts its writer and delivers answers until the connection
// fails. It then fails all open calls.
func (c *Client) open(to netip.AddrPort, s *session) {
	defer c.wait.Done()
	defer c.remove(to, s)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	conn, err := c.dial(ctx, to)
	cancel()
	if err != nil {
		s.err = err
		close(s.ready)
		return
	}
	s.link = newFrameLink(conn, queueLength, c.counters, c.clock)
	s.link.openCalls = s.openCalls
	body, err := msgpack.Marshal(hello{Address: c.self})
	if err == nil {
		err = s.link.send(frame{typ: frameHello, body: body}, nil)
	}
	s.err = err
	close(s.ready)
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		s.link.write()
	}()
	err = s.link.read(s.answer)
	c.remove(to, s)
	s.fail(err)
}

func (c *Client) session(ctx context.Context, to netip.AddrPort) (*session, error) {
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return nil, net.ErrClosed
	}
	s := c.sessions[to]
	if s == nil {
		s = &session{ready: make(chan struct{}), calls: make(map[uint64]*pendingCall)}
		c.sessions[to] = s
		c.wait.Add(1)
		go c.open(to, s)
	}
	c.mutex.Unlock()
	select {
	case <-s.ready:
		return s, s.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// answer delivers an answer to its call. Answers to calls that have ended are
// discarded.
func (s *session) answer(f frame) error {
	if f.typ != frameAnswer && f.typ != frameFail {
		return errors.Wrapf(ErrFrame, "unexpected frame type %d from the called peer", f.typ)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := s.calls[f.id]
	if p == nil {
		return nil
	}
	delete(s.calls, f.id)
	p.done <- result{frame: f}
	return nil
}

func (s *session) call(ctx context.Context, k Kind, body []byte) ([]byte, error) {
	id, p, err := s.start(k, body)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	select {
	case r := <-p.done:
		if r.err != nil {
			return nil, r.err
		}
		if r.frame.typ == frameFail {
			return nil, errors.Wrap(ErrRemote, string(r.frame.body))
		}
		return r.frame.body, nil
	case <-ctx.Done():
		return nil, s.cancel(id, p, ctx.Err())
	}
}

// cancel removes a call and sends a cancel frame to the peer.
func (s *session) cancel(id uint64, p *pendingCall, cause error) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.calls, id)
	// A cancel frame follows its call in the queue. If the queue is full, the
	// connection is closed instead, which also ends the peer's handler.
	if err := s.link.send(frame{typ: frameCancel, id: id}, nil); errors.Is(err, errQueueFull) {
		s.link.close()
	}
	return unanswered(p, cause)
}

func (s *session) close() {
	<-s.ready
	if s.link != nil {
		s.link.close()
	}
}

// fail ends the session and fails all open calls.
func (s *session) fail(cause error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ended = true
	for id, p := range s.calls {
		delete(s.calls, id)
		p.done <- result{err: unanswered(p, cause)}
	}
}

// openCalls returns the number of open calls.
func (s *session) openCalls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.calls)
}

func (s *session) start(k Kind, body []byte) (uint64, *pendingCall, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.ended {
		return 0, nil, net.ErrClosed
	}
	s.lastID++
	p := &pendingCall{done: make(chan result, 1)}
	onSend := func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		p.sent = true
	}
	if err := s.link.send(frame{typ: frameCall, call: k, id: s.lastID, body: body}, onSend); err != nil {
		return 0, nil, err
	}
	s.calls[s.lastID] = p
	return s.lastID, p, nil
}

// unanswered returns ErrLost for a call that was sent and ErrNotSent for one
// that was not.
func unanswered(p *pendingCall, cause error) error {
	if p.sent {
		return errors.Wrap(ErrLost, cause.Error())
	}
	return errors.Wrap(ErrNotSent, cause.Error())
}
