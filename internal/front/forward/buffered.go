package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/intake"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
)

const (
	// hedgeFraction is the fraction of the route's objective after which a
	// request that may run more than once is also sent to a second server.
	hedgeFraction = 0.45
	// minHedgeDelay is the minimum delay before a request is hedged.
	minHedgeDelay = 40 * time.Millisecond
	// minSlowdown is the slowdown from which a request is hedged sooner.
	minSlowdown = 1.5
	// maxBufferedBytes is the maximum length of a response that is buffered before
	// it is passed on.
	maxBufferedBytes = 4 << 20
	// retryInterval is the delay before all servers are tried again.
	retryInterval = 30 * time.Millisecond
	// maxRounds is the maximum number of times that all servers are tried. It is low
	// so that a caller that is refused still has time to retry.
	maxRounds = 2
)

// errNoServer reports that no server is left to try.
var errNoServer = errors.New("forward: no server left to try")

// outcome is the result of one attempt.
type outcome struct {
	server string
	status int
	header http.Header
	body   []byte
	notRun bool
	load   backend.Load
	err    error
}

// name returns the outcome's label in metrics.
func (o outcome) name() string {
	return metrics.Outcome(o.status, o.notRun, o.err)
}

// deliverable reports whether the outcome is a response to pass on to the caller.
func (o outcome) deliverable() bool {
	return o.err == nil && !o.notRun && o.status < http.StatusInternalServerError
}

// buffered runs the request and passes on one complete response. A request that
// may run more than once is sent to a second server when the first one fails or
// does not answer within hedgeDelay.
func (c *call) buffered(ctx context.Context) error {
	if err := c.admit(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan outcome, c.route.MaxServers+1)
	running := 0
	var last outcome
	start := time.Now()
	hedged := false
	hedge := time.NewTimer(c.hedgeDelay(1))
	defer hedge.Stop()
	launch := func(allowed func(backend.Server) bool) {
		if c.launchOnPath(ctx, results, allowed) {
			running++
		}
	}
	launch(c.mayTry)
	for {
		if running == 0 {
			if !c.retryAll(ctx, last) {
				return c.giveUp(ctx, last)
			}
			launch(c.mayTry)
			continue
		}
		select {
		case o := <-results:
			running--
			c.recordRun(o)
			if o.deliverable() {
				return c.deliver(o)
			}
			last = better(last, o)
			c.logFailure(o)
			if refused := c.quarantineRefusal(o.err); refused != nil {
				if running == 0 {
					return refused
				}
			} else if c.repeatable() || !c.ran {
				launch(c.mayTry)
			}
		case slowdown := <-c.slowed:
			if !hedged {
				hedge.Reset(c.hedgeDelay(slowdown) - time.Since(start))
			}
		case <-hedge.C:
			hedged = true
			c.unanswered = true
			if c.repeatable() {
				launch(c.mayHedge())
			}
		case <-ctx.Done():
			c.ran = c.ran || running > 0
			return c.refusal(ctx, ctx.Err())
		}
	}
}

// recordRun records whether the request may have run in an attempt. An attempt in
// which it cannot have run no longer counts as sent.
func (c *call) recordRun(o outcome) {
	c.recordPeer(o.err)
	switch {
	case o.notRun:
		c.refused = true
		c.sent--
		if o.load.Slowdown > 0 && o.load.Waiting > 0 {
			c.full++
		}
	case errors.Is(o.err, backend.ErrLimited):
		c.limited++
		c.sent--
	case errors.Is(o.err, backend.ErrNotSent):
		c.unanswered = true
		c.sent--
	default:
		c.ran = true
	}
}

// retryAll reports whether to try all servers again. If so, it first waits for
// retryInterval and clears c.tried.
func (c *call) retryAll(ctx context.Context, last outcome) bool {
	if c.refusedByPeer != nil || c.ran && (!c.repeatable() || last.status > 0) || c.sent >= c.route.MaxServers {
		return false
	}
	c.rounds++
	if len(c.tried) == c.limited || c.rounds >= maxRounds || c.full > 0 && c.full == len(c.tried) {
		return false
	}
	fleet.Sleep(ctx, retryInterval)
	c.nextRound()
	return ctx.Err() == nil
}

// nextRound lets all servers and peers be tried again.
func (c *call) nextRound() {
	clear(c.tried)
	c.limited, c.full = 0, 0
	c.noPeer = false
}

