package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/control/route"
	"github.com/lacewingtally/lacewingtally/internal/front/backend"
)

// retryAfterEvacuated is the delay after which a caller should retry a request for which no
// server is available because of an evacuation or a restriction to regions. Both end when
// operators change them, so that earlier retries are of no use.
const retryAfterEvacuated = time.Second

// errMoved is the cause with which a stream's attempt is cancelled to move it.
var errMoved = errors.New("forward: stream moves away from an evacuated server")

// resumableStreams are the running attempts of streams that may continue on another server.
// The zero value is empty.
type resumableStreams struct {
	mutex    sync.Mutex
	attempts map[*streamAttempt]struct{}
}

// streamAttempt is an attempt of a stream at a server.
type streamAttempt struct {
	request string
	server  backend.Server
	cancel  context.CancelCauseFunc
	// allowedIn reports whether it may continue in a failure domain.
	allowedIn func(domain string) bool
}

// evacuated reports whether no server could run the request now, and some could if their
// failure domains were not evacuated.
func (c *call) evacuated() bool {
	found := false
	for _, s := range c.fleet.Servers().List {
		if s.Service != c.service || c.software.Or(s.Software) != s.Software || !c.allowedIn(s.Domain) {
			continue
		}
		evacuated := s.Evacuated || c.evacuatedAtSender.Contains(s.Domain)
		if !s.Draining && !evacuated {
			return false
		}
		found = found || evacuated
	}
	return found
}

// beginMovable returns the context of a stream's attempt at a server, which is cancelled with
// errMoved when the stream is to be moved; end must be called after the attempt.
func (c *call) beginMovable(ctx context.Context, s backend.Server) (attempt context.Context, end func()) {
	if c.route.Kind != route.Stream || !c.route.Resumable {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	a := &streamAttempt{request: c.request.ID, server: s, cancel: cancel, allowedIn: c.allowedIn}
	r := &c.resumable
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.attempts == nil {
		r.attempts = make(map[*streamAttempt]struct{})
	}
	r.attempts[a] = struct{}{}
	return ctx, func() {
		cancel(nil)
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.attempts, a)
	}
}

// moveStreams moves the streams on evacuated servers that another server of the same software
// version can continue. The others end where they are.
func (f *Forwarder) moveStreams() {
	evacuated, servers := f.fleet.Evacuated(), f.fleet.Servers().List
	f.resumable.mutex.Lock()
	defer f.resumable.mutex.Unlock()
	for a := range f.resumable.attempts {
		if !evacuated.Contains(a.server.Domain) {
			continue
		}
		other := slices.ContainsFunc(servers, func(s backend.Server) bool {
			return s.Service == a.server.Service && s.Software == a.server.Software && !s.Draining && a.allowedIn(s.Domain)
		})
		if other {
			f.log.Info("stream moved away from an evacuated server", zap.String("Request", a.request), zap.String("Server", a.server.ID))
			a.cancel(errMoved)
			delete(f.resumable.attempts, a)
		}
	}
}

// movedError returns the error of an attempt with its context: backend.ErrMoved if it was
// cancelled to move the stream.
func movedError(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errMoved) {
		return errors.Wrap(backend.ErrMoved, err.Error())
	}
	return err
}
