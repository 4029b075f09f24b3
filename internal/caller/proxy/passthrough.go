package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/backend/service"
	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/caller/gate"
	"github.com/lacewingtally/lacewingtally/internal/control/attempt"
	"github.com/lacewingtally/lacewingtally/internal/control/claim"
	"github.com/lacewingtally/lacewingtally/internal/control/config"
	"github.com/lacewingtally/lacewingtally/internal/control/quarantine"
	"github.com/lacewingtally/lacewingtally/internal/daemon/timeline"
)

// PassThrough routes plain HTTP requests to services. Use NewPassThrough.
type PassThrough struct {
	options Options
	running *Running
}

// call is the run of one request to a service.
type call struct {
	// answer is set once the whole answer, or its first part, was received.
	answer service.Answer
	// held is the claim; nil when none was needed or made yet.
	held *claim.Held
	// id is whether the caller gave the request's ID.
	id          bool
	fingerprint quarantine.Fingerprint
	options     Options
	// repeat is whether the caller says that it has sent the request before.
	repeat  bool
	request service.Request
	route   config.Route
	ticket  *Ticket
}

// NewPassThrough returns a handler that lets requests run by r.
func NewPassThrough(o Options, r *Running) *PassThrough {
	return &PassThrough{options: o.complete(), running: r}
}

// ServeHTTP implements http.Handler.
func (p *PassThrough) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x, ctx, err := p.admit(w, r)
	if err != nil {
		p.refuse(w, x, err)
		return
	}
	defer x.ticket.End()
	p.options.record(x.event(timeline.RequestStarted, ""))
	err = x.run(ctx)
	if err == nil {
		err = x.confirm()
	}
	if err != nil {
		p.refuse(w, x, err)
		return
	}
	x.deliver(w)
	p.options.record(x.event(timeline.RequestEnded, ""))
}

// admit finds the route and the workspace, and reads the request.
func (p *PassThrough) admit(w http.ResponseWriter, r *http.Request) (*call, context.Context, error) {
	x := &call{options: p.options}
	ctx := r.Context()
	route, ok := p.options.Source.State().Config.Route(r.URL.Path)
	if !ok {
		return x, ctx, refusal.NotRun(refusal.ReasonNoRoute, time.Time{}, errArgument)
	}
	x.route = route
	x.repeat = r.Header.Get(repeatHeader) == "true"
	key := keyOf(r)
	var err error
	if route.Open {
		ctx, x.ticket = p.running.BeginOpen(ctx)
	} else {
		ctx, x.ticket, err = p.running.Begin(ctx, key)
	}
	if err != nil {
		return x, ctx, err
	}
	if err := x.read(w, r, key); err != nil {
		x.ticket.End()
		return x, ctx, err
	}
	return x, ctx, nil
}

func (p *PassThrough) refuse(w http.ResponseWriter, x *call, err error) {
	var e *refusal.Error
	if !errors.As(err, &e) {
		e = refusal.MayHaveRun(refusal.ReasonServer, time.Time{}, err)
	}
	if x.repeat && x.held == nil && errors.Is(e, refusal.ErrNotRun) {
		// This call has not run, but without a claim nothing is known of the
		// earlier ones.
		e = refusal.MayHaveRun(e.Reason, e.RetryAt, e)
	}
	k := timeline.RequestRefused
	if e.Reason == refusal.ReasonKey {
		k = timeline.KeyRefused
	}
	p.options.record(x.event(k, e.Error()))
	WriteRefusal(w, time.Now(), e)
}

// attempt sends the request to one server.
func (x *call) attempt(ctx context.Context, g gate.Grant) (int, error) {
	x.request.Attempt = uuid.NewString()
	a, err := x.options.Services.Do(ctx, g.Server.Address, x.request)
	if err != nil {
		return 0, err
	}
	x.answer = a
	x.options.meter(gate.Usage{
		At:        time.Now(),
		Workspace: x.request.Workspace,
		Pool:      x.route.Pool,
		Kind:      kindOf(g.Server),
		Requests:  1,
	})
	return 0, nil
}

// claim makes the claim of a request that needs one and has none yet. It
// reports whether the answer is there already. It comes after the grant, so
// that a request refused for overload costs the table nothing.
func (x *call) claim(ctx context.Context) (bool, error) {
	if x.route.Repeatable || !x.id || x.held != nil {
		return false, nil
	}
	if x.options.Claims == nil {
		return false, refusal.NotRun(refusal.ReasonStore, time.Now().Add(returnAfter), nil)
	}
	held, kept, err := x.options.Claims.Begin(ctx, x.request.Workspace, x.request.ID, uint64(x.fingerprint))
	if err != nil {
		return false, err
	}
	if kept != nil {
		x.answer = service.Answer{Status: kept.Status, Header: kept.Header, Body: kept.Body}
		return true, nil
	}
	x.held = held
	return false, nil
}