// better returns the outcome that is more informative to the caller: b if it is a
// server's response to a request that has run.
func better(a, b outcome) outcome {
	if b.err == nil && !b.notRun || a.status == 0 {
		return b
	}
	return a
}

// deliver passes a response on to the caller.
func (c *call) deliver(o outcome) error {
	c.begun.Store(true)
	c.sink.Begin(o.status, o.header, int64(len(o.body)))
	return c.sink.Write(o.body)
}

// logFailure logs an attempt without a usable response.
func (c *call) logFailure(o outcome) {
	c.log.Info("attempt failed", zap.String("Request", c.request.ID), zap.String("Server", o.server),
		zap.Int("Status", o.status), zap.Bool("NotRun", o.notRun), zap.Error(o.err))
}

// giveUp passes on the last error status that a server answered with, or returns
// a refusal if there is none.
func (c *call) giveUp(ctx context.Context, last outcome) error {
	if last.status > 0 && !last.notRun && last.err == nil {
		return c.deliver(last)
	}
	return c.refusal(ctx, errNoServer)
}

// hedgeDelay returns the time after which the request is also sent to a second server, given
// the slowdown of the first one: an unslowed server would have answered sooner.
func (c *call) hedgeDelay(slowdown float64) time.Duration {
	return max(minHedgeDelay, time.Duration(hedgeFraction*float64(c.route.Objective)/slowdown))
}

// recordSlowdown lets the request be hedged sooner if the server that runs it is slowed down.
func (c *call) recordSlowdown(slowdown float64) {
	if slowdown < minSlowdown {
		return
	}
	select {
	case c.slowed <- slowdown:
	default:
	}
}

// mayHedge returns a function that reports whether the request may also be sent to a server
// while another one runs it. Servers that limit their rates or at which requests wait are
// left to requests that nobody runs.
func (c *call) mayHedge() func(backend.Server) bool {
	busy := c.balancer.Busy()
	return func(s backend.Server) bool {
		return c.mayTry(s) && !c.balancer.Limited(s) && !busy.Contains(s.ID)
	}
}

// launch starts an attempt on the best of the allowed servers. It reports whether one was
// started.
func (c *call) launch(ctx context.Context, results chan<- outcome, allowed func(backend.Server) bool) bool {
	if c.sent >= c.route.MaxServers {
		return false
	}
	s, ok := c.balancer.Choose(c.fleet.Servers().List, c.service, allowed)
	if !ok {
		return false
	}
	c.tried[s.ID] = true
	c.sent++
	c.recordSlowdown(c.balancer.Slowdown(s.ID))
	go func() {
		start := time.Now()
		o := c.attempt(ctx, s)
		if errors.Is(o.err, backend.ErrLimited) {
			c.balancer.Cancel(s.ID)
		} else {
			failed := o.err != nil && ctx.Err() == nil || o.notRun
			c.balancer.Done(s.ID, time.Since(start), o.load, failed)
		}
		// Another server at the address answers that the request was misdirected.
		if o.err == nil && o.status != http.StatusMisdirectedRequest {
			c.Alive(s, start)
		}
		switch {
		case errors.Is(o.err, backend.ErrIncomplete) && ctx.Err() == nil:
			c.Suspect(c.fingerprint, s, start)
		case o.deliverable():
			c.Cleared(c.fingerprint)
		}
		c.metrics.Attempt(metrics.KindLive, o.name(), s.Address.String(), time.Since(start))
		results <- o
	}()
	return true
}

// attempt sends the request to one server and reads its complete response.
func (c *call) attempt(ctx context.Context, s backend.Server) outcome {
	o := outcome{server: s.ID}
	resp, err := c.client.Do(ctx, s, c.request.Request)
	if err != nil {
		o.err = err
		return o
	}
	defer resp.Body.Close()
	o.status, o.header, o.notRun, o.load = resp.Status, resp.Header, resp.NotRun, resp.Load
	c.recordSlowdown(resp.Load.Slowdown)
	o.body, o.err = readResponse(ctx, resp)
	return o
}

// readResponse reads the body of a response, as the daemon's memory allows. Its errors wrap
// backend.ErrIncomplete.
func readResponse(ctx context.Context, resp *backend.Response) ([]byte, error) {
	b, err := intake.ReadResponse(ctx, resp.Body, resp.Length, maxBufferedBytes)
	if err != nil {
		return nil, errors.Wrap(backend.ErrIncomplete, err.Error())
	}
	return b, nil
}
