package peer

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/control/partition"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

// maxPeers is the number of peers to which one request is offered.
const maxPeers = 3

// ErrNoPeer reports that no peer can send a request. It wraps backend.ErrNotSent.
var ErrNoPeer = errors.Wrap(backend.ErrNotSent, "no peer that reaches the servers")

// Client sends requests through peers. Use NewClient. Its methods may be called from any
// goroutine.
type Client struct {
	wire  *wire.Client
	fleet *fleet.State
	self  string
	log   *zap.Logger

	mutex sync.Mutex
	peers partition.Peers
}

// NewClient returns a Client for the daemon self.
func NewClient(w *wire.Client, f *fleet.State, self string, log *zap.Logger) *Client {
	return &Client{wire: w, fleet: f, self: self, log: log}
}

// Do sends a request through a peer. Peers that refuse it are left out: it is offered to
// the next one. Its error wraps backend.ErrNotSent or backend.ErrIncomplete; it is a
// *refusal.Error if a peer has tried the servers.
func (c *Client) Do(ctx context.Context, q Request) (*Response, error) {
	m := call{Request: q, Leaving: c.fleet.Leaving()}
	tried := make(map[string]bool)
	err := ErrNoPeer
	for len(tried) < maxPeers && ctx.Err() == nil {
		p, ok := c.choose(tried, q.MayTake)
		if !ok {
			break
		}
		tried[p.ID] = true
		if m.Until, m.Left, ok = c.until(q.Deadline); !ok {
			return nil, errors.Wrap(ErrNoPeer, "store's clock is not known")
		}
		resp, failure := c.send(ctx, p, m)
		if failure == nil {
			return resp, nil
		}
		c.log.Info("request through peer failed", zap.String("Request", q.ID), zap.String("Peer", p.ID), zap.Error(failure))
		err = failure
		if !errors.Is(failure, wire.ErrNotSent) && !errors.Is(failure, wire.ErrRemote) {
			return nil, failure
		}
	}
	if len(tried) == 0 {
		return nil, ErrNoPeer
	}
	return nil, errors.Wrapf(ErrNoPeer, "last of %d: %v", len(tried), err)
}

// until returns a deadline by the store's clock, the latest that it may be, and the time
// that is left until then; ok is false if the store's clock is not known.
func (c *Client) until(deadline time.Time) (until time.Time, left time.Duration, ok bool) {
	now, ok := c.fleet.Clock.Latest()
	left = time.Until(deadline)
	return now.Add(left), left, ok
}

// send sends a request through one peer. Its error wraps wire.ErrNotSent or wire.ErrRemote
// if the peer has not begun to run it.
func (c *Client) send(ctx context.Context, p fleet.Member, m call) (resp *Response, err error) {
	defer func() {
		if err != nil {
			c.failed(p.ID, err, ctx.Err() != nil)
		}
	}()
	s, err := c.wire.Stream(ctx, p.Address, wire.KindRequest, m)
	if err != nil {
		return nil, err
	}
	b := &body{client: c, peer: p.ID, stream: s}
	h, err := b.head()
	if err != nil {
		s.Close()
		return nil, err
	}
	c.fleet.RecordLeavingAtPeer(h.Leaving)
	return &Response{
		Response: &backend.Response{Status: h.Status, Header: h.Header, Body: b, Length: h.Length},
		Software: h.Software, Peer: p.ID,
	}, nil
}

// choose returns the peer for a request, other than those in tried and in domains that mayTake,
// if it is not nil, excludes.
func (c *Client) choose(tried map[string]bool, mayTake func(domain string) bool) (fleet.Member, bool) {
	byID := make(map[string]fleet.Member)
	var peers []partition.Peer
	for _, m := range c.fleet.Members().List {
		if m.ID == c.self || m.Leaving || m.Partitioned || !m.TakesRequests || mayTake != nil && !mayTake(m.Domain) {
			continue
		}
		byID[m.ID] = m
		peers = append(peers, partition.Peer{ID: m.ID, Share: m.Share})
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	id, ok := c.peers.Choose(time.Now(), peers, tried, rand.IntN)
	return byID[id], ok
}

// failed records that a request could not be sent through a peer, for which it is to blame
// unless the request was cancelled.
func (c *Client) failed(id string, err error, cancelled bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.peers.Done(id)
	switch {
	case cancelled:
	case errors.Is(err, wire.ErrRemote):
		c.peers.Busy(time.Now(), id)
	case errors.Is(err, wire.ErrNotSent), errors.Is(err, wire.ErrLost):
		c.peers.Unreachable(time.Now(), id)
	}
}

func (c *Client) done(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.peers.Done(id)
}

// body is the body of a response that arrives through a peer.
type body struct {
	client *Client
	peer   string
	stream *wire.Stream
	once   sync.Once
	// rest is what has arrived but has not been read.
	rest []byte
	// err is the result of all further reads.
	err error
}

// head reads the head of the response.
func (b *body) head() (*Head, error) {
	var m part
	err := b.stream.Next(&m)
	switch {
	case errors.Is(err, wire.ErrLost):
		return nil, lost(err)
	case err != nil:
		return nil, err
	case m.End != nil && m.End.Refusal != nil:
		return nil, m.End.Refusal.err()
	case m.Head == nil:
		return nil, errors.Wrap(backend.ErrIncomplete, "peer: answer without a head")
	}
	return m.Head, nil
}

// Read implements io.Reader. Its errors are io.EOF and those that wrap
// backend.ErrIncomplete.
func (b *body) Read(p []byte) (int, error) {
	for len(b.rest) == 0 && b.err == nil {
		b.rest, b.err = b.next()
	}
	if len(b.rest) == 0 {
		return 0, b.err
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

func (b *body) next() ([]byte, error) {
	var m part
	err := b.stream.Next(&m)
	switch {
	case err != nil:
		return nil, lost(err)
	case m.End == nil:
		return m.Data, nil
	case m.End.Refusal == nil:
		return nil, io.EOF
	}
	return nil, errors.Wrap(backend.ErrIncomplete, m.End.Refusal.err().Error())
}

// Close implements io.Closer. A peer that still runs the request cancels it.
func (b *body) Close() error {
	b.once.Do(func() {
		b.stream.Close()
		b.client.done(b.peer)
	})
	return nil
}

// lost returns the error for an answer that did not arrive completely. A peer may have
// run the request.
func lost(err error) error {
	return &lostError{cause: err}
}

// lostError is a backend.ErrIncomplete caused by a wire error.
type lostError struct {
	cause error
}

// Error implements error.
func (e *lostError) Error() string {
	return "peer: " + e.cause.Error()
}

// Unwrap returns the kind and the cause.
func (e *lostError) Unwrap() []error {
	return []error{backend.ErrIncomplete, e.cause}
}
