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

// PassThrough forwards plain HTTP requests to services. Use NewPassThrough.
type PassThrough struct {
	options  Options
	requests *ActiveRequests
}

// call is the state of one request to a service.
type call struct {
	// answer is set when the complete answer, or its first part, has been
	// received.
	answer service.Response
	// held is the claim; nil if none is needed or none has been made yet.
	held *claim.Held
	// hasID reports whether the caller set the request ID.
	hasID       bool
	fingerprint quarantine.Fingerprint
	options     Options
	// repeated reports whether the caller marked the request as sent before.
	repeated bool
	request  service.Request
	route    config.Route
	active   *ActiveRequest
}

// NewPassThrough returns a handler that registers its requests with r.
func NewPassThrough(o Options, r *ActiveRequests) *PassThrough {
	return &PassThrough{options: o.withDefaults(), requests: r}
}

// ServeHTTP implements http.Handler.
func (p *PassThrough) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x, ctx, err := p.admit(w, r)
	if err != nil {
		p.refuse(w, x, err)
		return
	}
	defer x.active.End()
	p.options.record(x.event(timeline.RequestStarted, ""))
	err = x.run(ctx)
	if err == nil {
		err = x.recheckKey()
	}
	if err != nil {
		p.refuse(w, x, err)
		return
	}
	x.deliver(w)
	p.options.record(x.event(timeline.RequestEnded, ""))
}

// admit determines the route, registers the request with its key, unless the route
// is open, and reads it. If it fails, the request is no longer registered.
func (p *PassThrough) admit(w http.ResponseWriter, r *http.Request) (*call, context.Context, error) {
	x := &call{options: p.options}
	ctx := r.Context()
	route, ok := p.options.Source.State().Config.Route(r.URL.Path)
	if !ok {
		return x, ctx, refusal.NotRun(refusal.ReasonNoRoute, time.Time{}, errMalformed)
	}
	x.route = route
	x.repeated = r.Header.Get(repeatHeader) == "true"
	key := requestKey(r)
	var err error
	if route.Open {
		ctx, x.active = p.requests.BeginOpen(ctx)
	} else {
		ctx, x.active, err = p.requests.Begin(ctx, key)
	}
	if err != nil {
		return x, ctx, err
	}
	if err := x.read(w, r, key); err != nil {
		x.active.End()
		return x, ctx, err
	}
	return x, ctx, nil
}

func (p *PassThrough) refuse(w http.ResponseWriter, x *call, err error) {
	var e *refusal.Error
	if !errors.As(err, &e) {
		e = refusal.MayHaveRun(refusal.ReasonServer, time.Time{}, err)
	}
	if x.repeated && x.held == nil && errors.Is(e, refusal.ErrNotRun) {
		// This call has not run, but without a claim it is unknown whether the
		// earlier ones have.
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
		Kind:      serverKind(g.Server),
		Requests:  1,
	})
	return 0, nil
}

// claim makes the claim for a request that needs one and has none yet. If the claim
// already contains an answer, it sets x.answer and returns true. It runs after the
// grant is acquired, so that a request refused for overload causes no table access.
func (x *call) claim(ctx context.Context) (bool, error) {
	if x.route.Repeatable || !x.hasID || x.held != nil {
		return false, nil
	}
	if x.options.Claims == nil {
		return false, refusal.NotRun(refusal.ReasonStore, time.Now().Add(retryAfter), nil)
	}
	held, kept, err := x.options.Claims.Begin(ctx, x.request.Workspace, x.request.ID, uint64(x.fingerprint))
	if err != nil {
		return false, err
	}
	if kept != nil {
		x.answer = service.Response{Status: kept.Status, Header: kept.Header, Body: kept.Body}
		return true, nil
	}
	x.held = held
	return false, nil
}

