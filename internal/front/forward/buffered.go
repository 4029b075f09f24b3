package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/front/backend"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/metrics"
)

const (
	// hedgePart is the part of the objective after which a request that may
	// run more than once is sent to a second server as well.
	hedgePart = 0.45
	// minHedge bounds that time from below.
	minHedge = 40 * time.Millisecond
	// maxWhole bounds an answer that is held whole before it is passed on, in
	// bytes.
	maxWhole = 4 << 20
	// retryWait is the wait before all servers are tried once more.
	retryWait = 30 * time.Millisecond
	// maxRounds bounds how often all servers are tried. A caller that is
	// refused soon can come back in time.
	maxRounds = 2
)

// errNoServer says that no server is left to try.
var errNoServer = errors.New("forward: no server")

// outcome is the end of one attempt.
type outcome struct {
	server string
	status int
	header http.Header
	body   []byte
	notRun bool
	load   backend.Load
	err    error
}

// name is the outcome in metrics.
func (o outcome) name() string {
	return metrics.Outcome(o.status, o.notRun, o.err)
}

// good reports whether the outcome is an answer for the caller.
func (o outcome) good() bool {
	return o.err == nil && !o.notRun && o.status < http.StatusInternalServerError
}

// whole has the request answered by one whole answer. Requests that may run
// more than once go to a second server when the first fails or is late.
func (x *call) whole(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan outcome, x.route.MaxServers+1)
	running := 0
	var last outcome
	hedge := time.NewTimer(x.hedgeAfter())
	defer hedge.Stop()
	launch := func() {
		if x.launch(ctx, results) {
			running++
		}
	}
	launch()
	for {
		if running == 0 {
			if !x.again(ctx, last) {
				return x.giveUp(ctx, last)
			}
			launch()
			continue
		}
		select {
		case o := <-results:
			running--
			x.learn(o)
			if o.good() {
				return x.deliver(o)
			}
			last = better(last, o)
			x.explain(o)
			if x.repeatable() || !x.ran {
				launch()
			}
		case <-hedge.C:
			if x.repeatable() {
				launch()
			}
		case <-ctx.Done():
			x.ran = x.ran || running > 0
			return x.verdict(ctx, ctx.Err())
		}
	}
}

// learn takes what an attempt says of whether the request has run.
func (x *call) learn(o outcome) {
	switch {
	case o.notRun:
		x.refused = true
		x.sent--
	case errors.Is(o.err, backend.ErrNotSent):
		x.sent--
	default:
		x.ran = true
	}
}

// again reports whether the servers are tried once more, after a short wait.
func (x *call) again(ctx context.Context, last outcome) bool {
	if x.ran && (!x.repeatable() || last.status > 0) || x.sent >= x.route.MaxServers {
		return false
	}
	x.rounds++
	if len(x.tried) == 0 || x.rounds >= maxRounds {
		return false
	}
	fleet.Sleep(ctx, retryWait)
	clear(x.tried)
	return ctx.Err() == nil
}

// better keeps the outcome that tells the caller more.
func better(a, b outcome) outcome {
	if b.err == nil && !b.notRun || a.status == 0 {
		return b
	}
	return a
}

// deliver passes an answer on.
func (x *call) deliver(o outcome) error {
	x.sink.Begin(o.status, o.header, int64(len(o.body)))
	return x.sink.Write(o.body)
}

// explain logs an attempt that gave no answer.
func (x *call) explain(o outcome) {
	x.log.Info("attempt failed", zap.String("Request", x.request.ID), zap.String("Server", o.server),
		zap.Int("Status", o.status), zap.Bool("NotRun", o.notRun), zap.Error(o.err))
}

// giveUp returns the last failure that a server answered with, if there is one.
func (x *call) giveUp(ctx context.Context, last outcome) error {
	if last.status > 0 && !last.notRun && last.err == nil {
		return x.deliver(last)
	}
	return x.verdict(ctx, errNoServer)
}

func (x *call) hedgeAfter() time.Duration {
	return max(minHedge, time.Duration(hedgePart*float64(x.route.Objective)))
}

// launch starts an attempt at the best server that was not tried. It reports
// false if there is none.
func (x *call) launch(ctx context.Context, results chan<- outcome) bool {
	if x.sent >= x.route.MaxServers {
		return false
	}
	s, ok := x.servers.choose(x.fleet.Servers().List, x.service, x.domain, x.tried)
	if !ok {
		return false
	}
	x.tried[s.ID] = true
	x.sent++
	go func() {
		start := time.Now()
		o := x.attempt(ctx, s)
		failed := o.err != nil && ctx.Err() == nil || o.notRun
		x.servers.done(s.ID, time.Since(start), o.load, failed)
		if errors.Is(o.err, backend.ErrCut) && ctx.Err() == nil {
			x.suspects.add(x.fingerprint, time.Now())
		}
		x.metrics.Attempt(metrics.KindLive, o.name(), s.Address.String(), time.Since(start))
		results <- o
	}()
	return true
}

// attempt sends the request to one server and reads its answer whole.
func (x *call) attempt(ctx context.Context, s backend.Server) outcome {
	o := outcome{server: s.ID}
	a, err := x.client.Do(ctx, s, x.request.Request)
	if err != nil {
		o.err = err
		return o
	}
	defer a.Body.Close()
	o.status, o.header, o.notRun, o.load = a.Status, a.Header, a.NotRun, a.Load
	var b bytes.Buffer
	if _, err := io.Copy(&b, io.LimitReader(a.Body, maxWhole+1)); err != nil || b.Len() > maxWhole {
		o.err = errors.Wrapf(backend.ErrCut, "after %d bytes", b.Len())
		return o
	}
	o.body = b.Bytes()
	return o
}
