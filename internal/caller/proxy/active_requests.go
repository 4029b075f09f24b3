package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
)

// ActiveRequests tracks the requests in progress, so that those whose key is
// withdrawn are cancelled and a graceful shutdown can wait for all of them. Use
// NewActiveRequests. Its methods may be called from any goroutine.
type ActiveRequests struct {
	source view.Source

	mutex sync.Mutex
	// idle is closed while no request is in progress.
	idle chan struct{}
	// byKey contains the requests with a key, by key, so that each key is
	// looked up only once for each new state.
	byKey map[string]map[*ActiveRequest]struct{}
	total int
}

// ActiveRequest is one request in progress. It must be ended with End.
type ActiveRequest struct {
	// Workspace is the workspace of the key; empty for an open route.
	Workspace fleet.Workspace

	cancel   context.CancelCauseFunc
	key      string
	hasKey   bool
	requests *ActiveRequests
	// state is the view state in which the key was last looked up. Only the
	// request's own goroutine uses it.
	state *view.State
}

// NewActiveRequests returns an ActiveRequests without requests. It cancels
// requests only while Serve runs.
func NewActiveRequests(s view.Source) *ActiveRequests {
	r := &ActiveRequests{source: s, idle: make(chan struct{}), byKey: make(map[string]map[*ActiveRequest]struct{})}
	close(r.idle)
	return r
}

// Begin registers a request with a key. The returned context is cancelled when
// the key is withdrawn, moves to another workspace or can no longer be confirmed.
// The error is a *refusal.Error.
func (r *ActiveRequests) Begin(ctx context.Context, key string) (context.Context, *ActiveRequest, error) {
	s := r.source.State()
	w, ok := s.Config.Workspace(key)
	a := &ActiveRequest{Workspace: w, key: key, hasKey: true, requests: r, state: s}
	if e := checkKey(s, time.Now(), key, ok); e != nil {
		return ctx, nil, e
	}
	ctx, a.cancel = context.WithCancelCause(ctx)
	r.add(a)
	// Serve may have processed a newer state before the request was added.
	if err := a.Check(time.Now()); err != nil {
		a.End()
		return ctx, nil, err
	}
	return ctx, a, nil
}

// BeginOpen registers a request without a key.
func (r *ActiveRequests) BeginOpen(ctx context.Context) (context.Context, *ActiveRequest) {
	a := &ActiveRequest{requests: r}
	ctx, a.cancel = context.WithCancelCause(ctx)
	r.add(a)
	return ctx, a
}

// Drain waits until no request is in progress or the context ends.
func (r *ActiveRequests) Drain(ctx context.Context) error {
	for {
		r.mutex.Lock()
		idle, total := r.idle, r.total
		r.mutex.Unlock()
		if total == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Serve cancels requests whose key is no longer valid, until the context ends.
func (r *ActiveRequests) Serve(ctx context.Context) error {
	for {
		s := r.source.State()
		now := time.Now()
		r.cancelRefused(s, now)
		wait := max(time.Until(s.ConfirmedUntil), retryAfter/2)
		if s.Confirmed(now) {
			wait = time.Until(s.ConfirmedUntil)
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-s.Superseded:
		case <-t.C:
		}
		t.Stop()
	}
}

func (r *ActiveRequests) add(a *ActiveRequest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.total == 0 {
		r.idle = make(chan struct{})
	}
	r.total++
	if !a.hasKey {
		return
	}
	if r.byKey[a.key] == nil {
		r.byKey[a.key] = make(map[*ActiveRequest]struct{})
	}
	r.byKey[a.key][a] = struct{}{}
}

func (r *ActiveRequests) cancelRefused(s *view.State, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for key, requests := range r.byKey {
		w, ok := s.Config.Workspace(key)
		for a := range requests {
			if e := checkKey(s, now, key, ok && w == a.Workspace); e != nil {
				a.cancel(e)
			}
		}
	}
}

// Check returns a *refusal.Error if the request must not continue at now. The
// request's own goroutine calls it before each chunk of the answer, because on a
// VM that resumes after a freeze the request may run before Serve does.
func (a *ActiveRequest) Check(now time.Time) error {
	if !a.hasKey {
		return nil
	}
	s := a.requests.source.State()
	valid := true
	if s != a.state {
		w, ok := s.Config.Workspace(a.key)
		valid = ok && w == a.Workspace
	}
	if e := checkKey(s, now, a.key, valid); e != nil {
		a.cancel(e)
		return e
	}
	a.state = s
	return nil
}

// End removes the request. It must be called exactly once.
func (a *ActiveRequest) End() {
	r := a.requests
	a.cancel(nil)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.total--
	if r.total == 0 {
		close(r.idle)
	}
	if !a.hasKey {
		return
	}
	delete(r.byKey[a.key], a)
	if len(r.byKey[a.key]) == 0 {
		delete(r.byKey, a.key)
	}
}

// checkKey returns why a request with the key must not run at now, or nil. valid
// reports whether the state assigns the key to the workspace of the request.
func checkKey(s *view.State, now time.Time, key string, valid bool) *refusal.Error {
	switch {
	case key == "":
		return refusal.NotRun(refusal.ReasonKey, time.Time{}, nil)
	case !s.Confirmed(now):
		return refusal.NotRun(refusal.ReasonUnconfirmed, now.Add(retryAfter), nil)
	case !valid:
		return refusal.NotRun(refusal.ReasonKey, time.Time{}, nil)
	}
	return nil
}
