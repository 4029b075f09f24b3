package reach

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
)

// Client is a backend.Client whose requests a Reach watches.
type Client struct {
	backend.Client

	reach *Reach
}

// idleCloser is a client with connections that can be closed while they are idle.
type idleCloser interface {
	CloseIdleConnections()
}

// NewClient returns a Client that sends requests through another one. If that one has
// idle connections, the Reach may close them. It must be called before Serve.
func NewClient(c backend.Client, r *Reach) *Client {
	if i, ok := c.(idleCloser); ok {
		r.closeIdle = i.CloseIdleConnections
	}
	return &Client{Client: c, reach: r}
}

// call is a request that waits for a response or for more of it.
type call struct {
	reach  *Reach
	cancel context.CancelFunc
	// domain is the failure domain of its server.
	domain string
	// repeatable is whether the request may be cancelled and sent again.
	repeatable bool
	// progress is when its server last sent something, or when it was sent, as the time
	// since reach.startedAt.
	progress atomic.Int64
}

// Do implements backend.Client.
func (c *Client) Do(ctx context.Context, s backend.Server, q backend.Request) (*backend.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	k := c.reach.begin(cancel, s, q.Repeatable)
	resp, err := c.Client.Do(ctx, s, q)
	if err != nil {
		if ctx.Err() == nil {
			c.reach.recordUnanswered(s)
		}
		k.end()
		return nil, err
	}
	k.recordAnswer()
	resp.Body = &body{ReadCloser: resp.Body, call: k}
	return resp, nil
}

// begin adds a request.
func (r *Reach) begin(cancel context.CancelFunc, s backend.Server, repeatable bool) *call {
	k := &call{reach: r, cancel: cancel, domain: s.Domain, repeatable: repeatable}
	k.progress.Store(int64(time.Since(r.startedAt)))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.calls[k] = struct{}{}
	return k
}

// recordUnanswered records that a request to a server ended without any answer. The servers
// of an evacuated domain may be shut down, which is no evidence of a partition.
func (r *Reach) recordUnanswered(s backend.Server) {
	if r.fleet.Evacuated().Contains(s.Domain) {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.detector.Unanswered(s.Address.String())
}

// end removes the request and releases its context.
func (k *call) end() {
	k.cancel()
	k.reach.mutex.Lock()
	defer k.reach.mutex.Unlock()
	delete(k.reach.calls, k)
}

// progressAt returns when the request's server last sent something, or when the request
// was sent.
func (k *call) progressAt() time.Time {
	return k.reach.startedAt.Add(time.Duration(k.progress.Load()))
}

// recordAnswer records that the request's server has sent something.
func (k *call) recordAnswer() {
	k.reach.recordAnswer()
	k.progress.Store(k.reach.answered.Load())
}

// body is the body of a response that a Reach watches.
type body struct {
	io.ReadCloser

	call *call
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.call.recordAnswer()
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.call.end()
	return err
}
