// Package forward sends live requests to backend servers and passes the responses
// on to the callers.
package forward

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	base "github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/option"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/base/set"
	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/control/shutdown"
	"github.com/lacewingtally/lacewingtally/internal/daemon/telemetry"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/balance"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

const (
	// retryAfterOverload is the delay after which a caller should retry a request that found no
	// free slot: about the time until a slot becomes free.
	retryAfterOverload = 50 * time.Millisecond
	// retryAfterUnavailable is the delay after which a caller should retry if no server or no
	// configuration is available.
	retryAfterUnavailable = 150 * time.Millisecond
	// limitWaitFraction is the fraction of the time until its deadline for which a request
	// may wait for a slot of a server that limits its rate, and maxLimitWait bounds that
	// time. The slot is its own, so it waits only if it will be sent.
	limitWaitFraction = 0.3
	maxLimitWait      = 500 * time.Millisecond
)

// errShutDown reports that this daemon shuts down.
var errShutDown = errors.New("forward: daemon shuts down")

// Request is a caller's request.
type Request struct {
	backend.Request

	// ArrivedAt is when the request's header was read.
	ArrivedAt time.Time
	// Resumes is the ID of the caller's attempt that brought the first event of the
	// stream that this request continues; empty if it continues none.
	Resumes string
}

// Sink receives a response.
type Sink interface {
	// Begin receives the status and header; length is -1 if it is unknown.
	Begin(status int, h http.Header, length int64)
	// Write receives a part of the body and sends it to the caller at once.
	Write(part []byte) error
}

// Meter counts requests that servers may have started to run.
type Meter interface {
	Count(workspace string, ago time.Duration)
}

// Forwarder sends requests to servers. Use New. Its methods may be called from
// any goroutine.
type Forwarder struct {
	balancer *balance.Balancer
	client   backend.Client
	fleet    *fleet.State
	log      *zap.Logger
	meter    Meter
	metrics  *metrics.Metrics
	// self is the daemon's ID in the fleet.
	self     string
	suspects suspects
	departed departed
	origins  origins
	// resumable are the running streams that can be moved to another server.
	resumable resumableStreams
	// dial connects to servers to check whether they still listen; nil until SetDialer.
	dial backend.Dialer
	// path and through are nil until SetPeers: requests then go directly to servers only.
	path    Path
	through Peers
	// shutdown is nil until this daemon shuts down.
	shutdown atomic.Pointer[shutdown.Schedule]

	mutex sync.Mutex
	// calls are the requests of callers that run.
	calls map[*call]struct{}

	// caller calls the daemons that peers returns; both are nil until AskPeers.
	caller wire.Caller
	peers  func() []netip.AddrPort
}

// call is the state of one request.
type call struct {
	*Forwarder

	request     Request
	fingerprint quarantine.Fingerprint
	route       route.Route
	service     string
	sink        Sink
	// fromPeer is whether the request came from a peer: it then goes directly to servers
	// only.
	fromPeer bool
	// evacuatedAtSender holds the failure domains that are evacuated according to the daemon
	// from which the request came.
	evacuatedAtSender set.Set[string]
	// homes are the regions in which the request may be processed.
	homes route.Homes
	// serving is the software version of the server that sends the stream.
	serving string
	// unanswered is whether an attempt could not be sent, or got no answer in the time
	// after which requests are hedged.
	unanswered bool
	// noPeer is whether no peer could take it in the current round.
	noPeer bool
	// refusedByPeer is the refusal of a peer that has tried the servers; nil if none has.
	refusedByPeer *refusal.Error
	// tried holds the IDs of the servers tried in the current round.
	tried map[string]bool
	// software is the version of the servers' software that began the stream; empty
	// before the first event.
	software option.Option[string]
	// unnamed holds the software versions that this daemon's row did not name in time.
	unnamed set.Set[string]
	// recorded is whether the stream's origin has been recorded.
	recorded bool
	// events is the number of events passed on.
	events int
	// ran is whether a server may have started to run it.
	ran bool
	// breaks is the number of times that a server broke off the stream, and decided is closed
	// when it is certain whether the last of these servers ended; nil if none did.
	breaks  int
	decided <-chan struct{}
	// begun is whether a part of the response has been passed on, and cancel ends the request.
	begun  atomic.Bool
	cancel context.CancelCauseFunc
	// refused is whether a server has stated that it did not run it.
	refused bool
	// limited is the number of servers tried in the current round to which it was not
	// sent because they limit their rates.
	limited int
	// slowed receives the slowdowns of servers that run the request.
	slowed chan float64
	// full is the number of servers tried in the current round that refused it because too
	// many requests wait there, as they report.
	full int
	// sent is the number of attempts in which the request may have run or may still
	// run.
	sent int
	// rounds is the number of times that all servers were tried.
	rounds int
}

// New returns a Forwarder for the daemon self.
func New(f *fleet.State, c backend.Client, b *balance.Balancer, m Meter, counts *metrics.Metrics, self string, log *zap.Logger) *Forwarder {
	fw := &Forwarder{balancer: b, client: c, fleet: f, log: log, meter: m, metrics: counts, self: self}
	f.OnEvacuation(fw.moveStreams)
	return fw
}

