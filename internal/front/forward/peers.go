package forward

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/option"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
	"github.com/lacewingtally/lacewingtally/internal/front/peer"
)

const (
	// maxConfigLag is how much later than the sender of a request a daemon may have its
	// configuration: several intervals at which it is read.
	maxConfigLag = 250 * time.Millisecond
	// configCheckInterval is the time between two looks at the configuration meanwhile.
	configCheckInterval = 20 * time.Millisecond
)

// Path knows whether this daemon reaches the servers.
type Path interface {
	// Partitioned reports whether it does not.
	Partitioned() bool
	// Silent reports whether its connections to servers hang instead of being refused.
	Silent() bool
	// InDoubt reports whether it may not, given since when a request waits for its
	// server.
	InDoubt(waitingSince time.Time) bool
	// AwaitCheck waits while that is being checked.
	AwaitCheck(ctx context.Context)
}

// Peers sends requests through other daemons.
type Peers interface {
	// Do sends a request. Its error wraps backend.ErrNotSent or backend.ErrIncomplete; it
	// is a *refusal.Error if a peer has tried the servers.
	Do(ctx context.Context, q peer.Request) (*peer.Response, error)
}

// SetPeers makes the Forwarder send requests through peers while this daemon does not
// reach the servers. It must be called before the first request.
func (f *Forwarder) SetPeers(p Path, through Peers) {
	f.path, f.through = p, through
}

// RunForPeer implements peer.Runner. The request is sent at most once, except that
// servers may refuse it before.
func (f *Forwarder) RunForPeer(ctx context.Context, q peer.Request, s peer.Sink) error {
	config := f.awaitConfig(ctx, q.Config)
	if config == nil {
		return peer.ErrUnable
	}
	path, _, _ := strings.Cut(q.Target, "?")
	r, ok := config.Route(q.Host, path)
	if !ok {
		return peer.ErrUnable
	}
	r.MaxServers = 1
	request := Request{Request: q.Request, ArrivedAt: time.Now(), Resumes: q.Resumes}
	request.SendBy = sendBy(request.ArrivedAt, q.Deadline)
	w := &peerSink{Sink: s}
	w.call = f.newCall(r, request, w)
	w.call.fromPeer = true
	w.call.evacuatedAtSender = set.New(q.Evacuated...)
	if q.HasSoftware {
		w.call.software = option.Some(q.Software)
	}
	return w.call.run(ctx)
}

// awaitConfig returns the configuration once it is a version or a newer one: a request must
// not be handled by an older one than its sender's. It returns nil if it is not within
// maxConfigLag.
func (f *Forwarder) awaitConfig(ctx context.Context, version int64) *route.Config {
	for until := time.Now().Add(maxConfigLag); ; fleet.Sleep(ctx, configCheckInterval) {
		c := f.fleet.Config()
		if c != nil && c.Version >= version {
			return c
		}
		if c == nil || ctx.Err() != nil || !time.Now().Before(until) {
			return nil
		}
	}
}

// peerSink passes the response of a request on to a peer.
type peerSink struct {
	peer.Sink

	call *call
}

// Begin implements Sink.
func (s *peerSink) Begin(status int, h http.Header, length int64) {
	s.Sink.Begin(peer.Head{Status: status, Header: h, Length: length, Software: s.call.serving})
}

// throughPeer reports whether the next attempt is to be made through a peer: this daemon
// is partitioned, or may be and got no answer for this request.
func (c *call) throughPeer() bool {
	if c.fromPeer || c.through == nil {
		return false
	}
	return c.path.Partitioned() || c.unanswered && c.path.InDoubt(c.request.ArrivedAt)
}

// launchOnPath starts an attempt through a peer or, if this daemon reaches the servers, on
// the best of the allowed ones. If no peer can take the request, open connections to the
// servers may still work unless they hang. It reports whether an attempt was started.
func (c *call) launchOnPath(ctx context.Context, results chan<- outcome, allowed func(backend.Server) bool) bool {
	c.awaitCheck(ctx)
	switch {
	case !c.throughPeer():
		return c.launch(ctx, results, allowed)
	case !c.noPeer:
		return c.launchPeer(ctx, results)
	default:
		return !c.path.Silent() && c.launch(ctx, results, allowed)
	}
}

// awaitCheck waits while the path to the servers is being checked, if the request must not
// be repeated: it should not be sent on a connection that may hang.
func (c *call) awaitCheck(ctx context.Context) {
	if !c.request.Repeatable && c.path != nil {
		c.path.AwaitCheck(ctx)
	}
}

// launchPeer starts an attempt through a peer. It reports whether one was started.
func (c *call) launchPeer(ctx context.Context, results chan<- outcome) bool {
	if c.sent >= c.route.MaxServers || c.refusedByPeer != nil {
		return false
	}
	c.sent++
	go func() {
		start := time.Now()
		o := c.attemptThroughPeer(ctx)
		if o.deliverable() {
			c.Cleared(c.fingerprint)
		}
		c.metrics.Attempt(metrics.KindPeer, o.name(), "", time.Since(start))
		results <- o
	}()
	return true
}

// attemptThroughPeer sends the request through a peer and reads its complete response.
func (c *call) attemptThroughPeer(ctx context.Context) outcome {
	resp, err := c.through.Do(ctx, c.peerRequest())
	if err != nil {
		return outcome{err: err}
	}
	defer resp.Body.Close()
	o := outcome{server: resp.Peer, status: resp.Status, header: resp.Header}
	o.body, o.err = readResponse(ctx, resp.Response)
	return o
}

// peerRequest returns the request for a peer.
func (c *call) peerRequest() peer.Request {
	software, known := c.software.Get()
	q := peer.Request{
		Request: c.request.Request, Resumes: c.request.Resumes, Software: software, HasSoftware: known,
		Evacuated: set.Sorted(c.fleet.Evacuated()), MayTake: c.allowedIn,
	}
	if config := c.fleet.Config(); config != nil {
		q.Config = config.Version
	}
	return q
}

// recordPeer records whether peers have refused the request.
func (c *call) recordPeer(err error) {
	var e *refusal.Error
	switch {
	case errors.Is(err, peer.ErrNoPeer):
		c.noPeer = true
	case errors.As(err, &e) && errors.Is(err, backend.ErrNotSent):
		c.refusedByPeer = e
	}
}

// streamThroughPeer is streamFrom for a peer. After as many attempts without a new event as
// the route allows servers, no peer is tried again in the current round.
func (c *call) streamThroughPeer(ctx context.Context, started *bool) error {
	start := time.Now()
	before := c.request.ResumeAfter
	resp, err := c.through.Do(ctx, c.peerRequest())
	if err == nil {
		c.log.Info("stream through peer", zap.String("Request", c.request.ID), zap.String("Peer", resp.Peer), zap.Int("After", c.request.ResumeAfter))
		defer resp.Body.Close()
		err = c.passOn(ctx, resp.Response, resp.Software, started)
	}
	c.recordPeer(err)
	c.ran = c.ran || err != nil && !errors.Is(err, backend.ErrNotSent)
	if err != nil && c.request.ResumeAfter == before {
		c.sent++
		c.noPeer = c.noPeer || c.sent >= c.route.MaxServers
	}
	c.metrics.Attempt(metrics.KindPeer, outcome{err: err}.name(), "", time.Since(start))
	return err
}
