package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/lacewingtally/lacewingtally/internal/base/refusal"
	"github.com/lacewingtally/lacewingtally/internal/control/partition"
	"github.com/lacewingtally/lacewingtally/internal/front/fleet"
	"github.com/lacewingtally/lacewingtally/internal/front/intake"
	"github.com/lacewingtally/lacewingtally/internal/peer/wire"
)

// pieceSize is the largest piece of a body in one part, in bytes.
const pieceSize = 256 << 10

// ErrUnable is returned by a Runner that has no configuration, one without the request's
// route, or an older one than the sender.
var ErrUnable = errors.New("peer: configuration is older or lacks the route")

// Errors with which a daemon refuses a request of another one that it has not begun.
var (
	errBusy        = errors.New("peer: too many requests of other daemons")
	errLate        = errors.New("peer: deadline has passed")
	errLeaving     = errors.New("peer: daemon is leaving")
	errNoClock     = errors.New("peer: store's clock is not known")
	errPartitioned = errors.New("peer: daemon is partitioned from the servers")
)

// Runner runs requests of other daemons.
type Runner interface {
	// RunForPeer runs a request on a server that this daemon reaches and passes the
	// response to s. Its error is ErrUnable, a *refusal.Error or an error of s.
	RunForPeer(ctx context.Context, q Request, s Sink) error
}

// Sink receives a response.
type Sink interface {
	// Begin receives the head of the response.
	Begin(h Head)
	// Write receives a part of the body.
	Write(part []byte) error
}

// Server runs requests of other daemons. Use NewServer. Its methods may be called from
// any goroutine.
type Server struct {
	runner Runner
	fleet  *fleet.State
	// partitioned reports whether this daemon is partitioned from the servers.
	partitioned func() bool
	// most is the number of requests that run at the same time.
	most int
	// budget bounds what their responses hold; nil if nothing does.
	budget *intake.Budget
	log    *zap.Logger

	mutex   sync.Mutex
	running int
	// drained is closed once no request runs any more; nil until Drain.
	drained chan struct{}
}

// NewServer returns a Server for a daemon with a share of a core.
func NewServer(r Runner, f *fleet.State, partitioned func() bool, share float64, log *zap.Logger) *Server {
	return &Server{runner: r, fleet: f, partitioned: partitioned, most: partition.MaxPeerRequests(share), log: log}
}

// SetBudget bounds what the responses to requests of other daemons hold. It must be called before
// Handle.
func (s *Server) SetBudget(b *intake.Budget) {
	s.budget = b
}

// Handle registers the handler of requests.
func (s *Server) Handle(m *wire.Mux) {
	m.HandleStream(wire.KindRequest, s.handle)
}

// Drain refuses further requests, and returns once none runs or the context ends.
func (s *Server) Drain(ctx context.Context) {
	s.mutex.Lock()
	if s.drained == nil {
		s.drained = make(chan struct{})
		if s.running == 0 {
			close(s.drained)
		}
	}
	drained := s.drained
	s.mutex.Unlock()
	select {
	case <-drained:
	case <-ctx.Done():
	}
}

// Running returns the number of requests that run.
func (s *Server) Running() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.running
}

// handle implements wire.StreamHandler. Its error means that the request has not run.
func (s *Server) handle(ctx context.Context, from netip.AddrPort, b []byte, send func(any) error) error {
	var m call
	if err := msgpack.Unmarshal(b, &m); err != nil {
		return errors.Wrap(err, "peer: call")
	}
	if err := s.begin(); err != nil {
		s.log.Info("request of peer refused", zap.String("Request", m.Request.ID), zap.Stringer("Peer", from), zap.Error(err))
		return err
	}
	defer s.end()
	q, err := s.request(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	ctx, release := s.budget.Begin(ctx)
	defer release()
	s.fleet.RecordLeavingAtPeer(m.Leaving)
	w := &partSink{fleet: s.fleet, send: send}
	err = s.runner.RunForPeer(ctx, q, w)
	s.log.Info("request of peer ended", zap.String("Request", q.ID), zap.Stringer("Peer", from), zap.Bool("Answered", w.begun), zap.Error(err))
	switch {
	case errors.Is(err, ErrUnable):
		return err
	case errors.Is(err, refusal.ErrNotRun) && s.partitioned():
		return errPartitioned
	}
	return send(part{End: &end{Refusal: refusedOf(err)}})
}

// begin counts a request, unless this daemon can't run it.
func (s *Server) begin() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.drained != nil:
		return errLeaving
	case s.partitioned():
		return errPartitioned
	case s.running >= s.most:
		return errBusy
	}
	s.running++
	return nil
}

func (s *Server) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
	if s.running == 0 && s.drained != nil {
		close(s.drained)
	}
}

// request returns the request of a message, with the deadline by this VM's clock: never
// before the sender's, and after it by no more than the time on the way or the error of the
// two estimates of the store's clock.
func (s *Server) request(m call) (Request, error) {
	now, ok := s.fleet.Clock.Earliest()
	if !ok {
		return Request{}, errNoClock
	}
	left := m.Until.Sub(now)
	if m.Left > 0 {
		left = min(left, m.Left)
	}
	if left <= 0 {
		return Request{}, errLate
	}
	q := m.Request
	q.Deadline = time.Now().Add(left)
	return q, nil
}

// refusedOf returns the message for the error of a request; nil if it is nil.
func refusedOf(err error) *refused {
	var e *refusal.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &e):
		return newRefused(e)
	}
	return &refused{Kind: kindMayHaveRun, Reason: refusal.ReasonConnectionLost}
}

// partSink is a Sink that sends a response in parts.
type partSink struct {
	fleet *fleet.State
	send  func(any) error
	begun bool
	// err is the error of the head.
	err error
}

// Begin implements Sink.
func (p *partSink) Begin(h Head) {
	p.begun = true
	h.Leaving = p.fleet.Leaving()
	p.err = p.send(part{Head: &h})
}

// Write implements Sink.
func (p *partSink) Write(b []byte) error {
	for len(b) > 0 && p.err == nil {
		n := min(len(b), pieceSize)
		p.err = p.send(part{Data: b[:n]})
		b = b[n:]
	}
	return p.err
}