// Admit returns the route and the workspace of a request. Its error is a
// *refusal.Error.
func (f *Forwarder) Admit(host, path, key string) (route.Route, string, error) {
	c := f.fleet.Config()
	if c == nil {
		return route.Route{}, "", refusal.NotRun(refusal.ReasonUnconfirmed, time.Now().Add(retryAfterUnavailable), nil)
	}
	r, ok := c.Route(host, path)
	if !ok {
		return route.Route{}, "", refusal.NotRun(refusal.ReasonNoRoute, time.Time{}, nil)
	}
	if err := f.admits(r); err != nil {
		return route.Route{}, "", err
	}
	if r.Public {
		return r, "", nil
	}
	w, err := workspace(c, key)
	if err != nil {
		return route.Route{}, "", err
	}
	return r, w, nil
}

// BodyLimit returns the maximum length of a request's body in bytes, or 0 if
// there is no configuration yet or it sets no limit.
func (f *Forwarder) BodyLimit() int64 {
	if c := f.fleet.Config(); c != nil {
		return c.Limits.BodyBytes
	}
	return 0
}

// Workspace returns the workspace of an API key. Its error is a *refusal.Error.
func (f *Forwarder) Workspace(key string) (string, error) {
	if err := f.admits(route.Route{Kind: route.Batch}); err != nil {
		return "", err
	}
	return workspace(f.fleet.Config(), key)
}

// workspace looks up a key in a configuration, which is nil if none is known. Its error
// is a *refusal.Error.
func workspace(c *route.Config, key string) (string, error) {
	w, found := c.Access().Lookup(key)
	switch found {
	case route.KeyAccepted:
		return w, nil
	case route.KeyRejected:
		return "", refusal.NotRun(refusal.ReasonKey, time.Time{}, nil)
	}
	return "", refusal.NotRun(refusal.ReasonUnconfirmed, time.Now().Add(retryAfterUnavailable), nil)
}

// Do runs a request on a route, passes the response to s, and counts the request
// if it may have run. It refuses requests in quarantine. Its error is a
// *refusal.Error or an error of s.
func (f *Forwarder) Do(ctx context.Context, r route.Route, workspace string, q Request, s Sink) error {
	q.Workspace = workspace
	if r.MaxWait > 0 {
		if end := q.ArrivedAt.Add(r.MaxWait); end.Before(q.Deadline) {
			q.Deadline = end
		}
	}
	if err := f.begins(q.Deadline); err != nil {
		return err
	}
	q.SendBy = sendBy(q.ArrivedAt, q.Deadline)
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	c := f.newCall(r, q, s)
	ctx, release := c.track(ctx)
	defer release()
	err := c.run(ctx)
	if c.ran {
		f.meter.Count(workspace, time.Since(q.ArrivedAt))
	}
	return err
}

// newCall returns the state of a request on a route.
func (f *Forwarder) newCall(r route.Route, q Request, s Sink) *call {
	q.Repeatable = r.Kind == route.Safe || r.Kind == route.Stream && r.Resumable
	return &call{
		Forwarder: f, request: q, route: r, homes: f.fleet.Config().Homes(r, q.Workspace), service: r.Service(q.ID), sink: s, tried: make(map[string]bool),
		slowed:      make(chan float64, 1),
		fingerprint: quarantine.FingerprintOfBody(base.Workspace(q.Workspace), q.Body, q.Method, q.Target),
	}
}

// run runs the request, unless it is in quarantine, and logs a failure.
func (c *call) run(ctx context.Context) error {
	if c.Quarantined(c.fingerprint) {
		return refusal.GaveUp(refusal.ReasonQuarantine, time.Now().Add(suspectRetention), nil)
	}
	var err error
	if c.route.Kind == route.Stream {
		err = c.stream(ctx)
	} else {
		err = c.buffered(ctx)
	}
	if err != nil {
		c.log.Info("request failed", zap.String("Request", c.request.ID), zap.String("Route", c.route.Name),
			zap.String("Workspace", c.request.Workspace), zap.Int("Servers", len(c.tried)), zap.Bool("MayHaveRun", c.ran),
			zap.Bool("FromPeer", c.fromPeer), zap.Duration("Took", time.Since(c.request.ArrivedAt)), zap.Int("Known", len(c.fleet.Servers().List)),
			zap.Duration("StoreAge", c.fleet.StoreAge()), zap.Duration("ConfigAge", c.fleet.ConfigAge()),
			zap.Error(err), telemetry.Cause(err))
	}
	return err
}

// sendBy returns until when a request may wait for a slot of a server that limits its rate.
func sendBy(arrivedAt, deadline time.Time) time.Time {
	return arrivedAt.Add(min(maxLimitWait, time.Duration(limitWaitFraction*float64(deadline.Sub(arrivedAt)))))
}

// repeatable reports whether the request may run more than once.
func (c *call) repeatable() bool {
	return c.route.Kind == route.Safe
}
