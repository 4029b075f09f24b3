package wire

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// partWindow is the number of parts of an answer that may be queued for a connection. It
// bounds the memory that a slow reader takes.
const partWindow = 8

// StreamHandler answers one call from the daemon at the address from in parts, each of
// which it passes to send. The body is msgpack. A call of send blocks while the peer
// reads slowly. ctx ends when the caller closes its stream or is gone.
type StreamHandler func(ctx context.Context, from netip.AddrPort, body []byte, send func(part any) error) error

// Stream is an answer that arrives in parts. Use Client.Stream. Next must not be called
// from several goroutines; Close may be called at any time.
type Stream struct {
	client *Client
	link   *frameLink
	// frames passes on what the peer has sent. It is not buffered, so that a slow
	// reader slows the peer down.
	frames chan frame
	// sent is set just before the first byte of the call is written.
	sent atomic.Bool
	stop func() bool

	mutex sync.Mutex
	// cause is why the connection has failed.
	cause error
}

// Stream calls the daemon at the address to, and returns its answer, which arrives in
// parts. The stream has a connection of its own. It ends with ctx, and must be closed.
// Its error is ErrNotSent.
func (c *Client) Stream(ctx context.Context, to netip.AddrPort, k Kind, request any) (*Stream, error) {
	body, err := encode(request, MaxRequest)
	if err != nil {
		return nil, err
	}
	greeting, err := msgpack.Marshal(hello{Address: c.self})
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	d, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dial(d, to)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	s := &Stream{client: c, link: newFrameLink(conn, streamQueueLength, c.counters, c.clock), frames: make(chan frame)}
	s.link.openCalls = func() int { return 1 }
	s.link.unbounded.Store(true)
	// The queue is empty: neither frame is refused.
	_ = s.link.send(frame{typ: frameHello, body: greeting}, nil)
	_ = s.link.send(frame{typ: frameOpen, call: k, id: 1, body: body}, func() { s.sent.Store(true) })
	if !c.addStream(s) {
		s.link.close()
		return nil, errors.Wrap(ErrNotSent, net.ErrClosed.Error())
	}
	s.stop = context.AfterFunc(ctx, s.link.close)
	return s, nil
}

// Next decodes the next part into a pointer. After the last part it returns io.EOF. Its
// other errors are ErrNotSent, ErrLost and ErrRemote.
func (s *Stream) Next(part any) error {
	select {
	case f := <-s.frames:
		return s.decode(f, part)
	case <-s.link.closed:
		return s.failure()
	}
}

// Close ends the stream. If the peer's handler still runs, its context ends.
func (s *Stream) Close() {
	s.stop()
	s.link.close()
}

func (s *Stream) decode(f frame, part any) error {
	switch f.typ {
	case framePart:
		return errors.Wrap(msgpack.Unmarshal(f.body, part), "wire: decode part")
	case frameAnswer:
		return io.EOF
	case frameFail:
		return errors.Wrap(ErrRemote, string(f.body))
	default:
		return errors.Wrapf(ErrLost, "unexpected frame type %d from the called peer", f.typ)
	}
}

// deliver passes a frame to Next, and waits until it is taken.
func (s *Stream) deliver(f frame) error {
	select {
	case s.frames <- f:
		return nil
	case <-s.link.closed:
		return net.ErrClosed
	}
}

// failure returns the error of a stream whose connection has failed.
func (s *Stream) failure() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	kind := ErrLost
	if !s.sent.Load() {
		kind = ErrNotSent
	}
	if s.cause == nil {
		return kind
	}
	return errors.Wrap(kind, s.cause.Error())
}

func (s *Stream) read() {
	err := s.link.read(s.deliver)
	s.client.removeStream(s)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cause = err
}

// addStream starts the goroutines of a stream, unless the client is closed.
func (c *Client) addStream(s *Stream) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return false
	}
	if c.streams == nil {
		c.streams = make(map[*Stream]struct{})
	}
	c.streams[s] = struct{}{}
	c.wait.Go(s.link.write)
	c.wait.Go(s.read)
	return true
}

func (c *Client) removeStream(s *Stream) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.streams, s)
}

// runStream answers a call in parts, and returns the last frame.
func (c *serverConn) runStream(ctx context.Context, f frame) frame {
	h := c.server.mux.streamHandlers[f.call]
	if h == nil {
		return failure(f.id, errors.Errorf("no handler for kind %d", f.call))
	}
	// A reader that is slow is not gone: that is known from its pings.
	c.link.unbounded.Store(true)
	window := make(chan struct{}, partWindow)
	send := func(part any) error {
		body, err := encode(part, MaxBody)
		if err != nil {
			return err
		}
		select {
		case window <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		return c.link.send(frame{typ: framePart, call: f.call, id: f.id, body: body}, func() { <-window })
	}
	if err := h(ctx, c.from, f.body, send); err != nil {
		return failure(f.id, err)
	}
	return frame{typ: frameAnswer, call: f.call, id: f.id}
}

// encode returns the encoding of a message, of at most limit bytes. Its error is ErrNotSent.
func encode(message any, limit int) ([]byte, error) {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	if len(body) > limit {
		return nil, errors.Wrapf(ErrNotSent, "body of %d bytes exceeds the limit of %d", len(body), limit)
	}
	return body, nil
}
