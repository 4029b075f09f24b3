package grant

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/lacewingtally/lacewingtally/internal/base/clock"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/cell"
	"github.com/lacewingtally/lacewingtally/internal/control/server"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

const (
	// answerMargin is how much longer than pollTimeout a call may take.
	answerMargin = 500 * time.Millisecond
	// avoidDuration is how long a dispatcher that did not answer is skipped.
	avoidDuration = time.Second
	// releaseTimeout limits each attempt to send a release.
	releaseTimeout = time.Second
	// releaseAttempts is the number of attempts to send a release. If all fail,
	// the next registration ends the grant.
	releaseAttempts = 3
	// maxReleases limits the releases in flight.
	maxReleases = 512
	// insistAfter is the number of consecutive outcomeMoved answers after which
	// a client sets Insist.
	insistAfter = 2
)

// ErrUnusable is returned when the server of a grant is leaving or the grant
// has expired.
var ErrUnusable = errors.New("grant: server leaving or grant expired")

// Client requests grants from dispatchers. It implements gate.Gate. Use
// NewClient.
type Client struct {
	self       fleet.Member
	caller     wire.Caller
	view       view.Source
	servers    *server.Registry
	dispatcher *Dispatcher
	recorder   timeline.Recorder
	// asked counts Acquire calls; ask IDs contain it.
	asked atomic.Uint64
	// releases is a semaphore for the releases in flight.
	releases chan struct{}
	peers    peers
	limits   limits
	grants   grantsInUse
	group    sync.WaitGroup
	// stopped is closed when Serve returns.
	stopped chan struct{}
}

// Option changes a Client.
type Option func(*Client)

// WithRecorder sets the recorder of the client's events.
func WithRecorder(r timeline.Recorder) Option {
	return func(c *Client) { c.recorder = r }
}

// NewClient returns a client for the daemon self, whose own dispatcher is d.
func NewClient(self fleet.Member, w wire.Caller, v view.Source, s *server.Registry, d *Dispatcher, opts ...Option) *Client {
	c := &Client{
		self:       self,
		caller:     w,
		view:       v,
		servers:    s,
		dispatcher: d,
		releases:   make(chan struct{}, maxReleases),
		stopped:    make(chan struct{}),
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Acquire implements gate.Gate.
func (c *Client) Acquire(ctx context.Context, r gate.Request) (gate.Grant, error) {
	now := time.Now()
	charged, err := c.limits.spend(now, c.view.State(), &r)
	if err != nil {
		return gate.Grant{}, err
	}
	a := &acquisition{
		charged: charged,
		id:      cell.AskID(c.self.ID.String() + "/" + strconv.FormatUint(c.asked.Add(1), 10)),
		request: r,
		since:   now,
	}
	g, err := c.acquire(ctx, a)
	if err != nil {
		c.limits.refund(time.Now(), c.view.State(), &r, charged)
		return gate.Grant{}, err
	}
	c.record(timeline.Event{Kind: timeline.RequestGranted, Request: r.ID, Workspace: r.Workspace, Server: g.Server.ID})
	return g, nil
}

// Check returns ErrUnusable when a grant must no longer be used. The traffic
// path calls it as the last step before it sends the request.
func (c *Client) Check(now time.Time, g gate.Grant) error {
	if clock.Passed(now, g.NotAfter) || !c.servers.Snapshot().Usable(g.Server.ID) {
		return ErrUnusable
	}
	return nil
}

// MarkLeaving marks servers as leaving and sends the notice to every daemon.
func (c *Client) MarkLeaving(now time.Time, ids ...fleet.ServerID) {
	before := c.servers.Snapshot()
	events := c.servers.MarkLeaving(now, ids...)
	for _, e := range events {
		if e.Kind == server.Closed {
			c.record(timeline.Event{Kind: timeline.ServerLeaving, Server: e.Server})
		}
	}
	if c.servers.Snapshot() != before {
		c.peers.addNotice()
	}
}

// Release implements gate.Gate.
func (c *Client) Release(g gate.Grant, r gate.Report) {
	u, ok := c.grants.remove(g.ID)
	if !ok {
		return
	}
	c.limits.settle(time.Now(), c.view.State(), &g.Request, u.charged, r)
	c.startRelease(g, r)
}

// Serve registers the grants in use, requests shares of the limits and sends
// leave notices to the other daemons, until the context ends.
func (c *Client) Serve(ctx context.Context) error {
	defer c.group.Wait()
	defer close(c.stopped)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.registerLoop(ctx) })
	g.Go(func() error { return c.demandLoop(ctx) })
	return g.Wait()
}

// attempt asks once. Its error is errRetry when the ask should be retried, else
// a refusal.
func (c *Client) attempt(ctx context.Context, a *acquisition) (gate.Grant, error) {
	sent := time.Now()
	if err := a.checkDone(ctx, sent); err != nil {
		return gate.Grant{}, err
	}
	id, m, err := c.choose(sent, a)
	if err != nil {
		return gate.Grant{}, err
	}
	answer, err := c.send(ctx, m, c.message(sent, id, a))
	if err != nil {
		c.peers.avoid(time.Now(), m.ID)
		c.grants.requestSync(time.Now())
		a.backoff = true
		return gate.Grant{}, errRetry
	}
	now := time.Now()
	c.servers.MarkLeaving(now, answer.Leaving...)
	c.peers.setSummary(now, id, answer.Summary)
	switch answer.Outcome {
	case outcomeGranted:
		return c.accept(now, sent, a, answer)
	case outcomeRefused:
		return gate.Grant{}, refusal.NotRun(answer.Reason, now.Add(answer.RetryIn), nil)
	case outcomeMoved:
		a.moved++
		a.backoff = true
		return gate.Grant{}, errRetry
	default:
		a.moved = 0
		return gate.Grant{}, errRetry
	}
}