// deliver gives the answer to the caller. One that is cut after its first part
// cuts the caller's connection, so that it is not taken for whole.
func (x *call) deliver(w http.ResponseWriter) {
	h := w.Header()
	for k, v := range answerHeader(x.answer.Header) {
		h[k] = v
	}
	h.Set(service.RequestHeader, string(x.request.ID))
	w.WriteHeader(x.answer.Status)
	if _, err := w.Write(x.answer.Body); err != nil || x.answer.Rest == nil {
		return
	}
	defer x.answer.Rest.Close()
	if err := x.copy(w); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// confirm asks whether the answer may still be given to the caller. The request
// has run by now, whatever the refusal of the key says.
func (x *call) confirm() error {
	var e *refusal.Error
	if !errors.As(x.ticket.Check(time.Now()), &e) {
		return nil
	}
	if x.answer.Rest != nil {
		x.answer.Rest.Close()
	}
	return refusal.MayHaveRun(e.Reason, e.RetryAt, e)
}

func (x *call) copy(w http.ResponseWriter) error {
	c := http.NewResponseController(w)
	b := make([]byte, 32<<10)
	for {
		n, err := x.answer.Rest.Read(b)
		if err := x.ticket.Check(time.Now()); err != nil {
			return err
		}
		if _, err := w.Write(b[:n]); err != nil {
			return err
		}
		if err := c.Flush(); err != nil {
			return err
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (x *call) event(k timeline.Kind, detail string) timeline.Event {
	return timeline.Event{Kind: k, Request: x.request.ID, Workspace: x.request.Workspace, Detail: detail}
}

// read reads the request whole: it is sent only once all of it is there.
func (x *call) read(w http.ResponseWriter, r *http.Request, key string) error {
	if len(r.Header.Get(service.RequestHeader)) > idLimit {
		return refusal.NotRun(refusal.ReasonNoRoute, time.Time{}, errArgument)
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		return refusal.NotRun(refusal.ReasonLimit, time.Time{}, err)
	}
	if key != "" && bytes.Contains(b, []byte(key)) || holds(r.URL.Path, key) {
		return refusal.NotRun(refusal.ReasonKey, time.Time{}, errArgument)
	}
	x.request = requestOf(r, b, key)
	x.id = x.request.ID != ""
	if !x.id {
		x.request.ID = fleet.RequestID(uuid.NewString())
	}
	x.request.Workspace = x.ticket.Workspace
	x.fingerprint = quarantine.FingerprintOf(x.request.Workspace, r.Method, x.request.Path, x.request.RawQuery, string(b))
	return nil
}

// run has the request run and its claim settled.
func (x *call) run(ctx context.Context) error {
	deadline := time.Now().Add(defaultPatience)
	if d, ok := ctx.Deadline(); ok {
		deadline = d
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	p := &placement{
		before:      x.claim,
		options:     x.options,
		fingerprint: x.fingerprint,
		request: gate.Request{
			ID:        x.request.ID,
			Workspace: x.request.Workspace,
			Pool:      x.route.Pool,
			Class:     x.route.Class,
			Deadline:  deadline,
		},
		run: attempt.Run{Deadline: deadline, Repeatable: x.route.Repeatable},
	}
	err := p.do(ctx, x.attempt)
	x.settle(p.run.State())
	return err
}

// settle has the claim told how the request ended. The caller waits for that for
// a little, so that a repeat finds the answer, or no claim.
func (x *call) settle(s attempt.State) {
	if x.held == nil {
		return
	}
	// A graceful shutdown waits for it as for a request.
	ctx, hold := x.ticket.running.BeginOpen(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer hold.End()
		x.tell(ctx, s)
	}()
	wait := keepWait
	if s == attempt.NotSent {
		wait = releaseWait
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

func (x *call) tell(ctx context.Context, s attempt.State) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	var err error
	switch {
	case s == attempt.Answered && x.answer.Rest == nil:
		err = x.held.Keep(ctx, claim.Answer{
			Status: x.answer.Status, Header: answerHeader(x.answer.Header), Body: x.answer.Body,
		})
	case s == attempt.NotSent:
		err = x.held.Release(ctx)
	default:
		x.held.Lose()
	}
	if err != nil {
		x.options.record(x.event(timeline.StoreLost, "claim left as it is"))
	}
}

func requestOf(r *http.Request, b []byte, key string) service.Request {
	id := r.Header.Get(service.RequestHeader)
	if holds(id, key) {
		id = ""
	}
	return service.Request{
		ID:       fleet.RequestID(id),
		Method:   r.Method,
		Path:     strings.TrimSuffix(r.URL.EscapedPath(), "?"),
		RawQuery: cleanQuery(r.URL.RawQuery, key),
		Header:   cleanHeader(r.Header, key),
		Body:     b,
	}
}