// deliver writes the answer to the caller. If the answer is truncated after its
// first part, deliver aborts the caller's connection, so that the caller does not
// take the answer for complete.
func (x *call) deliver(w http.ResponseWriter) {
	h := w.Header()
	for k, v := range responseHeader(x.answer.Header) {
		h[k] = v
	}
	h.Set(service.RequestHeader, string(x.request.ID))
	w.WriteHeader(x.answer.Status)
	if _, err := w.Write(x.answer.Body); err != nil || x.answer.Rest == nil {
		return
	}
	defer x.answer.Rest.Close()
	if err := x.streamRest(w); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// recheckKey checks the key again before the answer is delivered. If the key is no
// longer valid, it closes the answer and returns a MayHaveRun refusal, because the
// request has run by now.
func (x *call) recheckKey() error {
	var e *refusal.Error
	if !errors.As(x.active.Check(time.Now()), &e) {
		return nil
	}
	if x.answer.Rest != nil {
		x.answer.Rest.Close()
	}
	return refusal.MayHaveRun(e.Reason, e.RetryAt, e)
}

// streamRest copies the rest of the answer to the caller and checks the key before
// each write.
func (x *call) streamRest(w http.ResponseWriter) error {
	c := http.NewResponseController(w)
	b := make([]byte, 32<<10)
	for {
		n, err := x.answer.Rest.Read(b)
		if err := x.active.Check(time.Now()); err != nil {
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

// read reads the complete request; no part of it is sent to a server before that.
// It refuses a request that is too large, has too long an ID, or contains the key
// in its path or body.
func (x *call) read(w http.ResponseWriter, r *http.Request, key string) error {
	if len(r.Header.Get(service.RequestHeader)) > idLimit {
		return refusal.NotRun(refusal.ReasonNoRoute, time.Time{}, errMalformed)
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		return refusal.NotRun(refusal.ReasonLimit, time.Time{}, err)
	}
	if key != "" && bytes.Contains(b, []byte(key)) || containsKey(r.URL.Path, key) {
		return refusal.NotRun(refusal.ReasonKey, time.Time{}, errMalformed)
	}
	x.request = newServiceRequest(r, b, key)
	x.hasID = x.request.ID != ""
	if !x.hasID {
		x.request.ID = fleet.RequestID(uuid.NewString())
	}
	x.request.Workspace = x.active.Workspace
	x.fingerprint = quarantine.FingerprintOf(x.request.Workspace, r.Method, x.request.Path, x.request.RawQuery, string(b))
	return nil
}

// run executes the request and settles its claim.
func (x *call) run(ctx context.Context) error {
	deadline := time.Now().Add(defaultTimeout)
	if d, ok := ctx.Deadline(); ok {
		deadline = d
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	p := &placement{
		beforeSend:  x.claim,
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
	x.settleClaim(p.run.State())
	return err
}

// settleClaim updates the claim with the outcome of the request in the background,
// and waits for the update up to a time limit. A repeat of the request then
// normally finds the answer, or no claim.
func (x *call) settleClaim(s attempt.State) {
	if x.held == nil {
		return
	}
	// Registered as a request, so that a graceful shutdown waits for it.
	ctx, active := x.active.requests.BeginOpen(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer active.End()
		x.updateClaim(ctx, s)
	}()
	timeout := keepClaimTimeout
	if s == attempt.NotSent {
		timeout = releaseClaimTimeout
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

func (x *call) updateClaim(ctx context.Context, s attempt.State) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	var err error
	switch {
	case s == attempt.Answered && x.answer.Rest == nil:
		err = x.held.Keep(ctx, claim.Answer{
			Status: x.answer.Status, Header: responseHeader(x.answer.Header), Body: x.answer.Body,
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

func newServiceRequest(r *http.Request, b []byte, key string) service.Request {
	id := r.Header.Get(service.RequestHeader)
	if containsKey(id, key) {
		id = ""
	}
	return service.Request{
		ID:       fleet.RequestID(id),
		Method:   r.Method,
		Path:     strings.TrimSuffix(r.URL.EscapedPath(), "?"),
		RawQuery: sanitizeQuery(r.URL.RawQuery, key),
		Header:   sanitizeHeader(r.Header, key),
		Body:     b,
	}
}