// accept records a grant as in use. It releases the grant and returns errRetry
// if the grant has expired or its server is leaving.
func (c *Client) accept(now, sent time.Time, a *acquisition, v askAnswer) (gate.Grant, error) {
	g := gate.Grant{ID: v.Grant, Server: v.Server, NotAfter: sent.Add(v.Left), Request: a.request}
	if c.Check(now, g) == nil {
		c.grants.add(g.ID, grantInUse{grant: g, ask: a.id, charged: a.charged})
		return g, nil
	}
	a.backoff = true
	a.id = cell.AskID(string(a.id) + "+")
	c.startRelease(g, gate.Report{Outcome: gate.Stopped})
	return gate.Grant{}, errRetry
}

// acquire asks until it gets a grant or a refusal.
func (c *Client) acquire(ctx context.Context, a *acquisition) (gate.Grant, error) {
	for {
		g, err := c.attempt(ctx, a)
		if err == nil || !errors.Is(err, errRetry) {
			return g, err
		}
		if err := a.pause(ctx); err != nil {
			return gate.Grant{}, err
		}
	}
}

// choose selects the cell to ask and returns it with its dispatcher.
func (c *Client) choose(now time.Time, a *acquisition) (cell.ID, fleet.Member, error) {
	r := &a.request
	place := server.RegionPool{Region: c.self.Region, Pool: r.Pool}
	n := c.servers.Snapshot().Count(place)
	if n == 0 {
		return cell.ID{}, fleet.Member{}, refusal.NotRun(refusal.ReasonNoServer, now.Add(noServerRetry), nil)
	}
	busy, random := c.peers.choiceFuncs(now)
	id := cell.Choose(place.Region, place.Pool, cell.Count(n), r.Prefix, busy, random)
	m, ok := id.Dispatcher(c.peers.reachable(now, c.view.State().Members))
	if !ok {
		return cell.ID{}, fleet.Member{}, refusal.NotRun(refusal.ReasonNoServer, now.Add(noServerRetry), nil)
	}
	return id, m, nil
}

// startRelease sends a release in the background. If maxReleases are already in
// flight, it leaves the release to the next registration.
func (c *Client) startRelease(g gate.Grant, r gate.Report) {
	select {
	case c.releases <- struct{}{}:
	default:
		c.grants.requestSync(time.Now())
		return
	}
	c.group.Go(func() {
		defer func() { <-c.releases }()
		c.release(g, r)
	})
}

func (c *Client) message(now time.Time, id cell.ID, a *acquisition) askMessage {
	m := askMessage{
		ID:        a.id,
		Entry:     c.self.ID,
		Cell:      id,
		Request:   a.request,
		Age:       now.Sub(a.since),
		Remaining: a.request.Deadline.Sub(now),
		Insist:    a.moved >= insistAfter,
		Leaving:   c.servers.Snapshot().Leaving,
	}
	m.Request.Deadline = time.Time{}
	return m
}

func (c *Client) record(e timeline.Event) {
	if c.recorder != nil {
		c.recorder.Record(e)
	}
}

// release reports the end of a grant to the dispatcher of the grant's server.
func (c *Client) release(g gate.Grant, r gate.Report) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-c.stopped:
			cancel()
		case <-ctx.Done():
		}
	}()
	for range releaseAttempts {
		now := time.Now()
		id, m, ok := c.locate(now, g.Server)
		if !ok {
			break
		}
		answer, err := c.sendRelease(ctx, m, releaseMessage{Cell: id, Grant: g.ID, Report: r})
		if err == nil {
			c.servers.MarkLeaving(now, answer.Leaving...)
			if answer.Moved {
				break
			}
			c.peers.setSummary(now, id, answer.Summary)
			return
		}
		c.peers.avoid(time.Now(), m.ID)
	}
	c.grants.requestSync(time.Now())
}

// locate returns the cell that contains a server now, and its dispatcher.
func (c *Client) locate(now time.Time, s fleet.Server) (cell.ID, fleet.Member, bool) {
	n := c.servers.Snapshot().Count(server.RegionPool{Region: s.Region, Pool: s.Pool})
	id := cell.ForServer(s, n)
	m, ok := id.Dispatcher(c.peers.reachable(now, c.view.State().Members))
	return id, m, ok
}

func (c *Client) send(ctx context.Context, to fleet.Member, m askMessage) (askAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout+answerMargin)
	defer cancel()
	if to.ID == c.self.ID {
		return c.dispatcher.ask(ctx, m)
	}
	var a askAnswer
	err := c.caller.Call(ctx, to.ID.Address, wire.KindAsk, m, &a)
	return a, err
}

func (c *Client) sendRelease(ctx context.Context, to fleet.Member, m releaseMessage) (cellAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if to.ID == c.self.ID {
		return c.dispatcher.release(ctx, m)
	}
	var a cellAnswer
	err := c.caller.Call(ctx, to.ID.Address, wire.KindRelease, m, &a)
	return a, err
}
