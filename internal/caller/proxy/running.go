package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/lacewingtally/lacewingtally/internal/base/fleet"
	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/view"
)

// Running knows the requests that run, so that those whose key is withdrawn
// are cut and a graceful shutdown can wait for all. Use NewRunning. Its methods
// may be called from any goroutine.
type Running struct {
	source view.Source

	mutex sync.Mutex
	// idle is closed while nothing runs.
	idle chan struct{}
	// keys holds the keyed requests by key, so that each key is looked up
	// once for each new state.
	keys  map[string]map[*Ticket]struct{}
	total int
}

// Ticket is the right of one request to run.
type Ticket struct {
	// Workspace is that of the key; empty for an open route.
	Workspace fleet.Workspace

	cancel  context.CancelCauseFunc
	key     string
	keyed   bool
	running *Running
	// state is the one that the key was last looked up in; it is used by the
	// request's own goroutine only.
	state *view.State
}

// NewRunning returns a Running that cuts requests while Serve runs.
func NewRunning(s view.Source) *Running {
	r := &Running{source: s, idle: make(chan struct{}), keys: make(map[string]map[*Ticket]struct{})}
	close(r.idle)
	return r
}

// Begin lets a request with a key run. The context ends when the key is
// withdrawn, moves to another workspace or can't be confirmed any more. The
// error is a *refusal.Error.
func (r *Running) Begin(ctx context.Context, key string) (context.Context, *Ticket, error) {
	s := r.source.State()
	w, ok := s.Config.Workspace(key)
	t := &Ticket{Workspace: w, key: key, keyed: true, running: r, state: s}
	if e := judge(s, time.Now(), key, ok); e != nil {
		return ctx, nil, e
	}
	ctx, t.cancel = context.WithCancelCause(ctx)
	r.add(t)
	// A state that came since the look-up may have been missed by Serve.
	if err := t.Check(time.Now()); err != nil {
		t.End()
		return ctx, nil, err
	}
	return ctx, t, nil
}

// BeginOpen lets a request without a key run.
func (r *Running) BeginOpen(ctx context.Context) (context.Context, *Ticket) {
	t := &Ticket{running: r}
	ctx, t.cancel = context.WithCancelCause(ctx)
	r.add(t)
	return ctx, t
}

// Drain waits until nothing runs, or the context ends.
func (r *Running) Drain(ctx context.Context) error {
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

// Serve cuts requests whose key does not hold any more until the context ends.
func (r *Running) Serve(ctx context.Context) error {
	for {
		s := r.source.State()
		now := time.Now()
		r.cut(s, now)
		wait := max(time.Until(s.ConfirmedUntil), returnAfter/2)
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

func (r *Running) add(t *Ticket) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.total == 0 {
		r.idle = make(chan struct{})
	}
	r.total++
	if !t.keyed {
		return
	}
	if r.keys[t.key] == nil {
		r.keys[t.key] = make(map[*Ticket]struct{})
	}
	r.keys[t.key][t] = struct{}{}
}

func (r *Running) cut(s *view.State, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for key, tickets := range r.keys {
		w, ok := s.Config.Workspace(key)
		for t := range tickets {
			if e := judge(s, now, key, ok && w == t.Workspace); e != nil {
				t.cancel(e)
			}
		}
	}
}

// Check returns a *refusal.Error when the request must not go on at now. It is
// called by the request's own goroutine before each part of its answer: a
// thawed VM may reach it before Serve wakes.
func (t *Ticket) Check(now time.Time) error {
	if !t.keyed {
		return nil
	}
	s := t.running.source.State()
	granted := true
	if s != t.state {
		w, ok := s.Config.Workspace(t.key)
		granted = ok && w == t.Workspace
	}
	if e := judge(s, now, t.key, granted); e != nil {
		t.cancel(e)
		return e
	}
	t.state = s
	return nil
}

// End says that the request is over. It is called exactly once.
func (t *Ticket) End() {
	r := t.running
	t.cancel(nil)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.total--
	if r.total == 0 {
		close(r.idle)
	}
	if !t.keyed {
		return
	}
	delete(r.keys[t.key], t)
	if len(r.keys[t.key]) == 0 {
		delete(r.keys, t.key)
	}
}

// judge returns why a key must not be used, or nil.
func judge(s *view.State, now time.Time, key string, granted bool) *refusal.Error {
	switch {
	case key == "":
		return refusal.NotRun(refusal.ReasonKey, time.Time{}, nil)
	case !s.Confirmed(now):
		return refusal.NotRun(refusal.ReasonUnconfirmed, now.Add(returnAfter), nil)
	case !granted:
		return refusal.NotRun(refusal.ReasonKey, time.Time{}, nil)
	}
	return nil
}
